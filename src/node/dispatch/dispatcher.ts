/**
 * The dispatcher of one pool: admits its requests, queues them and assigns them to backend servers. Does no I/O.
 *
 * After a takeover, `adoptGrants` restores the outstanding grants and `open` starts granting; until then requests wait.
 */
import {type Either, Left, Right} from 'purify-ts';
import {
	createFailure, type BackendServerId, type Clock, type Failure, type GrantId, type IdSource,
	type Incarnation, type Logger, type Metrics, type PartnerId, type PoolId, type RequestId, type Timer,
} from '../../common/index.js';
import {AdmissionRules} from './admission-rules.js';
import {DecisionLog} from './decision-log.js';
import type {PoolDirectory} from './directory.js';
import {computeCost, GrantTracker, grantLifetime} from './grant-tracker.js';
import type {Ledger, ServerState} from './ledger.js';
import {
	countTokens, type AdmitRequest, type Grant, type Heartbeat,
} from './messages.js';
import {
	FirstTokenPlacement, type Placement, type PlacementPolicy, type PoolState, type ScoredServer,
} from './placement.js';
import {computePriority} from './prefill-estimator.js';
import {PrefixIndex} from './prefix-index.js';
import {
	FairQueue, type RequestQueue, type WaitingRequest,
} from './request-queue.js';
import {estimateHoldTime, reserveServer, type Reservation} from './reservation.js';
import {WaitPredictor} from './wait-predictor.js';

/** Maximum number of waiting requests tried per scan: a request behind that many unplaceable ones rarely fits either. */
const maxPlacementAttempts = 64;

/** A predicted wait must exceed the bound by this factor: refusing a request that would have fitted is worse than a late answer. */
const predictionTolerance = 1.5;

/** Maximum wait while no backend server accepts new work, in milliseconds: long enough for a restart. */
const emptyPoolTimeout = 5000;

/** Dependencies and options of a dispatcher. */
export type DispatcherParts = {
	pool: PoolId;
	term: number;
	/**
	 * Whether it replaces an unreachable term holder without a term of its own.
	 *
	 * @default false
	 */
	isProvisional?: boolean;
	clock: Clock;
	ids: IdSource;
	logger: Logger;
	metrics: Metrics;
	directory: PoolDirectory;
	/**
	 * Chooses the backend server of a request.
	 *
	 * @default FirstTokenPlacement
	 */
	placement?: PlacementPolicy;
	/**
	 * Orders the waiting requests.
	 *
	 * @default FairQueue
	 */
	queue?: RequestQueue;
	/**
	 * Whether memory is reserved for the head of the queue.
	 *
	 * @default true
	 */
	usesReservations?: boolean;
	/**
	 * Whether requests carry a priority that makes engines prefill short prompts first.
	 *
	 * @default true
	 */
	usesPriorities?: boolean;
	/**
	 * Whether a request is refused at once when its predicted wait exceeds its bound.
	 *
	 * @default true
	 */
	refusesEarly?: boolean;
};

/** Schedules the requests of one pool during one term. */
export class Dispatcher {
	readonly pool: PoolId;
	readonly term: number;
	/** Whether it runs without a term; it must not cancel work that it has no grant for. */
	readonly isProvisional: boolean;
	readonly #parts: DispatcherParts;
	readonly #placement: PlacementPolicy;
	readonly #queue: RequestQueue;
	readonly #prefixes = new PrefixIndex();
	readonly #rules: AdmissionRules;
	readonly #log: DecisionLog;
	readonly #predictor = new WaitPredictor();
	readonly #grants: GrantTracker;
	#reservation: Reservation | undefined;
	#isOpen = false;
	#closeFailure: Failure | undefined;
	#emptyTimer: Timer | undefined;

	constructor(parts: DispatcherParts) {
		this.pool = parts.pool;
		this.term = parts.term;
		this.isProvisional = parts.isProvisional ?? false;
		this.#parts = parts;
		this.#placement = parts.placement ?? new FirstTokenPlacement();
		this.#queue = parts.queue ?? new FairQueue();
		this.#grants = new GrantTracker(parts.clock, this.#queue);
		this.#rules = new AdmissionRules({...parts, ledger: this.ledger, countWaiting: () => this.#queue.size});
		this.#log = new DecisionLog(parts);
	}

	/** Outstanding grants and the memory they hold. */
	get ledger(): Ledger {
		return this.#grants.ledger;
	}

	/** Number of requests waiting. */
	get queueLength(): number {
		return this.#queue.size;
	}

	/** Starts granting, once the ledger is restored. */
	open(): void {
		this.#isOpen = true;
		this.#serveQueue();
		this.#watchEmptyPool();
	}

	/** Stops granting permanently; waiting requests resolve with the failure. */
	close(failure: Failure): void {
		this.#closeFailure = failure;
		this.#emptyTimer?.cancel();
		for (const waiting of this.#queue.removeAll()) {
			finishWaiting(waiting, Left(failure));
		}
	}

	/** Replaces the set of backend servers and places the requests that now fit. */
	setServers(servers: Iterable<ServerState>): void {
		this.ledger.setServers(servers);
		this.#serveQueue();
		this.#watchEmptyPool();
	}

	/** Discards the prefixes assumed to be cached on a backend server that was restarted. */
	invalidateCache(server: BackendServerId): void {
		this.#prefixes.removeServer(server);
	}

	/** Adds grants issued by an earlier dispatcher of the pool. */
	adoptGrants(grants: Grant[]): void {
		this.#grants.adopt(grants);
	}

	/** Requests a grant; resolves with it, or with a failure once the request's `patience` has passed at the latest. */
	async admit(request: AdmitRequest): Promise<Either<Failure, Grant>> {
		const {partner} = this.#parts.directory.findOrganisation(request.organisation);
		const refusal = this.#closeFailure ?? (this.#isOpen ? this.#rules.findRefusal(request, partner) : undefined);
		if (refusal !== undefined) {
			this.#log.logRefusal(request, refusal);
			return Left(refusal);
		}

		return new Promise(resolve => {
			const timer = this.#parts.clock.setTimer(request.patience, () => {
				this.#expire(request.requestId);
			});
			const waiting = this.#createWaiting(request, partner, timer, resolve);
			// Only the new request needs to be tried: those waiting did not fit, and no memory was freed since.
			const isPlaced = this.#isOpen && this.#canBypassQueue() && this.#tryPlace(waiting);
			if (!isPlaced) {
				this.#enqueue(waiting);
			}
		});
	}

	/** Removes a waiting request whose caller has disconnected. */
	withdraw(requestId: RequestId): void {
		const waiting = this.#removeFromQueue(requestId, 0);
		if (waiting !== undefined) {
			finishWaiting(waiting, Left(createFailure('caller_gone', 'the request was withdrawn while it waited', {ran: 'no'})));
			this.#serveQueue();
		}
	}

	/** Releases a grant that did not reach its entry node, or whose work is known to have ended. */
	reclaim(grantId: GrantId): void {
		this.#grants.release([grantId]);
		this.#serveQueue();
	}

	/**
	 * Handles the heartbeat of an entry node: frees the grants that it released.
	 *
	 * Returns whether the ledger and the entry node differ in the number of grants held.
	 */
	acceptHeartbeat(heartbeat: Heartbeat): boolean {
		this.#grants.recordHeartbeat(heartbeat.entry);
		this.#grants.release(heartbeat.released);
		this.#serveQueue();
		return this.ledger.listGrants(heartbeat.entry).length !== heartbeat.activeCount;
	}

	/** Updates the ledger from the full list of an entry node's grants. Recent grants may still be in transit and are kept. */
	reconcileEntry(entry: Incarnation, active: Grant[]): void {
		this.#grants.reconcile(entry, active);
		this.#serveQueue();
	}

	/** Lists the grants of entry nodes whose heartbeats have timed out; their work must be cancelled, then reclaimed. */
	listOrphans(): Grant[] {
		return this.#grants.listOrphans();
	}

	/** Removes expired state; call periodically. */
	prune(): void {
		this.#queue.prune();
		this.#rules.prune();
		this.#grants.prune();
	}

	#createWaiting(request: AdmitRequest, partner: PartnerId, timer: Timer, resolve: WaitingRequest['resolve']): WaitingRequest {
		const {directory} = this.#parts;
		const policy = directory.findPolicy(partner);
		const context = this.#rules.describeContext(request);
		return {
			request,
			partner,
			order: policy.evaluateOrder(context),
			weight: policy.evaluateWeight(context),
			share: directory.findShare(this.pool, partner),
			since: this.#parts.clock.readMonotonic(),
			timer,
			resolve,
		};
	}

	#enqueue(waiting: WaitingRequest): void {
		const refusal = this.#isOpen ? this.#predictOverload(waiting.request) : undefined;
		if (refusal !== undefined) {
			this.#log.logRefusal(waiting.request, refusal);
			finishWaiting(waiting, Left(refusal));
			return;
		}

		this.#queue.add(waiting);
		this.#predictor.recordWaiting(waiting.request.promptTokens, this.#parts.clock.readMonotonic());
		this.#reserveForHead();
		this.#watchEmptyPool();
	}

	/** Each prompt length class is served at its own rate, so only requests of the same class count as ahead. */
	#predictOverload(request: AdmitRequest): Failure | undefined {
		if (this.#queue.size === 0 || this.#parts.refusesEarly === false) {
			return undefined;
		}

		const priority = computePriority(request.promptTokens);
		let tokensAhead = countTokens(request);
		for (const waiting of this.#queue.listInOrder()) {
			tokensAhead += computePriority(waiting.request.promptTokens) === priority ? countTokens(waiting.request) : 0;
		}

		const wait = this.#predictor.predictWait(request.promptTokens, tokensAhead, this.#parts.clock.readMonotonic());
		if (wait === undefined || wait <= request.patience * predictionTolerance) {
			return undefined;
		}

		const retryAfterSeconds = Math.max(1, Math.ceil((wait - request.patience) / 1000));
		return createFailure('overloaded', `the predicted wait of ${Math.round(wait)} ms exceeds the time bound`, {retryAfterSeconds});
	}

	/** A new request may be placed ahead of the queue while the head holds a reservation, since it then cannot delay the head. */
	#canBypassQueue(): boolean {
		return this.#queue.size === 0 || this.#reservation !== undefined || this.#parts.usesReservations === false;
	}

	#serveQueue(): void {
		if (!this.#isOpen || this.#queue.size === 0) {
			return;
		}

		this.#reservation = undefined;
		let tried = 0;
		let mustRescan = true;
		while (mustRescan) {
			mustRescan = false;
			const largestFree = this.ledger.findLargestFree();
			for (const waiting of this.#queue.listInOrder()) {
				if (tried++ >= maxPlacementAttempts) {
					break;
				}

				// Most waiting requests fit on no server; checking every server for each would block the event loop for milliseconds.
				if (countTokens(waiting.request) <= largestFree && this.#tryPlace(waiting)) {
					this.#removeFromQueue(waiting.request.requestId, countTokens(waiting.request));
					// A placement changes the fair-queueing order.
					mustRescan = true;
					break;
				}

				this.#reserveFor(waiting);
			}
		}
	}

	#reserveForHead(): void {
		const [head] = this.#isOpen ? this.#queue.listInOrder() : [];
		if (head !== undefined) {
			this.#reserveFor(head);
		}
	}

	/** Reserves memory for the first request that could not be placed. */
	#reserveFor(waiting: WaitingRequest): void {
		if (this.#reservation === undefined && this.#parts.usesReservations !== false && !this.#rules.isOverLimit(waiting.request, waiting.partner)) {
			this.#reservation = reserveServer(waiting.request, this.ledger, this.#parts.clock.readMonotonic());
		}
	}

	#tryPlace(waiting: WaitingRequest): boolean {
		if (this.#rules.isOverLimit(waiting.request, waiting.partner)) {
			return false;
		}

		const state: PoolState = {
			ledger: this.ledger, prefillEstimator: this.#grants.prefillEstimator, prefixes: this.#prefixes, reservation: this.#reservation, now: this.#parts.clock.readMonotonic(),
		};
		const placement = this.#placement.place(waiting.request, state);
		if (placement.choice === undefined) {
			return false;
		}

		this.#grant(waiting, placement, placement.choice);
		return true;
	}

	#grant(waiting: WaitingRequest, placement: Placement, choice: ScoredServer): void {
		const {request} = waiting;
		const {server, cachedTokens} = choice;
		const now = this.#parts.clock.readMonotonic();
		const grant = this.#createGrant(waiting, choice, now);
		if (this.#reservation?.requestId === request.requestId) {
			this.#reservation = undefined;
		}

		const expectedPrefill = this.#grants.prefillEstimator.recordSent(server, request.promptTokens, cachedTokens, now);
		this.#grants.hold(grant, expectedPrefill, this.#queue.charge(waiting, computeCost(grant.tokens, grant.expectedHold)));
		this.#prefixes.recordSent(server.id, request.promptTokens, request.prefixes.hashes);
		this.#log.logPlacement(request, placement, server.id, {waited: now - waiting.since, openCount: this.ledger.listOpen().length});
		finishWaiting(waiting, Right(grant));
	}

	#createGrant(waiting: WaitingRequest, choice: ScoredServer, now: number): Grant {
		const {request} = waiting;
		return {
			grantId: this.#parts.ids.createUuid() as GrantId,
			requestId: request.requestId,
			pool: this.pool,
			organisation: request.organisation,
			entry: request.entry,
			backendServer: choice.server.id,
			url: choice.server.url,
			tokens: countTokens(request),
			expectedHold: estimateHoldTime(choice.server, request, choice.cachedTokens),
			priority: this.#parts.usesPriorities === false ? 0 : computePriority(request.promptTokens),
			term: this.term,
			usableFor: now - waiting.since + grantLifetime,
		};
	}

	#expire(requestId: RequestId): void {
		const waiting = this.#removeFromQueue(requestId, 0);
		if (waiting === undefined) {
			return;
		}

		const failure = createFailure('bound_passed_waiting', 'the time bound passed while the request waited for memory');
		this.#log.logRefusal(waiting.request, failure);
		finishWaiting(waiting, Left(failure));
		this.#serveQueue();
	}

	/** Removes a request from the queue; `servedTokens` is 0 unless it was granted. */
	#removeFromQueue(requestId: RequestId, servedTokens: number): WaitingRequest | undefined {
		const waiting = this.#queue.remove(requestId);
		if (waiting !== undefined) {
			this.#predictor.recordDone(waiting.request.promptTokens, servedTokens, this.#parts.clock.readMonotonic());
		}

		return waiting;
	}

	/** Fails all waiting requests when no backend server has been open for a while, so that callers can retry elsewhere. */
	#watchEmptyPool(): void {
		if (!this.#isOpen || this.ledger.listOpen().length > 0 || this.#emptyTimer !== undefined) {
			return;
		}

		this.#emptyTimer = this.#parts.clock.setTimer(emptyPoolTimeout, () => {
			this.#emptyTimer = undefined;
			if (this.ledger.listOpen().length > 0) {
				return;
			}

			const failure = createFailure('no_backend_server', `no backend server of ${this.pool} takes new work`);
			for (const waiting of this.#queue.removeAll()) {
				this.#predictor.recordDone(waiting.request.promptTokens, 0, this.#parts.clock.readMonotonic());
				this.#log.logRefusal(waiting.request, failure);
				finishWaiting(waiting, Left(failure));
			}
		});
	}
}

function finishWaiting(waiting: WaitingRequest, result: Either<Failure, Grant>): void {
	waiting.timer.cancel();
	waiting.resolve(result);
}
