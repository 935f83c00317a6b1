/**
 * When long prompts are read, and by which servers. Pure.
 *
 * Those ahead in line are thought of first; a request that would begin later waits and
 * asks again: what came meanwhile may go first, and short requests may need the servers.
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

/** A long read is planned at most this long before its servers are free, in milliseconds: later plans see more, and passes are about this long. */
const planAhead = 60;

/** Least and longest time after which a waiting request asks again, in milliseconds. */
const leastAskPause = 15;
const longestAskPause = 200;

/** Requests ahead in line that are thought of: what comes after them is decided anew before its turn. */
const mostAhead = 8;

/**
 * Times the reading by all servers together for which a caller must still wait, that a prompt waits for which nothing brings anything now.
 *
 * Load pattern: bursts of some seconds that make servers dear, and fleets of callers that bear four times as long. Refused at once, the
 * largest prompts went unserved beside servers that were free again a second later: 20 replayed days brought 0.810 of the worth for 0.820, after
 * what waiting in vain costs 0.801 for 0.809; between 1.2 and 3 the days bring the same, and with 3 fewer wait in vain.
 */
const worthWaiting = 3;

/**
 * Times the doubt in a read's length by which it may outlast its caller, and how many times sooner all servers together must be, for a late read to wait for them.
 *
 * Load pattern: forty streams over six servers, of which one or two have ended when a giant asks. Read by those two it came after its caller
 * had left when they were 30 in 100 slower than stated; all six were free 0.3 s later. 64 replayed days bring 0.760 of the worth with and without it, and
 * 24 of the 562 largest prompts lose their caller in place of 30.
 */
const outlastDoubts = 2;
const muchSooner = 2;

/** When a prompt is asked to come back that found only servers with writers, in seconds: about the length of a short answer. */
const holdUpRetry = 1;

/** What is decided of a long prompt: which server takes it and what else its plan holds, or when to ask again. */
export type ReadDecision =
	| {kind: 'read'; server: BackendServerId; parts: Pick<Plan, 'helpers' | 'startIn' | 'expectedFirst' | 'ownTokens' | 'pause'>}
	| {kind: 'wait'; askAgainIn: number; reason: WaitReason};

/** Long prompts of one service. */
export class PrefillScheduler {
	readonly #line = new PrefillQueue();
	readonly #demand = new PrefillDemand();
	readonly #overrun = new OverrunEstimator();

	/** Prompts that wait to be read, also those that have left and were not missed yet. */
	get waitingCount(): number {
		return this.#line.length;
	}

	/** Decides for one request; it keeps its place in line by asking again. */
	decide(request: PlanRequest, servers: ServerLoad[], engine: EngineProfile, now: number): Either<Failure, ReadDecision> {
		this.#demand.add(request, engine, now);
		this.#line.join(request, now);
		const openings = servers.map(load => ({load: load, freeIn: load.findLongPrefillEnd(now) - now}));
		this.#occupyAhead(openings, request, engine, now);
		const way = this.#findWay(openings, request, engine, now);
		if (way === undefined) {
			return this.#waitOrRefuse(request, engine, servers.length);
		}

		if (this.#mayOutlastCaller(way, request, engine, servers)) {
			return Right({kind: 'wait', askAgainIn: planAhead, reason: 'writers'});
		}

		if (way.wait > planAhead) {
			return Right({kind: 'wait', askAgainIn: Math.min(longestAskPause, Math.max(leastAskPause, way.wait - (planAhead / 2))), reason: 'reading'});
		}

		// It leaves the line also when it finds no room: those who do pass it.
		this.#line.leave(request.requestId);
		return Right(describeRead(way, request, engine));
	}

	/** Notes how long a read took from its planned start to its first event; both times in milliseconds. Says by which share it may be longer than predicted when it was. */
	recordPrefill(predicted: number, took: number): number | undefined {
		const planned = this.#overrun.share;
		this.#overrun.add(predicted, took);
		return took > predicted * (1 + planned) ? planned : undefined;
	}

	/** Forgets who has left the line. */
	prune(now: number): void {
		this.#line.prune(now);
	}

	/** Those ahead take their servers first. */
	#occupyAhead(openings: AvailableServer[], request: PlanRequest, engine: EngineProfile, now: number): void {
		const most = Math.min(openings.length, maxPrefillServers);
		for (const ahead of this.#line.listAhead(request.requestId, engine, most, now).slice(0, mostAhead)) {
			const way = this.#findWay(openings, ahead, engine, now);
			if (way !== undefined) {
				occupy(openings, way);
			}
		}
	}

	#findWay(openings: AvailableServer[], request: PlanRequest, engine: EngineProfile, now: number): PrefillOption | undefined {
		return findBestOption(openings, {
			request, engine, demand: this.#demand, waitingLoss: this.#line.computeWaitingLoss(request.requestId, now), overrun: this.#overrun.share, now,
		});
	}

	/** Whether a read is late anyway and may be so long that its caller leaves, while all servers together would read in less than half of the time once their writers have ended. */
	#mayOutlastCaller(way: PrefillOption, request: PlanRequest, engine: EngineProfile, servers: ServerLoad[]): boolean {
		const overrun = this.#overrun.share;
		const part = computePrefillTime(engine, request.promptTokens, Math.min(servers.length, maxPrefillServers));
		if (servers.every(board => board.canAbsorbPrefill(engine, part + pauseMargin, overrun))) {
			return false;
		}

		const least = computeLeastFinish(request, engine, servers.length);
		const latest = way.finish * (1 + (outlastDoubts * overrun));
		return way.finish > request.objective && latest > request.patience && least * muchSooner < way.finish && least * worthWaiting < request.patience;
	}

	/** Nothing brings anything now. While all servers together could still be in time, or long before the caller leaves, a request waits; else it is refused. */
	#waitOrRefuse(request: PlanRequest, engine: EngineProfile, servers: number): Either<Failure, ReadDecision> {
		const least = computeLeastFinish(request, engine, servers);
		if (least < request.objective || least * worthWaiting < request.patience) {
			return Right({kind: 'wait', askAgainIn: planAhead, reason: 'writers'});
		}

		this.#line.leave(request.requestId);
		return Left(least > request.patience
			? createOverloadFailure(least - request.patience)
			: createFailure('overloaded', 'reading the prompt late would cost others more than it brings', {retryAfterSeconds: holdUpRetry}));
	}
}

/** Time to the first event when as many servers as may read together, in milliseconds. */
function computeLeastFinish({promptTokens}: PlanRequest, engine: EngineProfile, servers: number): number {
	const readers = Math.min(servers, maxPrefillServers);
	return computePrefillTime(engine, promptTokens, readers) + computePassTime(engine, 1, promptTokens / readers);
}

/** A refusal of what would come too late; `excess` in milliseconds. */
export function createOverloadFailure(excess: number): Failure {
	const retryAfterSeconds = Math.max(0.1, excess / 1000);
	return createFailure('overloaded', `no backend server can begin in time; it would be ${Math.round(excess)} ms too late`, {retryAfterSeconds});
}

function describeRead(way: PrefillOption, request: PlanRequest, engine: EngineProfile): ReadDecision {
	const memory = divideMemory(way.servers, request, engine);
	if (memory === undefined) {
		return {kind: 'wait', askAgainIn: planAhead, reason: 'memory'};
	}

	return {
		kind: 'read',
		server: memory.first.server.id,
		parts: {
			helpers: memory.helpers, startIn: way.wait, expectedFirst: way.finish, ownTokens: memory.ownTokens, pause: way.pause,
		},
	};
}

/** Marks the readers of a way as taken until it has read. */
function occupy(openings: AvailableServer[], way: PrefillOption): void {
	for (const opening of openings) {
		if (way.servers.includes(opening.load)) {
			opening.freeIn = way.wait + way.prefillTime;
		}
	}
}
