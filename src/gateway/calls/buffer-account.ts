/**
 * Counts the bytes that a node holds for its calls, and decides who is held back and who is cut off. Pure.
 *
 * Under the budget all calls read ahead of their callers. Over it, those that hold most pause reading; the
 * farther over it, the more of them. Once the reserve above the budget is used too, the slowest callers are cut off. The
 * same rules bound each organisation at half of the budget.
 *
 * Load pattern: callers pause for seconds while they read long streams, and servers cut an answer that stays unread.
 *
 * Times are monotonic milliseconds.
 */
import type {OrganisationId} from '../../common/index.js';

/** Share of the budget and of the reserve that one organisation may hold, so that another one always has room. Calls without an organisation count as one. */
const organisationShare = 0.5;

/** Time for which a caller must have been slow to be cut off, in milliseconds: longer than a round trip, so that a full send buffer alone does not count. */
const minSlowTime = 250;

/** What bytes are held for: only `unread` ones, forwarded but not taken by the caller yet, depend on how fast the caller reads. */
export type BufferKind = 'request' | 'answer' | 'unread';

type Holder<Call> = {
	call: Call;
	organisation: OrganisationId | undefined;
	bytes: Record<BufferKind, number>;
	/** Since when bytes are unread, and how many the caller has taken since. */
	slowSince: number;
	taken: number;
};

/** A part of the calls with its own budget. */
type Pool = BufferBudget & {held: number};

/** Bytes that may be held before anyone is held back, and bytes beyond that before anyone is cut off. */
export type BufferBudget = {budget: number; reserve: number};

/** The account of one node; `Call` identifies a call. */
export class BufferAccount<Call> {
	readonly #holders = new Map<Call, Holder<Call>>();
	readonly #organisations = new Map<OrganisationId | undefined, Pool>();
	readonly #node: Pool;

	constructor(budget: BufferBudget) {
		this.#node = {held: 0, ...budget};
	}

	/** Bytes held by all calls. */
	get held(): number {
		return this.#node.held;
	}

	/** Adds a call that holds nothing yet. */
	open(call: Call, organisation: OrganisationId | undefined): void {
		this.#holders.set(call, {
			call, organisation, bytes: {request: 0, answer: 0, unread: 0}, slowSince: 0, taken: 0,
		});
		if (!this.#organisations.has(organisation)) {
			const {budget, reserve} = this.#node;
			this.#organisations.set(organisation, {held: 0, budget: budget * organisationShare, reserve: reserve * organisationShare});
		}
	}

	/** Removes a call with everything that it holds. */
	close(call: Call): void {
		const holder = this.#holders.get(call);
		if (holder === undefined) {
			return;
		}

		this.#count(holder, -sumBytes(holder));
		this.#holders.delete(call);
		if (this.#organisations.get(holder.organisation)?.held === 0) {
			this.#forgetUnused(holder.organisation);
		}
	}

	/** Bytes that a call holds. */
	readHeld(call: Call): number {
		const holder = this.#holders.get(call);
		return holder === undefined ? 0 : sumBytes(holder);
	}

	/** Adds bytes that a call holds from now on. */
	add(call: Call, kind: BufferKind, bytes: number, now: number): void {
		const holder = this.#holders.get(call);
		if (holder === undefined) {
			return;
		}

		if (kind === 'unread' && holder.bytes.unread === 0) {
			holder.slowSince = now;
			holder.taken = 0;
		}

		holder.bytes[kind] += bytes;
		this.#count(holder, bytes);
	}

	/** Subtracts bytes that a call holds no longer; unread ones have been taken by the caller. */
	subtract(call: Call, kind: BufferKind, bytes: number): void {
		const holder = this.#holders.get(call);
		if (holder === undefined) {
			return;
		}

		const freed = Math.min(bytes, holder.bytes[kind]);
		holder.bytes[kind] -= freed;
		holder.taken += kind === 'unread' ? freed : 0;
		this.#count(holder, -freed);
	}

	/** Whether a call may not read further ahead of its caller now. */
	isHeldBack(call: Call): boolean {
		const holder = this.#holders.get(call);
		if (holder === undefined || holder.bytes.unread === 0) {
			return false;
		}

		return this.#exceedsLevel(holder, this.#node, () => true)
			|| this.#exceedsLevel(holder, this.#readPool(holder), other => other.organisation === holder.organisation);
	}

	/** Lists the calls whose callers are to be cut off now, the slowest first. */
	listCutOff(now: number): Call[] {
		const chosen = new Set<Holder<Call>>();
		for (const [organisation, pool] of this.#organisations) {
			this.#chooseCutOff(pool, now, chosen, holder => holder.organisation === organisation);
		}

		this.#chooseCutOff(this.#node, now, chosen, () => true);
		return [...chosen].map(holder => holder.call);
	}

	/** Over the budget, the bytes from which a call is held back fall from those of the largest holder to none at the end of the reserve. */
	#exceedsLevel(holder: Holder<Call>, pool: Pool, isMember: (other: Holder<Call>) => boolean): boolean {
		const excess = pool.held - pool.budget;
		if (excess <= 0) {
			return false;
		}

		let largest = 0;
		for (const other of this.#holders.values()) {
			largest = isMember(other) ? Math.max(largest, other.bytes.unread) : largest;
		}

		return holder.bytes.unread >= largest * (1 - (excess / pool.reserve));
	}

	#chooseCutOff(pool: Pool, now: number, chosen: Set<Holder<Call>>, isMember: (holder: Holder<Call>) => boolean): void {
		const limit = pool.budget + pool.reserve;
		if (pool.held <= limit) {
			return;
		}

		let {held} = pool;
		for (const holder of chosen) {
			held -= isMember(holder) ? sumBytes(holder) : 0;
		}

		const slow = [...this.#holders.values()]
			.filter(holder => isMember(holder) && !chosen.has(holder) && isSlow(holder, now))
			.sort((left, right) => computeRate(left, now) - computeRate(right, now) || left.slowSince - right.slowSince);
		for (const holder of slow) {
			if (held <= limit) {
				return;
			}

			chosen.add(holder);
			held -= sumBytes(holder);
		}
	}

	#count(holder: Holder<Call>, bytes: number): void {
		this.#node.held += bytes;
		this.#readPool(holder).held += bytes;
	}

	#readPool({organisation}: Holder<Call>): Pool {
		return this.#organisations.get(organisation)!;
	}

	#forgetUnused(organisation: OrganisationId | undefined): void {
		for (const holder of this.#holders.values()) {
			if (holder.organisation === organisation) {
				return;
			}
		}

		this.#organisations.delete(organisation);
	}
}

function sumBytes({bytes}: Holder<unknown>): number {
	return bytes.request + bytes.answer + bytes.unread;
}

function isSlow(holder: Holder<unknown>, now: number): boolean {
	return holder.bytes.unread > 0 && now - holder.slowSince >= minSlowTime;
}

/** Bytes that a slow caller has taken per millisecond. */
function computeRate(holder: Holder<unknown>, now: number): number {
	return holder.taken / (now - holder.slowSince);
}
