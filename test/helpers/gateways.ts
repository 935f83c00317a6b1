/** Gateway nodes on loopback addresses, with stand-ins for the platform's store and runners. */
import {request as sendRequest} from 'node:http';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {CallWire, PlatformSource} from '../../platform/index.js';
import {
	createSilentLogger, randomIdSource, systemClock, type Logger,
} from '../../src/common/index.js';
import type {ServerDialer} from '../../src/gateway/calls/index.js';
import {Gateway, parseGatewaySettings, type GatewaySettings} from '../../src/gateway/index.js';
import {processHost} from './process-host.js';
import {StandinServer, StandinStore, type ServerBehaviour} from './platform-standins.js';

/** Performance model of a model server, in the platform's format. */
export const engineSpec = {
	slots: 11,
	kvCapacityTokens: 315_000,
	stride: 51,
	step_ms: 0.85,
	per_seq_ms: 0.006,
	context_per_k: 0.002_85,
	read_per_s: 177_000,
	pairs_per_m: 0.184,
	chunk: 2048,
	hop_ms: 0.05,
	usual: {prompt: 11_112, answer: 1622},
};

/** Creates a configuration with one route of each kind. */
export function createConfig(version: number, changes: Record<string, unknown> = {}): Record<string, unknown> {
	const common = {
		host: 'shop.example', priority: 1, allowAnonymous: false, targetLatencyMs: 300,
	};
	return {
		version,
		routes: [
			{
				...common, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', timeoutMs: 5000, maxAttempts: 3, resumeStreams: true, gap_aim_ms: 250, service: 'model',
			},
			{
				...common, name: 'once', pathPrefix: '/once/', kind: 'non_idempotent', timeoutMs: 1500, maxAttempts: 1, service: 'app',
			},
			{
				...common, name: 'again', pathPrefix: '/again/', kind: 'idempotent', timeoutMs: 1500, maxAttempts: 2, service: 'app',
			},
		],
		services: [{name: 'model', maxConnections: 99, engine: engineSpec}, {name: 'app', maxConnections: 99}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{name: 'guild', apiKeys: ['secret-key']}],
		...changes,
	};
}

/** A response as received by a caller. */
export type ReceivedResponse = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	body: string;
	/** Whether the whole body was received. */
	isComplete: boolean;
};

/** A request of a test. */
export type TestCall = {
	path: string;
	method?: string;
	headers?: Record<string, string>;
	body?: string;
	/** Time after which the connection is closed, in milliseconds. */
	abortAfter?: number;
};

/** Options of a gateway node. */
type NodeOptions = {
	index?: number;
	ports?: number[];
	host?: string;
	seeds?: string[];
	isFirstStart?: boolean;
	retrySlack?: number;
	/** Time within which evacuations must take effect, in milliseconds; without it they are not followed. */
	evacuateWithin?: number;
	/** Address of the store as seen by the node; differs from the store's own behind a link. */
	storeAddress?: string;
};

/** Values of a node's settings; `ports` are those for callers, readiness, addresses, peers, heartbeats and metrics. */
export type NodeSettings = Required<Pick<NodeOptions, 'index' | 'ports' | 'host' | 'seeds' | 'isFirstStart' | 'retrySlack' | 'storeAddress'>> & {
	/** Grace period, and lifetime of address answers, in seconds. */
	grace?: number;
	addressLifetime?: number;
};

/** Formats the settings file of a node. */
export function formatSettings({
	index, ports, host, seeds, isFirstStart, retrySlack, storeAddress, grace = 4, addressLifetime = 1,
}: NodeSettings): string {
	return `
box = "edge-${index}"
region = "r"
availability_zone = "north"
heartbeat_port = ${ports[4]}
metrics_port = ${ports[5]}
seeds = ${JSON.stringify(seeds)}
first_start = ${isFirstStart}
address_lifetime_seconds = ${addressLifetime}
[listen]
callers = "${host}:${ports[0]}"
ready = "${host}:${ports[1]}"
addresses = "${host}:${ports[2]}"
peers = "${host}:${ports[3]}"
[store]
address = "${storeAddress}"
[stop]
grace_seconds = ${grace}
[retry]
ratio = 0.2
slack = ${retrySlack}
window_seconds = 10`;
}

let callCount = 0;

/** The gateway nodes, the store and the runners of one test. */
export class GatewayFleet {
	/** Loggers by index of the node; nodes without one do not log. */
	readonly loggers: Logger[] = [];
	/** Dialers by index of the node; nodes without one connect to servers over TCP. */
	readonly dialers: ServerDialer[] = [];
	/** Sections added to the settings of each node. */
	extraSettings = '';
	/** How long nodes remember the usage of organisations, in seconds; without shares when undefined. */
	sharesMemorySeconds: number | undefined;
	readonly store = new StandinStore();
	readonly gateways: Gateway[] = [];
	readonly settings: GatewaySettings[] = [];
	readonly runners: StandinServer[] = [];
	/** Default of the nodes' option of that name. */
	evacuateWithin: number | undefined;
	#ports: number[] = [];

	/** Starts the store with a configuration, the given runners, and nodes. */
	async start(options: {nodes?: number; runners: Array<{service: string; behaviour: ServerBehaviour}>}): Promise<this> {
		await this.store.start();
		this.store.put('config', 'main', createConfig(1));
		for (const {service, behaviour} of options.runners) {
			await this.addRunner(service, behaviour);
		}

		for (let index = 0; index < (options.nodes ?? 1); index++) {
			await this.addGateway();
		}

		await waitUntil(() => this.gateways.every(gateway => gateway.isReady));
		return this;
	}

	/** Starts a runner and registers it. */
	async addRunner(service: string, behaviour: ServerBehaviour): Promise<StandinServer> {
		const runner = await new StandinServer(behaviour).start();
		this.runners.push(runner);
		this.putServer(this.runners.length - 1, service, 'ready');
		return runner;
	}

	/** Writes the entry of a runner; `born` is its start time, if it states one. */
	putServer(index: number, service: string, state: 'ready' | 'draining', born?: number, zone = 'north'): void { // eslint-disable-line max-params
		this.store.put('servers', `i-${index}`, {
			service, address: this.runners[index].address, zone, version: 'v1', slots: 11, state, coldRemainingMs: 0, sequence: 1, born,
		});
	}

	/** Starts nodes together as a first start, each on a host of its own, with the first one as seed. */
	async startTogether(count: number): Promise<void> {
		this.#ports = await findFreePorts(6);
		await Promise.all(Array.from({length: count}, async (_, index) => this.addGateway(this.#describeNode(index))));
	}

	/** Starts one more node that joins those of a first start. */
	async addJoiningGateway(): Promise<Gateway> {
		return this.addGateway({...this.#describeNode(this.gateways.length), isFirstStart: false});
	}

	/** Starts a node; by default one with seeds is part of a first start. */
	async addGateway(options: NodeOptions = {}): Promise<Gateway> {
		const {
			index = this.gateways.length, host = processHost, seeds = [], isFirstStart = seeds.length > 0, retrySlack = 100, storeAddress = this.store.address, evacuateWithin = this.evacuateWithin,
		} = options;
		const ports = options.ports ?? await findFreePorts(6);
		const settings = parseGatewaySettings(`${formatSettings({
			index, ports, host, seeds, isFirstStart, retrySlack, storeAddress,
		})}
${evacuateWithin === undefined ? '' : `[evacuations]\napply_within_ms = ${evacuateWithin}\n`}
${this.extraSettings}
${this.sharesMemorySeconds === undefined ? '' : `[organisation_shares]\nmemory_seconds = ${this.sharesMemorySeconds}`}
`).unsafeCoerce();
		const logger = this.loggers[index] ?? createSilentLogger();
		const gateway = new Gateway({
			settings, source: new PlatformSource(settings.store.address, logger), wire: new CallWire(), clock: systemClock, ids: randomIdSource, logger, random: Math.random, dialer: this.dialers[index],
		});
		await gateway.start();
		this.gateways.push(gateway);
		this.settings.push(settings);
		return gateway;
	}

	/** Sends a request to a node. */
	async call(call: TestCall, node = 0): Promise<ReceivedResponse> {
		return send(this.settings[node].listen.callers, call);
	}

	/** Stops nodes, runners and store. */
	async stop(): Promise<void> {
		await Promise.all(this.gateways.map(async gateway => gateway.close()));
		await Promise.all([...this.runners, this.store].map(async standin => standin.stop()));
	}

	#describeNode(index: number): NodeOptions {
		return {
			index, ports: this.#ports, host: `127.0.1.${index + 1}`, seeds: [`127.0.1.1:${this.#ports[3]}`],
		};
	}
}

/** Sends a request and collects the response. */
export async function send(address: string, call: TestCall): Promise<ReceivedResponse> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const answer: ReceivedResponse = {
			status: 0, headers: {}, body: '', isComplete: false,
		};
		const request = sendRequest({
			host,
			port,
			path: call.path,
			method: call.method ?? 'POST',
			headers: {
				host: 'shop.example', authorization: 'Bearer secret-key', 'cresshook-attempt-id': `id-${++callCount}`, 'cresshook-deadline-ms': '5000', ...call.headers,
			},
		}, response => {
			answer.status = response.statusCode ?? 0;
			answer.headers = response.headers;
			response.on('data', chunk => {
				answer.body += String(chunk);
			});
			response.on('end', () => {
				answer.isComplete = response.complete;
				resolve(answer);
			});
			response.on('error', () => {
				resolve(answer);
			});
		});
		request.on('error', () => {
			resolve(answer);
		});
		if (call.abortAfter !== undefined) {
			setTimeout(() => {
				request.destroy();
				resolve(answer);
			}, call.abortAfter);
		}

		request.end(call.body);
	});
}

/** Waits until a condition holds; throws after `limit` milliseconds. */
export async function waitUntil(condition: () => boolean, limit = 8000): Promise<void> {
	const end = Date.now() + limit;
	while (!condition()) {
		if (Date.now() > end) {
			throw new Error('the condition did not hold in time');
		}

		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}
}

/** Ports returned before: heartbeat ports are bound over UDP, which a search for free TCP ports does not detect. */
const usedPorts = new Set<number>();

/** Finds free ports on this process's own address; no port is returned twice. */
export async function findFreePorts(count: number): Promise<number[]> {
	const servers: Server[] = [];
	const found: Server[] = [];
	while (found.length < count) {
		const server = createServer();
		await new Promise<void>(resolve => {
			server.listen(0, processHost, resolve);
		});
		servers.push(server);
		const {port} = server.address() as AddressInfo;
		if (!usedPorts.has(port)) {
			usedPorts.add(port);
			found.push(server);
		}
	}

	const ports = found.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
