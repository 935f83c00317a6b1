/**
 * Schedules the prefill of long prompts: when, and on which servers. Pure.
 *
 * Prompts ahead in the queue are assigned first. A prompt that would start later waits and asks again: a more urgent one may arrive
 * meanwhile, and short requests may need the servers.
 */
import {Left, Right, type Either} from 'purify-ts';
import {createFailure, type BackendServerId, type Failure} from '../common/index.js';
import type {EngineProfile} from '../routing/index.js';
import {computePassTime, computePrefillTime} from './engine-model.js';
import type {Plan, PlanRequest, WaitReason} from './plan.js';
import {maxPrefillServers, PrefillDemand} from './prefill-demand.js';
import {PrefillQueue} from './prefill-queue.js';
import {OverrunEstimator} from './overrun-estimator.js';
import {
	findBestOption, pauseMargin, type AvailableServer, type PrefillOption,
} from './prefill-options.js';
import {divideMemory} from './prompt-memory.js';
import type {ServerLoad} from './server-load.js';
import type {ShareGate} from './share-gate.js';
import {ShortDemand} from './short-demand.js';

/** Maximum time before its servers are free at which a prefill is planned, in milliseconds: later plans know more, and a pass takes about this long. */
const planningHorizon = 60;

/** Minimum and maximum time after which a waiting request asks again, in milliseconds. */
const minRetryDelay = 15;
const maxRetryDelay = 200;

/** Number of queued prompts ahead that are considered: later ones are decided again before their turn. */
const maxAhead = 8;

/**
 * Minimum ratio of a caller's remaining patience to the prefill by all servers together for which a prompt without a useful option waits.
 *
 * Load pattern: bursts of a few seconds that occupy the servers, and callers whose patience is four times the objective. Without waiting, the
 * largest prompts are rejected although servers become free a second later; with a lower ratio more prompts wait without being served.
 */
const minPatienceRatio = 3;

/**
 * Multiple of the expected overrun by which a late prefill may outlast its caller, and the minimum speedup by all servers for which it waits for them.
 *
 * Load pattern: forty streams on six servers, and a very large prompt when one or two of the servers are free. Prefill by those two ended after
 * the caller had left when they were 30 in 100 slower than declared; all six servers were free 0.3 s later.
 */
const overrunFactor = 2;
const minSpeedup = 2;

/** Retry delay of a prompt for which all servers are busy decoding, in seconds: about the duration of a short answer. */
const overloadRetryAfter = 1;

/** Decision for a long prompt: the server and the other parts of its plan, or when to ask again. */
export type PrefillDecision =
	| {kind: 'read'; server: BackendServerId; parts: Pick<Plan, 'helpers' | 'startIn' | 'expectedFirst' | 'ownTokens' | 'pause'>}
	| {kind: 'wait'; askAgainIn: number; reason: WaitReason};

/** Scheduler for the long prompts of one service. */
export class PrefillScheduler {
	readonly #queue = new PrefillQueue();
	readonly #demand = new PrefillDemand();
	readonly #shortDemand = new ShortDemand();
	readonly #overrun = new OverrunEstimator();
	readonly #shares: ShareGate | undefined;

	constructor(shares?: ShareGate) {
		this.#shares = shares;
	}

	/** Number of queued prompts, including those whose callers have left but whose entries have not timed out. */
	get waitingCount(): number {
		return this.#queue.length;
	}

	/** Decides for one request; a waiting request keeps its position by asking again. */
	decide(request: PlanRequest, servers: ServerLoad[], engine: EngineProfile, now: number): Either<Failure, PrefillDecision> {
		if (this.#shares?.isRepeat(request, now) !== true) {
			this.#demand.add(request, engine, now);
		}

		this.#queue.join(request, now, this.#shares?.computeRank(request, now));
		const available = servers.map(load => ({load, freeIn: load.findLongPrefillEnd(now) - now}));
		this.#reserveAhead(available, request, engine, now);
		const option = this.#findOption(available, request, engine, now);
		if (option === undefined) {
			return this.#waitOrReject(request, engine, servers.length, now);
		}

		if (this.#mayOutlastCaller(option, request, engine, servers)) {
			return Right({kind: 'wait', askAgainIn: planningHorizon, reason: 'writers'});
		}

		if (option.wait > planningHorizon) {
			this.#shares?.recordHeld(request, now);
			return Right({kind: 'wait', askAgainIn: Math.min(maxRetryDelay, Math.max(minRetryDelay, option.wait - (planningHorizon / 2))), reason: 'reading'});
		}

		// A prompt without enough memory leaves the queue too, so that prompts which fit can pass it.
		this.#queue.leave(request.requestId);
		return Right(describePrefill(option, request, engine));
	}

	/** Records a short request: it needs servers that are not stalled by a long prefill. */
	recordShort(request: PlanRequest, now: number): void {
		this.#shortDemand.add(request, now);
	}

	/** Records a prefill's predicted and actual time from its planned start to its first event, in milliseconds. Returns the allowed overrun if it was exceeded. */
	recordPrefill(predicted: number, took: number): number | undefined {
		const allowed = this.#overrun.share;
		this.#overrun.add(predicted, took);
		return took > predicted * (1 + allowed) ? allowed : undefined;
	}

	/** Drops requests that have left the queue. */
	prune(now: number): void {
		this.#queue.prune(now);
	}

	/** Assigns servers to prompts ahead in the queue. */
	#reserveAhead(available: AvailableServer[], request: PlanRequest, engine: EngineProfile, now: number): void {
		const maxServers = Math.min(available.length, maxPrefillServers);
		for (const ahead of this.#queue.listAhead(request.requestId, engine, maxServers, now).slice(0, maxAhead)) {
			const option = this.#findOption(available, ahead, engine, now);
			if (option !== undefined) {
				occupyServers(available, option);
			}
		}
	}

	#findOption(available: AvailableServer[], request: PlanRequest, engine: EngineProfile, now: number): PrefillOption | undefined {
		return findBestOption(available, {
			request,
			engine,
			demand: this.#demand,
			waitingLoss: this.#queue.computeWaitingLoss(request.requestId, now),
			overrun: this.#overrun.share,
			shortForecast: this.#shortDemand.summarise(engine, now),
			now,
		});
	}

	/** Whether a prefill is late anyway and may outlast its caller, while all servers together would take less than half the time once their current requests have ended. */
	#mayOutlastCaller(option: PrefillOption, request: PlanRequest, engine: EngineProfile, servers: ServerLoad[]): boolean {
		const overrun = this.#overrun.share;
		const sharedTime = computePrefillTime(engine, request.promptTokens, Math.min(servers.length, maxPrefillServers));
		if (servers.every(load => load.canAbsorbPrefill(engine, sharedTime + pauseMargin, overrun))) {
			return false;
		}

		const earliest = computeMinFinish(request, engine, servers.length);
		const latest = option.finish * (1 + (overrunFactor * overrun));
		return option.finish > request.objective && latest > request.patience && earliest * minSpeedup < option.finish && earliest * minPatienceRatio < request.patience;
	}

	/** Handles a prompt without a useful option: it waits while all servers together could be in time or would finish long before the caller leaves; otherwise it is rejected. */
	#waitOrReject(request: PlanRequest, engine: EngineProfile, servers: number, now: number): Either<Failure, PrefillDecision> {
		const earliest = computeMinFinish(request, engine, servers);
		if (earliest < request.objective || earliest * minPatienceRatio < request.patience) {
			return Right({kind: 'wait', askAgainIn: planningHorizon, reason: 'writers'});
		}

		this.#queue.leave(request.requestId);
		return Left(earliest > request.patience
			? createOverloadFailure(earliest - request.patience, this.#shares?.scheduleReturn(request, 0, {servers, engine}, now))
			: createFailure('overloaded', 'prefilling the prompt late would delay other requests for more than its value', {
				retryAfterSeconds: (this.#shares?.scheduleReturn(request, 0, {servers, engine}, now) ?? overloadRetryAfter * 1000) / 1000,
			}));
	}
}

/** Time to the first event with the maximum number of servers, in milliseconds. */
function computeMinFinish({promptTokens}: PlanRequest, engine: EngineProfile, servers: number): number {
	const serverCount = Math.min(servers, maxPrefillServers);
	return computePrefillTime(engine, promptTokens, serverCount) + computePassTime(engine, 1, promptTokens / serverCount);
}

/** Rejection of a request that would be served too late; `excess` and `retryIn` in milliseconds. */
export function createOverloadFailure(excess: number, retryIn = excess): Failure {
	const retryAfterSeconds = Math.max(0.1, retryIn / 1000);
	return createFailure('overloaded', `no backend server can start in time; the first event would be ${Math.round(excess)} ms too late`, {retryAfterSeconds});
}

function describePrefill(option: PrefillOption, request: PlanRequest, engine: EngineProfile): PrefillDecision {
	const memory = divideMemory(option.servers, request, engine);
	if (memory === undefined) {
		return {kind: 'wait', askAgainIn: planningHorizon, reason: 'memory'};
	}

	return {
		kind: 'read',
		server: memory.first.server.id,
		parts: {
			helpers: memory.helpers, startIn: option.wait, expectedFirst: option.finish, ownTokens: memory.ownTokens, pause: option.pause,
		},
	};
}

/** Marks the servers of an option as occupied until its prefill ends. */
function occupyServers(available: AvailableServer[], option: PrefillOption): void {
	for (const candidate of available) {
		if (option.servers.includes(candidate.load)) {
			candidate.freeIn = option.wait + option.prefillTime;
		}
	}
}
