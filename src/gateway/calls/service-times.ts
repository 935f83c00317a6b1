/** How long recent requests of each route took at their servers: a stopping node starts only what can end before it does. */

/** Number of recent requests of a route that count. */
const sampleCount = 64;

/** Share of a route's requests that end within its estimate. */
const quantile = 0.98;

/** How far an estimate exceeds its quantile, as a share for one sample; it falls with their number. */
const uncertainty = 8;

/** Maximum number of routes; those that were first used longest ago are forgotten. */
const maxRoutes = 1000;

/** Times of the last requests of one route in milliseconds, and the index of the oldest. */
type Samples = {times: number[]; next: number};

/** Service times of a node. */
export class ServiceTimes {
	readonly #routes = new Map<string, Samples>();

	/** Records the time in milliseconds from the first send of a request to the end of its answer. */
	record(route: string, time: number): void {
		const samples = this.#routes.get(route) ?? this.#add(route);
		samples.times[samples.next] = time;
		samples.next = (samples.next + 1) % sampleCount;
	}

	/**
	 * Time in milliseconds within which nearly all requests of a route end; undefined without a recent one.
	 *
	 * `running` are the times so far of those in progress: long ones would otherwise count only once they have ended.
	 */
	estimate(route: string, running: number[] = []): number | undefined {
		const recent = this.#routes.get(route)?.times;
		if (recent === undefined) {
			return undefined;
		}

		const times = [...recent, ...running].sort((left, right) => left - right);
		return times[Math.ceil(times.length * quantile) - 1] * (1 + (uncertainty / times.length));
	}

	#add(route: string): Samples {
		const samples: Samples = {times: [], next: 0};
		this.#routes.set(route, samples);
		if (this.#routes.size > maxRoutes) {
			const [oldest] = this.#routes.keys();
			this.#routes.delete(oldest);
		}

		return samples;
	}
}
