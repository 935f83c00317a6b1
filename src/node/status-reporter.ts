/** Periodically sends the status of a node to the metrics collector. */
import {
	Child, waitFor, type Clock, type Metrics,
} from '../common/index.js';
import type {NodeStatus} from './operators-controller.js';

/** Milliseconds between two reports. */
const reportInterval = 10_000;

/** Reports the result of `readStatus` as gauges. */
export class StatusReporter extends Child {
	override readonly name = 'status-reporter';
	readonly #clock: Clock;
	readonly #metrics: Metrics;
	readonly #readStatus: () => NodeStatus;

	constructor(clock: Clock, metrics: Metrics, readStatus: () => NodeStatus) {
		super();
		this.#clock = clock;
		this.#metrics = metrics;
		this.#readStatus = readStatus;
	}

	override async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await waitFor(this.#clock, reportInterval, signal);
			const status = this.#readStatus();
			this.#metrics.recordGauge('control_bytes', status.controlBytes);
			this.#metrics.recordGauge('requests_in_progress', status.requestsInProgress);
			this.#metrics.recordGauge('revision', status.revision);
			this.#metrics.recordGauge('platform_reachable', status.isPlatformReachable ? 1 : 0);
			for (const pool of status.pools) {
				this.#metrics.recordGauge('pool.waiting', pool.waiting, {pool: pool.pool});
				this.#metrics.recordGauge('pool.grants', pool.grants, {pool: pool.pool});
			}
		}
	}
}
