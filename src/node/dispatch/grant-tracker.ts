/**
 * Tracks the outstanding grants of one pool: their memory, their charges and the entry nodes that hold them.
 *
 * Does no I/O. The queue decides which request is granted next.
 */
import type {Clock, GrantId, Incarnation} from '../../common/index.js';
import {Ledger, type HeldGrant} from './ledger.js';
import type {Grant} from './messages.js';
import {PrefillEstimator, type ExpectedPrefill} from './prefill-estimator.js';
import type {Charge, RequestQueue} from './request-queue.js';

/** How long a grant stays valid unused, in milliseconds. */
export const grantLifetime = 2000;

/** Added to a grant's lifetime before the dispatcher reclaims it on its own, in milliseconds. */
export const reclaimMargin = 1000;

/** Time without heartbeats after which the grants of an entry node count as orphaned, in milliseconds. */
export const entryTimeout = 6000;

/** Tracks outstanding grants. */
export class GrantTracker {
	readonly ledger = new Ledger();
	/** Expected prefill times of the pool's servers. */
	readonly prefillEstimator = new PrefillEstimator();
	readonly #clock: Clock;
	readonly #queue: RequestQueue;
	readonly #lastHeartbeats = new Map<Incarnation, number>();
	readonly #charges = new Map<GrantId, Charge>();
	readonly #prefills = new Map<GrantId, ExpectedPrefill>();

	constructor(clock: Clock, queue: RequestQueue) {
		this.#clock = clock;
		this.#queue = queue;
	}

	/** Adds grants issued by an earlier dispatcher of the pool. */
	adopt(grants: Grant[]): void {
		const now = this.#clock.readMonotonic();
		for (const grant of grants) {
			this.ledger.hold(grant, now);
			this.#lastHeartbeats.set(grant.entry, now);
		}
	}

	/** Adds a new grant with its expected prefill and its charge. */
	hold(grant: Grant, prefill: ExpectedPrefill, charge: Charge): void {
		const now = this.#clock.readMonotonic();
		this.ledger.hold(grant, now);
		this.#prefills.set(grant.grantId, prefill);
		this.#charges.set(grant.grantId, charge);
		this.#lastHeartbeats.set(grant.entry, now);
	}

	/** Releases grants and corrects their charges to the actual cost. */
	release(grantIds: GrantId[]): void {
		const now = this.#clock.readMonotonic();
		for (const grantId of grantIds) {
			const held = this.ledger.release(grantId);
			if (held !== undefined) {
				this.#correctCharge(held, now);
				this.#recordPrefillDone(grantId, now);
			}
		}
	}

	/** Records the heartbeat of an entry node. */
	recordHeartbeat(entry: Incarnation): void {
		this.#lastHeartbeats.set(entry, this.#clock.readMonotonic());
	}

	/** Releases grants that an entry node does not list. Recent grants may still be in transit and are kept. */
	reconcile(entry: Incarnation, active: Grant[]): void {
		this.adopt(active);
		const activeIds = new Set(active.map(grant => grant.grantId));
		const oldest = this.#clock.readMonotonic() - grantLifetime - reclaimMargin;
		const stale = this.ledger.listGrants(entry).filter(held => !activeIds.has(held.grant.grantId) && held.since < oldest);
		this.release(stale.map(held => held.grant.grantId));
	}

	/** Lists the grants of entry nodes whose heartbeats have timed out. */
	listOrphans(): Grant[] {
		const limit = this.#clock.readMonotonic() - entryTimeout;
		return this.ledger.listGrants()
			.filter(held => Math.max(held.since, this.#lastHeartbeats.get(held.grant.entry) ?? 0) < limit)
			.map(held => held.grant);
	}

	/** Removes entry nodes that hold no grants. */
	prune(): void {
		const holders = new Set(this.ledger.listGrants().map(held => held.grant.entry));
		for (const entry of this.#lastHeartbeats.keys()) {
			if (!holders.has(entry)) {
				this.#lastHeartbeats.delete(entry);
			}
		}
	}

	#recordPrefillDone(grantId: GrantId, now: number): void {
		const prefill = this.#prefills.get(grantId);
		if (prefill !== undefined) {
			this.#prefills.delete(grantId);
			this.prefillEstimator.recordDone(prefill, now);
		}
	}

	#correctCharge(held: HeldGrant, now: number): void {
		const charge = this.#charges.get(held.grant.grantId);
		if (charge !== undefined) {
			this.#charges.delete(held.grant.grantId);
			this.#queue.correct(charge, computeCost(held.grant.tokens, now - held.since));
		}
	}
}

/** Cost of holding memory, in token-seconds. */
export function computeCost(tokens: number, milliseconds: number): number {
	return tokens * milliseconds / 1000;
}
