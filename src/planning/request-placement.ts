/**
 * Places a request on some of the servers that may be sent one now: on a server of its own, packed beside others, or as a long prefill that
 * several servers share. Pure.
 */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, type BackendServerId, type CrashTrait, type Failure, type IdSource, type PlanId,
} from '../common/index.js';
import type {EngineProfile} from '../routing/index.js';
import type {ActivePlans} from './active-plans.js';
import {placeWarmFirst} from './cold-placement.js';
import {computePrefillTime} from './engine-model.js';
import {findEqualMin} from './find-min.js';
import {divideWithoutDemand, visibilityRetryDelay, type LimitedVisibility} from './fleet-visibility.js';
import {trialRetryDelay, type IsolationTrials} from './crashes/index.js';
import type {GatedRequest, LimitGate} from './limit-gate.js';
import type {Decision, Plan, PlanRequest} from './plan.js';
import {createOverloadFailure, type PrefillScheduler} from './prefill-scheduler.js';
import type {PromptClassifier} from './prompt-classifier.js';
import {hashAttempt} from './request-share.js';
import type {ServerLoad} from './server-load.js';
import type {ServerGroups, ServerPartition} from './server-partition.js';
import type {ShareGate} from './share-gate.js';
import {forecastRoom, placeShort} from './short-placement.js';

/** Characters of a plan id: enough to be unique among thousands of plans, and short, because ids are listed once a second. */
const planIdLength = 12;

/** The state of a planner that placement depends on. */
export type RequestPlacementParts = {
	ids: IdSource;
	plans: ActivePlans;
	prompts: PromptClassifier;
	partition: ServerPartition;
	visibility: LimitedVisibility;
	trials: IsolationTrials;
	scheduler: PrefillScheduler;
	gate: LimitGate;
	/** Undefined when organisations have no shares. */
	shareGate: ShareGate | undefined;
};

/** The servers that may be sent the request now, and the trait for which it needs one of its own; undefined when it needs none. */
export type PlacementServers = {available: ServerLoad[]; isolatedTrait: CrashTrait | undefined};

/** Placement of one service's requests. */
export class RequestPlacement {
	readonly #parts: RequestPlacementParts;

	constructor(parts: RequestPlacementParts) {
		this.#parts = parts;
	}

	/** Plans on warm servers until they are full, then on cold ones; what occupies a server for long goes to a cold one only when there is no warm one. */
	place(gated: GatedRequest, {available, isolatedTrait}: PlacementServers, now: number): Either<Failure, Decision> {
		const {gate, prompts} = this.#parts;
		const {request} = gated;
		const plan = (servers: ServerLoad[]) => isolatedTrait === undefined ? this.#planShared(request, servers, now) : this.#planIsolated(request, isolatedTrait, servers, now);
		if (!gate.cold.hasLimits(now)) {
			return plan(available);
		}

		return placeWarmFirst({
			gate, gated, available, plan, isHeavy: isolatedTrait !== undefined || prompts.isLong(request), isFull: decision => this.#isFull(decision),
		}, now);
	}

	/** Whether a plan would make its request wait at its server, since all servers that it was chosen from are full. */
	#isFull(decision: Decision): boolean {
		const {plans, prompts: {engine}} = this.#parts;
		const load = decision.kind === 'plan' ? plans.loads.get(decision.plan.server) : undefined;
		if (load === undefined || decision.kind !== 'plan') {
			return false;
		}

		const {request: {promptTokens, objective}, expectedFirst} = decision.plan;
		return engine === undefined || promptTokens === 0
			? load.taskCount >= load.server.slots
			: load.writers >= engine.slots || (objective > 0 && expectedFirst > objective);
	}

	#planShared(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		const {engine} = this.#parts.prompts;
		return engine === undefined || request.promptTokens === 0
			? this.#planPlain(request, usable, now)
			: this.#planPrompt(request, usable, engine, now);
	}

	/** Runs a request that crashed servers on a server of its own. */
	#planIsolated(request: PlanRequest, trait: CrashTrait, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		if (request.patience <= trialRetryDelay) {
			return Left(createFailure('overloaded', 'backend servers crashed while they ran this request or others with a part of its prompt, and none is free to run it in isolation'));
		}

		const {trials, plans, prompts: {engine}} = this.#parts;
		const load = trials.findServer(trait, usable, plans.loads.size, now);
		if (load === undefined) {
			return Right({kind: 'wait', askAgainIn: trialRetryDelay, reason: 'trial'});
		}

		const isPrompt = engine !== undefined && request.promptTokens > 0;
		const expectedFirst = isPrompt ? computePrefillTime(engine, request.promptTokens) : 0;
		const decision = this.#createPlan(request, load.server.id, {expectedFirst, ownTokens: isPrompt ? request.promptTokens + request.outputTokens : 0});
		trials.recordStart(load.server.id, decision.plan.planId);
		return Right(decision);
	}

	#planPlain(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		const best = findEqualMin(usable, load => (load.taskCount / load.server.slots) + load.health.computeFailureShare(now), hashAttempt(request))!;
		return Right(this.#createPlan(request, best.server.id, {expectedFirst: 0}));
	}

	#planPrompt(request: PlanRequest, usable: ServerLoad[], engine: EngineProfile, now: number): Either<Failure, Decision> {
		const {visibility, partition, plans, prompts, scheduler} = this.#parts;
		const groups = visibility.isLimited ? divideWithoutDemand(usable, request.requestId) : partition.divide([...plans.loads.values()], usable, engine, now);
		const prefillTime = computePrefillTime(engine, request.promptTokens);
		if (prompts.isLong(request)) {
			partition.recordLong(request, prefillTime, now);
			if (visibility.shouldWait(request, prefillTime, now)) {
				return Right({kind: 'wait', askAgainIn: visibilityRetryDelay, reason: 'sight'});
			}

			return this.#planLong(request, [...new Set([...groups.forLong, ...groups.forShort])], engine, now);
		}

		scheduler.recordShort(request, now);
		return this.#planShort(request, groups, engine, now);
	}

	#planShort(request: PlanRequest, groups: ServerGroups, engine: EngineProfile, now: number): Either<Failure, Decision> {
		const best = placeShort(request, groups, engine, now);
		const verdict = this.#parts.shareGate?.decide(request, forecastRoom(request, groups, best, engine), engine, now);
		if (verdict?.kind === 'wait') {
			return Right({...verdict, reason: 'share'});
		}

		if (verdict?.kind === 'rejected') {
			return Left(createOverloadFailure(Math.max(0, best.finish - request.objective), verdict.retryIn));
		}

		if (best.finish > request.patience) {
			return Left(createOverloadFailure(best.finish - request.patience));
		}

		return Right(this.#createPlan(request, best.load.server.id, {expectedFirst: best.finish, ownTokens: request.promptTokens + request.outputTokens}));
	}

	#planLong(request: PlanRequest, servers: ServerLoad[], engine: EngineProfile, now: number): Either<Failure, Decision> {
		return this.#parts.scheduler.decide(request, servers, engine, now).map(decision => decision.kind === 'wait'
			? decision
			: this.#createPlan(request, decision.server, decision.parts));
	}

	#createPlan(request: PlanRequest, server: BackendServerId, fields: Partial<Plan>): Extract<Decision, {kind: 'plan'}> {
		const plan = {
			planId: this.#parts.ids.createUuid().slice(-planIdLength) as PlanId,
			request,
			server,
			helpers: [],
			startIn: 0,
			expectedFirst: 0,
			ownTokens: 0,
			...fields,
		};
		return {kind: 'plan', plan};
	}
}
