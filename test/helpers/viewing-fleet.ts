/** Nodes that tell each other their views over narrow links, on a virtual clock. */
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

/** Bytes a millisecond of a link of 14 Mbit/s: the narrowest of the boxes that are served. */
const linkBytesPerMs = 1750;

/** Time of a message on its way, in milliseconds. */
const latency = 1.5;

/** Bytes of the heads of an answer. */
const responseHeadBytes = 250;

/** Least time between two beats of a node, in milliseconds, as its socket has it. */
const minHeartbeatInterval = 20;

/** Time after a change at the source until its followers know it, one after the other, in milliseconds. */
const followDelay = 20;

/** What a fleet is made of. */
export type ViewFleetOptions = {
	nodes: number;
	/** Share of datagrams and answers that are lost. */
	lossShare?: number;
	/** Nodes that do everything so many milliseconds later. */
	slowNodes?: Map<number, number>;
};

/** One node of the fleet. */
export type ViewFleetNode = {
	index: number;
	state: FleetState;
	health: SourceHealth;
	peers: Peers;
	exchange: ViewExchange;
	answers: ViewResponder;
	isStopped: boolean;
	/** When its link has sent and taken what it is to send and take, by the clock. */
	uplinkBusyUntil: number;
	downlinkBusyUntil: number;
	isHeartbeatPending: boolean;
	lastHeartbeatAt: number;
};

/** Routes of a configuration, of which `changed` differ between versions. */
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

/** A configuration with these routes. */
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

/** A server of the fleet. */
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

/** Nodes of three zones, all with links of the same width. */
export class ViewFleet {
	readonly clock = new VirtualClock();
	readonly nodes: ViewFleetNode[] = [];
	/** Bytes of all answers to questions for views. */
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

	/** Lets all find each other, with the same view. */
	async settle(config: RoutingConfig, servers: BackendServer[]): Promise<void> {
		for (const {state} of this.nodes) {
			state.applyServerList({items: servers, revision: 1}, 'source');
			state.applyConfig(config, 'source');
		}

		await this.pass(4000);
	}

	/** Lets time pass; each node beats when it is due. */
	async pass(milliseconds: number): Promise<void> {
		for (let passed = 0; passed < milliseconds; passed += stepTime) {
			await advanceClock(this.clock, stepTime);
			for (const node of this.nodes) {
				this.#sendHeartbeatWhenDue(node);
			}
		}
	}

	/** Tells the nodes that follow the source of a change, one after the other. */
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

	/** Makes the connections silent over which nodes are asked at the moment; new ones work. */
	stallConnections(): void {
		this.#lastStalledRequest = ++this.#requestCount;
	}

	/** What a node does when it beats. */
	protected sendHeartbeat(node: ViewFleetNode, hasChanges: boolean): void {
		for (const outgoing of node.peers.createHeartbeats(hasChanges)) {
			this.#deliver(node, outgoing);
		}
	}

	#addNode(index: number): void {
		const {clock} = this;
		const logger = createSilentLogger();
		const state = new FleetState(clock, logger);
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
			index, state, health, peers, exchange, answers: new ViewResponder(state), isStopped: false, uplinkBusyUntil: 0, downlinkBusyUntil: 0, isHeartbeatPending: false, lastHeartbeatAt: -heartbeatInterval * this.#random(),
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

	#deliver(sender: ViewFleetNode, {heartbeat: beat, addresses}: OutgoingHeartbeat): void {
		const message = encodeHeartbeat(beat);
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

	/** Calls of other nodes as the node's clients would make them: an answer takes its bytes' time on both links. */
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

		return {askOnNewConnection: askOnNewConnection} as unknown as PeerClients;
	}

	async #failAfter(delay: number, signal: AbortSignal): Promise<Either<string, never>> {
		await waitFor(this.clock, delay, signal);
		return Left('silent');
	}

	/** Whatever a node is asked for its view, by the name of the question. */
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
