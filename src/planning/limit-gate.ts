/** Enforces what backend servers ask for, a request limit or rest, and the limits of cold ones: which servers may take a request, and how it waits when none may. Pure. */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type BackendServerId, type Failure} from '../common/index.js';
import {ColdLimits, type ColdShare} from './cold-limits.js';
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

/** A request, the servers that may run it, and the shares of their declared and cold limits, from 0 to 1, that this node grants. */
export type GatedRequest = {request: PlanRequest; usable: ServerLoad[]; share: number; coldShare: ColdShare};

/** What a delay depends on besides the server. */
type DelayInputs = Omit<GatedRequest, 'usable'>;

/** Marks rejections because of cold servers in their text, for the counter of those and for operators. */
const coldReason = 'are cold and take few requests';

/** Whether a request was rejected because servers are cold. */
export function isColdRejection(failure: Failure): boolean {
	return failure.message.includes(coldReason);
}

/** Limits of one service and the requests that wait for them. */
export class LimitGate {
	/** Limits that servers have declared. */
	readonly limits = new ServerLimits();
	/** Limits of cold servers. */
	readonly cold = new ColdLimits();
	readonly #queue = new LimitQueue();
	readonly #shares: ShareGate | undefined;

	constructor(shares?: ShareGate) {
		this.#shares = shares;
	}

	/** Servers that may be sent one more request; empty while requests that have waited longer need the remaining tokens. */
	listAvailable({request, usable, ...shares}: GatedRequest, now: number): ServerLoad[] {
		if (this.limits.size === 0 && !this.cold.hasLimits(now) && (request.resting ?? []).length === 0) {
			return usable;
		}

		const available = usable.filter(load => this.#computeDelay(load, {request, ...shares}, now) === 0);
		return this.hasTokens({request, usable: available, ...shares}, now) ? available : [];
	}

	/** Whether the servers have tokens for this request and for those that have waited longer. */
	hasTokens({request, usable, share, coldShare}: GatedRequest, now: number): boolean {
		const tokens = usable.reduce((sum, {server: {id}}) =>
			sum + Math.floor(Math.min(this.limits.countTokens(id, share, now), this.cold.countTokens(id, coldShare(id), now))), 0);
		return this.#countAhead(request, now) < tokens;
	}

	/** Whether a server is cold, or rises to its full rate after that. */
	isCold({server}: ServerLoad, now: number): boolean {
		return this.cold.isLimited(server.id, now);
	}

	/** Queues the request if it can be sent soon; otherwise rejects it with a retry delay. */
	queueOrReject({request, usable, ...shares}: GatedRequest, now: number): Either<Failure, Decision> {
		this.#shares?.recordHeld(request, now);
		const {requestId, service, patience, fingerprint} = request;
		const rate = this.#sumRates({usable, ...shares}, now);
		const interval = 1000 / rate;
		const isCold = usable.some(load => this.isCold(load, now));
		const isResting = usable.some(load => computeRestLeft(load, request) > 0);
		const delay = this.computeWait({request, usable, ...shares}, now);
		if (delay > patience * maxWaitShare) {
			this.#queue.leave(requestId);
			const retryIn = (this.#shares?.returns.assign(fingerprint, {delay, interval}, now) ?? this.#queue.scheduleRetry(delay, interval, now)) / 1000;
			const reason = isCold
				? `backend servers of ${service} ${coldReason}, and the others are full`
				: `all backend servers of ${service} have reached their declared request limits or asked for rest`;
			return Left(createFailure('overloaded', reason, {retryAfterSeconds: Math.max(minRetryAfter, retryIn)}));
		}

		this.#queue.join(requestId, now, this.#shares?.computeRank(request, now));
		return Right({kind: 'wait', askAgainIn: Math.min(maxRetryDelay, Math.max(1, delay)), reason: isCold ? 'cold' : (isResting ? 'rest' : 'limit')});
	}

	/** Time until the request may be sent to one of the servers, after those that have waited longer. */
	computeWait({request, usable, ...shares}: GatedRequest, now: number): number {
		const firstDelay = Math.min(...usable.map(load => this.#computeDelay(load, {request, ...shares}, now)));
		return firstDelay + (this.#countAhead(request, now) * 1000 / this.#sumRates({usable, ...shares}, now));
	}

	/** Records that a request is sent to a server. */
	recordSent({request, share}: GatedRequest, server: BackendServerId, now: number): void {
		this.limits.take(server, share, now);
		this.cold.take(server, now);
		this.#queue.leave(request.requestId);
	}

	#countAhead(request: PlanRequest, now: number): number {
		return this.#queue.countAhead(request.requestId, now, this.#shares?.computeRank(request, now));
	}

	/** Time until a server may be sent the request, in milliseconds. */
	#computeDelay(load: ServerLoad, {request, share, coldShare}: DelayInputs, now: number): number {
		const {id} = load.server;
		return Math.max(this.limits.computeDelay(id, share, now), this.cold.computeDelay(id, coldShare(id), now), computeRestLeft(load, request));
	}

	#sumRates({usable, ...shares}: Omit<GatedRequest, 'request'>, now: number): number {
		return usable.reduce((sum, {server}) => sum + this.#findGrantedRate(server.id, shares, now), 0);
	}

	/** The lower of the granted rates of a declared limit and of a cold server. */
	#findGrantedRate(id: BackendServerId, {share, coldShare}: Pick<GatedRequest, 'share' | 'coldShare'>, now: number): number {
		return Math.min(this.limits.findGrantedRate(id, share), this.cold.findGrantedRate(id, coldShare(id), now));
	}
}

/** Time for which a server still wants no requests from the node that asks, in milliseconds. */
function computeRestLeft({server}: ServerLoad, {resting = []}: PlanRequest): number {
	return resting.find(other => other.server === server.id)?.time ?? 0;
}
