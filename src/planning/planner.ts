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
import {AbandonedRuns} from './abandoned-runs.js';
import {CallerWaits} from './caller-waits.js';
import {computeReadTime} from './engine-model.js';
import {findLeast} from './find-least.js';
import {HeldPlans, type HeldPlan} from './held-plans.js';
import {
	DimSight, divideUnseen, sightAskPause, spreadServers, wholeSight, type FleetSight,
} from './fleet-sight.js';
import type {
	Decision, LongerRead, Plan, PlanNote, PlanRequest,
} from './plan.js';
import {describeOverload, LongReads} from './long-reads.js';
import type {ServerBoard} from './server-board.js';
import {LimitGate} from './limit-gate.js';
import type {ServerLimits} from './server-limits.js';
import {ServerShares, type ServerGroups} from './server-shares.js';
import {placeShort} from './short-placement.js';
import {CrashRecords, isolatedWeight, type Quarantine} from './crash-records.js';
import {trialAskPause, Trials} from './trials.js';

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
export type ServerWork = {
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

function describeRejection({crashes, rejectedFor}: Extract<Quarantine, {kind: 'rejected'}>): Failure {
	return createFailure('ends_servers', `${crashes} backend servers have ended while they ran this request; it is not sent to another one`, {retryAfterSeconds: Math.ceil(rejectedFor / 1000)});
}

/** Plans for one service. */
export class Planner {
	/** Requests that have crashed servers. */
	readonly crashRecords = new CrashRecords();
	readonly #ids: IdSource;
	readonly #held = new HeldPlans();
	readonly #reads = new LongReads();
	readonly #callerWaits = new CallerWaits();
	#engine: EngineProfile | undefined;
	#shortestPause = defaultPause;
	readonly #shares = new ServerShares();
	readonly #sight = new DimSight();
	readonly #trials = new Trials();
	readonly #abandoned = new AbandonedRuns();
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
	describeServers(now: number, most: number): ServerWork[] {
		return [...this.#held.boards.values()]
			.sort((left, right) => right.workCount - left.workCount)
			.slice(0, most)
			.map(board => ({
				server: board.server.id,
				availabilityZone: board.server.availabilityZone,
				work: board.workCount,
				writers: board.writers,
				slots: board.server.slots,
				heldTokens: Math.round(board.heldTokens),
				readFor: Math.round(board.findPendingRead(now)),
				restsFor: Math.round(board.health.findRest(now)),
				requestLimit: this.limits.findRate(board.server.id),
				spoiled: Math.round(board.health.findSpoiled(now) * 100) / 100,
				isDoubtful: board.health.isDoubtful(now),
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
	decide(asked: PlanRequest, now: number, sight: FleetSight = wholeSight, limitShare = 1): Either<Failure, Decision> {
		this.prune(now);
		const request = this.#countEarlierTries(asked);
		if (request.longestPause !== undefined) {
			this.#shortestPause = Math.min(this.#shortestPause, request.longestPause);
		}

		this.#sight.notice(sight, now);
		if (request.fingerprint !== undefined && request.crashes !== undefined) {
			this.crashRecords.learn(request.fingerprint, request.crashes, now);
		}

		const quarantine = this.crashRecords.judge(request.fingerprint, now);
		if (quarantine.kind === 'rejected') {
			return Left(describeRejection(quarantine));
		}

		const usable = this.#listUsable(request, quarantine, now);
		if (usable.length === 0) {
			return Left(createFailure('no_backend_server', `no backend server of ${request.service} takes new work`));
		}

		const gated = {request, usable, share: limitShare};
		const open = this.#gate.listOpen(gated, now);
		if (open.length === 0) {
			return this.#gate.wait(gated, now);
		}

		const planned = quarantine.kind === 'isolated' && this.#held.boards.size > 1
			? this.#planIsolated(request, open, now)
			: this.#planBeside(request, open, now);
		return planned.map(decision => {
			if (decision.kind === 'plan') {
				this.#hold(decision.plan, now, true);
				this.#gate.pass(gated, decision.plan.server, now);
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
	note(note: PlanNote, now: number): LongerRead | undefined {
		if (note.kind === 'server_ended') {
			this.crashRecords.recordCrash(note.server, note.fingerprint, this.#weighCrash(note.server, note.fingerprint), now);
			return undefined;
		}

		if (note.kind === 'survived') {
			this.crashRecords.clear(note.fingerprint);
			return undefined;
		}

		if (note.kind === 'failed') {
			const board = this.#held.boards.get(note.server);
			// A server that was given a long read is silent while it reads, and none the worse for it.
			if (note.trouble !== 'silent' || !board?.hasReadLately(now)) {
				board?.health.recordTrouble(note.trouble, now);
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
	forgetAbandoned(server: BackendServerId, now: number): void {
		this.#abandoned.take(server, now);
	}

	/** Forgets the plans of a node that is gone. It reports no crash under them any more. */
	forgetNode(node: BoxId, now: number): void {
		for (const plan of this.#held.listOfNode(node)) {
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

	#noteStart(planId: PlanId, now: number): LongerRead | undefined {
		const held = this.#held.start(planId, now);
		if (held === undefined) {
			return undefined;
		}

		this.#held.boards.get(held.plan.server)?.health.recordSuccess(now);
		return this.#noteRead(held, now);
	}

	/** Plans that another planner made say nothing of when they were to be sent. */
	#noteRead({plan, since, isShort, isDecidedHere}: HeldPlan, now: number): LongerRead | undefined {
		if (isShort || !isDecidedHere || plan.request.promptTokens === 0) {
			return undefined;
		}

		const predicted = plan.expectedFirst - plan.startIn;
		const took = now - since - plan.startIn;
		const overrun = this.#reads.noteRead(predicted, took);
		return overrun === undefined
			? undefined
			: {
				plan, predicted, took, overrun,
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

		const tried = this.#callerWaits.estimateTried(route, callerWaits);
		return {...request, objective: objective - tried, hasTried: tried > 0};
	}

	#listUsable(request: PlanRequest, quarantine: Quarantine, now: number): ServerBoard[] {
		const {excluded, failedAt = []} = request;
		const all = [...this.#held.boards.values()];
		const others = all.filter(board => !excluded.includes(board.server.id));
		// The next answer of a server that failed a request may be whole, and without another one the request fails for certain.
		const boards = others.length > 0 ? others : all.filter(board => failedAt.includes(board.server.id));
		const rested = boards.filter(board => !board.health.isResting(now));
		const trusted = rested.filter(board => board.health.mayTake(board.workCount, now));
		const isFor = (board: ServerBoard) => quarantine.kind === 'isolated' || !this.#trials.isKept(board.server.id);
		// Any server is better than none: suspicion may be wrong for all of them at once.
		return [trusted.filter(board => isFor(board)), rested.filter(board => isFor(board)), trusted, rested, boards].find(list => list.length > 0) ?? [];
	}

	/** The node that carries the plan out may have to decide for the request later. */
	#addCrashes(plan: Plan, now: number): Decision {
		const {request} = plan;
		return {kind: 'plan', plan: {...plan, request: {...request, crashes: this.crashRecords.describe(request.fingerprint!, now)}}};
	}

	#planBeside(request: PlanRequest, usable: ServerBoard[], now: number): Either<Failure, Decision> {
		return this.#engine === undefined || request.promptTokens === 0
			? this.#planPlain(request, usable, now)
			: this.#planPrompt(request, usable, this.#engine, now);
	}

	/** Isolates a request that crashed servers on a server of its own. */
	#planIsolated(request: PlanRequest, usable: ServerBoard[], now: number): Either<Failure, Decision> {
		if (request.patience <= trialAskPause) {
			return Left(createFailure('overloaded', 'servers ended while they ran this request, and none is free to run it by itself'));
		}

		const board = this.#trials.find(request.fingerprint!, usable, this.#held.boards.size, now);
		if (board === undefined) {
			return Right({kind: 'wait', askAgainIn: trialAskPause, reason: 'trial'});
		}

		const isPrompt = this.#engine !== undefined && request.promptTokens > 0;
		const expectedFirst = isPrompt ? computeReadTime(this.#engine!, request.promptTokens) : 0;
		const decision = this.#createPlan(request, board.server.id, {expectedFirst, ownTokens: isPrompt ? request.promptTokens + request.outputTokens : 0});
		this.#trials.begin(board.server.id, decision.plan.planId);
		return Right(decision);
	}

	/** A server that takes no new work may leave as planned, which is no crash. */
	#noteAbandoned({server, request: {fingerprint}}: Plan, now: number): void {
		if (fingerprint !== undefined && this.#held.boards.has(server)) {
			this.#abandoned.add(server, fingerprint, now);
		}
	}

	/** The weight of a crash for a request: none for one that runs on all servers. */
	#weighCrash(server: BackendServerId, fingerprint: RequestFingerprint): number {
		if (this.#trials.isKept(server)) {
			return isolatedWeight;
		}

		const places = this.#held.findServers(fingerprint);
		places.delete(server);
		return 1 - (places.size / Math.max(1, this.#held.boards.size));
	}

	#planPlain(request: PlanRequest, usable: ServerBoard[], now: number): Either<Failure, Decision> {
		const ordered = this.#sight.isDim ? spreadServers(usable, request.requestId) : usable;
		const best = findLeast(ordered, board => (board.workCount / board.server.slots) + board.health.findSpoiled(now))!;
		return Right(this.#createPlan(request, best.server.id, {expectedFirst: 0}));
	}

	#planPrompt(request: PlanRequest, usable: ServerBoard[], engine: EngineProfile, now: number): Either<Failure, Decision> {
		const groups = this.#sight.isDim ? divideUnseen(usable, request.requestId) : this.#shares.divide([...this.#held.boards.values()], usable, engine, now);
		const readTime = computeReadTime(engine, request.promptTokens);
		const isLong = readTime > longReadShare * this.#shortestPause;
		if (isLong) {
			this.#shares.noteLong(request, readTime, now);
			if (this.#sight.shouldWait(request, readTime, now)) {
				return Right({kind: 'wait', askAgainIn: sightAskPause, reason: 'sight'});
			}

			return this.#planLong(request, [...new Set([...groups.forLong, ...groups.forShort])], engine, now);
		}

		return this.#planShort(request, groups, engine, now);
	}

	#planShort(request: PlanRequest, groups: ServerGroups, engine: EngineProfile, now: number): Either<Failure, Decision> {
		const best = placeShort(request, groups, engine, now);
		if (best.finish > request.patience) {
			return Left(describeOverload(best.finish - request.patience));
		}

		return Right(this.#createPlan(request, best.board.server.id, {expectedFirst: best.finish, ownTokens: request.promptTokens + request.outputTokens}));
	}

	#planLong(request: PlanRequest, servers: ServerBoard[], engine: EngineProfile, now: number): Either<Failure, Decision> {
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
		const isLong = engine !== undefined && computeReadTime(engine, promptTokens) > longReadShare * this.#shortestPause;
		const {isShort} = this.#held.hold(plan, {engine, isLong, isDecidedHere}, now);
		if (isShort) {
			this.#shares.addShort();
		}
	}

	#release(planId: PlanId): HeldPlan | undefined {
		const held = this.#held.release(planId);
		if (held !== undefined) {
			this.#trials.end(planId);
		}

		if (held?.isShort) {
			this.#shares.removeShort();
		}

		return held;
	}
}
