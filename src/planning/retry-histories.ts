/**
 * Retry histories that nodes report to a new scheduling node: requests and retries that other nodes decided for them. Pure.
 *
 * Times are monotonic milliseconds.
 */

/** A node's part of the last window, without what the receiving node has decided itself. */
export type RetryHistory = {
	/** Identifies the process of the reporting node. */
	life: string;
	/** Milliseconds since that process started: it has no history before that. */
	age: number;
	/** Number of nodes that it has seen recently, live or not, including itself: lower after a restart. */
	known: number;
	/** Its requests, as ages in milliseconds. */
	requests: number[];
	/** Its retries from the fleet's budget, as ages in milliseconds. */
	retries: number[];
	/** Mean value of those requests, in tokens. */
	meanWorth: number;
};

/** The node that reports a history. */
export type ReportingNode = Pick<RetryHistory, 'life' | 'age' | 'known'>;

/** Requests, retries and total value of a window. */
export type WindowCounts = {requests: number; retries: number; value: number};

type ReceivedHistory = RetryHistory & {receivedAt: number};

/** Histories that a scheduling node has received. */
export class RetryHistories {
	readonly #window: number;
	readonly #histories = new Map<string, ReceivedHistory>();

	constructor(window: number) {
		this.#window = window;
	}

	/** Adds a history, replacing an earlier one of the same process. */
	add(history: RetryHistory, now: number): void {
		this.#histories.set(history.life, {...history, receivedAt: now});
	}

	/** Drops histories received before a time: other nodes may have decided since. */
	dropBefore(time: number): void {
		for (const [life, {receivedAt}] of this.#histories) {
			if (receivedAt < time) {
				this.#histories.delete(life);
			}
		}
	}

	/** Counts of the received histories that are still in the window. */
	count(now: number): WindowCounts {
		const counts = {requests: 0, retries: 0, value: 0};
		for (const [life, history] of this.#histories) {
			const elapsed = now - history.receivedAt;
			if (elapsed > this.#window) {
				this.#histories.delete(life);
				continue;
			}

			const countRecent = (times: number[]) => times.filter(age => age + elapsed <= this.#window).length;
			const requests = countRecent(history.requests);
			counts.requests += requests;
			counts.retries += countRecent(history.retries);
			counts.value += requests * history.meanWorth;
		}

		return counts;
	}

	/** The highest number of nodes that any reporting node knows of. */
	findMaxKnown(): number {
		return Math.max(0, ...[...this.#histories.values()].map(history => history.known));
	}

	/** How far back a reporting node's history reaches, in milliseconds; undefined without a report. */
	computeHistoryAge(life: string, now: number): number | undefined {
		const history = this.#histories.get(life);
		return history === undefined ? undefined : history.age + now - history.receivedAt;
	}
}
