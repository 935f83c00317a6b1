/**
 * Retries of the whole fleet, bounded over a sliding window.
 *
 * Each node spends a share that needs no agreement: the allowed ratio of its own requests
 * in the window, and its part of the fixed slack by the number of live nodes. Pure.
 */

/** Share of the allowed budget that is spent: windows and the number of nodes are seen with a lag. */
const spentShare = 0.7;

/** Bounds of retries. */
export type RetryLimits = {
	/** Retries allowed for each request. */
	ratio: number;
	/** Retries allowed besides, for the whole fleet. */
	slack: number;
	/** Length of the window in milliseconds. */
	window: number;
};

/** Retries of one service. */
export class RetryWindow {
	readonly #limits: RetryLimits;
	readonly #requests: number[] = [];
	readonly #retries: number[] = [];

	constructor(limits: RetryLimits) {
		this.#limits = limits;
	}

	/** Notes a request. */
	addRequest(now: number): void {
		this.#requests.push(now);
		this.#forget(now);
	}

	/** Whether this node's share has room for one more retry. */
	hasRetry(now: number, liveNodes: number): boolean {
		this.#forget(now);
		const allowed = spentShare * ((this.#limits.ratio * this.#requests.length) + (this.#limits.slack / Math.max(1, liveNodes)));
		return this.#retries.length + 1 <= allowed;
	}

	/** Takes one retry; false when this node's share is spent. */
	takeRetry(now: number, liveNodes: number): boolean {
		if (!this.hasRetry(now, liveNodes)) {
			return false;
		}

		this.#retries.push(now);
		return true;
	}

	#forget(now: number): void {
		const oldest = now - this.#limits.window;
		for (const times of [this.#requests, this.#retries]) {
			while (times.length > 0 && times[0] < oldest) {
				times.shift();
			}
		}
	}
}
