/**
 * Predicts the wait of a request from the rate at which requests of its length class are served. Pure.
 *
 * Rates are kept per engine priority: under overload short requests overtake long ones, so the total rate does not
 * apply to long ones. Only time in which requests of the class wait counts, so that idle time does not lower the rate.
 */
import {computePriority} from './prefill-estimator.js';

/** Weight of the latest interval in the exponential moving average. */
const smoothing = 0.2;

/** Interval over which a rate is measured, in milliseconds. */
const rateInterval = 1000;

type ServiceRate = {
	/** Tokens per millisecond; undefined before the first interval has passed. */
	rate: number | undefined;
	tokens: number;
	since: number;
	/** Number of waiting requests of the class. */
	waiting: number;
};

/** Measures the rates at which waiting requests are granted. */
export class WaitPredictor {
	readonly #rates = new Map<number, ServiceRate>();

	/** Records that a request has been queued, at a monotonic time in milliseconds. */
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

	/** Records that a request has left the queue. `tokens` is its size if it was granted, otherwise 0. */
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

	/** Predicts the milliseconds until this many tokens of a length class are served; `undefined` before a rate was measured. */
	predictWait(promptTokens: number, tokens: number, now: number): number | undefined {
		const serviceRate = this.#rates.get(computePriority(promptTokens));
		if (serviceRate?.rate === undefined || serviceRate.waiting === 0) {
			return undefined;
		}

		// Lowers the rate when nothing has been served for longer than the interval.
		const elapsed = Math.max(rateInterval, now - serviceRate.since);
		const rate = Math.min(serviceRate.rate, Math.max(serviceRate.tokens, serviceRate.rate * rateInterval) / elapsed);
		return tokens / rate;
	}
}
