/**
 * The grants of one pool that are out: what they hold, what they were charged, and which entries hold them.
 *
 * Pure but for the clock. The queue decides what is granted; this keeps count of it.
 */
import type {Clock, GrantId, Incarnation} from '../../common/index.js';
import {Ledger, type HeldGrant} from './ledger.js';
import type {Grant} from './messages.js';
import {PrefillEstimator, type ExpectedPrefill} from './prefill-estimator.js';
import type {Charge, RequestQueue} from './request-queue.js';

/** How long a grant may stay unused, in milliseconds. */
export const grantLifetime = 2000;

/** Added to a grant's lifetime before the dispatcher takes it back unasked, in milliseconds. */
export const reclaimMargin = 1000;

/** Silence after which an entry that holds grants counts as dead, in milliseconds. */
export const entryTimeout = 6000;

/** Grants that are out. */
export class GrantTracker {
	readonly ledger = new Ledger();
	/** What servers are expected to read. */
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

	/** Takes over grants that another dispatcher gave. */
	adopt(grants: Grant[]): void {
		const now = this.#clock.readMonotonic();
		for (const grant of grants) {
			this.ledger.hold(grant, now);
			this.#lastHeartbeats.set(grant.entry, now);
		}
	}

	/** Holds a new grant, with what it was charged and is expected to read. */
	hold(grant: Grant, prefill: ExpectedPrefill, charge: Charge): void {
		const now = this.#clock.readMonotonic();
		this.ledger.hold(grant, now);
		this.#prefills.set(grant.grantId, prefill);
		this.#charges.set(grant.grantId, charge);
		this.#lastHeartbeats.set(grant.entry, now);
	}

	/** Frees grants, and corrects what was charged for them to what they took. */
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

	/** Notes that an entry gave a sign of life. */
	recordHeartbeat(entry: Incarnation): void {
		this.#lastHeartbeats.set(entry, this.#clock.readMonotonic());
	}

	/** Frees what an entry does not list. Young grants may still be on their way and stay. */
	reconcile(entry: Incarnation, active: Grant[]): void {
		this.adopt(active);
		const activeIds = new Set(active.map(grant => grant.grantId));
		const oldest = this.#clock.readMonotonic() - grantLifetime - reclaimMargin;
		const stale = this.ledger.listGrants(entry).filter(held => !activeIds.has(held.grant.grantId) && held.since < oldest);
		this.release(stale.map(held => held.grant.grantId));
	}

	/** Lists the grants of entries that have been silent for too long. */
	listOrphans(): Grant[] {
		const limit = this.#clock.readMonotonic() - entryTimeout;
		return this.ledger.listGrants()
			.filter(held => Math.max(held.since, this.#lastHeartbeats.get(held.grant.entry) ?? 0) < limit)
			.map(held => held.grant);
	}

	/** Forgets entries that hold nothing. */
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
