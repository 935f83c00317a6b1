/**
 * Requests that wait because all servers that could take them have reached their limits. Pure.
 *
 * Times are monotonic milliseconds.
 */
import type {RequestId} from '../common/index.js';

/** Time without an ask after which a request has left the line. */
const missedAfter = 600;

/** Latest time for which a rejected request is asked to return. */
const longestReturn = 30_000;

/** Requests in the order in which they joined. */
export class LimitQueue {
	/** When each request last asked. */
	readonly #waiting = new Map<RequestId, number>();
	#returnsUntil = -Infinity;

	/** How many other requests joined before this one. */
	countAhead(requestId: RequestId, now: number): number {
		let ahead = 0;
		for (const [other, askedAt] of this.#waiting) {
			if (other === requestId) {
				break;
			}

			if (now - askedAt > missedAfter) {
				this.#waiting.delete(other);
			} else {
				ahead++;
			}
		}

		return ahead;
	}

	/** Adds a request at the end, or notes that it still waits. */
	join(requestId: RequestId, now: number): void {
		this.#waiting.set(requestId, now);
	}

	/** Removes a request that has its place or is rejected. */
	leave(requestId: RequestId): void {
		this.#waiting.delete(requestId);
	}

	/** Time after which a rejected request should return: `delay` for the first one, spread by `interval` for those after it. */
	scheduleRetry(delay: number, interval: number, now: number): number {
		const latest = now + longestReturn;
		this.#returnsUntil = Math.min(latest, Math.max(now + delay, this.#returnsUntil + interval));
		return this.#returnsUntil - now;
	}
}
