/** Admission rules that do not depend on the queue: pool memory, partner policy and rate limits. Pure. */
import {
	createFailure, type Clock, type Failure, type OrganisationId, type PartnerId, type PoolId,
} from '../../common/index.js';
import type {PolicyContext} from '../../policy/index.js';
import type {PoolDirectory} from './directory.js';
import type {Ledger} from './ledger.js';
import {countTokens, type AdmitRequest} from './messages.js';
import {RateLimiter} from './rate-limiter.js';

/** Dependencies of the admission rules. */
export type AdmissionParts = {
	pool: PoolId;
	clock: Clock;
	directory: PoolDirectory;
	ledger: Ledger;
	/** Number of requests waiting. */
	countWaiting: () => number;
};

/** Refuses requests that are not allowed to run, or can never fit. */
export class AdmissionRules {
	readonly #parts: AdmissionParts;
	readonly #requestRates = new RateLimiter<OrganisationId>();
	readonly #tokenRates = new RateLimiter<OrganisationId>();

	constructor(parts: AdmissionParts) {
		this.#parts = parts;
	}

	/** Returns the reason for which a request is refused, if any. Counts it against the rate limits of its organisation. */
	findRefusal(request: AdmitRequest, partner: PartnerId): Failure | undefined {
		return this.#findPoolRefusal(request) ?? this.#findPolicyRefusal(request, partner) ?? this.#findRateRefusal(request);
	}

	/** Whether the request would exceed the tokens that the partner's policy lets its organisation hold. */
	isOverLimit(request: AdmitRequest, partner: PartnerId): boolean {
		const policy = this.#parts.directory.findPolicy(partner);
		const limit = policy.evaluateLimit(this.describeContext(request));
		return this.#parts.ledger.readOrganisation(request.organisation).tokens + countTokens(request) > limit;
	}

	/** Describes a request and the current state for the evaluation of a policy. */
	describeContext(request: AdmitRequest): PolicyContext {
		const account = this.#parts.ledger.readOrganisation(request.organisation);
		const now = this.#parts.clock.now();
		return {
			request: {
				promptTokens: request.promptTokens, outputTokens: request.outputTokens, service: request.service, bound: request.patience,
			},
			organisation: {name: request.organisation, running: account.running, tokensHeld: account.tokens},
			pool: {name: this.#parts.pool, freeShare: this.#parts.ledger.freeShare, waiting: this.#parts.countWaiting()},
			now: {hour: now.getUTCHours(), minute: now.getUTCMinutes(), weekday: now.getUTCDay()},
		};
	}

	/** Removes organisations whose full burst is available again. */
	prune(): void {
		const now = this.#parts.clock.readMonotonic();
		this.#requestRates.prune(now);
		this.#tokenRates.prune(now);
	}

	#findPoolRefusal(request: AdmitRequest): Failure | undefined {
		const open = this.#parts.ledger.listOpen();
		if (open.length === 0) {
			return undefined;
		}

		const tokens = countTokens(request);
		const largest = Math.max(...open.map(server => server.capacity));
		if (tokens > largest) {
			const message = `the request needs ${tokens} tokens of memory and the largest backend server of ${this.#parts.pool} holds ${largest}; `
				+ 'shorten the prompt or lower max_tokens';
			return createFailure('prompt_too_large', message);
		}

		return open.every(server => request.excluded.includes(server.id))
			? createFailure('backend_busy', `every backend server of ${this.#parts.pool} has just failed to run this request`)
			: undefined;
	}

	#findPolicyRefusal(request: AdmitRequest, partner: PartnerId): Failure | undefined {
		const policy = this.#parts.directory.findPolicy(partner);
		const context = this.describeContext(request);
		if (!policy.evaluateAdmit(context)) {
			return createFailure('policy_refused', `the policy of ${partner} does not admit this request`);
		}

		return countTokens(request) > policy.evaluateLimit(context)
			? createFailure('policy_refused', `the policy of ${partner} lets ${request.organisation} hold fewer tokens than this request needs`)
			: undefined;
	}

	#findRateRefusal(request: AdmitRequest): Failure | undefined {
		const settings = this.#parts.directory.findOrganisation(request.organisation);
		const now = this.#parts.clock.readMonotonic();
		const tokenWait = settings.tokensPerMinute === undefined ? 0 : this.#tokenRates.take(request.organisation, countTokens(request), settings.tokensPerMinute, now);
		const requestWait = settings.requestsPerMinute === undefined || tokenWait > 0
			? 0
			: this.#requestRates.take(request.organisation, 1, settings.requestsPerMinute, now);
		const wait = Math.max(tokenWait, requestWait);
		return wait === 0
			? undefined
			: createFailure('rate_limited', `${request.organisation} exceeds its limit of ${tokenWait > 0 ? 'tokens' : 'requests'} per minute`, {retryAfterSeconds: Math.ceil(wait / 1000)});
	}
}
