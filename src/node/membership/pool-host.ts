/**
 * Runs the dispatchers of the pools whose terms this node holds.
 *
 * A term is a record in the platform, replaced by a conditional update on takeover. When its holder is no longer ready,
 * the first ready node of the pool's region in rendezvous order takes over.
 */
import {
	Child, createFailure, orderByRendezvous, waitFor, type BoxId, type Clock, type IdSource, type Incarnation, type Logger, type Metrics, type PoolId, type ServiceName,
} from '../../common/index.js';
import type {Platform, PlatformObject} from '../../store/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {ViewEntry, FleetView} from '../config/index.js';
import {
	Dispatcher, type Grant, type PoolDirectory, type ServerState,
} from '../dispatch/index.js';
import type {Member, Members} from './members.js';
import {IndirectProbe} from './indirect-probe.js';
import {ViewDirectory} from './view-directory.js';

/** Dependencies of a pool host. */
export type PoolHostParts = {
	platform: Platform;
	view: FleetView;
	members: Members;
	clients: NodeClients;
	clock: Clock;
	ids: IdSource;
	logger: Logger;
	metrics: Metrics;
	self: {box: BoxId; incarnation: Incarnation; region: string};
	/** Whether this node may currently take over terms. */
	isEligible: () => boolean;
};

const checkInterval = 100;

/** Timeout for nodes to list their grants, in milliseconds. */
const collectTimeout = 500;

/**
 * Time before a term is taken back from the node that took it over, unless other nodes cannot reach that node either, in milliseconds.
 *
 * That node was alive when it wrote the term. Without the delay, two nodes that could not reach each other took over a pool 131 times in 15 s.
 */
const reclaimDelay = 20_000;

/** Result of writing a term. */
type TermWriteResult = 'stored' | 'refused' | 'unreachable';

/** Pause after a failed takeover, in milliseconds. */
const takeoverPause = 500;

/** Runs the dispatchers of this node. */
export class PoolHost extends Child {
	override readonly name = 'pool-host';
	readonly #parts: PoolHostParts;
	readonly #directory: PoolDirectory;
	readonly #dispatchers = new Map<PoolId, Dispatcher>();
	/** Candidates in rendezvous order, computed once per change of the members. */
	#candidates = {version: -1, byPool: new Map<PoolId, Member[]>()};
	readonly #pausedUntil = new Map<PoolId, number>();
	/** For each term taken from this node, the new holder and the monotonic time until which it is not taken back. */
	readonly #newHolders = new Map<PoolId, {holder: Incarnation; until: number}>();
	readonly #indirectProbe: IndirectProbe;
	/** Unreachable backend servers. */
	readonly #unreachable = new Set<string>();

	constructor(parts: PoolHostParts) {
		super();
		this.#parts = parts;
		this.#directory = new ViewDirectory(parts.view, parts.logger);
		this.#indirectProbe = new IndirectProbe(parts.members, parts.clients, parts.self.incarnation);
		parts.view.addListener(kind => {
			if (kind === 'BackendServer') {
				this.#refreshServers();
			}

			if (kind === 'DispatcherTerm') {
				this.#dropLostTerms();
			}
		});
	}

	/** Finds the dispatcher of a pool, if it runs on this node. */
	findDispatcher(pool: PoolId): Dispatcher | undefined {
		return this.#dispatchers.get(pool);
	}

	/** The node that replaces a pool's term holder while the platform is unreachable. */
	findStandIn(pool: PoolId, holder: Incarnation | undefined): Member | undefined {
		return this.#listCandidates(pool).find(member => member.incarnation !== holder);
	}

	/** Lists the dispatchers on this node. */
	listDispatchers(): Dispatcher[] {
		return [...this.#dispatchers.values()];
	}

	/** Lists the holders of terms for which this node is the first or second successor. */
	listWatchedHolders(): Incarnation[] {
		return this.#parts.view.listPools(this.#parts.self.region).flatMap((pool): Incarnation[] => {
			const record = this.#parts.view.find('DispatcherTerm', pool);
			if (record === undefined) {
				return [];
			}

			const holder = record.incarnation as Incarnation;
			const others = this.#listCandidates(pool).filter(member => member.incarnation !== holder);
			const isNext = others.slice(0, 2).some(member => member.incarnation === this.#parts.self.incarnation);
			return isNext ? [holder] : [];
		});
	}

	/** Records whether a backend server is reachable. */
	recordServerReachability(name: string, isReachable: boolean): void {
		if (this.#unreachable.has(name) !== isReachable) {
			return;
		}

		if (isReachable) {
			this.#unreachable.delete(name);
		} else {
			this.#unreachable.add(name);
		}

		this.#parts.logger.info({event: 'backend_server_state', backendServer: name, isReachable}, 'backend server reachability changed');
		this.#refreshServers();
	}

	override async run(signal: AbortSignal): Promise<void> {
		this.#dropLostTerms();
		while (!signal.aborted) {
			if (this.#parts.isEligible()) {
				const pools = this.#parts.view.listPools(this.#parts.self.region);
				await Promise.all(pools.map(async pool => this.#checkPool(pool)));
			}

			await waitFor(this.#parts.clock, checkInterval, signal);
		}
	}

	/** Hands every pool over to its successor, so that granting is not interrupted. */
	async handOver(): Promise<void> {
		await Promise.all(this.listDispatchers().map(async dispatcher => {
			const next = this.#listCandidates(dispatcher.pool).find(member => member.incarnation !== this.#parts.self.incarnation);
			const record = this.#parts.view.find('DispatcherTerm', dispatcher.pool);
			if (next === undefined || record === undefined) {
				return;
			}

			if (await this.#writeTerm(dispatcher.pool, next, record) === 'stored') {
				this.#parts.logger.info({event: 'term_handed_over', pool: dispatcher.pool, to: next.box}, 'pool handed over');
			}
		}));
	}

	#listCandidates(pool: PoolId): Member[] {
		if (this.#candidates.version !== this.#parts.members.version) {
			this.#candidates = {version: this.#parts.members.version, byPool: new Map()};
		}

		const candidates = this.#candidates.byPool.get(pool) ?? this.#orderCandidates(pool);
		this.#candidates.byPool.set(pool, candidates);
		return candidates;
	}

	#orderCandidates(pool: PoolId): Member[] {
		const ready = this.#parts.members.listReady().filter(member => member.region === pool.split('@')[1]);
		return orderByRendezvous(pool, ready, member => member.box);
	}

	async #checkPool(pool: PoolId): Promise<void> {
		const record = this.#parts.view.find('DispatcherTerm', pool);
		if (record?.incarnation === this.#parts.self.incarnation) {
			await this.#startDispatcher(pool, record);
			return;
		}

		const holderIsReady = record !== undefined && this.#parts.members.isReady(record.incarnation as Incarnation);
		if (holderIsReady) {
			this.#endProvisional(pool);
			return;
		}

		const [first] = this.#listCandidates(pool) as [Member | undefined];
		const now = this.#parts.clock.readMonotonic();
		if (first?.incarnation !== this.#parts.self.incarnation || now < (this.#pausedUntil.get(pool) ?? 0)) {
			return;
		}

		if (record !== undefined && await this.#isReclaimDelayed(pool, record.incarnation as Incarnation)) {
			return;
		}

		const written = await this.#writeTerm(pool, first, record);
		if (written === 'stored') {
			return;
		}

		this.#pausedUntil.set(pool, now + takeoverPause);
		if (written === 'unreachable') {
			await this.#startProvisional(pool, record?.term ?? 0);
		}
	}

	/** Whether a pool may not be taken back yet from the node that took it over from this one. */
	async #isReclaimDelayed(pool: PoolId, holder: Incarnation): Promise<boolean> {
		const newHolder = this.#newHolders.get(pool);
		if (newHolder?.holder !== holder || this.#parts.clock.readMonotonic() >= newHolder.until || this.#parts.members.isDropped(holder)) {
			return false;
		}

		const member = this.#parts.members.listAll().find(({incarnation}) => incarnation === holder);
		return member !== undefined && await this.#indirectProbe.probe(member) !== 'unreached';
	}

	/** Writes a term for a holder and determines whether it is stored. */
	async #writeTerm(pool: PoolId, holder: Member, record: ViewEntry<'DispatcherTerm'> | undefined): Promise<TermWriteResult> {
		const spec = {holder: holder.box, incarnation: holder.incarnation, term: (record?.term ?? 0) + 1};
		const written = await this.#parts.platform.writeObject({kind: 'DispatcherTerm', metadata: {name: pool}, spec}, record?.version ?? 0);
		if (written.isRight()) {
			this.#parts.view.applyStored(written.extract());
			return 'stored';
		}

		// The write may have succeeded although its response was lost, so the stored record is read.
		const read = await this.#parts.platform.readObject('DispatcherTerm', pool);
		if (read.isLeft()) {
			return 'unreachable';
		}

		const stored = read.extract() as PlatformObject | undefined;
		if (stored?.kind !== 'DispatcherTerm') {
			return 'refused';
		}

		this.#parts.view.applyStored(stored);
		return stored.spec.incarnation === holder.incarnation ? 'stored' : 'refused';
	}

	async #startDispatcher(pool: PoolId, record: ViewEntry<'DispatcherTerm'>): Promise<void> {
		const present = this.#dispatchers.get(pool);
		if (present?.term === record.term && !present.isProvisional) {
			return;
		}

		present?.close(createFailure('no_dispatcher', `a new term of ${pool} has started`));
		await this.#runDispatcher(pool, record.term, false);
	}

	/**
	 * Schedules a pool without a term while the platform is unreachable and the holder is gone. Work that no
	 * grant covers is not cancelled, since the holder may still be running where this node cannot reach it.
	 */
	async #startProvisional(pool: PoolId, term: number): Promise<void> {
		if (!this.#dispatchers.has(pool)) {
			await this.#runDispatcher(pool, term, true);
		}
	}

	async #runDispatcher(pool: PoolId, term: number, isProvisional: boolean): Promise<void> {
		const dispatcher = new Dispatcher({
			pool,
			term,
			isProvisional,
			clock: this.#parts.clock,
			ids: this.#parts.ids,
			logger: this.#parts.logger,
			metrics: this.#parts.metrics,
			directory: this.#directory,
		});
		this.#dispatchers.set(pool, dispatcher);
		dispatcher.setServers(this.#listServers(pool));
		const grants = await this.#collectGrants(pool);
		dispatcher.adoptGrants(grants);
		dispatcher.open();
		this.#parts.logger.info({
			event: 'term_started', pool, term, isProvisional, adopted: grants.length,
		}, 'this node schedules a pool');
	}

	/** Collects the grants of all registered nodes. Work of nodes that do not answer in time is found through the engines later. */
	async #collectGrants(pool: PoolId): Promise<Grant[]> {
		const answers = await Promise.all(this.#parts.members.listAll().map(async member =>
			this.#parts.clients.ask(member.nodeUrl, collectTimeout, async (client, signal) => client.listGrants.query({pool}, {signal}))));
		return answers.flatMap(answer => answer ?? []);
	}

	#listServers(pool: PoolId): ServerState[] {
		const service = pool.split('@', 1)[0] as ServiceName;
		return this.#parts.view.listServers(service).map(server => ({
			id: server.id,
			url: server.url,
			availabilityZone: server.availabilityZone,
			capacity: server.capacity,
			prefillRate: server.prefillRate,
			tokenInterval: server.tokenInterval,
			open: server.state === 'live' && !this.#unreachable.has(server.id),
		}));
	}

	#refreshServers(): void {
		for (const [pool, dispatcher] of this.#dispatchers) {
			dispatcher.setServers(this.#listServers(pool));
		}
	}

	#dropLostTerms(): void {
		for (const [pool, dispatcher] of this.#dispatchers) {
			const record = this.#parts.view.find('DispatcherTerm', pool);
			if (record !== undefined && record.term > dispatcher.term && record.incarnation !== this.#parts.self.incarnation) {
				this.#newHolders.set(pool, {holder: record.incarnation as Incarnation, until: this.#parts.clock.readMonotonic() + reclaimDelay});
				this.#endDispatcher(dispatcher);
			}
		}
	}

	/** Ends a dispatcher without a term once the term holder is ready again. */
	#endProvisional(pool: PoolId): void {
		const dispatcher = this.#dispatchers.get(pool);
		if (dispatcher?.isProvisional) {
			this.#endDispatcher(dispatcher);
		}
	}

	#endDispatcher(dispatcher: Dispatcher): void {
		this.#dispatchers.delete(dispatcher.pool);
		dispatcher.close(createFailure('no_dispatcher', `term ${dispatcher.term} of ${dispatcher.pool} has ended`));
		this.#parts.logger.info({event: 'term_ended', pool: dispatcher.pool, term: dispatcher.term}, 'another node schedules a pool');
	}
}
