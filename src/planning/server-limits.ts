/**
 * Request limits that backend servers declare, and how much of each may still be granted. Pure.
 *
 * A limit applies to all nodes together. The scheduling node grants requests from one token bucket for each server; a node that decides for a
 * part of the fleet grants that part of the rate, so that all grants add up to the limit.
 *
 * Load pattern: a server declares one request a second, and six nodes send it three.
 *
 * Times are monotonic milliseconds, rates are requests per second.
 */
import type {BackendServerId} from '../common/index.js';

/** Minimum granted rate: only an answer shows that a limit was lifted. */
const minRate = 0.1;

/** Capacity of a bucket: the tokens of `seconds` up to `tokens`, or those of `shortSeconds` if that is more, and at least one. */
const burst = {seconds: 2, tokens: 2, shortSeconds: 0.25};

/** Share of the fleet below which a node accumulates few tokens, because other nodes grant most requests; elapsed time in milliseconds. */
const smallShare = 0.5;
const smallShareTokens = 1;
const smallShareMaxElapsed = 2000;

/** Time after the last answer that declared the limit before an answer without one lifts it: answers on different connections may be reordered. */
const liftDelay = 500;

/** How long a limit is kept without an answer of its server, and how long a lifted limit is reported. */
const limitRetention = 600_000;
const liftedRetention = 10_000;

/** A limit as nodes report it; lifted if it has no rate. `age` in milliseconds. */
export type ReportedLimit = {server: BackendServerId; requestsPerSecond?: number; age: number};

type Bucket = {rate: number | undefined; reportedAt: number; tokens: number; filledAt: number};

/** Limits of the servers of one service. */
export class ServerLimits {
	readonly #buckets = new Map<BackendServerId, Bucket>();

	/** Applies a report; returns whether it changed the limit. Reports older than the known one are ignored. */
	update({server, requestsPerSecond, age}: ReportedLimit, now: number): boolean {
		const known = this.#buckets.get(server);
		const reportedAt = now - age;
		this.#prune(now);
		const isStale = known !== undefined && reportedAt < known.reportedAt;
		if (isStale || (requestsPerSecond === undefined && !canLift(known, reportedAt))) {
			return false;
		}

		this.#buckets.set(server, {
			rate: requestsPerSecond, reportedAt, tokens: known?.tokens ?? 0, filledAt: known?.rate === undefined ? now : known.filledAt,
		});
		return known?.rate !== requestsPerSecond;
	}

	/** The limit of a server; undefined without one. */
	findRate(server: BackendServerId): number | undefined {
		return this.#buckets.get(server)?.rate;
	}

	/** Number of servers with a limit. */
	get size(): number {
		return [...this.#buckets.values()].filter(({rate}) => rate !== undefined).length;
	}

	/** All limits, and those lifted recently, as reported to other nodes. */
	describe(now: number): ReportedLimit[] {
		return [...this.#buckets]
			.filter(([, {rate, reportedAt}]) => rate !== undefined || now - reportedAt < liftedRetention)
			.map(([server, {rate, reportedAt}]) => ({server, requestsPerSecond: rate, age: Math.round(now - reportedAt)}));
	}

	/** Tokens left for a server; infinite without a limit. */
	countTokens(server: BackendServerId, share: number, now: number): number {
		const bucket = this.#buckets.get(server);
		if (bucket?.rate === undefined) {
			return Infinity;
		}

		refill(bucket, computeGrantedRate(bucket.rate, share), share, now);
		return bucket.tokens;
	}

	/** Time until a server may be sent one more request. */
	computeDelay(server: BackendServerId, share: number, now: number): number {
		const missing = 1 - this.countTokens(server, share, now);
		return missing <= 0 ? 0 : missing / this.findGrantedRate(server, share) * 1000;
	}

	/** The rate granted for a server by a node that decides for a share of the fleet. */
	findGrantedRate(server: BackendServerId, share: number): number {
		const rate = this.findRate(server);
		return rate === undefined ? Infinity : computeGrantedRate(rate, share);
	}

	/** Takes a token for a request that is sent to a server. */
	take(server: BackendServerId, share: number, now: number): void {
		if (Number.isFinite(this.countTokens(server, share, now))) {
			this.#buckets.get(server)!.tokens--;
		}
	}

	#prune(now: number): void {
		for (const [server, {reportedAt}] of this.#buckets) {
			if (now - reportedAt > limitRetention) {
				this.#buckets.delete(server);
			}
		}
	}
}

function canLift(known: Bucket | undefined, at: number): boolean {
	return known?.rate !== undefined && at - known.reportedAt >= liftDelay;
}

function computeGrantedRate(rate: number, share: number): number {
	return Math.max(rate, minRate) * share;
}

function refill(bucket: Bucket, rate: number, share: number, now: number): void {
	const isSmallShare = share < smallShare;
	const elapsed = Math.min(now - bucket.filledAt, isSmallShare ? smallShareMaxElapsed : Infinity);
	const capacity = isSmallShare ? smallShareTokens : Math.max(1, Math.min(burst.tokens, rate * burst.seconds), rate * burst.shortSeconds);
	bucket.tokens = Math.min(capacity, bucket.tokens + (elapsed * rate / 1000));
	bucket.filledAt = now;
}
