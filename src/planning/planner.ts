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
	createFailure, type BackendServerId, type BoxId, type Failure, type IdSource, type PlanId,
} from '../common/index.js';
import type {BackendServer, EngineFigures} from '../routing/index.js';
import {computeWorth, estimateCredit} from './credit.js';
import {computePassTime, computeReadTime} from './engine-model.js';
import {findLeast} from './find-least.js';
import type {
	Decision, Plan, PlanNote, PlanRequest,
} from './plan.js';
import {mostReaders, ReadDemand} from './read-demand.js';
import {ReadLine} from './read-line.js';
import {findBestWay, type Opening, type ReadWay} from './read-ways.js';
import {divideMemory, memoryShare} from './readers.js';
import {ServerBoard} from './server-board.js';
import {ServerShares, type ServerGroups} from './server-shares.js';

/** A prompt whose read takes more than this share of the shortest pause is long. */
const longReadShare = 0.75;

/** Pause assumed for requests that state none, in milliseconds. */
const defaultPause = 250;

/** A long read is planned at most this long before its servers are free, in milliseconds: later plans see more, and passes are about this long. */
const planAhead = 60;

/** Least time after which a waiting request asks again, in milliseconds. */
const leastAskPause = 15;

/** Longest time after which a waiting request asks again, in milliseconds. */
const longestAskPause = 200;

/** Requests ahead in line that are thought of: what comes after them is decided anew before its turn. */
const mostAhead = 8;

/** Passes that a request waits for each one too many on a server. */
const overfullPasses = 4;

/** Share of its worth that a short request loses by the time of a whole objective. */
const shortDelayCost = 0.2;

/** Share of its worth that a short request must bring on the servers for short ones, else it may take others. */
const goodShare = 0.6;

/** Room before its objective that a request keeps while it waits for writers to end, in milliseconds. */
const writersMargin = 100;

/** When a prompt is asked to come back that found only servers with writers, in seconds: about the length of a short answer. */
const holdUpRetry = 1;

/** Kept after a request's time before its plan is forgotten unasked, in milliseconds. */
const planMargin = 1000;

/** Letters of a plan's id: enough that no two of the thousands in progress are alike, and short, since they are listed once a second. */
const planIdLength = 12;

/** Age from which a plan that its node does not know is forgotten, in milliseconds: a younger one may still be on its way to it. */
const reconcileAge = 500;

/** A server that a short request may go to. */
type Candidate = {board: ServerBoard; cost: number; finish: number};

/** What a planner needs. */
export type PlannerParts = {
	ids: IdSource;
	/** Figures of the service's servers; undefined for plain services. */
	engine?: EngineFigures;
};

/** A plan, when it was made, and whether it counts as a short request: what is short may change meanwhile. */
type HeldPlan = {plan: Plan; since: number; isShort: boolean};

/** Plans for one service. */
export class Planner {
	readonly #ids: IdSource;
	readonly #boards = new Map<BackendServerId, ServerBoard>();
	readonly #plans = new Map<PlanId, HeldPlan>();
	readonly #line = new ReadLine();
	readonly #demand = new ReadDemand();
	#engine: EngineFigures | undefined;
	#shortestPause = defaultPause;
	readonly #shares = new ServerShares();

	constructor(parts: PlannerParts) {
		this.#ids = parts.ids;
		this.#engine = parts.engine;
	}

	/** Plans in progress. */
	get planCount(): number {
		return this.#plans.size;
	}

	/** Short requests that have a place. */
	get shortCount(): number {
		return this.#shares.shortCount;
	}

	/** Replaces the figures and the servers that take new work. */
	setServers(servers: BackendServer[], engine: EngineFigures | undefined): void {
		this.#engine = engine;
		const kept = new Set(servers.map(server => server.id));
		for (const id of this.#boards.keys()) {
			if (!kept.has(id)) {
				this.#boards.delete(id);
			}
		}

		for (const server of servers) {
			const board = this.#boards.get(server.id);
			if (board === undefined) {
				this.#boards.set(server.id, new ServerBoard(server));
			} else {
				board.server = server;
			}
		}
	}

	/** Decides for one request. A plan's place is held until `note` or `prune` frees it; a request that waits keeps its turn by asking again. */
	decide(request: PlanRequest, now: number): Either<Failure, Decision> {
		this.prune(now);
		if (request.longestPause !== undefined) {
			this.#shortestPause = Math.min(this.#shortestPause, request.longestPause);
		}

		const usable = this.#listUsable(request, now);
		if (usable.length === 0) {
			return Left(createFailure('no_backend_server', `no backend server of ${request.service} takes new work`));
		}

		const planned = this.#engine === undefined || request.promptTokens === 0
			? this.#planPlain(request, usable)
			: this.#planPrompt(request, usable, this.#engine, now);
		return planned.map(decision => {
			if (decision.kind === 'plan') {
				this.#hold(decision.plan, now);
			}

			return decision;
		});
	}

	/** Takes over plans that another planner made; `startIn` counts from now. */
	adopt(plans: Plan[], now: number): void {
		for (const plan of plans) {
			if (!this.#plans.has(plan.planId)) {
				this.#hold(plan, now);
			}
		}
	}

	/** Takes a note on how a plan went on. */
	note(note: PlanNote, now: number): void {
		if (note.kind === 'failed') {
			this.#boards.get(note.server)?.health.recordTrouble(note.trouble, now);
			return;
		}

		const held = this.#plans.get(note.planId);
		if (held === undefined) {
			return;
		}

		if (note.kind === 'started') {
			this.#forEachBoard(held.plan, board => {
				board.start(note.planId, now);
			});
			this.#boards.get(held.plan.server)?.health.recordSuccess();
			return;
		}

		this.#release(held.plan);
	}

	/** Forgets the plans of a node that is gone. */
	forgetNode(node: BoxId): void {
		for (const {plan} of this.#plans.values()) {
			if (plan.request.node === node) {
				this.#release(plan);
			}
		}
	}

	/** Forgets the plans of a node that it does not carry out: their answer or the note of their end was lost on the way. */
	reconcile(node: BoxId, active: ReadonlySet<PlanId>, now: number): number {
		let forgotten = 0;
		for (const {plan, since} of this.#plans.values()) {
			if (plan.request.node === node && !active.has(plan.planId) && since < now - reconcileAge) {
				this.#release(plan);
				forgotten++;
			}
		}

		return forgotten;
	}

	/** Forgets plans whose time is over. */
	prune(now: number): void {
		this.#line.prune(now);
		for (const {plan, since} of this.#plans.values()) {
			if (since + plan.request.timeLeft + planMargin < now) {
				this.#release(plan);
			}
		}
	}

	#listUsable(request: PlanRequest, now: number): ServerBoard[] {
		const boards = [...this.#boards.values()].filter(board => !request.excluded.includes(board.server.id));
		const rested = boards.filter(board => !board.health.isResting(now));
		const trusted = rested.filter(board => !board.health.isDoubtful);
		// Any server is better than none: suspicion may be wrong for all of them at once.
		return [trusted, rested, boards].find(list => list.length > 0) ?? [];
	}

	#planPlain(request: PlanRequest, usable: ServerBoard[]): Either<Failure, Decision> {
		const best = findLeast(usable, board => (board.workCount / board.server.slots) + board.health.spoiled)!;
		return Right(this.#createPlan(request, best.server.id, {expectedFirst: 0}));
	}

	#planPrompt(request: PlanRequest, usable: ServerBoard[], engine: EngineFigures, now: number): Either<Failure, Decision> {
		const groups = this.#shares.divide([...this.#boards.values()], usable, engine, now);
		const readTime = computeReadTime(engine, request.promptTokens);
		const isLong = readTime > longReadShare * this.#shortestPause;
		if (isLong) {
			this.#demand.add(request, engine, now);
			this.#shares.noteLong(request, readTime, now);
			return this.#planLong(request, [...new Set([...groups.forLong, ...groups.forShort])], engine, now);
		}

		return this.#planShort(request, groups, engine, now);
	}

	/** Chooses the server where a short request brings most: an early first event, and no pause too long for those who write there. */
	#planShort(request: PlanRequest, groups: ServerGroups, engine: EngineFigures, now: number): Either<Failure, Decision> {
		const readTime = computeReadTime(engine, request.promptTokens);
		const need = request.promptTokens + request.outputTokens;
		const worth = computeWorth(request.promptTokens);
		const weigh = (board: ServerBoard): Candidate => {
			const pass = board.computePass(engine, request.promptTokens);
			const overfull = Math.max(0, board.writers + 1 - engine.slots);
			const lacksRoom = board.heldTokens + need > engine.memoryTokens * memoryShare;
			const pending = board.findPendingRead(now);
			const wait = pending + (overfull * pass * overfullPasses) + (lacksRoom ? request.patience : 0);
			// Reads that fall into one pass stretch it for all: equal waits go to the server with fewer writers.
			const finish = wait + pass + readTime;
			const harm = board.estimateHarm(engine, pending + readTime);
			const earned = estimateCredit(finish, request.objective, request.patience) * (1 - board.health.spoiled);
			const delay = shortDelayCost * finish / Math.max(this.#shortestPause, request.objective);
			return {board, finish, cost: (worth * (delay - earned)) + harm};
		};

		const inGroup = findLeast(groups.forShort.map(board => weigh(board)), candidate => candidate.cost)!;
		// Servers kept for long prompts are taken where those for short ones would be late.
		const isGood = inGroup.cost < worth * -goodShare;
		const best = isGood ? inGroup : findLeast([...groups.forShort, ...groups.forLong].map(board => weigh(board)), candidate => candidate.cost)!;
		if (best.finish > request.patience) {
			return Left(describeOverload(best.finish - request.patience));
		}

		return Right(this.#createPlan(request, best.board.server.id, {expectedFirst: best.finish, ownTokens: need}));
	}

	/**
	 * Reads a long prompt on several servers together, by the way that brings most.
	 *
	 * Those ahead in line are thought of first; a request that would begin later waits and
	 * asks again: what came meanwhile may go first, and short requests may need the servers.
	 */
	#planLong(request: PlanRequest, usable: ServerBoard[], engine: EngineFigures, now: number): Either<Failure, Decision> {
		this.#line.join(request, now);
		const servers = Math.min(usable.length, mostReaders);
		const openings = usable.map(board => ({board, freeIn: board.findLongReadEnd(now) - now}));
		for (const ahead of this.#line.listAhead(request.requestId, engine, servers, now).slice(0, mostAhead)) {
			const way = findBestWay(openings, {
				request: ahead, engine, demand: this.#demand, now,
			});
			if (way !== undefined && !canAwaitWriters(way, ahead)) {
				occupy(openings, way);
			}
		}

		const way = findBestWay(openings, {
			request, engine, demand: this.#demand, now,
		});
		if (way === undefined) {
			return this.#waitOrRefuse(request, engine, servers);
		}

		if (canAwaitWriters(way, request)) {
			return Right({kind: 'wait', askAgainIn: planAhead, reason: 'writers'});
		}

		if (way.wait > planAhead) {
			return Right({kind: 'wait', askAgainIn: Math.min(longestAskPause, Math.max(leastAskPause, way.wait - (planAhead / 2))), reason: 'reading'});
		}

		const memory = divideMemory(way.readers, request, engine);
		if (memory === undefined) {
			// It is out of the line meanwhile, so that those who find room pass it.
			this.#line.leave(request.requestId);
			return Right({kind: 'wait', askAgainIn: planAhead, reason: 'memory'});
		}

		this.#line.leave(request.requestId);
		return Right(this.#createPlan(request, memory.first.server.id, {
			helpers: memory.helpers,
			startIn: way.wait,
			expectedFirst: way.finish,
			ownTokens: memory.ownTokens,
		}));
	}

	/** Nothing brings anything now. While all servers together could still be in time a request waits, else it is refused. */
	#waitOrRefuse(request: PlanRequest, engine: EngineFigures, servers: number): Either<Failure, Decision> {
		const least = computeReadTime(engine, request.promptTokens, servers) + computePassTime(engine, 1, request.promptTokens / servers);
		if (least < request.objective) {
			return Right({kind: 'wait', askAgainIn: planAhead, reason: 'writers'});
		}

		this.#line.leave(request.requestId);
		return Left(least > request.patience
			? describeOverload(least - request.patience)
			: createFailure('overloaded', 'reading the prompt late would cost others more than it brings', {retryAfterSeconds: holdUpRetry}));
	}

	#createPlan(request: PlanRequest, server: BackendServerId, more: Partial<Plan>): Decision {
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

	#hold(plan: Plan, now: number): void {
		const engine = this.#engine;
		const isPrompt = engine !== undefined && plan.request.promptTokens > 0;
		const parts = plan.helpers.length + 1;
		const readTime = isPrompt ? computeReadTime(engine, plan.request.promptTokens, parts) : 0;
		const findReadEnd = (board: ServerBoard) => now + plan.startIn + readTime + (isLong ? board.computePass(engine, 0) : 0);
		const isLong = isPrompt && computeReadTime(engine, plan.request.promptTokens) > longReadShare * this.#shortestPause;
		const work = {
			planId: plan.planId,
			isHelper: false,
			isLong,
			promptTokens: plan.request.promptTokens,
			readTime,
			heldTokens: plan.ownTokens,
			longestPause: plan.request.longestPause,
			longestSilence: plan.request.longestSilence,
			contextTokens: plan.request.promptTokens / parts,
			hasStarted: false,
			hasLostPause: false,
		};
		if (isPrompt) {
			this.#forEachBoard(plan, board => {
				board.markPauses(engine, readTime);
			});
		}

		const first = this.#boards.get(plan.server);
		first?.add({...work, readUntil: findReadEnd(first)});
		for (const helper of plan.helpers) {
			const board = this.#boards.get(helper.server);
			board?.add({
				...work, readUntil: findReadEnd(board), isHelper: true, heldTokens: helper.heldTokens, contextTokens: 0, promptTokens: 0, longestPause: undefined, longestSilence: undefined,
			});
		}

		const isShort = isPrompt && !isLong;
		this.#plans.set(plan.planId, {plan, since: now, isShort});
		if (isShort) {
			this.#shares.addShort();
		}
	}

	#release(plan: Plan): void {
		const held = this.#plans.get(plan.planId);
		if (held === undefined) {
			return;
		}

		this.#plans.delete(plan.planId);
		this.#forEachBoard(plan, board => {
			board.remove(plan.planId);
		});
		if (held.isShort) {
			this.#shares.removeShort();
		}
	}

	#forEachBoard(plan: Plan, use: (board: ServerBoard) => void): void {
		for (const id of [plan.server, ...plan.helpers.map(helper => helper.server)]) {
			const board = this.#boards.get(id);
			if (board !== undefined) {
				use(board);
			}
		}
	}
}

/** Whether a way that hurts writers may wait until they have ended and still be in time. */
function canAwaitWriters(way: ReadWay, request: PlanRequest): boolean {
	return way.harm > 0 && way.finish + planAhead + writersMargin < request.objective;
}

/** Marks the readers of a way as taken until it has read. */
function occupy(openings: Opening[], way: ReadWay): void {
	for (const opening of openings) {
		if (way.readers.includes(opening.board)) {
			opening.freeIn = way.wait + way.readTime;
		}
	}
}

function describeOverload(excess: number): Failure {
	const retryAfterSeconds = Math.max(0.1, excess / 1000);
	return createFailure('overloaded', `no backend server can begin in time; it would be ${Math.round(excess)} ms too late`, {retryAfterSeconds});
}
