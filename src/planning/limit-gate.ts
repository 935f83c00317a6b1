/** Enforces what backend servers ask for, a request limit or rest: which servers may take a request, and how it waits when none may. Pure. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type BackendServerId, type Failure} from '../common/index.js';
import {LimitQueue} from './limit-queue.js';
import type {Decision, PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';
import {ServerLimits} from './server-limits.js';
import type {ShareGate} from './share-gate.js';

/** Share of its caller's patience for which a request waits, and the maximum time until it asks again, in milliseconds. */
const maxWaitShare = 0.5;
const maxRetryDelay = 250;

/** Minimum retry delay of a rejected request, in seconds. */
const minRetryAfter = 0.1;

/** A request, the servers that may run it, and the share of their limits, from 0 to 1, that this node grants. */
export type GatedRequest = {request: PlanRequest; usable: ServerLoad[]; share: number};

/** Limits of one service and the requests that wait for them. */
export class LimitGate {
	/** Limits that servers have declared. */
	readonly limits = new ServerLimits();
	readonly #queue = new LimitQueue();
	readonly #shares: ShareGate | undefined;

	constructor(shares?: ShareGate) {
		this.#shares = shares;
	}

	/** Servers that may be sent one more request; empty while requests that have waited longer need the remaining tokens. */
	listAvailable({request, usable, share}: GatedRequest, now: number): ServerLoad[] {
		if (this.limits.size === 0 && (request.resting ?? []).length === 0) {
			return usable;
		}

		const available = usable.filter(load => this.#computeDelay(load, {request, share}, now) === 0);
		const tokens = available.reduce((sum, {server}) => sum + Math.floor(this.limits.countTokens(server.id, share, now)), 0);
		return this.#countAhead(request, now) < tokens ? available : [];
	}

	/** Queues the request if it can be sent soon; otherwise rejects it with a retry delay. */
	queueOrReject({request, usable, share}: GatedRequest, now: number): Either<Failure, Decision> {
		this.#shares?.recordHeld(request, now);
		const {requestId, service, patience, fingerprint} = request;
		const rate = usable.reduce((sum, {server}) => sum + this.limits.findGrantedRate(server.id, share), 0);
		const interval = 1000 / rate;
		const firstDelay = Math.min(...usable.map(load => this.#computeDelay(load, {request, share}, now)));
		const isResting = usable.some(load => computeRestLeft(load, request) > 0);
		const delay = firstDelay + (this.#countAhead(request, now) * interval);
		if (delay > patience * maxWaitShare) {
			this.#queue.leave(requestId);
			const retryIn = (this.#shares?.returns.assign(fingerprint, {delay, interval}, now) ?? this.#queue.scheduleRetry(delay, interval, now)) / 1000;
			const reason = `all backend servers of ${service} have reached their declared request limits or asked for rest`;
			return Left(createFailure('overloaded', reason, {retryAfterSeconds: Math.max(minRetryAfter, retryIn)}));
		}

		this.#queue.join(requestId, now, this.#shares?.computeRank(request, now));
		return Right({kind: 'wait', askAgainIn: Math.min(maxRetryDelay, Math.max(1, delay)), reason: isResting ? 'rest' : 'limit'});
	}

	/** Records that a request is sent to a server. */
	recordSent({request, share}: GatedRequest, server: BackendServerId, now: number): void {
		this.limits.take(server, share, now);
		this.#queue.leave(request.requestId);
	}

	#countAhead(request: PlanRequest, now: number): number {
		return this.#queue.countAhead(request.requestId, now, this.#shares?.computeRank(request, now));
	}

	/** Time until a server may be sent the request, in milliseconds. */
	#computeDelay(load: ServerLoad, {request, share}: Pick<GatedRequest, 'request' | 'share'>, now: number): number {
		return Math.max(this.limits.computeDelay(load.server.id, share, now), computeRestLeft(load, request));
	}
}

/** Time for which a server still wants no requests from the node that asks, in milliseconds. */
function computeRestLeft({server}: ServerLoad, {resting = []}: PlanRequest): number {
	return resting.find(other => other.server === server.id)?.time ?? 0;
}
