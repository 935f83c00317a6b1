/** Counters and timings, sent as StatsD datagrams. */
import {StatsD} from 'hot-shots';

/** Tags of a metric, by name. */
export type MetricTags = Record<string, string>;

/** Where metrics go. Timings are in milliseconds. */
export abstract class Metrics {
	abstract incrementCounter(name: string, tags?: MetricTags, by?: number): void;
	abstract recordTiming(name: string, milliseconds: number, tags?: MetricTags): void;
	abstract recordGauge(name: string, value: number, tags?: MetricTags): void;
	abstract close(): void;
}

/** Metrics that go nowhere. */
export class SilentMetrics extends Metrics {
	override incrementCounter(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override recordTiming(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override recordGauge(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override close(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}

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

	override incrementCounter(name: string, tags: MetricTags = {}, by = 1): void {
		this.#client.increment(name, by, tags);
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
