/** A fleet whose nodes can be cut from backend servers, while callers, the store and the other nodes reach them. */
import {expect} from '@jest/globals';
import {
	GatewayFleet, send, waitUntil, type ReceivedResponse,
} from './gateways.js';
import {pause} from './pause.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './platform-standins.js';
import {processHost} from './process-host.js';
import {ServerLinks, type LinkState} from './server-links.js';
import {loadSteadily} from './steady-load.js';

/** Kinds of requests, and what is sent of each. */
export const requestKinds = {
	repeatable: {path: '/again/'},
	once: {path: '/once/'},
	stream: {path: '/stream/', headers: {'cresshook-token-usage': '2000,50'}},
} as const;
export type RequestKind = keyof typeof requestKinds;

/** Requests per second at all nodes together, and time of measured load in milliseconds. */
const rate = 50;
const defaultLoadTime = 2000;

/** Silence after which a link is suspected, and time from that evidence on within which callers are served again, in milliseconds. */
export const silenceLimit = 1000;
export const recoveryTime = 1000;

/** Share of the requests that a cut node has to serve. */
const minServedShare = 0.98;

/** Nodes with links of their own to servers of both services. */
export class CutFleet {
	readonly fleet = new GatewayFleet();
	readonly links: ServerLinks[];
	/** Number of runs of requests that may run only once, by request id. */
	readonly onceRuns = new Map<string, number>();
	/** Time that a server works before its answer, in milliseconds. */
	workTime = 0;
	readonly #serversPerService: number;

	constructor(nodes: number, serversPerService: number) {
		this.links = Array.from({length: nodes}, () => new ServerLinks());
		this.fleet.dialers.push(...this.links);
		this.#serversPerService = serversPerService;
	}

	/** Starts servers and nodes; resolves once all nodes know each other. */
	async start(): Promise<void> {
		const runners = ['app', 'model'].flatMap(service => Array.from({length: this.#serversPerService}, () => ({service, behaviour: this.#createBehaviour()})));
		await this.fleet.start({nodes: this.links.length, runners});
		await waitUntil(() => this.fleet.gateways.every(gateway => gateway.listReadyNodes().length === this.links.length));
	}

	async stop(): Promise<void> {
		await this.fleet.stop();
		await Promise.all(this.links.map(async link => link.stop()));
	}

	/** Addresses of the servers of a service. */
	listAddresses(service: 'app' | 'model'): string[] {
		const start = service === 'app' ? 0 : this.#serversPerService;
		return this.fleet.runners.slice(start, start + this.#serversPerService).map(runner => runner.address);
	}

	/** Share of the requests to these nodes that were answered completely; `loadSteadily` sends to the nodes in turn. */
	measureServed(responses: ReceivedResponse[], isCounted: (node: number) => boolean): number {
		const counted = responses.filter((_, index) => isCounted(index % this.links.length));
		return counted.filter(({status, isComplete}) => status === 200 && isComplete).length / counted.length;
	}

	/** Changes the links of the first nodes to these servers, all by default. */
	setLinks(count: number, state: LinkState, addresses?: string[]): void {
		for (const link of this.links.slice(0, count)) {
			link.set(state, addresses);
		}
	}

	/** Loads a fleet with one kind of request, applies a change to it, and expects the requests that come later than `settleTime` to be served. */
	async expectServed(kind: RequestKind, cutNodes: number, {change, settleTime, loadTime = defaultLoadTime}: {change: () => void; settleTime: number; loadTime?: number}): Promise<void> {
		const load = {...requestKinds[kind], rate};
		await loadSteadily(this.fleet, {...load, duration: 500});
		change();
		const before = loadSteadily(this.fleet, {...load, duration: settleTime});
		await pause(settleTime);
		const measured = await loadSteadily(this.fleet, {...load, duration: loadTime});
		await before;
		expect(this.measureServed(measured, node => node < cutNodes)).toBeGreaterThanOrEqual(minServedShare);
		expect(this.measureServed(measured, node => node >= cutNodes)).toBe(1);
		expect(Math.max(0, ...this.onceRuns.values())).toBeLessThanOrEqual(1);
	}

	/** Failed links of all nodes, as their status pages show them. */
	async listFailedLinks(): Promise<unknown[]> {
		const statuses = await Promise.all(this.fleet.settings.map(async settings => {
			const {body} = await send(`${processHost}:${settings.metrics_port}`, {path: '/status', method: 'GET'});
			return (JSON.parse(body) as {links: {failed: unknown[]}}).links.failed;
		}));
		return statuses.flat();
	}

	#createBehaviour(): ServerBehaviour {
		return async (request, response) => {
			if (request.url === '/v1/report') {
				response.end('{"tickets":[]}');
				return;
			}

			if (request.url.startsWith('/once/')) {
				const id = request.headers['cresshook-attempt-id'] ?? '';
				this.onceRuns.set(id, (this.onceRuns.get(id) ?? 0) + 1);
			}

			if (this.workTime > 0) {
				await pause(this.workTime);
			}

			const isStream = request.url.startsWith('/stream/');
			const body = isStream ? [1, 2, 3].map(id => formatEvent(id)).join('') : 'ok';
			response.writeHead(200, {
				...createAnswerHeaders(request),
				...(isStream ? {'content-type': 'text/event-stream'} : {'content-length': String(body.length)}),
			});
			response.end(body);
		};
	}
}

/** Starts four nodes before four servers of each service. */
export async function startCutFleet(): Promise<CutFleet> {
	const cut = new CutFleet(4, 4);
	await cut.start();
	return cut;
}
