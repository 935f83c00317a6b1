/** Interface of the metrics backend. */

/** Tag values of a metric by tag name. */
export type MetricTags = Record<string, string>;

/** Receives counters, timings and gauges. Timings are in milliseconds. */
export abstract class Metrics {
	abstract incrementCounter(name: string, tags?: MetricTags, amount?: number): void;
	abstract recordTiming(name: string, milliseconds: number, tags?: MetricTags): void;
	abstract recordGauge(name: string, value: number, tags?: MetricTags): void;
	abstract close(): void;
}

/** Discards all metrics. */
export class NoopMetrics extends Metrics {
	override incrementCounter(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override recordTiming(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override recordGauge(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
	override close(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
}
