/**
 * Queue of requests for which all servers have reached their limits. Pure.
 *
 * Times are monotonic milliseconds.
 */
import type {RequestId} from '../common/index.js';

/** Time after which a request that does not ask again leaves the queue. */
const entryTimeout = 600;

/** Maximum retry delay of a rejected request. */
const maxRetryDelay = 30_000;

/** A request that waits; a lower rank goes first. */
type Waiting = {lastAskedAt: number; rank: number};

/** Requests by rank, and those of one rank in order of arrival. */
export class LimitQueue {
	readonly #waiting = new Map<RequestId, Waiting>();
	#lastRetryAt = -Infinity;

	/** Number of requests that go before this one. */
	countAhead(requestId: RequestId, now: number, rank = 0): number {
		let aheadCount = 0;
		let isLater = false;
		for (const [other, waiting] of this.#waiting) {
			if (other === requestId) {
				isLater = true;
			} else if (now - waiting.lastAskedAt > entryTimeout) {
				this.#waiting.delete(other);
			} else if (waiting.rank < rank || (waiting.rank === rank && !isLater)) {
				aheadCount++;
			}
		}

		return aheadCount;
	}

	/** Appends a request, or refreshes one that is queued. */
	join(requestId: RequestId, now: number, rank = 0): void {
		this.#waiting.set(requestId, {lastAskedAt: now, rank});
	}

	/** Removes a request that was sent or rejected. */
	leave(requestId: RequestId): void {
		this.#waiting.delete(requestId);
	}

	/** Retry delay of a rejected request: `delay` for the first one, increased by `interval` for each later one to spread them. */
	scheduleRetry(delay: number, interval: number, now: number): number {
		const latest = now + maxRetryDelay;
		this.#lastRetryAt = Math.min(latest, Math.max(now + delay, this.#lastRetryAt + interval));
		return this.#lastRetryAt - now;
	}
}
