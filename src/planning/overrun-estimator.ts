/**
 * How much longer long reads take than predicted, learned from those that were seen. Pure.
 *
 * A prediction knows neither what else joins a pass nor how far a server is from its figures: on played days reads of
 * more than two seconds took 10 in 100 longer at the median and 26 in 100 at the ninetieth percentile.
 */

/** Share that is assumed before enough reads were seen, and how many that is. */
const assumedOverrun = 0.15;
const leastSeen = 8;

/** Reads that are remembered. */
const mostSeen = 40;

/** Quantile of the overruns that is planned with: one read in ten may be longer. */
const plannedQuantile = 0.9;

/** Bounds of what is planned with, as shares: servers that stand still for a while must not end all long reads. */
const leastOverrun = 0.05;
const mostOverrun = 0.4;

/** Shortest predicted read that says anything, in milliseconds: what is shorter is mostly the passes before and after it. */
const shortestRead = 400;

/** Overruns of the last long reads. */
export class OverrunEstimator {
	readonly #seen: number[] = [];

	/** Notes how long a read took to its first event; both times in milliseconds. */
	add(predicted: number, took: number): void {
		if (predicted < shortestRead) {
			return;
		}

		this.#seen.push((took / predicted) - 1);
		if (this.#seen.length > mostSeen) {
			this.#seen.shift();
		}
	}

	/** Share by which a read may be longer than predicted. */
	get share(): number {
		if (this.#seen.length < leastSeen) {
			return assumedOverrun;
		}

		const sorted = [...this.#seen].sort((left, right) => left - right);
		const quantile = sorted[Math.floor(plannedQuantile * (sorted.length - 1))];
		return Math.min(mostOverrun, Math.max(leastOverrun, quantile));
	}
}
