/** Keeps requests within the limits of backend servers: which servers are open to a request, and how it waits when none is. Pure. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type BackendServerId, type Failure} from '../common/index.js';
import {LimitQueue} from './limit-queue.js';
import type {Decision, PlanRequest} from './plan.js';
import type {ServerLoad} from './server-load.js';
import {ServerLimits} from './server-limits.js';

/** Part of its caller's patience for which a request waits, and the longest time until it asks again, in milliseconds. */
const waitShare = 0.5;
const longestAskPause = 250;

/** Shortest time after which a rejected request should return, in seconds. */
const shortestReturn = 0.1;

/** A request, the servers that may run it, and the part of their limits, from 0 to 1, that is granted here. */
export type GatedRequest = {request: PlanRequest; usable: ServerLoad[]; share: number};

/** Limits of one service and the requests that wait for them. */
export class LimitGate {
	/** Limits that servers have named. */
	readonly limits = new ServerLimits();
	readonly #line = new LimitQueue();

	/** Servers that may be sent one more request. Where only limited ones are left, those that wait longer go first. */
	listAvailable({request, usable, share}: GatedRequest, now: number): ServerLoad[] {
		if (this.limits.size === 0) {
			return usable;
		}

		const open = usable.filter(({server}) => this.limits.computeDelay(server.id, share, now) === 0);
		const tokens = open.reduce((sum, {server}) => sum + Math.floor(this.limits.countTokens(server.id, share, now)), 0);
		return this.#line.countAhead(request.requestId, now) < tokens ? open : [];
	}

	/** Queues the request if it can be sent soon; otherwise rejects it with a time to return. */
	queueOrReject({request, usable, share}: GatedRequest, now: number): Either<Failure, Decision> {
		const {requestId, service, patience} = request;
		const rate = usable.reduce((sum, {server}) => sum + this.limits.findGrantedRate(server.id, share), 0);
		const interval = 1000 / rate;
		const first = Math.min(...usable.map(({server}) => this.limits.computeDelay(server.id, share, now)));
		const delay = first + (this.#line.countAhead(requestId, now) * interval);
		if (delay > patience * waitShare) {
			this.#line.leave(requestId);
			const returnIn = this.#line.scheduleRetry(delay, interval, now) / 1000;
			return Left(createFailure('overloaded', `all backend servers of ${service} have reached the request limits that they named`, {retryAfterSeconds: Math.max(shortestReturn, returnIn)}));
		}

		this.#line.join(requestId, now);
		return Right({kind: 'wait', askAgainIn: Math.min(longestAskPause, Math.max(1, delay)), reason: 'limit'});
	}

	/** Notes that a request is sent to a server. */
	recordSent({request, share}: GatedRequest, server: BackendServerId, now: number): void {
		this.limits.take(server, share, now);
		this.#line.leave(request.requestId);
	}
}
