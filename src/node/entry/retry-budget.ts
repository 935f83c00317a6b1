/** Limits retries to a fraction of recent requests, so that retries cannot overload the backend servers. Pure. */

/** Maximum number of retries that accumulate while nothing fails. */
const maxBalance = 20;

/** A retry budget: each request adds `retryRatio` retries, each retry takes one. */
export class RetryBudget {
	readonly #retryRatio: number;
	#balance = maxBalance / 2;

	constructor(retryRatio: number) {
		this.#retryRatio = retryRatio;
	}

	/** Records a request, which adds to the budget. */
	recordRequest(): void {
		this.#balance = Math.min(maxBalance, this.#balance + this.#retryRatio);
	}

	/** Takes one retry; returns false if the budget is exhausted. */
	takeRetry(): boolean {
		if (this.#balance < 1) {
			return false;
		}

		this.#balance--;
		return true;
	}
}
