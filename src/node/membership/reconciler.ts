/**
 * Keeps ledgers and engines in step, so that no memory is lost to work nobody waits for.
 *
 * Once a second, for each pool decided here: grants of silent entries are
 * cancelled and taken back; engines' running requests that no grant covers are
 * cancelled after a grace longer than a grant's life.
 */
import type {Canceller, EngineClient} from '../../backends/index.js';
import {
	Child, waitFor, type BackendServerId, type Clock, type Incarnation, type Logger, type PoolId, type RequestId, type ServiceName,
} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {FleetView} from '../config/index.js';
import {
	grantLifetime, grantMargin, type Dispatcher, type Grant,
} from '../dispatch/index.js';
import type {Members} from './members.js';
import type {PoolHost} from './pool-host.js';

/** What the reconciler needs. */
export type ReconcilerParts = {
	host: PoolHost;
	view: FleetView;
	members: Members;
	clients: NodeClients;
	engines: EngineClient;
	canceller: Canceller;
	clock: Clock;
	logger: Logger;
};

const interval = 1000;

/** How long unclaimed work may run before it is cancelled, in milliseconds. */
export const unclaimedGrace = grantLifetime + grantMargin + 1000;

/** Failed looks in a row before an engine is closed to new work. */
const missesAllowed = 1;

/** Reconciles the pools decided on this node. */
export class Reconciler extends Child {
	override readonly name = 'reconciler';
	readonly #parts: ReconcilerParts;
	/** Monotonic time at which unclaimed work was first seen. */
	readonly #unclaimed = new Map<RequestId, number>();
	readonly #missed = new Map<BackendServerId, number>();
	readonly #disagreeing = new Set<string>();

	constructor(parts: ReconcilerParts) {
		super();
		this.#parts = parts;
	}

	/** Notes that an entry and a dispatcher disagree on the grants held. */
	noteDisagreement(pool: PoolId, entry: Incarnation): void {
		this.#disagreeing.add(`${pool} ${entry}`);
	}

	override async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await Promise.all(this.#parts.host.listDispatchers().map(async dispatcher => this.#reconcile(dispatcher)));
			this.#forgetEnded();
			await waitFor(this.#parts.clock, interval, signal);
		}
	}

	async #reconcile(dispatcher: Dispatcher): Promise<void> {
		const service = dispatcher.pool.split('@', 1)[0] as ServiceName;
		const isEngine = this.#parts.view.find('Service', service)?.type === 'engine';
		await this.#settleDisagreements(dispatcher);
		dispatcher.prune();
		for (const grant of dispatcher.listOrphans()) {
			void this.#reclaimOrphan(dispatcher, grant, isEngine);
		}

		if (isEngine) {
			await Promise.all(this.#parts.view.listServers(service).map(async server => this.#checkEngine(dispatcher, server)));
		}
	}

	async #settleDisagreements(dispatcher: Dispatcher): Promise<void> {
		for (const member of this.#parts.members.listAll()) {
			const key = `${dispatcher.pool} ${member.incarnation}`;
			if (!this.#disagreeing.delete(key)) {
				continue;
			}

			const grants = await this.#parts.clients.ask(member.nodeUrl, interval, async (client, signal) => client.listGrants.query({pool: dispatcher.pool}, {signal}));
			if (grants !== undefined) {
				dispatcher.reconcileEntry(member.incarnation, grants);
			}
		}
	}

	async #reclaimOrphan(dispatcher: Dispatcher, grant: Grant, isEngine: boolean): Promise<void> {
		// A plain service keeps no list and takes no cancel: its slot comes back when its entry is known to be silent.
		if (isEngine && !await this.#parts.canceller.cancel(grant.url, grant.requestId)) {
			return;
		}

		dispatcher.reclaim(grant.grantId);
		this.#parts.logger.info({
			event: 'orphan_reclaimed', request: grant.requestId, backendServer: grant.backendServer, tokens: grant.tokens,
		}, 'memory of a silent entry was taken back');
	}

	async #checkEngine(dispatcher: Dispatcher, server: {id: BackendServerId; url: string}): Promise<void> {
		const running = await this.#parts.engines.listRunning(server.url);
		if (running.isLeft()) {
			const missed = (this.#missed.get(server.id) ?? 0) + 1;
			this.#missed.set(server.id, missed);
			this.#parts.host.noteServer(server.id, missed <= missesAllowed);
			return;
		}

		this.#missed.delete(server.id);
		this.#parts.host.noteServer(server.id, true);
		const claimed = new Set(dispatcher.ledger.listGrants().map(held => held.grant.requestId));
		for (const requestId of dispatcher.isProvisional ? [] : running.extract() as RequestId[]) {
			this.#judgeRunning(requestId, claimed.has(requestId), server.url);
		}
	}

	#judgeRunning(requestId: RequestId, isClaimed: boolean, url: string): void {
		if (isClaimed) {
			this.#unclaimed.delete(requestId);
			return;
		}

		const now = this.#parts.clock.readMonotonic();
		const since = this.#unclaimed.get(requestId) ?? now;
		this.#unclaimed.set(requestId, since);
		if (now - since >= unclaimedGrace) {
			this.#unclaimed.delete(requestId);
			this.#parts.logger.info({event: 'unclaimed_cancelled', request: requestId, backendServer: url}, 'work that nobody claims is cancelled');
			void this.#parts.canceller.cancel(url, requestId);
		}
	}

	/** Work not seen for long has ended by itself. */
	#forgetEnded(): void {
		const oldest = this.#parts.clock.readMonotonic() - (4 * unclaimedGrace);
		for (const [requestId, since] of this.#unclaimed) {
			if (since < oldest) {
				this.#unclaimed.delete(requestId);
			}
		}
	}
}
