/**
 * Request limits of cold backend servers, and how much of each may still be granted. Pure.
 *
 * A cold server crashes when it receives far more requests per second than its cold rate, from all nodes together. Its limit expires by itself:
 * at the end of the cold time the rate rises over a second, because the requests that waited would otherwise all arrive at once.
 *
 * Load pattern: a third of the servers returns at once and cold while the others are full.
 *
 * Times are monotonic milliseconds, rates are requests per second.
 */
import type {BackendServerId} from '../common/index.js';

/** Time over which the rate rises at the end of the cold time, in milliseconds, and its multiple at the end. */
const rise = {duration: 1000, factor: 4};

/** Part of the allowed slack that one node may grant at once, and its bounds in requests: the rest is for other nodes that decide at the same time. */
const burst = {slackShare: 0.4, min: 1, max: 2};

/** Share of the fleet below which a node accumulates one token only. */
const fullShare = 0.5;

/** Length of the window in which requests to a server are counted, in milliseconds. */
const windowLength = 1000;

/** Requests that were sent in the second before a server was known to be cold and that need not be made up for, as a share of the slack. */
const uncountedShare = 0.5;

/** Minimum rate that is granted, and minimum share of a rate by which rejected callers are spread: a node that may grant nothing now sends them back to the whole fleet. */
const minRate = 0.1;
const minSpreadShare = 0.3;

/** What the platform allows beyond the cold rate in any one second: requests up to the rate times `overage`, plus `slack`. */
export type ColdAllowance = {overage: number; slack: number};

/** Share of a cold server's rate, from 0 to 1, that this node grants. */
export type ColdShare = (server: BackendServerId) => number;

/** Shares of the servers' declared limits and of the limits of cold servers that a node grants, from 0 to 1. */
export type GrantedShares = {declared: number; cold: ColdShare};

type Bucket = {rate: number; until: number; tokens: number; filledAt: number};

/** Limits of the cold servers of one service. */
export class ColdLimits {
	/** Set if servers may become cold, so that requests to warm ones are counted. */
	#allowance: ColdAllowance | undefined;
	readonly #buckets = new Map<BackendServerId, Bucket>();
	/** When requests were sent to each server in the last second. */
	readonly #sentAt = new Map<BackendServerId, number[]>();

	/** Sets what is allowed beyond the rates; without it nothing is limited. */
	enable(allowance: ColdAllowance): void {
		this.#allowance = allowance;
	}

	/** Sets the time for which a server is still cold, and its cold rate; 0 starts the rise to its full rate. */
	update(server: BackendServerId, coldFor: number, rate: number, now: number): void {
		const known = this.#buckets.get(server);
		if (known !== undefined) {
			known.rate = this.#capRate(rate);
			known.until = now + coldFor;
		} else if (coldFor > 0 && this.#allowance !== undefined) {
			this.#buckets.set(server, {
				rate: this.#capRate(rate), until: now + coldFor, tokens: this.#computeFirstTokens(server, rate, now), filledAt: now,
			});
		}
	}

	/** Removes the limits of servers that do not exist any more. */
	retain(isKnown: (server: BackendServerId) => boolean): void {
		for (const server of [...this.#buckets.keys(), ...this.#sentAt.keys()]) {
			if (!isKnown(server)) {
				this.#buckets.delete(server);
				this.#sentAt.delete(server);
			}
		}
	}

	/** Whether any server is limited, cold or in the rise after it. */
	hasLimits(now: number): boolean {
		for (const [server, {until}] of this.#buckets) {
			if (now >= until + rise.duration) {
				this.#buckets.delete(server);
			}
		}

		return this.#buckets.size > 0;
	}

	/** Whether a server is limited, cold or in the rise after it. */
	isLimited(server: BackendServerId, now: number): boolean {
		return this.#find(server, now) !== undefined;
	}

	/** Time for which a server is still cold; 0 for a warm one. */
	computeColdLeft(server: BackendServerId, now: number): number {
		return Math.max(0, (this.#buckets.get(server)?.until ?? 0) - now);
	}

	/** Tokens left for a server; infinite for a warm one. */
	countTokens(server: BackendServerId, share: number, now: number): number {
		const bucket = this.#find(server, now);
		if (bucket === undefined) {
			return Infinity;
		}

		this.#refill(bucket, share, now);
		return share > 0 ? bucket.tokens : 0;
	}

	/** Time until a server may be sent one more request: until there is a token, or until it is warm. */
	computeDelay(server: BackendServerId, share: number, now: number): number {
		const missing = 1 - this.countTokens(server, share, now);
		if (missing <= 0) {
			return 0;
		}

		const untilWarm = this.computeColdLeft(server, now) + rise.duration;
		return share > 0 ? Math.min(missing / this.findGrantedRate(server, share, now) * 1000, untilWarm) : untilWarm;
	}

	/** The rate granted for a server; infinite for a warm one. */
	findGrantedRate(server: BackendServerId, share: number, now: number): number {
		const bucket = this.#find(server, now);
		return bucket === undefined ? Infinity : Math.max(minRate, computeRate(bucket, now) * (share > 0 ? share : minSpreadShare));
	}

	/** Counts a request that is sent to a server. */
	take(server: BackendServerId, now: number): void {
		if (this.#allowance === undefined) {
			return;
		}

		const bucket = this.#find(server, now);
		if (bucket === undefined) {
			this.#sentAt.set(server, [...this.#listSent(server, now), now]);
		} else {
			bucket.tokens--;
		}
	}

	#find(server: BackendServerId, now: number): Bucket | undefined {
		const bucket = this.#buckets.get(server);
		return bucket === undefined || now >= bucket.until + rise.duration ? undefined : bucket;
	}

	get #slack(): number {
		return this.#allowance?.slack ?? 0;
	}

	/** Tokens that one node may accumulate. */
	get #maxTokens(): number {
		return Math.min(burst.max, Math.max(burst.min, this.#slack * burst.slackShare));
	}

	/** Rate of the grants: its burst comes on top of it, and little may be allowed beyond the cold rate. */
	#capRate(rate: number): number {
		const {overage = 1, slack = 0} = this.#allowance ?? {};
		return Math.max(minRate, Math.min(rate, (rate * overage) + slack - this.#maxTokens));
	}

	#listSent(server: BackendServerId, now: number): number[] {
		return (this.#sentAt.get(server) ?? []).filter(at => now - at < windowLength);
	}

	/** Requests that the server got before it was known to be cold count for the same second. */
	#computeFirstTokens(server: BackendServerId, rate: number, now: number): number {
		const uncounted = Math.floor(this.#slack * uncountedShare);
		const sent = this.#listSent(server, now).length;
		this.#sentAt.delete(server);
		return -Math.min(rate, Math.max(0, sent - uncounted));
	}

	#refill(bucket: Bucket, share: number, now: number): void {
		const max = share < fullShare ? burst.min : this.#maxTokens;
		// The rate at the start of the interval: it only rises.
		const earned = Math.max(0, now - bucket.filledAt) * computeRate(bucket, bucket.filledAt) * share / 1000;
		bucket.tokens = Math.min(max, bucket.tokens + earned);
		bucket.filledAt = now;
	}
}

function computeRate({rate, until}: Bucket, now: number): number {
	const risen = Math.min(1, Math.max(0, now - until) / rise.duration);
	return rate * (1 + ((rise.factor - 1) * risen));
}
