/**
 * Predicts how long a request will wait, from how fast requests of its length have been served. Pure.
 *
 * Kept by engine priority: under overload short requests keep passing long ones, so
 * the memory that comes back says nothing of what a long one will get of it. Only
 * time in which something of the length waits counts: a quiet hour is no slow serviceRate.
 */
import {computePriority} from './prefill-estimator.js';

/** Weight of the newest interval in the moving average. */
const smoothing = 0.2;

/** Interval over which a rate is taken, in milliseconds. */
const rateInterval = 1000;

type ServiceRate = {
	/** Tokens a millisecond; undefined before the first interval has passed. */
	rate: number | undefined;
	tokens: number;
	since: number;
	/** Requests of the length that wait. */
	waiting: number;
};

/** Follows the rates at which waiting requests are given places. */
export class WaitPredictor {
	readonly #rates = new Map<number, ServiceRate>();

	/** Notes that a request begins to wait, at a monotonic time in milliseconds. */
	recordWaiting(promptTokens: number, now: number): void {
		const priority = computePriority(promptTokens);
		const serviceRate = this.#rates.get(priority) ?? {
			rate: undefined, tokens: 0, since: now, waiting: 0,
		};
		this.#rates.set(priority, serviceRate);
		if (serviceRate.waiting === 0) {
			serviceRate.tokens = 0;
			serviceRate.since = now;
		}

		serviceRate.waiting++;
	}

	/** Notes that a request waits no more. Tokens: of one that was given its place, 0 of one that left. */
	recordDone(promptTokens: number, tokens: number, now: number): void {
		const serviceRate = this.#rates.get(computePriority(promptTokens));
		if (serviceRate === undefined) {
			return;
		}

		serviceRate.waiting--;
		serviceRate.tokens += tokens;
		const elapsed = now - serviceRate.since;
		if (elapsed < rateInterval) {
			return;
		}

		const rate = serviceRate.tokens / elapsed;
		serviceRate.rate = serviceRate.rate === undefined ? rate : (serviceRate.rate * (1 - smoothing)) + (rate * smoothing);
		serviceRate.tokens = 0;
		serviceRate.since = now;
	}

	/** Milliseconds until this many tokens of waiting requests of a length have been served; `undefined` while nothing is known. */
	predictWait(promptTokens: number, tokens: number, now: number): number | undefined {
		const serviceRate = this.#rates.get(computePriority(promptTokens));
		if (serviceRate?.rate === undefined || serviceRate.waiting === 0) {
			return undefined;
		}

		// Where nothing has been served for long, the old rate is no longer true.
		const elapsed = Math.max(rateInterval, now - serviceRate.since);
		const rate = Math.min(serviceRate.rate, Math.max(serviceRate.tokens, serviceRate.rate * rateInterval) / elapsed);
		return tokens / rate;
	}
}
