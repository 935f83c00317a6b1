/** StatsD metrics. Not exported from the index, so that programs without metrics do not load the client. */
import {StatsD} from 'hot-shots';
import {Metrics, type MetricTags} from './metrics.js';

/** Sends metrics over UDP to a StatsD collector. An unavailable collector does not affect the process. */
export class StatsdMetrics extends Metrics {
	readonly #client: StatsD;

	constructor(host: string, port: number) {
		super();
		this.#client = new StatsD({
			host,
			port,
			prefix: 'cresshook.',
			maxBufferSize: 1400,
			errorHandler() {
				// Metrics are best effort, so that lost datagrams are not logged.
			},
		});
	}

	override incrementCounter(name: string, tags: MetricTags = {}, amount = 1): void {
		this.#client.increment(name, amount, tags);
	}

	override recordTiming(name: string, milliseconds: number, tags: MetricTags = {}): void {
		this.#client.timing(name, milliseconds, tags);
	}

	override recordGauge(name: string, value: number, tags: MetricTags = {}): void {
		this.#client.gauge(name, value, tags);
	}

	override close(): void {
		this.#client.close();
	}
}
