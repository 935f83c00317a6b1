/** Limits retries to a share of recent requests, so that retries cannot become the load. Pure. */

/** Retries that may be saved up while nothing fails. */
const mostSaved = 20;

/** A budget of retries: each request adds a share, each retry takes one. */
export class RetryBudget {
	readonly #share: number;
	#balance = mostSaved / 2;

	constructor(share: number) {
		this.#share = share;
	}

	/** Notes a request. */
	addRequest(): void {
		this.#balance = Math.min(mostSaved, this.#balance + this.#share);
	}

	/** Takes one retry; false when the budget is spent. */
	takeRetry(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance--;
		return true;
	}
}
