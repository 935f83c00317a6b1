/**
 * The dispatcher of one pool: admits, queues and places its requests.
 *
 * Pure but for the clock and the log: it does no I/O. After a takeover it is
 * filled by `adoptGrants` and opened by `open`; before that requests wait.
 */
import {type Either, Left, Right} from 'purify-ts';
import {
	createFailure, type BackendServerId, type Clock, type Failure, type GrantId, type IdSource,
	type Incarnation, type Logger, type Metrics, type PoolId, type RequestId, type Timer,
} from '../../common/index.js';
import {Ledger, type ServerState} from './ledger.js';
import type {AdmitRequest, Grant, Heartbeat} from './messages.js';
import {placeRequest, type Placement} from './placement.js';
import {WaitPredictor} from './wait-predictor.js';

/** How long a grant may stay unused, in milliseconds. */
export const grantLifetime = 2000;

/** Added to a grant's lifetime before the dispatcher takes it back unasked, in milliseconds. */
export const grantMargin = 1000;

/** Silence after which an entry that holds grants counts as dead, in milliseconds. */
export const entrySilence = 4000;

/** A request that has waited this long lets nothing behind it pass, in milliseconds. */
const overtakingLimit = 2000;

/** How long a request waits while no backend server takes new work: long enough for one that restarts, in milliseconds. */
const emptyPoolPatience = 5000;

/** Backend servers named in one log line. */
const loggedServers = 8;

type Waiting = {
	request: AdmitRequest;
	since: number;
	timer: Timer;
	resolve(result: Either<Failure, Grant>): void;
};

/** What a dispatcher needs from its surroundings. */
export type DispatcherParts = {
	pool: PoolId;
	term: number;
	clock: Clock;
	ids: IdSource;
	logger: Logger;
	metrics: Metrics;
};

/** Decides for one pool under one term. */
export class Dispatcher {
	readonly pool: PoolId;
	readonly term: number;
	readonly ledger = new Ledger();
	readonly #parts: DispatcherParts;
	readonly #predictor: WaitPredictor;
	readonly #lastHeard = new Map<Incarnation, number>();
	#queue: Waiting[] = [];
	#isOpen = false;
	#closedBy: Failure | undefined;
	#emptyTimer: Timer | undefined;

	constructor(parts: DispatcherParts) {
		this.pool = parts.pool;
		this.term = parts.term;
		this.#parts = parts;
		this.#predictor = new WaitPredictor(parts.clock.readMonotonic());
	}

	/** Number of requests waiting. */
	get queueLength(): number {
		return this.#queue.length;
	}

	/** Starts granting, once the ledger is filled. */
	open(): void {
		this.#isOpen = true;
		this.#serveQueue();
		this.#watchEmptyPool();
	}

	/** Stops for good: requests that wait are answered with the failure and nothing more is granted. */
	close(failure: Failure): void {
		this.#closedBy = failure;
		this.#emptyTimer?.cancel();
		for (const waiting of this.#queue) {
			this.#finish(waiting, Left(failure));
		}

		this.#queue = [];
	}

	/** Replaces the backend servers and places what now fits. */
	setServers(servers: Iterable<ServerState>): void {
		this.ledger.setServers(servers);
		this.#serveQueue();
		this.#watchEmptyPool();
	}

	/** Takes over grants that another dispatcher gave. */
	adoptGrants(grants: Grant[]): void {
		const now = this.#parts.clock.readMonotonic();
		for (const grant of grants) {
			this.ledger.hold(grant, now);
			this.#lastHeard.set(grant.entry, now);
		}
	}

	/** Asks for a place; resolves with a grant, or with a failure no later than the request's patience allows. */
	async admit(request: AdmitRequest): Promise<Either<Failure, Grant>> {
		const refusal = this.#closedBy ?? this.#findRefusal(request);
		if (refusal !== undefined) {
			this.#logRefusal(request, refusal);
			return Left(refusal);
		}

		return new Promise(resolve => {
			const timer = this.#parts.clock.setTimer(request.patience, () => {
				this.#giveUp(request.requestId);
			});
			this.#queue.push({
				request, since: this.#parts.clock.readMonotonic(), timer, resolve,
			});
			this.#serveQueue();
			this.#watchEmptyPool();
		});
	}

	/** Takes a waiting request out of the queue: its caller is gone. */
	withdraw(requestId: RequestId): void {
		const waiting = this.#take(requestId);
		if (waiting !== undefined) {
			this.#finish(waiting, Left(createFailure('caller_gone', 'the request was withdrawn while it waited', {ran: 'no'})));
		}
	}

	/** Takes back a grant that did not reach its entry, or whose work is known to have ended. */
	reclaim(grantId: GrantId): void {
		this.#release([grantId]);
		this.#serveQueue();
	}

	/**
	 * Takes an entry's heartbeat: frees what it released.
	 *
	 * Returns whether the two disagree on how many grants the entry holds.
	 */
	acceptHeartbeat(heartbeat: Heartbeat): boolean {
		this.#lastHeard.set(heartbeat.entry, this.#parts.clock.readMonotonic());
		this.#release(heartbeat.released);
		this.#serveQueue();
		return this.ledger.listGrants(heartbeat.entry).length !== heartbeat.activeCount;
	}

	/** Brings the ledger in step with the full list of an entry's grants. Young grants may still be on their way and stay. */
	reconcileEntry(entry: Incarnation, active: Grant[]): void {
		this.adoptGrants(active);
		const kept = new Set(active.map(grant => grant.grantId));
		const oldest = this.#parts.clock.readMonotonic() - grantLifetime - grantMargin;
		const stale = this.ledger.listGrants(entry).filter(held => !kept.has(held.grant.grantId) && held.since < oldest);
		this.#release(stale.map(held => held.grant.grantId));
		this.#serveQueue();
	}

	/** Lists the grants of entries that have been silent for too long; their work must be cancelled, then reclaimed. */
	listOrphans(): Grant[] {
		const limit = this.#parts.clock.readMonotonic() - entrySilence;
		return this.ledger.listGrants()
			.filter(held => Math.max(held.since, this.#lastHeard.get(held.grant.entry) ?? 0) < limit)
			.map(held => held.grant);
	}

	#findRefusal(request: AdmitRequest): Failure | undefined {
		if (!this.#isOpen) {
			return undefined;
		}

		const open = this.ledger.listOpen();
		const largest = Math.max(0, ...open.map(server => server.capacity));
		if (open.length > 0 && request.tokens > largest) {
			const message = `the request needs ${request.tokens} tokens of memory and the largest backend server of ${this.pool} holds ${largest}; `
				+ 'shorten the prompt or lower max_tokens';
			return createFailure('prompt_too_large', message);
		}

		if (open.length === 0) {
			return undefined;
		}

		if (open.every(server => request.excluded.includes(server.id))) {
			return createFailure('backend_busy', `every backend server of ${this.pool} has just failed to take this request`);
		}

		return this.#predictOverload(request, open);
	}

	#predictOverload(request: AdmitRequest, open: ServerState[]): Failure | undefined {
		const queued = this.#queue.reduce((sum, waiting) => sum + waiting.request.tokens, 0);
		if (queued === 0) {
			return undefined;
		}

		const free = open.reduce((sum, server) => sum + Math.max(0, this.ledger.countFree(server.id)), 0);
		const wait = this.#predictor.predictWait(queued + request.tokens - free);
		if (wait === undefined || wait <= request.patience) {
			return undefined;
		}

		const retryAfterSeconds = Math.max(1, Math.ceil((wait - request.patience) / 1000));
		return createFailure('overloaded', `the predicted wait of ${Math.round(wait)} ms passes the time bound`, {retryAfterSeconds});
	}

	#serveQueue(): void {
		if (!this.#isOpen || this.#queue.length === 0) {
			return;
		}

		const now = this.#parts.clock.readMonotonic();
		const left: Waiting[] = [];
		let isBlocked = false;
		for (const waiting of this.#queue) {
			const placement = isBlocked ? undefined : placeRequest(this.ledger, waiting.request);
			if (placement?.choice === undefined) {
				left.push(waiting);
				isBlocked ||= now - waiting.since > overtakingLimit;
			} else {
				this.#grant(waiting, placement, placement.choice);
			}
		}

		this.#queue = left;
	}

	#grant(waiting: Waiting, placement: Placement, server: ServerState): void {
		const {request} = waiting;
		const now = this.#parts.clock.readMonotonic();
		const grant: Grant = {
			grantId: this.#parts.ids.createUuid() as GrantId,
			requestId: request.requestId,
			pool: this.pool,
			entry: request.entry,
			backendServer: server.id,
			url: server.url,
			tokens: request.tokens,
			term: this.term,
			usableFor: now - waiting.since + grantLifetime,
		};
		this.ledger.hold(grant, now);
		this.#lastHeard.set(request.entry, now);
		this.#logPlacement(waiting, placement, server.id, now);
		this.#finish(waiting, Right(grant));
	}

	#release(grantIds: GrantId[]): void {
		const now = this.#parts.clock.readMonotonic();
		for (const grantId of grantIds) {
			const grant = this.ledger.release(grantId);
			if (grant !== undefined) {
				this.#predictor.recordRelease(grant.tokens, now);
			}
		}
	}

	#giveUp(requestId: RequestId): void {
		const waiting = this.#take(requestId);
		if (waiting === undefined) {
			return;
		}

		const failure = createFailure('bound_passed_waiting', 'the time bound passed while the request waited for memory');
		this.#logRefusal(waiting.request, failure);
		this.#finish(waiting, Left(failure));
	}

	/** Gives up at once on what waits once no backend server has been open for a while: the caller can come back, but must know. */
	#watchEmptyPool(): void {
		if (!this.#isOpen || this.ledger.listOpen().length > 0 || this.#emptyTimer !== undefined) {
			return;
		}

		this.#emptyTimer = this.#parts.clock.setTimer(emptyPoolPatience, () => {
			this.#emptyTimer = undefined;
			if (this.ledger.listOpen().length > 0) {
				return;
			}

			const failure = createFailure('no_backend_server', `no backend server of ${this.pool} takes new work`);
			for (const waiting of this.#queue.splice(0)) {
				this.#logRefusal(waiting.request, failure);
				this.#finish(waiting, Left(failure));
			}
		});
	}

	#take(requestId: RequestId): Waiting | undefined {
		const index = this.#queue.findIndex(waiting => waiting.request.requestId === requestId);
		return index === -1 ? undefined : this.#queue.splice(index, 1)[0];
	}

	#finish(waiting: Waiting, result: Either<Failure, Grant>): void {
		waiting.timer.cancel();
		waiting.resolve(result);
	}

	#logPlacement(waiting: Waiting, placement: Placement, choice: BackendServerId, now: number): void {
		const waited = now - waiting.since;
		this.#parts.metrics.recordTiming('queue.wait', waited, {pool: this.pool});
		this.#parts.logger.info({
			...describeRequest(waiting.request),
			event: 'placement',
			term: this.term,
			weighed: placement.weighed.slice(0, loggedServers).map(({server, freeTokens}) => ({server: server.id, freeTokens})),
			weighedCount: placement.weighed.length,
			choice,
			reason: placement.reason,
			waited: Math.round(waited),
		}, 'request placed');
	}

	#logRefusal(request: AdmitRequest, failure: Failure): void {
		this.#parts.metrics.incrementCounter('refusals', {pool: this.pool, kind: failure.kind});
		this.#parts.logger.info({
			...describeRequest(request), event: 'refusal', term: this.term, kind: failure.kind, reason: failure.message,
		}, 'request refused');
	}
}

function describeRequest(request: AdmitRequest): Record<string, unknown> {
	return {
		request: request.requestId,
		organisation: request.organisation,
		service: request.service,
		promptTokens: request.promptTokens,
		tokens: request.tokens,
	};
}
