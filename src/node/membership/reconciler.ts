/**
 * Reconciles ledgers with engines once a second, so that abandoned work holds no memory: reclaims the grants of entry
 * nodes that are gone, and cancels running requests that no grant covers after a grace period longer than a grant's lifetime.
 *
 * A lost network path between two nodes must not cancel work: an entry node counts as gone only when other nodes cannot
 * reach it either, and unclaimed work is kept while an entry node that may be running is unreachable. Cancelling after
 * six seconds of silence alone truncated an answer of fourteen seconds when only the path was lost.
 */
import type {Canceller, EngineClient} from '../../backends/index.js';
import {
	Child, waitFor, type BackendServerId, type Clock, type Incarnation, type Logger, type PoolId, type RequestId, type ServiceName,
} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {FleetView} from '../config/index.js';
import {
	grantLifetime, reclaimMargin, type Dispatcher, type Grant,
} from '../dispatch/index.js';
import {EntryChecker} from './entry-checker.js';
import type {Members} from './members.js';
import type {PoolHost} from './pool-host.js';
import {IndirectProbe} from './indirect-probe.js';

/** Dependencies of the reconciler. */
export type ReconcilerParts = {
	host: PoolHost;
	view: FleetView;
	members: Members;
	clients: NodeClients;
	engines: EngineClient;
	canceller: Canceller;
	clock: Clock;
	logger: Logger;
	self: Incarnation;
};

const reconcileInterval = 1000;

/** Time for which unclaimed work may run before it is cancelled, in milliseconds. */
export const unclaimedGrace = grantLifetime + reclaimMargin + 1000;

/** Consecutive failed checks tolerated before an engine is closed to new work. */
const maxMissedChecks = 1;

/** A request running on an engine. */
type RunningRequest = {requestId: RequestId; url: string};

/** Reconciles the pools scheduled by this node. */
export class Reconciler extends Child {
	override readonly name = 'reconciler';
	readonly #parts: ReconcilerParts;
	readonly #entryChecker: EntryChecker;
	/** Monotonic time at which unclaimed work was first observed. */
	readonly #unclaimed = new Map<RequestId, number>();
	readonly #missed = new Map<BackendServerId, number>();
	readonly #mismatches = new Set<string>();
	/** Entry nodes that may be running but are unreachable from this node. */
	readonly #unreachableEntries = new Set<Incarnation>();

	constructor(parts: ReconcilerParts) {
		super();
		this.#parts = parts;
		this.#entryChecker = new EntryChecker(parts.members, parts.clients, new IndirectProbe(parts.members, parts.clients, parts.self));
	}

	/** Records that an entry node and a dispatcher differ in the grants held. */
	recordMismatch(pool: PoolId, entry: Incarnation): void {
		this.#mismatches.add(`${pool} ${entry}`);
	}

	override async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await Promise.all(this.#parts.host.listDispatchers().map(async dispatcher => this.#reconcile(dispatcher)));
			this.#pruneUnclaimed();
			await waitFor(this.#parts.clock, reconcileInterval, signal);
		}
	}

	async #reconcile(dispatcher: Dispatcher): Promise<void> {
		const service = dispatcher.pool.split('@', 1)[0] as ServiceName;
		const isEngine = this.#parts.view.find('Service', service)?.type === 'engine';
		await this.#resolveMismatches(dispatcher);
		dispatcher.prune();
		const running = isEngine ? await this.#listRunning(service) : [];
		await this.#resolveOrphans(dispatcher, isEngine, running);
		if (isEngine) {
			await this.#cancelUnclaimed(dispatcher, running);
		}
	}

	async #resolveMismatches(dispatcher: Dispatcher): Promise<void> {
		for (const member of this.#parts.members.listAll()) {
			const key = `${dispatcher.pool} ${member.incarnation}`;
			if (!this.#mismatches.delete(key)) {
				continue;
			}

			const grants = await this.#parts.clients.ask(member.nodeUrl, reconcileInterval, async (client, signal) => client.listGrants.query({pool: dispatcher.pool}, {signal}));
			if (grants !== undefined) {
				dispatcher.reconcileEntry(member.incarnation, grants);
			}
		}
	}

	async #resolveOrphans(dispatcher: Dispatcher, isEngine: boolean, running: RunningRequest[]): Promise<void> {
		const orphans = dispatcher.listOrphans();
		const entries = [...new Set(orphans.map(grant => grant.entry))];
		await Promise.all(entries.map(async entry => {
			const state = await this.#entryChecker.check(entry, dispatcher.pool);
			if (state.kind === 'reachable') {
				this.#unreachableEntries.delete(entry);
				dispatcher.reconcileEntry(entry, state.grants);
				return;
			}

			const grants = orphans.filter(grant => grant.entry === entry);
			if (state.kind === 'unreachable' && isEngine) {
				this.#reclaimFinished(dispatcher, entry, grants, running);
				return;
			}

			this.#unreachableEntries.delete(entry);
			for (const grant of grants) {
				void this.#reclaimOrphan(dispatcher, grant, isEngine);
			}
		}));
	}

	/** Reclaims finished grants of an unreachable entry node: only the engines show whether their work has ended. */
	#reclaimFinished(dispatcher: Dispatcher, entry: Incarnation, grants: Grant[], running: RunningRequest[]): void {
		const ended = grants.filter(grant => this.#isReachable(grant.backendServer) && running.every(work => work.requestId !== grant.requestId));
		for (const {grantId} of ended) {
			dispatcher.reclaim(grantId);
		}

		if (!this.#unreachableEntries.has(entry)) {
			this.#unreachableEntries.add(entry);
			this.#parts.logger.warn({
				event: 'entry_unheard', pool: dispatcher.pool, entry, grants: grants.length, ended: ended.length,
			}, 'an entry node that may be running is unreachable; its work continues');
		}
	}

	async #reclaimOrphan(dispatcher: Dispatcher, grant: Grant, isEngine: boolean): Promise<void> {
		// A plain service can neither list nor cancel requests: its slot is reclaimed once its entry node is gone or unreachable.
		if (isEngine && !await this.#parts.canceller.cancel(grant.url, grant.requestId)) {
			return;
		}

		dispatcher.reclaim(grant.grantId);
		this.#parts.logger.info({
			event: 'orphan_reclaimed', request: grant.requestId, backendServer: grant.backendServer, tokens: grant.tokens,
		}, 'memory of a silent entry node was reclaimed');
	}

	#isReachable(server: BackendServerId): boolean {
		return !this.#missed.has(server);
	}

	/** Lists the requests running on all engines that answer. */
	async #listRunning(service: ServiceName): Promise<RunningRequest[]> {
		const lists = await Promise.all(this.#parts.view.listServers(service).map(async server => this.#checkEngine(server)));
		return lists.flat();
	}

	async #checkEngine(server: {id: BackendServerId; url: string}): Promise<RunningRequest[]> {
		const running = await this.#parts.engines.listRunning(server.url);
		return running.caseOf({
			Left: () => {
				const missed = (this.#missed.get(server.id) ?? 0) + 1;
				this.#missed.set(server.id, missed);
				this.#parts.host.recordServerReachability(server.id, missed <= maxMissedChecks);
				return [];
			},
			Right: requests => {
				this.#missed.delete(server.id);
				this.#parts.host.recordServerReachability(server.id, true);
				return requests.map(requestId => ({requestId, url: server.url}));
			},
		});
	}

	/** Checks every entry node again before cancelling: a new dispatcher may not have reached the one that holds the grant. */
	async #cancelUnclaimed(dispatcher: Dispatcher, running: RunningRequest[]): Promise<void> {
		const claimed = new Set(dispatcher.ledger.listGrants().map(held => held.grant.requestId));
		const due = dispatcher.isProvisional ? [] : running.filter(work => this.#isOverdue(work.requestId, claimed));
		if (due.length === 0) {
			return;
		}

		const states = await this.#entryChecker.checkAll(dispatcher.pool);
		const grants = states.flatMap(state => state.kind === 'reachable' ? state.grants : []);
		const claimedNow = new Set(grants.map(grant => grant.requestId));
		dispatcher.adoptGrants(grants.filter(grant => due.some(({requestId}) => requestId === grant.requestId)));
		if (states.some(state => state.kind === 'unreachable')) {
			return;
		}

		for (const {requestId, url} of due.filter(work => !claimedNow.has(work.requestId))) {
			this.#unclaimed.delete(requestId);
			this.#parts.logger.info({event: 'unclaimed_cancelled', request: requestId, backendServer: url}, 'cancelling work that no grant covers');
			void this.#parts.canceller.cancel(url, requestId);
		}
	}

	#isOverdue(requestId: RequestId, claimed: ReadonlySet<RequestId>): boolean {
		if (claimed.has(requestId)) {
			this.#unclaimed.delete(requestId);
			return false;
		}

		const now = this.#parts.clock.readMonotonic();
		const since = this.#unclaimed.get(requestId) ?? now;
		this.#unclaimed.set(requestId, since);
		return now - since >= unclaimedGrace;
	}

	/** Removes records of unclaimed work that has ended on its own. */
	#pruneUnclaimed(): void {
		const oldest = this.#parts.clock.readMonotonic() - (4 * unclaimedGrace);
		for (const [requestId, since] of this.#unclaimed) {
			if (since < oldest) {
				this.#unclaimed.delete(requestId);
			}
		}
	}
}
