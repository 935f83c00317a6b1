/**
 * Decides where the requests of one service run, and when long prompts are prefilled.
 *
 * Short and long requests share a pool. Short ones are packed on the servers at the end of a fixed order, as densely as pass times allow.
 * Long ones are prefilled by several servers together from the start of the order, one long prefill at a time on each server: chunked prefill
 * beside other requests would extend the pauses of every request that decodes there.
 *
 * Pure: time is passed in, and nothing blocks. A plan says when it is to be sent, and the requesting node sends it then. A planner that takes
 * over is initialised by `adopt`.
 */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, type BackendServerId, type BoxId, type RequestFingerprint, type Failure, type IdSource, type PlanId,
} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {CallerWaits} from './caller-waits.js';
import {computePrefillTime} from './engine-model.js';
import {findEqualMin} from './find-min.js';
import {FailureComparison} from './failure-comparison.js';
import type {OrganisationShares} from './organisation-shares.js';
import {ActivePlans, type ActivePlan} from './active-plans.js';
import {
	LimitedVisibility, divideWithoutDemand, visibilityRetryDelay, fullVisibility, type FleetVisibility,
} from './fleet-visibility.js';
import type {
	Decision, OverrunReport, Plan, PlanEvent, PlanRequest,
} from './plan.js';
import {createOverloadFailure, PrefillScheduler} from './prefill-scheduler.js';
import {hashAttempt} from './request-share.js';
import type {ServerLoad} from './server-load.js';
import {LimitGate, type GatedRequest} from './limit-gate.js';
import type {ServerLimits} from './server-limits.js';
import {ShareGate, type ShareReport} from './share-gate.js';
import {ServerPartition, type ServerGroups} from './server-partition.js';
import {describeServers, type PlannedServerStatus} from './server-status.js';
import {forecastRoom, placeShort} from './short-placement.js';
import {listUsableServers} from './usable-servers.js';
import type {ColdLimits, GrantedShares} from './cold-limits.js';
import {placeWarmFirst} from './cold-placement.js';
import {CrashAttribution, createQuarantineFailure} from './crash-attribution.js';
import type {CrashRecords} from './crash-records.js';
import {trialRetryDelay, IsolationTrials} from './isolation-trials.js';

/** A prompt whose prefill takes more than this share of the shortest accepted pause is long. */
const longPrefillShare = 0.75;

/** Pause assumed for requests that declare none, in milliseconds. */
const defaultMaxPause = 250;

/** Characters of a plan id: enough to be unique among thousands of plans, and short, because ids are listed once a second. */
const planIdLength = 12;

/** Dependencies of a planner. */
export type PlannerParts = {
	ids: IdSource;
	/** Performance figures of the service's servers; undefined for plain services. */
	engine?: EngineProfile;
	/** How long the usage of organisations is remembered, in milliseconds; undefined when they have no shares. */
	sharesMemory?: number;
};

/** Plans for one service. */
export class Planner {
	readonly #ids: IdSource;
	readonly #plans = new ActivePlans();
	readonly #scheduler: PrefillScheduler;
	readonly #callerWaits = new CallerWaits();
	#engine: EngineProfile | undefined;
	#shortestPause = defaultMaxPause;
	readonly #partition = new ServerPartition();
	readonly #visibility = new LimitedVisibility();
	readonly #trials = new IsolationTrials();
	readonly #crashes = new CrashAttribution(this.#plans, this.#trials);
	readonly #gate: LimitGate;
	readonly #shareGate: ShareGate | undefined;
	readonly #failures = new FailureComparison();

	constructor(parts: PlannerParts) {
		this.#ids = parts.ids;
		this.#engine = parts.engine;
		this.#shareGate = parts.sharesMemory === undefined ? undefined : new ShareGate(parts.sharesMemory);
		this.#scheduler = new PrefillScheduler(this.#shareGate);
		this.#gate = new LimitGate(this.#shareGate);
	}

	/** Requests that were running on servers when they crashed. */
	get crashRecords(): CrashRecords {
		return this.#crashes.records;
	}

	/** Usage of organisations; undefined when they have no shares. */
	get shares(): OrganisationShares | undefined {
		return this.#shareGate?.shares;
	}

	/** Describes how shares apply to a request; undefined without shares. */
	describeShare(request: PlanRequest, now: number): ShareReport | undefined {
		return this.#shareGate?.describe(request, now);
	}

	/** Request limits that servers have declared. */
	get limits(): ServerLimits {
		return this.#gate.limits;
	}

	/** Limits of cold servers. */
	get coldLimits(): ColdLimits {
		return this.#gate.cold;
	}

	/** Plans in progress. */
	get planCount(): number {
		return this.#plans.size;
	}

	/** Whether all of these plans are in progress here. */
	hasPlans(planIds: PlanId[]): boolean {
		return planIds.every(planId => this.#plans.has(planId));
	}

	/** Short requests in progress. */
	get shortCount(): number {
		return this.#partition.shortCount;
	}

	/** Prompts that wait for prefill. */
	get waitingCount(): number {
		return this.#scheduler.waitingCount;
	}

	/** Status of the busiest servers, at most `limit` of them. */
	describeServers(now: number, limit: number): PlannedServerStatus[] {
		return describeServers(this.#plans.loads.values(), this.#gate, {now, limit});
	}

	/** Replaces the performance figures and the servers that accept new work. */
	setServers(servers: BackendServer[], engine: EngineProfile | undefined): void {
		this.#engine = engine;
		this.#plans.setServers(servers);
	}

	/**
	 * Decides for one request. A plan holds its place until `recordEvent` or `prune` releases it; a waiting request keeps its position by asking again.
	 *
	 * `limitShare` is the share of the servers' limits, from 0 to 1, that this node grants; declared limits and those of cold servers may differ in it.
	 */
	decide(original: PlanRequest, now: number, visibility: FleetVisibility = fullVisibility, limitShare: number | GrantedShares = 1): Either<Failure, Decision> {
		this.prune(now);
		const request = this.#adjustObjective(original);
		if (request.longestPause !== undefined) {
			this.#shortestPause = Math.min(this.#shortestPause, request.longestPause);
		}

		this.#visibility.update(visibility, now);
		const quarantine = this.#crashes.classify(request, now);
		if (quarantine.kind === 'rejected') {
			return Left(createQuarantineFailure(quarantine));
		}

		for (const {server, time} of request.resting ?? []) {
			this.#plans.loads.get(server)?.health.recordRest(time, now);
		}

		this.#shareGate?.recordArrival(request, this.#engine, now);
		this.#failures.update(this.#plans.loads, now);
		const usable = listUsableServers({
			request, quarantine, loads: this.#plans.loads.values(), isReserved: server => this.#trials.isReserved(server),
		}, now);
		if (usable.length === 0) {
			return Left(createFailure('no_backend_server', `no backend server of ${request.service} takes new work`));
		}

		const {declared: share, cold: coldShare} = typeof limitShare === 'number' ? {declared: limitShare, cold: () => limitShare} : limitShare;
		const gatedRequest = {
			request, usable, share, coldShare,
		};
		const available = this.#gate.listAvailable(gatedRequest, now);
		if (available.length === 0) {
			return this.#gate.queueOrReject(gatedRequest, now);
		}

		const isIsolated = quarantine.kind === 'isolated' && this.#plans.loads.size > 1;
		const candidates = isIsolated ? available : this.#chooseTrial(request, available, now);
		const planned = this.#planWarmFirst(gatedRequest, {available: candidates, isIsolated}, now);
		return planned.map(decision => {
			if (decision.kind === 'plan') {
				const plan = this.#failures.addAvoided(decision.plan, this.#plans.loads, now);
				this.#addPlan(plan, now, true);
				this.#recordSent(gatedRequest, plan, now);
				this.#shareGate?.recordPlaced(request, this.#engine, now);
				return {kind: 'plan', plan: quarantine.crashes === 0 ? plan : this.#crashes.addCrashes(plan, now)};
			}

			return decision;
		});
	}

	/** Adopts plans that another planner made; `startIn` counts from now. */
	adopt(plans: Plan[], now: number): void {
		for (const plan of plans) {
			if (!this.#plans.has(plan.planId)) {
				this.#addPlan(plan, now, false);
			}
		}
	}

	/** Records the progress of a plan; returns a report when a long prefill exceeded its allowed overrun. */
	recordEvent(event: PlanEvent, now: number): OverrunReport | undefined {
		if (event.kind === 'server_ended') {
			this.#crashes.recordCrash(event.server, event.fingerprint, now);
			return undefined;
		}

		if (event.kind === 'survived') {
			this.crashRecords.clear(event.fingerprint);
			return undefined;
		}

		if (event.kind === 'failed') {
			const load = this.#plans.loads.get(event.server);
			// A server is silent during a planned long prefill; that is no failure.
			if (event.trouble === 'spoiled' && load !== undefined) {
				this.#failures.recordFailure(load, this.#plans.findPlan(event.planId), this.#plans.loads, now);
			} else if (event.trouble !== 'silent' || !load?.hasRecentLongPrefill(now)) {
				load?.health.recordFailure(event.trouble, now);
			}

			return undefined;
		}

		if (event.kind === 'started') {
			return this.#recordStart(event.planId, now);
		}

		const active = this.#release(event.planId);
		if (active !== undefined && event.isUnanswered === true) {
			this.#crashes.recordAbandoned(active.plan, now);
		}

		return undefined;
	}

	/** Servers that may have crashed with unanswered attempts. */
	listAbandonedServers(): BackendServerId[] {
		return this.#crashes.listAbandonedServers();
	}

	/** Counts a server's crash against the requests whose attempts there ended without an answer at most `age` milliseconds ago; returns those for which it is new. */
	attributeCrash(server: BackendServerId, now: number, age?: number): RequestFingerprint[] {
		return this.#crashes.attribute(server, now, age);
	}

	/** Drops the unanswered attempts at a server that leaves as planned. */
	dropAbandoned(server: BackendServerId, now: number): void {
		this.#crashes.dropAbandoned(server, now);
	}

	/** Releases the plans of a failed node, which can no longer report a crash. */
	releaseNode(node: BoxId, now: number): void {
		for (const plan of this.#plans.listByNode(node)) {
			this.#release(plan.planId);
			this.#crashes.recordAbandoned(plan, now);
		}
	}

	/** Releases the plans of a node that it does not run, because the decision or the end event was lost in transit; returns their number. */
	reconcile(node: BoxId, active: ReadonlySet<PlanId>, now: number): number {
		const unknown = this.#plans.listUnknown(node, active, now);
		for (const {planId} of unknown) {
			this.#release(planId);
		}

		return unknown.length;
	}

	/** Releases plans that have expired. */
	prune(now: number): void {
		this.#scheduler.prune(now);
		for (const {planId} of this.#plans.listExpired(now)) {
			this.#release(planId);
		}
	}

	#recordStart(planId: PlanId, now: number): OverrunReport | undefined {
		const active = this.#plans.recordStart(planId, now);
		if (active === undefined) {
			return undefined;
		}

		this.#plans.loads.get(active.plan.server)?.health.recordSuccess(now);
		this.#failures.recordSuccess(active.plan, now);
		return this.#recordPrefill(active, now);
	}

	/** Skips plans of another planner: their planned start is unknown. */
	#recordPrefill({plan, since, isShort, isDecidedHere}: ActivePlan, now: number): OverrunReport | undefined {
		if (isShort || !isDecidedHere || plan.request.promptTokens === 0) {
			return undefined;
		}

		const predicted = plan.expectedFirst - plan.startIn;
		const took = now - since - plan.startIn;
		const overrun = this.#scheduler.recordPrefill(predicted, took);
		return overrun === undefined
			? undefined
			: {
				plan, predicted, took, allowedOverrun: overrun,
			};
	}

	/** Counts the objective from the caller's first try. */
	#adjustObjective(request: PlanRequest): PlanRequest {
		const {route, callerWaits, waited, objective} = request;
		if (route === undefined || callerWaits === undefined) {
			return request;
		}

		if (waited === 0) {
			this.#callerWaits.add(route, callerWaits);
		}

		const elapsed = this.#callerWaits.estimateElapsed(route, callerWaits);
		return {...request, objective: objective - elapsed, hasTried: elapsed > 0};
	}

	/** The server that the request is to try, if there is one; otherwise those available. */
	#chooseTrial(request: PlanRequest, available: ServerLoad[], now: number): ServerLoad[] {
		const trial = this.#failures.findTrial(request, available, now);
		const isLong = this.#engine !== undefined && computePrefillTime(this.#engine, request.promptTokens) > longPrefillShare * this.#shortestPause;
		return trial === undefined || isLong ? available : [trial];
	}

	/** Plans on warm servers until they are full, then on cold ones; what occupies a server for long goes to a cold one only when there is no warm one. */
	#planWarmFirst(gated: GatedRequest, {available, isIsolated}: {available: ServerLoad[]; isIsolated: boolean}, now: number): Either<Failure, Decision> {
		const {request} = gated;
		const plan = (servers: ServerLoad[]) => isIsolated ? this.#planIsolated(request, servers, now) : this.#planShared(request, servers, now);
		if (!this.#gate.cold.hasLimits(now)) {
			return plan(available);
		}

		return placeWarmFirst({
			gate: this.#gate, gated, available, plan, isHeavy: isIsolated || this.#isLong(request), isFull: decision => this.#isFull(decision),
		}, now);
	}

	/** Whether a plan would make its request wait at its server, since all servers that it was chosen from are full. */
	#isFull(decision: Decision): boolean {
		const load = decision.kind === 'plan' ? this.#plans.loads.get(decision.plan.server) : undefined;
		if (load === undefined || decision.kind !== 'plan') {
			return false;
		}

		const {request: {promptTokens, objective}, expectedFirst} = decision.plan;
		return this.#engine === undefined || promptTokens === 0
			? load.taskCount >= load.server.slots
			: load.writers >= this.#engine.slots || (objective > 0 && expectedFirst > objective);
	}

	#recordSent(gated: GatedRequest, {server, helpers}: Plan, now: number): void {
		this.#gate.recordSent(gated, server, now);
		for (const helper of helpers) {
			this.#gate.cold.take(helper.server, now);
		}
	}

	#isLong({promptTokens}: PlanRequest): boolean {
		return this.#engine !== undefined && promptTokens > 0 && computePrefillTime(this.#engine, promptTokens) > longPrefillShare * this.#shortestPause;
	}

	#planShared(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		return this.#engine === undefined || request.promptTokens === 0
			? this.#planPlain(request, usable, now)
			: this.#planPrompt(request, usable, this.#engine, now);
	}

	/** Runs a request that crashed servers on a server of its own. */
	#planIsolated(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		if (request.patience <= trialRetryDelay) {
			return Left(createFailure('overloaded', 'backend servers crashed while they ran this request, and none is free to run it in isolation'));
		}

		const load = this.#trials.findServer(request.fingerprint!, usable, this.#plans.loads.size, now);
		if (load === undefined) {
			return Right({kind: 'wait', askAgainIn: trialRetryDelay, reason: 'trial'});
		}

		const isPrompt = this.#engine !== undefined && request.promptTokens > 0;
		const expectedFirst = isPrompt ? computePrefillTime(this.#engine!, request.promptTokens) : 0;
		const decision = this.#createPlan(request, load.server.id, {expectedFirst, ownTokens: isPrompt ? request.promptTokens + request.outputTokens : 0});
		this.#trials.recordStart(load.server.id, decision.plan.planId);
		return Right(decision);
	}

	#planPlain(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		const best = findEqualMin(usable, load => (load.taskCount / load.server.slots) + load.health.computeFailureShare(now), hashAttempt(request))!;
		return Right(this.#createPlan(request, best.server.id, {expectedFirst: 0}));
	}

	#planPrompt(request: PlanRequest, usable: ServerLoad[], engine: EngineProfile, now: number): Either<Failure, Decision> {
		const groups = this.#visibility.isLimited ? divideWithoutDemand(usable, request.requestId) : this.#partition.divide([...this.#plans.loads.values()], usable, engine, now);
		const prefillTime = computePrefillTime(engine, request.promptTokens);
		if (this.#isLong(request)) {
			this.#partition.recordLong(request, prefillTime, now);
			if (this.#visibility.shouldWait(request, prefillTime, now)) {
				return Right({kind: 'wait', askAgainIn: visibilityRetryDelay, reason: 'sight'});
			}

			return this.#planLong(request, [...new Set([...groups.forLong, ...groups.forShort])], engine, now);
		}

		this.#scheduler.recordShort(request, now);
		return this.#planShort(request, groups, engine, now);
	}

	#planShort(request: PlanRequest, groups: ServerGroups, engine: EngineProfile, now: number): Either<Failure, Decision> {
		const best = placeShort(request, groups, engine, now);
		const verdict = this.#shareGate?.decide(request, forecastRoom(request, groups, best, engine), engine, now);
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
		return this.#scheduler.decide(request, servers, engine, now).map(decision => decision.kind === 'wait'
			? decision
			: this.#createPlan(request, decision.server, decision.parts));
	}

	#createPlan(request: PlanRequest, server: BackendServerId, fields: Partial<Plan>): Extract<Decision, {kind: 'plan'}> {
		const plan = {
			planId: this.#ids.createUuid().slice(-planIdLength) as PlanId,
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

	#addPlan(plan: Plan, now: number, isDecidedHere: boolean): void {
		const {promptTokens} = plan.request;
		const engine = promptTokens > 0 ? this.#engine : undefined;
		const isLong = engine !== undefined && computePrefillTime(engine, promptTokens) > longPrefillShare * this.#shortestPause;
		const {isShort} = this.#plans.add(plan, {engine, isLong, isDecidedHere}, now);
		if (isShort) {
			this.#partition.addShort();
		}
	}

	#release(planId: PlanId): ActivePlan | undefined {
		const active = this.#plans.release(planId);
		if (active !== undefined) {
			this.#trials.release(planId);
		}

		if (active?.isShort) {
			this.#partition.removeShort();
		}

		return active;
	}
}
