/**
 * Decides where the requests of one service run, and when long prompts are read.
 *
 * Two kinds of request share a pool. Short ones are packed on the servers at the end of a
 * fixed order, as densely as a pass bears. Long ones are read by many servers together from
 * the other end, one long read after the other on each server: a read in pieces beside
 * others would stretch the pauses of everyone who writes there.
 *
 * Pure: time is passed in, nothing waits. A plan says when it is to be sent, and the node
 * that asked sends it then. A planner that takes over is filled by `adopt`.
 */
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, type AvailabilityZone, type BackendServerId, type BoxId, type RequestFingerprint, type Failure, type IdSource, type PlanId,
} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {AbandonedAttempts} from './abandoned-attempts.js';
import {CallerWaits} from './caller-waits.js';
import {computePrefillTime} from './engine-model.js';
import {findMin} from './find-min.js';
import {ActivePlans, type ActivePlan} from './active-plans.js';
import {
	LimitedVisibility, divideWithoutDemand, visibilityRetryDelay, rotateServers, fullVisibility, type FleetVisibility,
} from './fleet-visibility.js';
import type {
	Decision, OverrunReport, Plan, PlanEvent, PlanRequest,
} from './plan.js';
import {createOverloadFailure, PrefillScheduler} from './prefill-scheduler.js';
import type {ServerLoad} from './server-load.js';
import {LimitGate} from './limit-gate.js';
import type {ServerLimits} from './server-limits.js';
import {ServerPartition, type ServerGroups} from './server-partition.js';
import {placeShort} from './short-placement.js';
import {CrashRecords, isolatedCrashWeight, type QuarantineState} from './crash-records.js';
import {trialRetryDelay, IsolationTrials} from './isolation-trials.js';

/** A prompt whose read takes more than this share of the shortest pause is long. */
const longReadShare = 0.75;

/** Pause assumed for requests that state none, in milliseconds. */
const defaultPause = 250;

/** Letters of a plan's id: enough that no two of the thousands in progress are alike, and short, since they are listed once a second. */
const planIdLength = 12;

/** What a planner needs. */
export type PlannerParts = {
	ids: IdSource;
	/** Figures of the service's servers; undefined for plain services. */
	engine?: EngineProfile;
};

/** What a planner has put on a server, and how far it trusts it. */
export type PlannedServerStatus = {
	server: BackendServerId;
	availabilityZone: AvailabilityZone;
	/** Requests, those among them that write or are about to, and how many it takes at once. */
	work: number;
	writers: number;
	slots: number;
	/** Memory in use, in tokens. */
	heldTokens: number;
	/** Reading still to be done, in milliseconds. */
	readFor: number;
	/** How long it is left alone, in milliseconds; 0 when it is not. */
	restsFor: number;
	/** Requests a second that it takes from all nodes; undefined when it names no limit. */
	requestLimit?: number;
	/** Smoothed share of answers that were spoiled, and whether others come first for it. */
	spoiled: number;
	isDoubtful: boolean;
};

function describeRejection({crashes, rejectedFor}: Extract<QuarantineState, {kind: 'rejected'}>): Failure {
	return createFailure('ends_servers', `${crashes} backend servers have ended while they ran this request; it is not sent to another one`, {retryAfterSeconds: Math.ceil(rejectedFor / 1000)});
}

/** Plans for one service. */
export class Planner {
	/** Requests that have crashed servers. */
	readonly crashRecords = new CrashRecords();
	readonly #ids: IdSource;
	readonly #held = new ActivePlans();
	readonly #reads = new PrefillScheduler();
	readonly #callerWaits = new CallerWaits();
	#engine: EngineProfile | undefined;
	#shortestPause = defaultPause;
	readonly #shares = new ServerPartition();
	readonly #sight = new LimitedVisibility();
	readonly #trials = new IsolationTrials();
	readonly #abandoned = new AbandonedAttempts();
	readonly #gate = new LimitGate();

	constructor(parts: PlannerParts) {
		this.#ids = parts.ids;
		this.#engine = parts.engine;
	}

	/** Limits that servers have named. */
	get limits(): ServerLimits {
		return this.#gate.limits;
	}

	/** Plans in progress. */
	get planCount(): number {
		return this.#held.size;
	}

	/** Short requests that have a place. */
	get shortCount(): number {
		return this.#shares.shortCount;
	}

	/** Prompts that wait to be read. */
	get waitingCount(): number {
		return this.#reads.waitingCount;
	}

	/** What is planned on each server, and how far it is trusted: the busiest first, so many at most. */
	describeServers(now: number, most: number): PlannedServerStatus[] {
		return [...this.#held.loads.values()]
			.sort((left, right) => right.taskCount - left.taskCount)
			.slice(0, most)
			.map(board => ({
				server: board.server.id,
				availabilityZone: board.server.availabilityZone,
				work: board.taskCount,
				writers: board.writers,
				slots: board.server.slots,
				heldTokens: Math.round(board.heldTokens),
				readFor: Math.round(board.computePendingPrefill(now)),
				restsFor: Math.round(board.health.computeBackoffLeft(now)),
				requestLimit: this.limits.findRate(board.server.id),
				spoiled: Math.round(board.health.computeFailureShare(now) * 100) / 100,
				isDoubtful: board.health.isUnreliable(now),
			}));
	}

	/** Replaces the figures and the servers that take new work. */
	setServers(servers: BackendServer[], engine: EngineProfile | undefined): void {
		this.#engine = engine;
		this.#held.setServers(servers);
	}

	/**
	 * Decides for one request. A plan's place is held until `note` or `prune` frees it; a request that waits keeps its turn by asking again.
	 *
	 * `limitShare` is the part of the servers' limits, from 0 to 1, that is granted here.
	 */
	decide(asked: PlanRequest, now: number, sight: FleetVisibility = fullVisibility, limitShare = 1): Either<Failure, Decision> {
		this.prune(now);
		const request = this.#countEarlierTries(asked);
		if (request.longestPause !== undefined) {
			this.#shortestPause = Math.min(this.#shortestPause, request.longestPause);
		}

		this.#sight.update(sight, now);
		if (request.fingerprint !== undefined && request.crashes !== undefined) {
			this.crashRecords.merge(request.fingerprint, request.crashes, now);
		}

		const quarantine = this.crashRecords.classify(request.fingerprint, now);
		if (quarantine.kind === 'rejected') {
			return Left(describeRejection(quarantine));
		}

		const usable = this.#listUsable(request, quarantine, now);
		if (usable.length === 0) {
			return Left(createFailure('no_backend_server', `no backend server of ${request.service} takes new work`));
		}

		const gated = {request, usable, share: limitShare};
		const open = this.#gate.listAvailable(gated, now);
		if (open.length === 0) {
			return this.#gate.queueOrReject(gated, now);
		}

		const planned = quarantine.kind === 'isolated' && this.#held.loads.size > 1
			? this.#planIsolated(request, open, now)
			: this.#planBeside(request, open, now);
		return planned.map(decision => {
			if (decision.kind === 'plan') {
				this.#hold(decision.plan, now, true);
				this.#gate.recordSent(gated, decision.plan.server, now);
				return quarantine.crashes === 0 ? decision : this.#addCrashes(decision.plan, now);
			}

			return decision;
		});
	}

	/** Takes over plans that another planner made; `startIn` counts from now. */
	adopt(plans: Plan[], now: number): void {
		for (const plan of plans) {
			if (!this.#held.has(plan.planId)) {
				this.#hold(plan, now, false);
			}
		}
	}

	/** Takes a note on how a plan went on; says so when a long read took longer than was planned with. */
	recordEvent(note: PlanEvent, now: number): OverrunReport | undefined {
		if (note.kind === 'server_ended') {
			this.crashRecords.recordCrash(note.server, note.fingerprint, this.#weighCrash(note.server, note.fingerprint), now);
			return undefined;
		}

		if (note.kind === 'survived') {
			this.crashRecords.clear(note.fingerprint);
			return undefined;
		}

		if (note.kind === 'failed') {
			const board = this.#held.loads.get(note.server);
			// A server that was given a long read is silent while it reads, and none the worse for it.
			if (note.trouble !== 'silent' || !board?.hasRecentLongPrefill(now)) {
				board?.health.recordFailure(note.trouble, now);
			}

			return undefined;
		}

		if (note.kind === 'started') {
			return this.#noteStart(note.planId, now);
		}

		const held = this.#release(note.planId);
		if (held !== undefined && note.isUnanswered === true) {
			this.#noteAbandoned(held.plan, now);
		}

		return undefined;
	}

	/** Servers that may have crashed under requests that they did not answer. */
	listAbandonedServers(): BackendServerId[] {
		return this.#abandoned.listServers();
	}

	/** Counts a server's crash for the requests whose attempts there ended without an answer at most `age` milliseconds ago; returns those for which it was not known. */
	attributeCrash(server: BackendServerId, now: number, age?: number): RequestFingerprint[] {
		return this.#abandoned.take(server, now, age).filter(fingerprint => this.crashRecords.recordCrash(server, fingerprint, this.#weighCrash(server, fingerprint), now));
	}

	/** Forgets the unanswered attempts at a server that leaves as planned. */
	dropAbandoned(server: BackendServerId, now: number): void {
		this.#abandoned.take(server, now);
	}

	/** Forgets the plans of a node that is gone. It reports no crash under them any more. */
	releaseNode(node: BoxId, now: number): void {
		for (const plan of this.#held.listByNode(node)) {
			this.#release(plan.planId);
			this.#noteAbandoned(plan, now);
		}
	}

	/** Forgets the plans of a node that it does not carry out: their answer or the note of their end was lost on the way. */
	reconcile(node: BoxId, active: ReadonlySet<PlanId>, now: number): number {
		const unknown = this.#held.listUnknown(node, active, now);
		for (const {planId} of unknown) {
			this.#release(planId);
		}

		return unknown.length;
	}

	/** Forgets plans whose time is over. */
	prune(now: number): void {
		this.#reads.prune(now);
		for (const {planId} of this.#held.listExpired(now)) {
			this.#release(planId);
		}
	}

	#noteStart(planId: PlanId, now: number): OverrunReport | undefined {
		const held = this.#held.recordStart(planId, now);
		if (held === undefined) {
			return undefined;
		}

		this.#held.loads.get(held.plan.server)?.health.recordSuccess(now);
		return this.#noteRead(held, now);
	}

	/** Plans that another planner made say nothing of when they were to be sent. */
	#noteRead({plan, since, isShort, isDecidedHere}: ActivePlan, now: number): OverrunReport | undefined {
		if (isShort || !isDecidedHere || plan.request.promptTokens === 0) {
			return undefined;
		}

		const predicted = plan.expectedFirst - plan.startIn;
		const took = now - since - plan.startIn;
		const overrun = this.#reads.recordPrefill(predicted, took);
		return overrun === undefined
			? undefined
			: {
				plan, predicted, took, allowedOverrun: overrun,
			};
	}

	/** The objective counts from a caller's first try. */
	#countEarlierTries(request: PlanRequest): PlanRequest {
		const {route, callerWaits, waited, objective} = request;
		if (route === undefined || callerWaits === undefined) {
			return request;
		}

		if (waited === 0) {
			this.#callerWaits.add(route, callerWaits);
		}

		const tried = this.#callerWaits.estimateElapsed(route, callerWaits);
		return {...request, objective: objective - tried, hasTried: tried > 0};
	}

	#listUsable(request: PlanRequest, quarantine: QuarantineState, now: number): ServerLoad[] {
		const {excluded, failedAt = []} = request;
		const all = [...this.#held.loads.values()];
		const others = all.filter(board => !excluded.includes(board.server.id));
		// The next answer of a server that failed a request may be whole, and without another one the request fails for certain.
		const boards = others.length > 0 ? others : all.filter(board => failedAt.includes(board.server.id));
		const rested = boards.filter(board => !board.health.isBackingOff(now));
		const trusted = rested.filter(board => board.health.mayTake(board.taskCount, now));
		const isFor = (board: ServerLoad) => quarantine.kind === 'isolated' || !this.#trials.isReserved(board.server.id);
		// Any server is better than none: suspicion may be wrong for all of them at once.
		return [trusted.filter(board => isFor(board)), rested.filter(board => isFor(board)), trusted, rested, boards].find(list => list.length > 0) ?? [];
	}

	/** The node that carries the plan out may have to decide for the request later. */
	#addCrashes(plan: Plan, now: number): Decision {
		const {request} = plan;
		return {kind: 'plan', plan: {...plan, request: {...request, crashes: this.crashRecords.describe(request.fingerprint!, now)}}};
	}

	#planBeside(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		return this.#engine === undefined || request.promptTokens === 0
			? this.#planPlain(request, usable, now)
			: this.#planPrompt(request, usable, this.#engine, now);
	}

	/** Isolates a request that crashed servers on a server of its own. */
	#planIsolated(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		if (request.patience <= trialRetryDelay) {
			return Left(createFailure('overloaded', 'servers ended while they ran this request, and none is free to run it by itself'));
		}

		const board = this.#trials.findServer(request.fingerprint!, usable, this.#held.loads.size, now);
		if (board === undefined) {
			return Right({kind: 'wait', askAgainIn: trialRetryDelay, reason: 'trial'});
		}

		const isPrompt = this.#engine !== undefined && request.promptTokens > 0;
		const expectedFirst = isPrompt ? computePrefillTime(this.#engine!, request.promptTokens) : 0;
		const decision = this.#createPlan(request, board.server.id, {expectedFirst, ownTokens: isPrompt ? request.promptTokens + request.outputTokens : 0});
		this.#trials.recordStart(board.server.id, decision.plan.planId);
		return Right(decision);
	}

	/** A server that takes no new work may leave as planned, which is no crash. */
	#noteAbandoned({server, request: {fingerprint}}: Plan, now: number): void {
		if (fingerprint !== undefined && this.#held.loads.has(server)) {
			this.#abandoned.add(server, fingerprint, now);
		}
	}

	/** The weight of a crash for a request: none for one that runs on all servers. */
	#weighCrash(server: BackendServerId, fingerprint: RequestFingerprint): number {
		if (this.#trials.isReserved(server)) {
			return isolatedCrashWeight;
		}

		const places = this.#held.findServers(fingerprint);
		places.delete(server);
		return 1 - (places.size / Math.max(1, this.#held.loads.size));
	}

	#planPlain(request: PlanRequest, usable: ServerLoad[], now: number): Either<Failure, Decision> {
		const ordered = this.#sight.isLimited ? rotateServers(usable, request.requestId) : usable;
		const best = findMin(ordered, board => (board.taskCount / board.server.slots) + board.health.computeFailureShare(now))!;
		return Right(this.#createPlan(request, best.server.id, {expectedFirst: 0}));
	}

	#planPrompt(request: PlanRequest, usable: ServerLoad[], engine: EngineProfile, now: number): Either<Failure, Decision> {
		const groups = this.#sight.isLimited ? divideWithoutDemand(usable, request.requestId) : this.#shares.divide([...this.#held.loads.values()], usable, engine, now);
		const readTime = computePrefillTime(engine, request.promptTokens);
		const isLong = readTime > longReadShare * this.#shortestPause;
		if (isLong) {
			this.#shares.recordLong(request, readTime, now);
			if (this.#sight.shouldWait(request, readTime, now)) {
				return Right({kind: 'wait', askAgainIn: visibilityRetryDelay, reason: 'sight'});
			}

			return this.#planLong(request, [...new Set([...groups.forLong, ...groups.forShort])], engine, now);
		}

		return this.#planShort(request, groups, engine, now);
	}

	#planShort(request: PlanRequest, groups: ServerGroups, engine: EngineProfile, now: number): Either<Failure, Decision> {
		const best = placeShort(request, groups, engine, now);
		if (best.finish > request.patience) {
			return Left(createOverloadFailure(best.finish - request.patience));
		}

		return Right(this.#createPlan(request, best.load.server.id, {expectedFirst: best.finish, ownTokens: request.promptTokens + request.outputTokens}));
	}

	#planLong(request: PlanRequest, servers: ServerLoad[], engine: EngineProfile, now: number): Either<Failure, Decision> {
		return this.#reads.decide(request, servers, engine, now).map(decision => decision.kind === 'wait'
			? decision
			: this.#createPlan(request, decision.server, decision.parts));
	}

	#createPlan(request: PlanRequest, server: BackendServerId, more: Partial<Plan>): Extract<Decision, {kind: 'plan'}> {
		const plan = {
			planId: this.#ids.createUuid().slice(-planIdLength) as PlanId,
			request,
			server,
			helpers: [],
			startIn: 0,
			expectedFirst: 0,
			ownTokens: 0,
			...more,
		};
		return {kind: 'plan', plan};
	}

	#hold(plan: Plan, now: number, isDecidedHere: boolean): void {
		const {promptTokens} = plan.request;
		const engine = promptTokens > 0 ? this.#engine : undefined;
		const isLong = engine !== undefined && computePrefillTime(engine, promptTokens) > longReadShare * this.#shortestPause;
		const {isShort} = this.#held.add(plan, {engine, isLong, isDecidedHere}, now);
		if (isShort) {
			this.#shares.addShort();
		}
	}

	#release(planId: PlanId): ActivePlan | undefined {
		const held = this.#held.release(planId);
		if (held !== undefined) {
			this.#trials.release(planId);
		}

		if (held?.isShort) {
			this.#shares.removeShort();
		}

		return held;
	}
}
