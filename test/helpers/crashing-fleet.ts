/** Gateway nodes before model servers that crash when they run requests with certain prompt parts, and come back under new ids. */
import {GatewayFleet, waitUntil, type ReceivedResponse} from './gateways.js';
import {pause} from './pause.js';
import {
	createAnswerHeaders, formatEvent, type ReceivedRequest, type ServerBehaviour, type StandinServer,
} from './platform-standins.js';

/** What nodes see of a crash: a reset after the first event or before the head, at an address that may still accept connections, or silence and then nothing. */
export const crashSigns = ['reset after the first event', 'reset before the head', 'reset, the address accepts connections', 'silent for 1.2 s, then gone'] as const;
export type CrashSign = typeof crashSigns[number];

const eventCount = 6;
const eventGap = 50;

/** Time from the start of a request with a crashing part to the crash, and silence before a silent crash, in milliseconds. */
const crashDelay = 40;
const silentFor = 1200;

/** Time after which a crashed server is back, in milliseconds. */
const restartDelay = 1500;

/** A fleet whose servers crash. */
export class CrashingFleet {
	readonly fleet = new GatewayFleet();
	/** Prompt parts that crash the servers that run them. */
	readonly crashingParts = new Set<string>();
	/** Times at which servers crashed, and at which requests with a crashing part arrived at one, by part. */
	readonly crashes = new Map<string, number[]>();
	readonly arrivals = new Map<string, number[]>();
	readonly #sign: CrashSign;
	readonly #crashed = new WeakSet<StandinServer>();
	#isOver = false;
	#requestCount = 0;

	constructor(sign: CrashSign) {
		this.#sign = sign;
	}

	/** Starts nodes and servers; resolves once all nodes know each other. */
	async start(nodes: number, servers: number): Promise<void> {
		await this.fleet.start({nodes, runners: []});
		for (let index = 0; index < servers; index++) {
			await this.#addServer();
		}

		await waitUntil(() => this.fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes));
	}

	/** Stops everything. */
	async stop(): Promise<void> {
		this.#isOver = true;
		await this.fleet.stop();
	}

	/** Sends one stream with these shared prompt parts and a last part of its own, to the nodes in turn. */
	async send(parts: string[], key = 'secret-key'): Promise<ReceivedResponse> {
		const count = this.#requestCount++;
		return this.fleet.call({
			path: '/stream/',
			body: `request ${count}`,
			headers: {
				authorization: `Bearer ${key}`,
				'cresshook-token-usage': '500,80',
				'cresshook-prompt-prefix': [...parts, count.toString(16)].map(part => `${part}:100`).join(','),
			},
		}, count % this.fleet.settings.length);
	}

	async #addServer(): Promise<void> {
		const runner: StandinServer = await this.fleet.addRunner('model', async (request, response, socket) => this.#answer(runner, request, response, socket));
	}

	async #answer(runner: StandinServer, request: ReceivedRequest, response: Parameters<ServerBehaviour>[1], socket: Parameters<ServerBehaviour>[2]): Promise<void> {
		const parts = (request.headers['cresshook-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0]);
		const crashing = parts.find(part => this.crashingParts.has(part));
		if (crashing !== undefined) {
			appendTime(this.arrivals, crashing);
		}

		if (this.#crashed.has(runner)) {
			socket.resetAndDestroy();
			return;
		}

		if (crashing !== undefined && this.#sign !== 'reset after the first event') {
			await pause(crashDelay);
			await this.#crash(runner, request, crashing);
			return;
		}

		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= eventCount && !response.destroyed && !this.#crashed.has(runner); id++) {
			response.write(formatEvent(id));
			await pause(eventGap);
			if (crashing !== undefined) {
				await this.#crash(runner, request, crashing);
				return;
			}
		}

		if (!this.#crashed.has(runner)) {
			response.end();
		}
	}

	/** Crashes a server once; its entry lapses when it is back under another id. */
	async #crash(runner: StandinServer, {headers}: ReceivedRequest, part: string): Promise<void> {
		if (this.#crashed.has(runner) || this.#isOver) {
			return;
		}

		this.#crashed.add(runner);
		appendTime(this.crashes, part);
		if (this.#sign === 'silent for 1.2 s, then gone') {
			await pause(silentFor);
		}

		if (this.#sign === 'reset, the address accepts connections') {
			for (const socket of runner.sockets) {
				socket.resetAndDestroy();
			}
		} else {
			void runner.stop();
		}

		await pause(restartDelay);
		if (!this.#isOver) {
			this.fleet.store.remove('servers', headers['cresshook-target-instance'] ?? '');
			await this.#addServer();
		}
	}
}

function appendTime(times: Map<string, number[]>, key: string): void {
	times.set(key, [...times.get(key) ?? [], Date.now()]);
}
