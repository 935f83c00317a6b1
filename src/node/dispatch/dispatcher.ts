/**
 * The dispatcher of one pool: admits, queues and places its requests.
 *
 * Pure but for the clock and the log: it does no I/O. After a takeover it is
 * filled by `adoptGrants` and opened by `open`; before that requests wait.
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

/** Waiting requests tried in one look at the queue: one that cannot be placed is behind many that cannot. */
const maxPlacementAttempts = 64;

/** A predicted wait must pass the bound by this factor: a refusal of what would have fitted is worse than a late answer. */
const predictionTolerance = 1.5;

/** How long a request waits while no backend server takes new work: long enough for one that restarts, in milliseconds. */
const emptyPoolTimeout = 5000;

/** What a dispatcher needs from its surroundings. */
export type DispatcherParts = {
	pool: PoolId;
	term: number;
	/**
	 * Whether it stands in for a holder without a term of its own.
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
	 * Chooses servers.
	 *
	 * @default FirstTokenPlacement
	 */
	placement?: PlacementPolicy;
	/**
	 * Orders what waits.
	 *
	 * @default FairQueue
	 */
	queue?: RequestQueue;
	/**
	 * Whether a place is kept for the head of the queue.
	 *
	 * @default true
	 */
	usesReservations?: boolean;
	/**
	 * Whether engines are told to read short prompts first.
	 *
	 * @default true
	 */
	usesPriorities?: boolean;
	/**
	 * Whether a request is refused at once when its predicted wait passes its bound.
	 *
	 * @default true
	 */
	refusesEarly?: boolean;
};

/** Decides for one pool under one term. */
export class Dispatcher {
	readonly pool: PoolId;
	readonly term: number;
	/** Whether it decides without a term; it must not cancel what it does not know. */
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

	/** Grants that are out, and the memory they hold. */
	get ledger(): Ledger {
		return this.#grants.ledger;
	}

	/** Number of requests waiting. */
	get queueLength(): number {
		return this.#queue.size;
	}

	/** Starts granting, once the ledger is filled. */
	open(): void {
		this.#isOpen = true;
		this.#serveQueue();
		this.#watchEmptyPool();
	}

	/** Stops for good: requests that wait are answered with the failure and nothing more is granted. */
	close(failure: Failure): void {
		this.#closeFailure = failure;
		this.#emptyTimer?.cancel();
		for (const waiting of this.#queue.removeAll()) {
			finishWaiting(waiting, Left(failure));
		}
	}

	/** Replaces the backend servers and places what now fits. */
	setServers(servers: Iterable<ServerState>): void {
		this.ledger.setServers(servers);
		this.#serveQueue();
		this.#watchEmptyPool();
	}

	/** Forgets what a backend server had cached: it was restarted. */
	invalidateCache(server: BackendServerId): void {
		this.#prefixes.removeServer(server);
	}

	/** Takes over grants that another dispatcher gave. */
	adoptGrants(grants: Grant[]): void {
		this.#grants.adopt(grants);
	}

	/** Asks for a place; resolves with a grant, or with a failure no later than the request's patience allows. */
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
			// What waits already could not be placed, and a newcomer gives it no room.
			const isPlaced = this.#isOpen && this.#canBypassQueue() && this.#tryPlace(waiting);
			if (!isPlaced) {
				this.#enqueue(waiting);
			}
		});
	}

	/** Takes a waiting request out of the queue: its caller is gone. */
	withdraw(requestId: RequestId): void {
		const waiting = this.#removeFromQueue(requestId, 0);
		if (waiting !== undefined) {
			finishWaiting(waiting, Left(createFailure('caller_gone', 'the request was withdrawn while it waited', {ran: 'no'})));
			this.#serveQueue();
		}
	}

	/** Takes back a grant that did not reach its entry, or whose work is known to have ended. */
	reclaim(grantId: GrantId): void {
		this.#grants.release([grantId]);
		this.#serveQueue();
	}

	/**
	 * Takes an entry's heartbeat: frees what it released.
	 *
	 * Returns whether the two disagree on how many grants the entry holds.
	 */
	acceptHeartbeat(heartbeat: Heartbeat): boolean {
		this.#grants.recordHeartbeat(heartbeat.entry);
		this.#grants.release(heartbeat.released);
		this.#serveQueue();
		return this.ledger.listGrants(heartbeat.entry).length !== heartbeat.activeCount;
	}

	/** Brings the ledger in step with the full list of an entry's grants. Young grants may still be on their way and stay. */
	reconcileEntry(entry: Incarnation, active: Grant[]): void {
		this.#grants.reconcile(entry, active);
		this.#serveQueue();
	}

	/** Lists the grants of entries that have been silent for too long; their work must be cancelled, then reclaimed. */
	listOrphans(): Grant[] {
		return this.#grants.listOrphans();
	}

	/** Forgets what says nothing any more; call once in a while. */
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

	/** Requests of another length are served at a rate of their own, so only those of its own length are ahead of a request. */
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
		return createFailure('overloaded', `the predicted wait of ${Math.round(wait)} ms passes the time bound`, {retryAfterSeconds});
	}

	/** A newcomer is tried at once while the queue's head has its place kept: it then can take nothing away from it. */
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

				// Most that waits is larger than all that is free: looking at every server for it would hold the loop for milliseconds.
				if (countTokens(waiting.request) <= largestFree && this.#tryPlace(waiting)) {
					this.#removeFromQueue(waiting.request.requestId, countTokens(waiting.request));
					// A placement changes whose turn it is.
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

	/** Keeps a place for the first request that found none. */
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

	/** Takes a request out of the queue; `servedTokens` are 0 unless it has been given its place. */
	#removeFromQueue(requestId: RequestId, servedTokens: number): WaitingRequest | undefined {
		const waiting = this.#queue.remove(requestId);
		if (waiting !== undefined) {
			this.#predictor.recordDone(waiting.request.promptTokens, servedTokens, this.#parts.clock.readMonotonic());
		}

		return waiting;
	}

	/** Gives up at once on what waits once no backend server has been open for a while: the caller can come back, but must know. */
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
