/** Simulated nodes that exchange their views over slow links, on a virtual clock. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import seedrandom from 'seedrandom';
import {
	createSilentLogger, VirtualClock, waitFor, type AvailabilityZone, type BackendServerId, type BackendServerName, type ServiceName,
} from '../../src/common/index.js';
import {decodeHeartbeat, encodeHeartbeat} from '../../src/gateway/peers/heartbeat.js';
import type {SingleCall, PeerClients} from '../../src/gateway/peers/peer-rpc.js';
import {heartbeatInterval, Peers, type OutgoingHeartbeat} from '../../src/gateway/peers/peers.js';
import {ViewResponder, ViewExchange} from '../../src/gateway/views/index.js';
import {
	FleetState, SourceHealth, type BackendServer, type Route, type RoutingConfig,
} from '../../src/routing/index.js';
import {createPeer} from './peers.js';
import {advanceClock} from './sources.js';

/** Bytes per millisecond of a link of 14 Mbit/s, the slowest of the supported boxes. */
const linkBytesPerMs = 1750;

/** One-way latency of a message, in milliseconds. */
const latency = 1.5;

/** Size of the head of an answer, in bytes. */
const responseHeadBytes = 250;

/** Minimum time between two heartbeats of a node, in milliseconds, the same as in the socket. */
const minHeartbeatInterval = 20;

/** Time between the arrivals of a change at one watcher and the next, in milliseconds. */
const followDelay = 20;

/** Options of a simulated fleet. */
export type ViewFleetOptions = {
	nodes: number;
	/** Share of heartbeats and answers that are lost. */
	lossShare?: number;
	/** Extra delay of slow nodes, in milliseconds, by index. */
	slowNodes?: Map<number, number>;
	/** Whether the nodes follow the evacuations of availability zones. */
	followsEvacuations?: boolean;
};

/** One simulated node. */
export type ViewFleetNode = {
	index: number;
	state: FleetState;
	health: SourceHealth;
	peers: Peers;
	exchange: ViewExchange;
	answers: ViewResponder;
	isStopped: boolean;
	/** Until when both directions of its link are busy, by the monotonic clock. */
	uplinkBusyUntil: number;
	downlinkBusyUntil: number;
	isHeartbeatPending: boolean;
	lastHeartbeatAt: number;
};

/** Creates routes; the name of one of them carries `suffix`, so that versions differ. */
export function createRoutes(count: number, suffix = ''): Route[] {
	return Array.from({length: count}, (_, index) => ({
		name: `route-${index}${index === 7 ? suffix : ''}`,
		host: `host${index % 5}.example`,
		pathPrefix: `/lohu${index * 7919}/`,
		kind: 'stream',
		timeLimit: 10_000 + index,
		objective: 309,
		longestPause: 250,
		longestSilence: 2000,
		attempts: 3,
		priority: 1,
		isAnonymous: false,
		canResume: true,
		services: [{service: 'model' as ServiceName, weight: 1}],
	}));
}

/** Creates a configuration with these routes. */
export function createRoutedConfig(version: number, routes: Route[]): RoutingConfig {
	return {
		version,
		routes,
		services: [{name: 'model' as ServiceName, connectionLimit: 618}],
		organisations: [],
		limits: {
			headerBytes: 16_384, bodyBytes: 1_000_000, headerTime: 3000, idleTime: 15_000,
		},
	};
}

/** Creates a backend server. */
export function createModelServer(index: number, isLeaving = false): BackendServer {
	return {
		id: `i-${index}` as BackendServerId,
		name: `i-${index}` as BackendServerName,
		entryRevision: isLeaving ? 2 : 1,
		service: 'model' as ServiceName,
		address: `10.3.64.${index}:8664`,
		availabilityZone: 'zone-0' as AvailabilityZone,
		slots: 8,
		isLeaving,
	};
}

/** Nodes in three zones, all with links of the same bandwidth. */
export class ViewFleet {
	readonly clock = new VirtualClock();
	readonly nodes: ViewFleetNode[] = [];
	/** Total size of all answers to requests for views, in bytes. */
	answerBytes = 0;
	#requestCount = 0;
	#lastStalledRequest = 0;
	readonly #random = seedrandom('views');
	readonly #options: ViewFleetOptions;

	constructor(options: ViewFleetOptions) {
		this.#options = options;
		for (let index = 0; index < options.nodes; index++) {
			this.#addNode(index);
		}
	}

	/** Gives all nodes the same view and time to discover each other. */
	async settle(config: RoutingConfig, servers: BackendServer[]): Promise<void> {
		for (const {state} of this.nodes) {
			state.applyServerList({items: servers, revision: 1}, 'source');
			state.applyConfig(config, 'source');
		}

		await this.pass(4000);
	}

	/** Advances the clock; each node sends its heartbeats when they are due. */
	async pass(milliseconds: number): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += stepTime) {
			await advanceClock(this.clock, stepTime);
			for (const node of this.nodes) {
				this.#sendHeartbeatWhenDue(node);
			}
		}
	}

	/** Delivers a change to the first nodes, which act as watchers, one after the other. */
	updateFollowers(update: (state: FleetState) => void, followers = 3): void {
		for (const [order, node] of this.nodes.slice(0, followers).entries()) {
			this.clock.setTimer((order + 1) * followDelay, () => {
				update(node.state);
			});
		}
	}

	/** Time until a condition holds at all live nodes, in milliseconds; `limit` when it does not. */
	async measure(holds: (state: FleetState) => boolean, limit: number): Promise<number> {
		const began = this.clock.readMonotonic();
		while (this.clock.readMonotonic() < began + limit && !this.nodes.every(node => node.isStopped || holds(node.state))) {
			await this.pass(stepTime);
		}

		return this.clock.readMonotonic() - began;
	}

	/** Makes the connections of all pending requests unresponsive; new ones work. */
	stallConnections(): void {
		this.#lastStalledRequest = ++this.#requestCount;
	}

	/** Sends the heartbeats of a node. */
	protected sendHeartbeat(node: ViewFleetNode, hasChanges: boolean): void {
		for (const outgoing of node.peers.createHeartbeats(hasChanges)) {
			this.#deliver(node, outgoing);
		}
	}

	#addNode(index: number): void {
		const {clock} = this;
		const logger = createSilentLogger();
		const state = new FleetState(clock, logger, {followsEvacuations: this.#options.followsEvacuations});
		const health = new SourceHealth();
		const self = () => createPeer(`n${index}`, {
			availabilityZone: `zone-${index % 3}` as AvailabilityZone,
			isSourceReachable: state.isSourceReachable,
			hearsSource: this.nodes[index]?.exchange.hearsSource ?? false,
		});
		const exchange = new ViewExchange({
			clock, logger, state, clients: this.#createClients(index), self, isFirstStart: false, health, onStalled() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		const peers = new Peers({
			clock, logger, self, view: () => exchange.describeView(), random: this.#random,
		});
		peers.addCandidate('n0:3');
		const node = {
			index,
			state,
			health,
			peers,
			exchange,
			answers: new ViewResponder(state),
			isStopped: false,
			uplinkBusyUntil: 0,
			downlinkBusyUntil: 0,
			isHeartbeatPending: false,
			lastHeartbeatAt: -heartbeatInterval * this.#random(),
		};
		peers.addViewListener((peer, view) => {
			exchange.compareView(peer, view);
		});
		for (const addListener of [state.addListener.bind(state), peers.addChangeListener.bind(peers)]) {
			addListener(() => {
				node.isHeartbeatPending = true;
			});
		}

		this.nodes.push(node);
	}

	#sendHeartbeatWhenDue(node: ViewFleetNode): void {
		const since = this.clock.readMonotonic() - node.lastHeartbeatAt;
		if (node.isStopped || since < (node.isHeartbeatPending ? minHeartbeatInterval : heartbeatInterval)) {
			return;
		}

		node.lastHeartbeatAt = this.clock.readMonotonic();
		const hasChanges = node.isHeartbeatPending;
		node.isHeartbeatPending = false;
		this.sendHeartbeat(node, hasChanges);
	}

	#deliver(sender: ViewFleetNode, {heartbeat, addresses}: OutgoingHeartbeat): void {
		const message = encodeHeartbeat(heartbeat);
		for (const address of addresses) {
			const receiver = this.#findNode(address);
			if (receiver === undefined || this.#random() < (this.#options.lossShare ?? 0)) {
				continue;
			}

			this.clock.setTimer(latency + this.#findExtraDelay(receiver), () => {
				for (const answer of receiver.isStopped ? [] : receiver.peers.accept(decodeHeartbeat(message), `n${sender.index}:3`)) {
					this.#deliver(receiver, answer);
				}
			});
		}
	}

	/** Creates simulated clients of a node: an answer takes time on both links in proportion to its size. */
	#createClients(asking: number): PeerClients {
		const askOnNewConnection = async <Answer>(address: string, {call, longestSilence, signal}: SingleCall<Answer>): Promise<Either<string, Answer>> => {
			const order = ++this.#requestCount;
			const answer = async (): Promise<Either<string, Answer>> => {
				const value = await call(this.#createClient(asking, address) as Parameters<typeof call>[0], signal);
				return order > this.#lastStalledRequest ? Right(value) : never();
			};

			const ended = new AbortController();
			const idleTimeout = this.#failAfter(longestSilence, ended.signal);
			const aborted = new Promise<Either<string, Answer>>(resolve => {
				signal.addEventListener('abort', () => {
					resolve(Left('left'));
				});
			});
			const first = await Promise.race([answer(), idleTimeout, aborted]);
			ended.abort();
			return first;
		};

		return {askOnNewConnection} as unknown as PeerClients;
	}

	async #failAfter(delay: number, signal: AbortSignal): Promise<Either<string, never>> {
		await waitFor(this.clock, delay, signal);
		return Left('silent');
	}

	/** Creates a client that accepts any procedure for views by name. */
	#createClient(asking: number, address: string): unknown {
		return new Proxy({}, {
			get: (_, procedure: string) => ({
				query: async (known: unknown) => this.#answer(asking, this.#findNode(address)!, procedure, known),
			}),
		});
	}

	async #answer(asking: number, answering: ViewFleetNode, procedure: string, known: unknown): Promise<unknown> {
		await this.#wait(latency + this.#findExtraDelay(answering));
		if (answering.isStopped || this.#random() < (this.#options.lossShare ?? 0)) {
			return never();
		}

		const answers = answering.answers as unknown as Record<string, (known: unknown) => unknown>;
		const answer = answers[procedure](known);
		const bytes = Buffer.byteLength(JSON.stringify(answer) ?? '') + responseHeadBytes;
		this.answerBytes += bytes;
		const asker = this.nodes[asking];
		const now = this.clock.readMonotonic();
		answering.uplinkBusyUntil = Math.max(now, answering.uplinkBusyUntil) + (bytes / linkBytesPerMs);
		asker.downlinkBusyUntil = Math.max(now, asker.downlinkBusyUntil) + (bytes / linkBytesPerMs);
		await this.#wait(latency + Math.max(answering.uplinkBusyUntil, asker.downlinkBusyUntil) - now);
		return answer;
	}

	async #wait(delay: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.clock.setTimer(delay, resolve);
		});
	}

	#findExtraDelay(node: ViewFleetNode): number {
		return this.#options.slowNodes?.get(node.index) ?? 0;
	}

	#findNode(address: string): ViewFleetNode | undefined {
		return this.nodes[Number(address.slice(1).split(':')[0])];
	}
}

const stepTime = 10;

async function never(): Promise<never> {
	return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
