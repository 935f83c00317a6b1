/** Limits retries to a share of recent requests, so that retries cannot become the load. Pure. */

/** Retries that may be saved up while nothing fails. */
const maxBalance = 20;

/** A budget of retries: each request adds a share, each retry takes one. */
export class RetryBudget {
	readonly #retryRatio: number;
	#balance = maxBalance / 2;

	constructor(retryRatio: number) {
		this.#retryRatio = retryRatio;
	}

	/** Notes a request. */
	recordRequest(): void {
		this.#balance = Math.min(maxBalance, this.#balance + this.#retryRatio);
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
