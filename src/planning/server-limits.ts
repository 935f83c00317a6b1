/**
 * Request limits that backend servers name, and how much of each may still be granted. Pure.
 *
 * A limit counts for all nodes together. The deciding node grants requests from one token bucket for each server; a node
 * that decides for a part of the fleet grants that part of the rate, so that the grants of all parts add up to the limit.
 *
 * Load pattern: a server asks for one request a second, and six nodes send it three.
 *
 * Times are monotonic milliseconds, rates are requests a second.
 */
import type {BackendServerId} from '../common/index.js';

/** Least rate that is granted: only an answer tells that a limit has been lifted. */
const leastRate = 0.1;

/** Tokens that a bucket holds: of two seconds up to a number, or of a quarter of a second where that is more; one at least. */
const burst = {seconds: 2, tokens: 2, shortSeconds: 0.25};

/** Part of the fleet below which a node keeps little credit: other nodes grant most requests. */
const smallShare = 0.5;
const smallShareTokens = 1;
const smallShareCredit = 2000;

/** Time since the last answer that named the limit before an answer without one lifts it: answers of different connections overtake each other. */
const liftDelay = 500;

/** How long a limit is remembered without an answer of its server, and how long a lifted one is reported. */
const limitMemory = 600_000;
const liftMemory = 10_000;

/** A limit as nodes report it; without a rate it was lifted. `age` in milliseconds. */
export type ReportedLimit = {server: BackendServerId; requestsPerSecond?: number; age: number};

type Bucket = {rate: number | undefined; namedAt: number; tokens: number; filledAt: number};

/** Limits of the servers of one service. */
export class ServerLimits {
	readonly #buckets = new Map<BackendServerId, Bucket>();

	/** Takes a report; returns whether it changed the limit. Older reports than the known one are ignored. */
	update({server, requestsPerSecond, age}: ReportedLimit, now: number): boolean {
		const known = this.#buckets.get(server);
		const namedAt = now - age;
		this.#prune(now);
		const isStale = known !== undefined && namedAt < known.namedAt;
		if (isStale || (requestsPerSecond === undefined && !canLift(known, namedAt))) {
			return false;
		}

		this.#buckets.set(server, {
			rate: requestsPerSecond, namedAt, tokens: known?.tokens ?? 0, filledAt: known?.rate === undefined ? now : known.filledAt,
		});
		return known?.rate !== requestsPerSecond;
	}

	/** The limit of a server; undefined when it has none. */
	findRate(server: BackendServerId): number | undefined {
		return this.#buckets.get(server)?.rate;
	}

	/** How many servers have a limit. */
	get size(): number {
		return [...this.#buckets.values()].filter(({rate}) => rate !== undefined).length;
	}

	/** All limits, and those lifted lately, to be reported to other nodes. */
	describe(now: number): ReportedLimit[] {
		return [...this.#buckets]
			.filter(([, {rate, namedAt}]) => rate !== undefined || now - namedAt < liftMemory)
			.map(([server, {rate, namedAt}]) => ({server, requestsPerSecond: rate, age: Math.round(now - namedAt)}));
	}

	/** Tokens that a server has left; infinite without a limit. */
	countTokens(server: BackendServerId, share: number, now: number): number {
		const bucket = this.#buckets.get(server);
		if (bucket?.rate === undefined) {
			return Infinity;
		}

		fill(bucket, computeGrantedRate(bucket.rate, share), share, now);
		return bucket.tokens;
	}

	/** Time until a server may be sent one more request. */
	computeDelay(server: BackendServerId, share: number, now: number): number {
		const missing = 1 - this.countTokens(server, share, now);
		return missing <= 0 ? 0 : missing / this.findGrantedRate(server, share) * 1000;
	}

	/** The rate that is granted at a server by a node that decides for a share of the fleet. */
	findGrantedRate(server: BackendServerId, share: number): number {
		const rate = this.findRate(server);
		return rate === undefined ? Infinity : computeGrantedRate(rate, share);
	}

	/** Spends a token for a request that is sent to a server. */
	take(server: BackendServerId, share: number, now: number): void {
		if (Number.isFinite(this.countTokens(server, share, now))) {
			this.#buckets.get(server)!.tokens--;
		}
	}

	#prune(now: number): void {
		for (const [server, {namedAt}] of this.#buckets) {
			if (now - namedAt > limitMemory) {
				this.#buckets.delete(server);
			}
		}
	}
}

function canLift(known: Bucket | undefined, at: number): boolean {
	return known?.rate !== undefined && at - known.namedAt >= liftDelay;
}

function computeGrantedRate(rate: number, share: number): number {
	return Math.max(rate, leastRate) * share;
}

function fill(bucket: Bucket, rate: number, share: number, now: number): void {
	const isSmall = share < smallShare;
	const elapsed = Math.min(now - bucket.filledAt, isSmall ? smallShareCredit : Infinity);
	const capacity = isSmall ? smallShareTokens : Math.max(1, Math.min(burst.tokens, rate * burst.seconds), rate * burst.shortSeconds);
	bucket.tokens = Math.min(capacity, bucket.tokens + (elapsed * rate / 1000));
	bucket.filledAt = now;
}
