/**
 * Requests and retries of a sliding window, and whether one more retry stays within bounds. Pure.
 *
 * Times are monotonic milliseconds.
 */
import type {WindowCounts} from './retry-histories.js';

/** Part of a budget that is kept for retries that bring more than the mean request: a lost giant must not find it spent on short ones. */
const keptForMore = 0.25;

/** Counts of nobody. */
const nothing: WindowCounts = {requests: 0, retries: 0, value: 0};

/** Bounds of retries for a service, over the whole fleet. */
export type RetryLimits = {
	/** Retries allowed for each request. */
	ratio: number;
	/** Retries allowed besides. */
	slack: number;
	/** Length of the window in milliseconds. */
	window: number;
};

/** What may change of the bounds while they are counted. */
export type RetryAllowance = Pick<RetryLimits, 'ratio' | 'slack'>;

/** What part of the bounds may be spent by whoever counts: shares of each, from 0 to 1. */
export type GrantShare = {ratio: number; slack: number};

/** Retries of one service as one node counts them. */
export class RetryWindow {
	#limits: RetryLimits;
	readonly #requests: Array<{at: number; worth: number}> = [];
	readonly #retries: number[] = [];
	#worth = 0;

	constructor(limits: RetryLimits) {
		this.#limits = limits;
	}

	/** Changes how much is allowed; what was counted stays, and the window's length with it. */
	setAllowance({ratio, slack}: RetryAllowance): void {
		this.#limits = {ratio, slack, window: this.#limits.window};
	}

	/** Notes a request and what its answer is worth, in tokens. */
	addRequest(now: number, worth: number): void {
		this.#requests.push({at: now, worth});
		this.#worth += worth;
		this.#forget(now);
	}

	/** Takes one retry of a request that is worth so much; false when the share is spent. `elsewhere`: what others have counted of the same window. */
	takeRetry(now: number, share: GrantShare, worth: number, elsewhere: WindowCounts = nothing): boolean {
		this.#forget(now);
		const requests = this.#requests.length + elsewhere.requests;
		const allowed = this.#computeAllowed(share, requests);
		// Without requests to compare with, every one counts as bringing more.
		const bringsMore = worth * requests >= this.#worth + elsewhere.value;
		const open = allowed * (bringsMore ? 1 : 1 - keptForMore);
		if (this.#retries.length + elsewhere.retries + 1 > open) {
			return false;
		}

		this.#retries.push(now);
		return true;
	}

	/** Retries that are left for requests that bring more than the mean. */
	countRemaining(now: number, share: GrantShare, elsewhere: WindowCounts = nothing): number {
		this.#forget(now);
		const allowed = this.#computeAllowed(share, this.#requests.length + elsewhere.requests);
		return Math.max(0, Math.floor(allowed - this.#retries.length - elsewhere.retries));
	}

	/** What was counted of the window that ends now. */
	count(now: number): WindowCounts {
		this.#forget(now);
		return {requests: this.#requests.length, retries: this.#retries.length, value: this.#worth};
	}

	#computeAllowed(share: GrantShare, requests: number): number {
		return (share.ratio * this.#limits.ratio * requests) + (share.slack * this.#limits.slack);
	}

	#forget(now: number): void {
		const oldest = now - this.#limits.window;
		while (this.#requests.length > 0 && this.#requests[0].at < oldest) {
			this.#worth -= this.#requests.shift()!.worth;
		}

		while (this.#retries.length > 0 && this.#retries[0] < oldest) {
			this.#retries.shift();
		}
	}
}
