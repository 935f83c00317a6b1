/**
 * What nodes remember of requests and retries that others decided for them, as told to the one that decides now. Pure.
 *
 * Times are monotonic milliseconds.
 */

/** A node's part of the last window; it leaves out what the node that it tells has decided itself. */
export type RetryHistory = {
	/** The life of the node that tells it. */
	life: string;
	/** Milliseconds since its process started: before that it remembers nothing. */
	age: number;
	/** Nodes that it has heard of lately, live or not, itself among them: one that has just started knows fewer. */
	known: number;
	/** Its requests, each as milliseconds ago. */
	requests: number[];
	/** Its retries out of the fleet's budget, each as milliseconds ago. */
	retries: number[];
	/** Mean worth of those requests, in tokens. */
	meanWorth: number;
};

/** Who tells a history. */
export type ReportingNode = Pick<RetryHistory, 'life' | 'age' | 'known'>;

/** Requests, retries and worth of a window. */
export type WindowCounts = {requests: number; retries: number; value: number};

type ToldHistory = RetryHistory & {toldAt: number};

/** The histories that a deciding node was told. */
export class RetryHistories {
	readonly #window: number;
	readonly #histories = new Map<string, ToldHistory>();

	constructor(window: number) {
		this.#window = window;
	}

	/** Takes a history in place of an earlier one of the same life. */
	add(history: RetryHistory, now: number): void {
		this.#histories.set(history.life, {...history, toldAt: now});
	}

	/** Forgets what was told before a moment: other nodes may have decided since. */
	dropBefore(moment: number): void {
		for (const [life, {toldAt}] of this.#histories) {
			if (toldAt < moment) {
				this.#histories.delete(life);
			}
		}
	}

	/** What was told and lies in the window still. */
	count(now: number): WindowCounts {
		const counts = {requests: 0, retries: 0, value: 0};
		for (const [life, history] of this.#histories) {
			const passed = now - history.toldAt;
			if (passed > this.#window) {
				this.#histories.delete(life);
				continue;
			}

			const countIn = (times: number[]) => times.filter(ago => ago + passed <= this.#window).length;
			const requests = countIn(history.requests);
			counts.requests += requests;
			counts.retries += countIn(history.retries);
			counts.value += requests * history.meanWorth;
		}

		return counts;
	}

	/** The most nodes that any of them knows of. */
	findMaxKnown(): number {
		return Math.max(0, ...[...this.#histories.values()].map(history => history.known));
	}

	/** How far back a node's memory reaches that has told it, in milliseconds; undefined for one that has not. */
	computeHistoryAge(life: string, now: number): number | undefined {
		const history = this.#histories.get(life);
		return history === undefined ? undefined : history.age + now - history.toldAt;
	}
}
