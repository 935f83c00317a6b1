/**
 * Cancels requests on engines, with retries until the engine confirms.
 *
 * Cancelling is idempotent. Requests whose retries are exhausted are found later by the reconciler of the pool.
 */
import {
	type Clock, type Logger, type RequestId, waitFor,
} from '../common/index.js';
import type {EngineClient} from './engine-client.js';

const initialDelay = 100;
const maxDelay = 2000;
const attemptLimit = 8;

/** Cancels requests on engines. */
export class Canceller {
	readonly #engines: EngineClient;
	readonly #clock: Clock;
	readonly #logger: Logger;

	constructor(engines: EngineClient, clock: Clock, logger: Logger) {
		this.#engines = engines;
		this.#clock = clock;
		this.#logger = logger;
	}

	/** Resolves with true once the engine has confirmed, or with false when all attempts have failed. */
	async cancel(url: string, requestId: RequestId): Promise<boolean> {
		let delay = initialDelay;
		for (let attempt = 1; attempt <= attemptLimit; attempt++) {
			const result = await this.#engines.cancel(url, requestId);
			// An engine that does not know the request is not running it.
			if (result.caseOf({Left: failure => failure.kind === 'unknown_request', Right: () => true})) {
				return true;
			}

			await waitFor(this.#clock, delay);
			delay = Math.min(maxDelay, delay * 2);
		}

		this.#logger.warn({event: 'cancel_unconfirmed', request: requestId, backendServer: url}, 'an engine did not confirm a cancellation');
		return false;
	}
}
