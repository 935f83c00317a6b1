/** Rate limiting by the generic cell rate algorithm (ITU-T I.371). Pure. */

const millisecondsPerMinute = 60_000;

/** Limits the rate per key, with a burst of one minute's quota. */
export class RateLimiter<Key> {
	/** Theoretical arrival times, in monotonic milliseconds. */
	readonly #times = new Map<Key, number>();

	/**
	 * Takes an amount if the rate allows it.
	 *
	 * Returns 0 if it was taken, otherwise the milliseconds until it can be.
	 */
	take(key: Key, amount: number, perMinute: number, now: number): number {
		const cost = amount / perMinute * millisecondsPerMinute;
		const time = Math.max(now, this.#times.get(key) ?? 0);
		const wait = time + cost - now - millisecondsPerMinute;
		// An amount above one minute's quota would never fit; it is allowed when the full burst is available.
		if (wait > 0 && time > now) {
			return Math.min(wait, time - now);
		}

		this.#times.set(key, time + cost);
		return 0;
	}

	/** Removes keys whose full burst is available again. */
	prune(now: number): void {
		for (const [key, time] of this.#times) {
			if (time <= now) {
				this.#times.delete(key);
			}
		}
	}
}
