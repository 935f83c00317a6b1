/**
 * Simulated nodes that follow one store, on a virtual clock; the store may be slow, or not answer some nodes or one kind of item.
 *
 * Calls of a node share kept connections. An unresponsive connection never recovers; a call may ask for a new one.
 */
import {Left, Right, type Either} from 'purify-ts';
import seedrandom from 'seedrandom';
import {createSilentLogger, waitFor, type Clock} from '../../src/common/index.js';
import {
	Follower, followTiming, ItemSource, type BackendServer, type Changes, type FollowCall, type FollowedKind, type Listing, type RoutingConfig, type SourceCall, type SourceFailure,
} from '../../src/routing/index.js';
import {
	createModelServer, createRoutedConfig, createRoutes, ViewFleet, type ViewFleetNode, type ViewFleetOptions,
} from './viewing-fleet.js';

/** Answer time of a healthy store, in milliseconds. */
const healthyAnswerTime = 4;

/** An object in the store. */
type StoredItem = {kind: FollowedKind; revision: number; item: RoutingConfig | BackendServer};

/** Interval between checks whether a deferred answer may be delivered, in milliseconds. */
const heldPollInterval = 10;

/** Nodes that get no answers, for one kind of item or for all. */
export type StoreOutage = {
	nodes: ReadonlySet<number>;
	kind?: FollowedKind;
	/** Whether connections opened during the outage work. */
	isNewAnswered?: boolean;
	/** Whether calls over connections opened before the outage are answered at its end rather than never. */
	isDeferring?: boolean;
};

/** A simulated store with outages for individual nodes. */
export class SimulatedStore {
	/** Time that each answer takes, in milliseconds. */
	answerTime = healthyAnswerTime;
	/** Number of calls from all nodes. */
	calls = 0;
	/** Outages in progress. */
	readonly outages: StoreOutage[] = [];
	readonly #clock: Clock;
	readonly #items: StoredItem[] = [];
	readonly #wakers = new Set<() => void>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** The revision of the last change. */
	get revision(): number {
		return this.#items.length;
	}

	/** Stores a configuration. */
	putConfig(item: RoutingConfig): void {
		this.#put({kind: 'configuration', revision: this.revision + 1, item});
	}

	/** Stores the entry of a server. */
	putServer(item: BackendServer): void {
		this.#put({kind: 'servers', revision: this.revision + 1, item: {...item, entryRevision: this.revision + 1}});
	}

	/** Latest version of each object of a kind that has changed since a revision. */
	read(kind: FollowedKind, since = 0): StoredItem[] {
		const newest = new Map(this.#items.filter(item => item.kind === kind && item.revision > since).map(item => [kind === 'servers' ? (item.item as BackendServer).name : kind, item]));
		return [...newest.values()];
	}

	/** Whether a node's calls for a kind are never answered; `isNew` for a connection opened during the outage. */
	isUnanswered(node: number, kind: FollowedKind, isNew: boolean): boolean {
		return this.outages.some(outage => outage.nodes.has(node) && outage.isDeferring !== true && (outage.kind ?? kind) === kind && !(isNew && outage.isNewAnswered === true));
	}

	/** Whether answers to a node are deferred at the moment. */
	isDeferred(node: number): boolean {
		return this.outages.some(outage => outage.nodes.has(node) && outage.isDeferring === true);
	}

	/** Waits until an object of a kind changes, up to `wait` milliseconds. */
	async waitForChange(kind: FollowedKind, since: number, wait: number, signal: AbortSignal): Promise<void> {
		const until = this.#clock.readMonotonic() + wait;
		while (!signal.aborted && this.read(kind, since).length === 0 && this.#clock.readMonotonic() < until) {
			const woken = new AbortController();
			const wake = () => {
				woken.abort();
			};

			this.#wakers.add(wake);
			signal.addEventListener('abort', wake);
			await waitFor(this.#clock, until - this.#clock.readMonotonic(), woken.signal);
			signal.removeEventListener('abort', wake);
			this.#wakers.delete(wake);
		}
	}

	#put(item: StoredItem): void {
		this.#items.push(item);
		for (const wake of this.#wakers) {
			wake();
		}
	}
}

/** Access of one node to one kind of item in the store. */
class SimulatedSource<Item> extends ItemSource<Item> {
	readonly #store: SimulatedStore;
	readonly #node: number;
	readonly #kind: FollowedKind;
	readonly #clock: Clock;
	/** Number of the newest connection, and of the newest that is unresponsive. */
	#lastOpened = 1;
	#lastStalled = 0;
	/** The newest connection at the start of an outage that defers answers, and the connections opened during it. */
	#lastDeferred = 0;
	readonly #stalledConnections = new Set<number>();

	constructor(store: SimulatedStore, node: number, kind: FollowedKind, clock: Clock) {
		super();
		this.#store = store;
		this.#node = node;
		this.#kind = kind;
		this.#clock = clock;
	}

	/** Makes all open connections unresponsive for good. */
	stallConnections(): void {
		this.#lastStalled = this.#lastOpened;
	}

	/** Marks all open connections as deferred: their answers come after the outage. */
	deferConnections(): void {
		this.#lastDeferred = this.#lastOpened;
	}

	override async list(call: SourceCall): Promise<Either<SourceFailure, Listing<Item>>> {
		return this.#call(call, async () => this.#read());
	}

	override async follow({revision, wait}: FollowCall, call: SourceCall): Promise<Either<SourceFailure, Changes<Item>>> {
		return this.#call(call, async ended => {
			await this.#store.waitForChange(this.#kind, revision, wait, ended);
			const changed = this.#store.read(this.#kind, revision);
			return {
				changes: changed.map(({item, revision: changedAt}) => ({name: (item as BackendServer).name ?? 'main', item: item as Item, revision: changedAt})),
				revision: this.#store.revision,
			};
		});
	}

	#read(): Listing<Item> {
		return {items: this.#store.read(this.#kind).map(({item}) => item as Item), revision: this.#store.revision};
	}

	async #call<Answer>({signal, isOnNewConnection}: SourceCall, read: (ended: AbortSignal) => Promise<Answer>): Promise<Either<SourceFailure, Answer>> {
		this.#store.calls++;
		if (isOnNewConnection) {
			this.#lastOpened++;
		}

		const answer = await this.#answer(this.#lastOpened, signal, read);
		return answer === undefined ? Left({kind: 'unreachable', message: 'no answer in time'}) : Right(answer);
	}

	async #answer<Answer>(connection: number, signal: AbortSignal, read: (ended: AbortSignal) => Promise<Answer>): Promise<Answer | undefined> {
		this.#markStalled(connection);
		const answer = await read(signal);
		await waitFor(this.#clock, this.#store.answerTime, signal);
		this.#markStalled(connection);
		while (!signal.aborted && (connection <= this.#lastStalled || this.#stalledConnections.has(connection) || this.#store.isDeferred(this.#node))) {
			await waitFor(this.#clock, heldPollInterval, signal);
		}

		return signal.aborted ? undefined : answer;
	}

	/** Marks a connection used during an outage as unresponsive; if the outage defers answers, only one opened during it. */
	#markStalled(connection: number): void {
		if (this.#store.isUnanswered(this.#node, this.#kind, true)) {
			this.#lastStalled = Math.max(this.#lastStalled, connection);
		} else if (this.#store.isDeferred(this.#node) && connection > this.#lastDeferred) {
			this.#stalledConnections.add(connection);
		}
	}
}

/** A node with its access to the store. */
type FollowingNode = {node: ViewFleetNode; sources: Array<SimulatedSource<unknown>>};

/** A simulated fleet whose nodes choose the watchers of the store among themselves. */
export class StoreFleet extends ViewFleet {
	readonly store: SimulatedStore;
	readonly #followingNodes: FollowingNode[] = [];
	readonly #stopController = new AbortController();
	#version = 1;

	constructor(options: ViewFleetOptions & {seed?: string}) {
		super(options);
		this.store = new SimulatedStore(this.clock);
		for (const node of this.nodes) {
			this.#follow(node, seedrandom(`${options.seed ?? 'store'} ${node.index}`));
		}
	}

	/** Indexes of the nodes that watch the store. */
	get followers(): number[] {
		return this.nodes.filter(node => node.exchange.isWatcher).map(node => node.index);
	}

	/** Fills the store and gives the nodes `time` milliseconds to discover each other and choose the watchers. */
	async start(time = 6000): Promise<this> {
		this.store.putConfig(this.#createConfig());
		for (let index = 0; index < 5; index++) {
			this.store.putServer(createModelServer(index));
		}

		await this.pass(time);
		return this;
	}

	/** Stores a configuration with one more route; returns its version. */
	changeConfig(): number {
		this.#version++;
		this.store.putConfig(this.#createConfig());
		return this.#version;
	}

	/** Time until the newest configuration is in force at every node, in milliseconds. */
	async measureChange(limit: number): Promise<number> {
		const version = this.#version;
		return this.measure(state => state.configVersion >= version, limit);
	}

	/** Starts an outage for these nodes and returns the function that ends it; connections that it broke stay unresponsive. */
	startOutage(nodes: Iterable<number>, options: Omit<StoreOutage, 'nodes'> = {}): () => void {
		const outage = {nodes: new Set(nodes), ...options};
		this.store.outages.push(outage);
		for (const {node, sources} of this.#followingNodes) {
			for (const [index, source] of sources.entries()) {
				if (options.isDeferring === true) {
					source.deferConnections();
				} else if (this.store.isUnanswered(node.index, index === 0 ? 'configuration' : 'servers', false)) {
					source.stallConnections();
				}
			}
		}

		return () => {
			this.store.outages.splice(this.store.outages.indexOf(outage), 1);
		};
	}

	/** Stops all followers. */
	async stop(): Promise<void> {
		this.#stopController.abort();
		await this.pass(50);
	}

	protected override sendHeartbeat(node: ViewFleetNode, hasChanges: boolean): void {
		super.sendHeartbeat(node, hasChanges);
		node.exchange.chooseWatchers(node.peers);
	}

	#createConfig() {
		return createRoutedConfig(this.#version, createRoutes(this.#version));
	}

	#follow(node: ViewFleetNode, random: () => number): void {
		const {clock} = this;
		const {state, exchange, health} = node;
		const logger = createSilentLogger();
		const configurations = new SimulatedSource<RoutingConfig>(this.store, node.index, 'configuration', clock);
		const servers = new SimulatedSource<BackendServer>(this.store, node.index, 'servers', clock);
		const common = {
			timing: followTiming, health, isAssigned: () => exchange.mayQuerySource, state,
		};
		const followers = [
			new Follower<RoutingConfig>({
				...common,
				name: 'configuration',
				source: configurations,
				onList({items}) {
					for (const item of items) {
						state.applyConfig(item, 'source');
					}
				},
				onChanges({changes}) {
					for (const {item} of changes) {
						if (item !== undefined) {
							state.applyConfig(item, 'source');
						}
					}
				},
			}, {clock, logger, random}),
			new Follower<BackendServer>({
				...common,
				name: 'servers',
				source: servers,
				onList(listing) {
					state.applyServerList(listing, 'source');
				},
				onChanges({changes, revision}) {
					state.applyServerChanges(changes, revision, 'source');
				},
			}, {clock, logger, random}),
		];
		for (const follower of followers) {
			void follower.run(this.#stopController.signal);
		}

		this.#followingNodes.push({node, sources: [configurations as SimulatedSource<unknown>, servers as SimulatedSource<unknown>]});
	}
}
