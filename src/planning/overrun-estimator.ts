/**
 * Estimates how much longer than predicted long prefills take, from those observed. Pure.
 *
 * A prediction does not know which other requests join a pass or how far a server deviates from its declared figures: in replays, prefills of
 * more than two seconds took 10 in 100 longer at the median and 26 in 100 at the ninetieth percentile.
 */

/** Overrun assumed until enough prefills were observed, and the number needed. */
const defaultOverrun = 0.15;
const minSamples = 8;

/** Maximum number of prefills remembered. */
const maxSamples = 40;

/** Quantile of the overruns that is planned for: one prefill in ten may be longer. */
const plannedQuantile = 0.9;

/** Bounds of the estimate: a temporary stall of the servers must not prevent all long prefills. */
const minOverrun = 0.05;
const maxOverrun = 0.4;

/** Minimum predicted time of a prefill that is counted, in milliseconds: a shorter one is dominated by the passes before and after it. */
const minPrediction = 400;

/** Overruns of the latest long prefills, as shares of the prediction. */
export class OverrunEstimator {
	readonly #samples: number[] = [];

	/** Records the predicted and the actual time to the first event, in milliseconds. */
	add(predicted: number, took: number): void {
		if (predicted < minPrediction) {
			return;
		}

		this.#samples.push((took / predicted) - 1);
		if (this.#samples.length > maxSamples) {
			this.#samples.shift();
		}
	}

	/** Share by which a prefill may be longer than predicted. */
	get share(): number {
		if (this.#samples.length < minSamples) {
			return defaultOverrun;
		}

		const sorted = [...this.#samples].sort((left, right) => left - right);
		const quantile = sorted[Math.floor(plannedQuantile * (sorted.length - 1))];
		return Math.min(maxOverrun, Math.max(minOverrun, quantile));
	}
}
