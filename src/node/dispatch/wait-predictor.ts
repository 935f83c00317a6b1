/**
 * Predicts how long a request will wait, from how fast requests of its length have been served. Pure.
 *
 * Kept by engine priority: under overload short requests keep passing long ones, so
 * the memory that comes back says nothing of what a long one will get of it.
 */
import {findPriority} from './prefill-board.js';

/** Weight of the newest interval in the moving average. */
const smoothing = 0.2;

/** Interval over which a rate is taken, in milliseconds. */
const interval = 1000;

type ServedRate = {
	/** Tokens a millisecond; undefined before the first interval has passed. */
	rate: number | undefined;
	tokens: number;
	since: number;
};

/** Follows the rates at which waiting requests are given places. */
export class WaitPredictor {
	readonly #rates = new Map<number, ServedRate>();

	/** Notes that a request that had waited was given its place, at a monotonic time in milliseconds. */
	recordServed(promptTokens: number, tokens: number, now: number): void {
		const priority = findPriority(promptTokens);
		const served = this.#rates.get(priority) ?? {rate: undefined, tokens: 0, since: now};
		this.#rates.set(priority, served);
		served.tokens += tokens;
		const elapsed = now - served.since;
		if (elapsed < interval) {
			return;
		}

		const rate = served.tokens / elapsed;
		served.rate = served.rate === undefined ? rate : (served.rate * (1 - smoothing)) + (rate * smoothing);
		served.tokens = 0;
		served.since = now;
	}

	/** Milliseconds until this many tokens of waiting requests of a length have been served; `undefined` while nothing is known. */
	predictWait(promptTokens: number, tokens: number, now: number): number | undefined {
		const served = this.#rates.get(findPriority(promptTokens));
		if (served?.rate === undefined) {
			return undefined;
		}

		// Where nothing has been served for long, the old rate is no longer true.
		const silence = Math.max(interval, now - served.since);
		const rate = Math.min(served.rate, Math.max(served.tokens, served.rate * interval) / silence);
		return tokens / rate;
	}
}
