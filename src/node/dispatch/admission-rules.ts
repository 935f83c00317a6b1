/** The rules by which a request is refused whatever waits: the pool's memory, the partner's policy, and rates. Pure. */
import {
	createFailure, type Clock, type Failure, type OrganisationId, type PartnerId, type PoolId,
} from '../../common/index.js';
import type {PolicyContext} from '../../policy/index.js';
import type {PoolDirectory} from './directory.js';
import type {Ledger} from './ledger.js';
import {countTokens, type AdmitRequest} from './messages.js';
import {RateLimiter} from './rate-limiter.js';

/** What the rules look at. */
export type AdmissionParts = {
	pool: PoolId;
	clock: Clock;
	directory: PoolDirectory;
	ledger: Ledger;
	/** Number of requests waiting. */
	countWaiting: () => number;
};

/** Refuses what must not or can never run. */
export class AdmissionRules {
	readonly #parts: AdmissionParts;
	readonly #requestRates = new RateLimiter<OrganisationId>();
	readonly #tokenRates = new RateLimiter<OrganisationId>();

	constructor(parts: AdmissionParts) {
		this.#parts = parts;
	}

	/** Says why a request is refused; undefined when it is not. Counts it against its organisation's rates. */
	findRefusal(request: AdmitRequest, partner: PartnerId): Failure | undefined {
		return this.#findPoolRefusal(request) ?? this.#findPolicyRefusal(request, partner) ?? this.#findRateRefusal(request);
	}

	/** Whether the organisation holds as much as its partner's policy lets it. */
	isOverLimit(request: AdmitRequest, partner: PartnerId): boolean {
		const policy = this.#parts.directory.findPolicy(partner);
		const limit = policy.evaluateLimit(this.describeContext(request));
		return this.#parts.ledger.readOrganisation(request.organisation).tokens + countTokens(request) > limit;
	}

	/** What a policy sees of a request now. */
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

	/** Forgets organisations whose rates are whole again. */
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
			? createFailure('backend_busy', `every backend server of ${this.#parts.pool} has just failed to take this request`)
			: undefined;
	}

	#findPolicyRefusal(request: AdmitRequest, partner: PartnerId): Failure | undefined {
		const policy = this.#parts.directory.findPolicy(partner);
		const context = this.describeContext(request);
		if (!policy.evaluateAdmit(context)) {
			return createFailure('policy_refused', `the policy of ${partner} does not take this request`);
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
			: createFailure('rate_limited', `${request.organisation} sends more ${tokenWait > 0 ? 'tokens' : 'requests'} a minute than it may`, {retryAfterSeconds: Math.ceil(wait / 1000)});
	}
}
