/** Nodes that tell each other their views over narrow links, on a virtual clock. */
import {Buffer} from 'node:buffer';
import {Left, Right, type Either} from 'purify-ts';
import seedrandom from 'seedrandom';
import {
	createSilentLogger, VirtualClock, waitFor, type AvailabilityZone, type BackendServerId, type BackendServerName, type ServiceName,
} from '../../src/common/index.js';
import {decodeBeat, encodeBeat} from '../../src/gateway/peers/peer-beat.js';
import type {FreshQuestion, PeerClients} from '../../src/gateway/peers/peer-rpc.js';
import {heartbeatEvery, Peers, type OutgoingBeat} from '../../src/gateway/peers/peers.js';
import {ViewAnswers, ViewExchange} from '../../src/gateway/views/index.js';
import {
	FleetState, SourceHealth, type BackendServer, type Route, type RoutingConfig,
} from '../../src/routing/index.js';
import {createPeer} from './peers.js';
import {advanceClock} from './sources.js';

/** Bytes a millisecond of a link of 14 Mbit/s: the narrowest of the boxes that are served. */
const linkRate = 1750;

/** Time of a message on its way, in milliseconds. */
const travelTime = 1.5;

/** Bytes of the heads of an answer. */
const headBytes = 250;

/** Least time between two beats of a node, in milliseconds, as its socket has it. */
const earlyBeatAfter = 20;

/** Time after a change at the source until its followers know it, one after the other, in milliseconds. */
const followDelay = 20;

/** What a fleet is made of. */
export type ViewingOptions = {
	nodes: number;
	/** Share of datagrams and answers that are lost. */
	lossShare?: number;
	/** Nodes that do everything so many milliseconds later. */
	slowNodes?: Map<number, number>;
};

/** One node of the fleet. */
export type ViewingNode = {
	index: number;
	state: FleetState;
	health: SourceHealth;
	peers: Peers;
	exchange: ViewExchange;
	answers: ViewAnswers;
	isDead: boolean;
	/** When its link has sent and taken what it is to send and take, by the clock. */
	sentUntil: number;
	takenUntil: number;
	wantsBeat: boolean;
	lastBeatAt: number;
};

/** Routes of a configuration, of which `changed` differ between versions. */
export function createRoutes(count: number, mark = ''): Route[] {
	return Array.from({length: count}, (_, index) => ({
		name: `route-${index}${index === 7 ? mark : ''}`,
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
export class ViewingFleet {
	readonly clock = new VirtualClock();
	readonly nodes: ViewingNode[] = [];
	/** Bytes of all answers to questions for views. */
	answerBytes = 0;
	#asked = 0;
	#lostUntil = 0;
	readonly #random = seedrandom('views');
	readonly #options: ViewingOptions;

	constructor(options: ViewingOptions) {
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
				this.#beatWhenDue(node);
			}
		}
	}

	/** Tells the nodes that follow the source of a change, one after the other. */
	tellFollowers(tell: (state: FleetState) => void, followers = 3): void {
		for (const [order, node] of this.nodes.slice(0, followers).entries()) {
			this.clock.setTimer((order + 1) * followDelay, () => {
				tell(node.state);
			});
		}
	}

	/** Time until a condition holds at all live nodes, in milliseconds; `limit` when it does not. */
	async measure(holds: (state: FleetState) => boolean, limit: number): Promise<number> {
		const began = this.clock.readMonotonic();
		while (this.clock.readMonotonic() < began + limit && !this.nodes.every(node => node.isDead || holds(node.state))) {
			await this.pass(stepTime);
		}

		return this.clock.readMonotonic() - began;
	}

	/** Makes the connections silent over which nodes are asked at the moment; new ones work. */
	loseConnections(): void {
		this.#lostUntil = ++this.#asked;
	}

	/** What a node does when it beats. */
	protected beat(node: ViewingNode, hasNews: boolean): void {
		for (const outgoing of node.peers.beat(hasNews)) {
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
			clock, logger, state, clients: this.#createClients(index), self, isFirstStart: false, health, onSilent() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		const peers = new Peers({
			clock, logger, self, view: () => exchange.describeView(), random: this.#random,
		});
		peers.addCandidate('n0:3');
		const node = {
			index, state, health, peers, exchange, answers: new ViewAnswers(state), isDead: false, sentUntil: 0, takenUntil: 0, wantsBeat: false, lastBeatAt: -heartbeatEvery * this.#random(),
		};
		peers.addViewListener((peer, view) => {
			exchange.compareView(peer, view);
		});
		for (const addListener of [state.addListener.bind(state), peers.addChangeListener.bind(peers)]) {
			addListener(() => {
				node.wantsBeat = true;
			});
		}

		this.nodes.push(node);
	}

	#beatWhenDue(node: ViewingNode): void {
		const since = this.clock.readMonotonic() - node.lastBeatAt;
		if (node.isDead || since < (node.wantsBeat ? earlyBeatAfter : heartbeatEvery)) {
			return;
		}

		node.lastBeatAt = this.clock.readMonotonic();
		const hasNews = node.wantsBeat;
		node.wantsBeat = false;
		this.beat(node, hasNews);
	}

	#deliver(sender: ViewingNode, {beat, addresses}: OutgoingBeat): void {
		const message = encodeBeat(beat);
		for (const address of addresses) {
			const receiver = this.#findNode(address);
			if (receiver === undefined || this.#random() < (this.#options.lossShare ?? 0)) {
				continue;
			}

			this.clock.setTimer(travelTime + this.#findLateness(receiver), () => {
				for (const answer of receiver.isDead ? [] : receiver.peers.accept(decodeBeat(message), `n${sender.index}:3`)) {
					this.#deliver(receiver, answer);
				}
			});
		}
	}

	/** Calls of other nodes as the node's clients would make them: an answer takes its bytes' time on both links. */
	#createClients(asking: number): PeerClients {
		const askAfresh = async <Answer>(address: string, {call, longestSilence, signal}: FreshQuestion<Answer>): Promise<Either<string, Answer>> => {
			const order = ++this.#asked;
			const answer = async (): Promise<Either<string, Answer>> => {
				const value = await call(this.#createClient(asking, address) as Parameters<typeof call>[0], signal);
				return order > this.#lostUntil ? Right(value) : never();
			};

			const ended = new AbortController();
			const late = this.#fail(longestSilence, ended.signal);
			const left = new Promise<Either<string, Answer>>(resolve => {
				signal.addEventListener('abort', () => {
					resolve(Left('left'));
				});
			});
			const first = await Promise.race([answer(), late, left]);
			ended.abort();
			return first;
		};

		return {askAfresh} as unknown as PeerClients;
	}

	async #fail(after: number, signal: AbortSignal): Promise<Either<string, never>> {
		await waitFor(this.clock, after, signal);
		return Left('silent');
	}

	/** Whatever a node is asked for its view, by the name of the question. */
	#createClient(asking: number, address: string): unknown {
		return new Proxy({}, {
			get: (_, question: string) => ({
				query: async (known: unknown) => this.#answer(asking, this.#findNode(address)!, question, known),
			}),
		});
	}

	async #answer(asking: number, answering: ViewingNode, question: string, known: unknown): Promise<unknown> {
		await this.#wait(travelTime + this.#findLateness(answering));
		if (answering.isDead || this.#random() < (this.#options.lossShare ?? 0)) {
			return never();
		}

		const answers = answering.answers as unknown as Record<string, (known: unknown) => unknown>;
		const answer = answers[question](known);
		const bytes = Buffer.byteLength(JSON.stringify(answer) ?? '') + headBytes;
		this.answerBytes += bytes;
		const asker = this.nodes[asking];
		const now = this.clock.readMonotonic();
		answering.sentUntil = Math.max(now, answering.sentUntil) + (bytes / linkRate);
		asker.takenUntil = Math.max(now, asker.takenUntil) + (bytes / linkRate);
		await this.#wait(travelTime + Math.max(answering.sentUntil, asker.takenUntil) - now);
		return answer;
	}

	async #wait(delay: number): Promise<void> {
		await new Promise<void>(resolve => {
			this.clock.setTimer(delay, resolve);
		});
	}

	#findLateness(node: ViewingNode): number {
		return this.#options.slowNodes?.get(node.index) ?? 0;
	}

	#findNode(address: string): ViewingNode | undefined {
		return this.nodes[Number(address.slice(1).split(':')[0])];
	}
}

const stepTime = 10;

async function never(): Promise<never> {
	return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
}
