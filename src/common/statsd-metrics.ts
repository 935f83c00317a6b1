/** Metrics as StatsD datagrams; apart from the index, so that programs without them do not load the client. */
import {StatsD} from 'hot-shots';
import {Metrics, type MetricTags} from './metrics.js';

/** Metrics sent over UDP to a StatsD collector. A collector that is down costs nothing. */
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
				// Metrics are best effort: a lost datagram is not an event of its own.
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
