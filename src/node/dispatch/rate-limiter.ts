/** Limits on rates by the generic cell rate algorithm (ITU-T I.371). Pure. */

const millisecondsPerMinute = 60_000;

/** A rate an amount may have, with a burst of one minute's worth. */
export class RateLimiter<Key> {
	/** Theoretical arrival times, monotonic milliseconds. */
	readonly #times = new Map<Key, number>();

	/**
	 * Takes an amount if the rate allows it.
	 *
	 * Returns 0 when taken, else the milliseconds after which it could be.
	 */
	take(key: Key, amount: number, perMinute: number, now: number): number {
		const cost = amount / perMinute * millisecondsPerMinute;
		const time = Math.max(now, this.#times.get(key) ?? 0);
		const wait = time + cost - now - millisecondsPerMinute;
		// An amount over a minute's worth could never be taken; it may when nothing else has been.
		if (wait > 0 && time > now) {
			return Math.min(wait, time - now);
		}

		this.#times.set(key, time + cost);
		return 0;
	}

	/** Forgets keys whose burst is whole again. */
	prune(now: number): void {
		for (const [key, time] of this.#times) {
			if (time <= now) {
				this.#times.delete(key);
			}
		}
	}
}
