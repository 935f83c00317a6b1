/**
 * Predicts how long a request will wait, from how fast requests of its length have been served. Pure.
 *
 * Kept by engine priority: under overload short requests keep passing long ones, so
 * the memory that comes back says nothing of what a long one will get of it. Only
 * time in which something of the length waits counts: a quiet hour is no slow service.
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
	/** Requests of the length that wait. */
	waiting: number;
};

/** Follows the rates at which waiting requests are given places. */
export class WaitPredictor {
	readonly #rates = new Map<number, ServedRate>();

	/** Notes that a request begins to wait, at a monotonic time in milliseconds. */
	recordWaiting(promptTokens: number, now: number): void {
		const priority = findPriority(promptTokens);
		const served = this.#rates.get(priority) ?? {
			rate: undefined, tokens: 0, since: now, waiting: 0,
		};
		this.#rates.set(priority, served);
		if (served.waiting === 0) {
			served.tokens = 0;
			served.since = now;
		}

		served.waiting++;
	}

	/** Notes that a request waits no more. Tokens: of one that was given its place, 0 of one that left. */
	recordDone(promptTokens: number, tokens: number, now: number): void {
		const served = this.#rates.get(findPriority(promptTokens));
		if (served === undefined) {
			return;
		}

		served.waiting--;
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
		if (served?.rate === undefined || served.waiting === 0) {
			return undefined;
		}

		// Where nothing has been served for long, the old rate is no longer true.
		const silence = Math.max(interval, now - served.since);
		const rate = Math.min(served.rate, Math.max(served.tokens, served.rate * interval) / silence);
		return tokens / rate;
	}
}
