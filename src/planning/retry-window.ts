/**
 * Requests and retries in a sliding window, and whether one more retry stays within the budget. Pure.
 *
 * Times are monotonic milliseconds.
 */
import type {WindowCounts} from './retry-histories.js';

/** Share of a budget that is reserved for retries of above-average value: retries of short requests must not use it up when a large prompt fails. */
const reservedShare = 0.25;

/** Counts without any requests. */
const noCounts: WindowCounts = {requests: 0, retries: 0, value: 0};

/** Retry budget of a service, for the whole fleet. */
export type RetryLimits = {
	/** Retries allowed per request. */
	ratio: number;
	/** Retries allowed independently of requests. */
	slack: number;
	/** Length of the window in milliseconds. */
	window: number;
};

/** The limits that can be changed at run time. */
export type RetryAllowance = Pick<RetryLimits, 'ratio' | 'slack'>;

/** Shares of each limit, from 0 to 1, that the counting node may use. */
export type GrantShare = {ratio: number; slack: number};

/** Retries of one service as counted by one node. */
export class RetryWindow {
	#limits: RetryLimits;
	readonly #requests: Array<{at: number; value: number}> = [];
	readonly #retries: number[] = [];
	#totalValue = 0;

	constructor(limits: RetryLimits) {
		this.#limits = limits;
	}

	/** Changes the limits; the counts and the length of the window are kept. */
	setAllowance({ratio, slack}: RetryAllowance): void {
		this.#limits = {ratio, slack, window: this.#limits.window};
	}

	/** Records a request and the value of its answer, in tokens. */
	addRequest(now: number, value: number): void {
		this.#requests.push({at: now, value});
		this.#totalValue += value;
		this.#prune(now);
	}

	/** Takes one retry of a request of this value; false when the share is used up. `otherCounts` are counts of the same window by other nodes. */
	takeRetry(now: number, share: GrantShare, value: number, otherCounts: WindowCounts = noCounts): boolean {
		this.#prune(now);
		const requests = this.#requests.length + otherCounts.requests;
		const allowed = this.#computeAllowed(share, requests);
		// Without requests to compare with, every request counts as above average.
		const isAboveMean = value * requests >= this.#totalValue + otherCounts.value;
		const available = allowed * (isAboveMean ? 1 : 1 - reservedShare);
		if (this.#retries.length + otherCounts.retries + 1 > available) {
			return false;
		}

		this.#retries.push(now);
		return true;
	}

	/** Retries left for requests of above-average value. */
	countRemaining(now: number, share: GrantShare, otherCounts: WindowCounts = noCounts): number {
		this.#prune(now);
		const allowed = this.#computeAllowed(share, this.#requests.length + otherCounts.requests);
		return Math.max(0, Math.floor(allowed - this.#retries.length - otherCounts.retries));
	}

	/** Counts of the window that ends now. */
	count(now: number): WindowCounts {
		this.#prune(now);
		return {requests: this.#requests.length, retries: this.#retries.length, value: this.#totalValue};
	}

	#computeAllowed(share: GrantShare, requests: number): number {
		return (share.ratio * this.#limits.ratio * requests) + (share.slack * this.#limits.slack);
	}

	#prune(now: number): void {
		const oldest = now - this.#limits.window;
		while (this.#requests.length > 0 && this.#requests[0].at < oldest) {
			this.#totalValue -= this.#requests.shift()!.value;
		}

		while (this.#retries.length > 0 && this.#retries[0] < oldest) {
			this.#retries.shift();
		}
	}
}
