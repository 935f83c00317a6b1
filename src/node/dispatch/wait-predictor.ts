/** Predicts how long a request will wait, from how fast memory has been coming back. Pure. */

/** Weight of the newest interval in the moving average. */
const smoothing = 0.2;

/** Shortest interval over which a rate is taken, in milliseconds. */
const shortestInterval = 100;

/** Follows the rate at which tokens are released. */
export class WaitPredictor {
	#rate: number | undefined;
	#tokens = 0;
	#since: number;

	constructor(now: number) {
		this.#since = now;
	}

	/** Notes tokens given back at a monotonic time in milliseconds. */
	recordRelease(tokens: number, now: number): void {
		this.#tokens += tokens;
		const elapsed = now - this.#since;
		if (elapsed < shortestInterval) {
			return;
		}

		const rate = this.#tokens / elapsed;
		this.#rate = this.#rate === undefined ? rate : (this.#rate * (1 - smoothing)) + (rate * smoothing);
		this.#tokens = 0;
		this.#since = now;
	}

	/** Milliseconds until this many more tokens have come back; `undefined` while nothing is known. */
	predictWait(tokens: number): number | undefined {
		if (tokens <= 0) {
			return 0;
		}

		return this.#rate === undefined || this.#rate === 0 ? undefined : tokens / this.#rate;
	}
}
