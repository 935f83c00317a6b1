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

/** Requests in order of arrival. */
export class LimitQueue {
	/** When each request last asked. */
	readonly #waiting = new Map<RequestId, number>();
	#lastRetryAt = -Infinity;

	/** Number of requests that arrived before this one. */
	countAhead(requestId: RequestId, now: number): number {
		let aheadCount = 0;
		for (const [other, lastAskedAt] of this.#waiting) {
			if (other === requestId) {
				break;
			}

			if (now - lastAskedAt > entryTimeout) {
				this.#waiting.delete(other);
			} else {
				aheadCount++;
			}
		}

		return aheadCount;
	}

	/** Appends a request, or refreshes one that is queued. */
	join(requestId: RequestId, now: number): void {
		this.#waiting.set(requestId, now);
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
