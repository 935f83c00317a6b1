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
import {computePassTime, computeReadTime} from './engine-model.js';
import {longestAskPause, LongQueue} from './long-queue.js';
import type {
	Decision, Plan, PlannedHelper, PlanNote, PlanRequest,
} from './plan.js';
import {ServerBoard} from './server-board.js';

/** Most servers that may help to read one prompt. */
const mostHelpers = 15;

/** Share of a server's places that short requests fill before the next server is opened to them, while there are servers to spare: their reads collide less. */
const loosePacking = 0.5;

/** The same while long prompts need the servers: a step grows by a few hundredths with each writer, and a burst still finds a place. */
const tightPacking = 0.95;

/** Share of their time for which servers of long prompts are planned to read: the rest is passes of writers and chance. */
const readUtilisation = 0.6;

/** Least share of the servers for either kind while both are asked for. */
const leastShare = 0.1;

/** How long a kind of request counts as asked for after the last one, in milliseconds. */
const demandMemory = 10_000;

/** Share of a server's memory that is planned with: answers grow, and blocks are not filled. */
const memoryShare = 0.92;

/**
 * Shares of the time left to a request's objective, tried in turn: the fewest servers that
 * read a prompt within one are taken. Each server pays a pass beside its part, so small
 * parts waste what others wait for.
 */
const readTargets = [0.25, 0.8];

/** Share of the time left in which a prompt is read that can no longer meet its objective: by few servers, so that others still can. */
const lateTarget = 0.5;

/** When no target is met, fewer servers are preferred as long as they end at most this much later than the fastest choice. */
const fewerServersSlack = 1.05;

/** A prompt whose read takes more than this share of the shortest pause is long. */
const longReadShare = 0.75;

/** Pause assumed for requests that state none, in milliseconds. */
const defaultPause = 250;

/** A long read is planned at most this long before its servers are free, in milliseconds: later plans see more, and passes are about this long. */
const planAhead = 60;

/** Least time after which a waiting request asks again, in milliseconds. */
const leastAskPause = 15;

/**
 * A read may stretch the pauses of writers past what their callers accept when it thereby meets its own objective
 * and its prompt is at least this many times as long as all of theirs: what answers are worth grows with their prompts.
 */
const holdUpRatio = 1.5;

/** Share of a request's time after which it is refused when it would still end too late: one refused earlier might have been served, one held longer has no time to come back. */
const refuseAfter = 0.4;

/** When a prompt is asked to come back that found only servers with writers, in seconds: about the length of a short answer. */
const holdUpRetry = 1;

/** What a read leaves of the pause that callers accept, in milliseconds: a short read beside it and the way of an event. */
const pauseMargin = 40;

/** Kept after a request's patience before its plan is forgotten unasked, in milliseconds. */
const planMargin = 1000;

/** Age from which a plan that its node does not know is forgotten, in milliseconds: a younger one may still be on its way to it. */
const reconcileAge = 500;

/** Server order is by a hash of the id, so that every node has the same. */
type Candidate = {board: ServerBoard; cost: number; wait: number};

/** The servers open to each kind of request. */
type ServerGroups = {forLong: ServerBoard[]; forShort: ServerBoard[]};

/** What a planner needs. */
export type PlannerParts = {
	ids: IdSource;
	/** Figures of the service's servers; undefined for plain services. */
	engine?: EngineFigures;
};

/** A plan and when it was made. */
type HeldPlan = {plan: Plan; since: number};

/** Plans for one service. */
export class Planner {
	readonly #ids: IdSource;
	readonly #boards = new Map<BackendServerId, ServerBoard>();
	readonly #plans = new Map<PlanId, HeldPlan>();
	readonly #queue = new LongQueue();
	#engine: EngineFigures | undefined;
	#shortestPause = defaultPause;
	readonly #longReads: Array<{at: number; readTime: number}> = [];
	#shortWriters = 0;

	constructor(parts: PlannerParts) {
		this.#ids = parts.ids;
		this.#engine = parts.engine;
	}

	/** Plans in progress. */
	get planCount(): number {
		return this.#plans.size;
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
		this.#queue.prune(now);
		for (const {plan, since} of this.#plans.values()) {
			if (since + plan.request.patience + planMargin < now) {
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
		const groups = this.#divideServers(usable, engine, now);
		const readTime = computeReadTime(engine, request.promptTokens);
		const isLong = readTime > longReadShare * this.#shortestPause;
		if (isLong) {
			this.#noteLongDemand(request, readTime, now);
			return this.#planLong(request, groups.forLong, engine, now);
		}

		return this.#planShort(request, groups, engine, now);
	}

	/** Chooses the server with the earliest first event among those open to short requests. */
	#planShort(request: PlanRequest, groups: ServerGroups, engine: EngineFigures, now: number): Either<Failure, Decision> {
		const readTime = computeReadTime(engine, request.promptTokens);
		const need = request.promptTokens + request.outputTokens;
		const weigh = (board: ServerBoard): Candidate => {
			const pass = board.computePass(engine, request.promptTokens);
			const overfull = Math.max(0, board.writers + 1 - engine.slots);
			const lacksRoom = board.heldTokens + need > engine.memoryTokens * memoryShare;
			const wait = board.findPendingRead(now) + (overfull * pass * 4) + (lacksRoom ? request.patience : 0);
			// Reads that fall into one pass stretch it for all: equal waits go to the server with fewer writers.
			return {board, wait, cost: wait + pass + (board.health.spoiled * request.objective)};
		};

		let best = findLeast(groups.forShort.map(board => weigh(board)), candidate => candidate.cost)!;
		if (best.wait > this.#shortestPause) {
			// All servers for short requests are full: what it costs others to take another one is less than a refusal.
			best = findLeast([...groups.forShort, ...groups.forLong].map(board => weigh(board)), candidate => candidate.cost)!;
		}

		const expectedFirst = best.cost + readTime;
		if (expectedFirst > request.patience) {
			return Left(describeOverload(expectedFirst - request.patience));
		}

		return Right(this.#createPlan(request, best.board.server.id, {expectedFirst, ownTokens: need}));
	}

	/** A request is demand when it comes, not each time it asks again. */
	#noteLongDemand(request: PlanRequest, readTime: number, now: number): void {
		if (request.waited === 0) {
			this.#longReads.push({at: now, readTime});
		}
	}

	/** Servers that the long prompts of the last seconds keep reading. */
	#countLongServers(now: number): number {
		while (this.#longReads.length > 0 && this.#longReads[0].at < now - demandMemory) {
			this.#longReads.shift();
		}

		const work = this.#longReads.reduce((sum, read) => sum + read.readTime, 0);
		return Math.ceil(work / demandMemory / readUtilisation);
	}

	/**
	 * Divides the servers by their fixed order, over all of them: one that rests for a moment must not move the border.
	 *
	 * A kind whose servers all rest gets the others.
	 */
	#divideServers(usable: ServerBoard[], engine: EngineFigures, now: number): ServerGroups {
		const all = [...this.#boards.values()].sort(compareServers);
		const border = Math.max(1, all.length - this.#countShortServers(all.length, engine, now));
		const longServers = new Set(all.slice(0, border));
		const forLong = usable.filter(board => longServers.has(board));
		const forShort = usable.filter(board => !longServers.has(board));
		return {
			forLong: (forLong.length > 0 ? forLong : usable).sort(compareServers),
			forShort: (forShort.length > 0 ? forShort : usable).sort(compareServers),
		};
	}

	/** Servers for short requests: loosely filled while long prompts leave room, tightly while they do not. */
	#countShortServers(count: number, engine: EngineFigures, now: number): number {
		const writers = this.#shortWriters + 1;
		const loose = Math.ceil(writers / (engine.slots * loosePacking)) + 1;
		const tight = Math.ceil(writers / (engine.slots * tightPacking));
		const least = Math.ceil(count * leastShare);
		const longServers = this.#countLongServers(now);
		const left = count - (longServers === 0 ? 0 : Math.max(longServers, least));
		const wanted = Math.max(Math.min(loose, left), tight, least);
		return Math.max(1, Math.min(wanted, longServers === 0 ? count : count - least));
	}

	/**
	 * Reads a long prompt on several servers together, one long read after the other.
	 *
	 * Whose turn it is, is decided when servers become free and not before: what came
	 * meanwhile may go first, and short requests may need the servers.
	 */
	#planLong(request: PlanRequest, group: ServerBoard[], engine: EngineFigures, now: number): Either<Failure, Decision> {
		const choice = chooseReaders(group, request, engine, now);
		if (choice === undefined || choice.finish > request.patience) {
			return this.#waitOrRefuse(request, choice?.finish);
		}

		const askAgainIn = this.#queue.join(request, {
			readTime: computeReadTime(engine, request.promptTokens, group.length),
			startIn: choice.wait,
			readEndsIn: choice.wait + choice.readTime,
		}, now);
		if (askAgainIn > 0 || choice.wait > planAhead) {
			return Right({
				kind: 'wait',
				askAgainIn: Math.min(longestAskPause, Math.max(leastAskPause, choice.wait - (planAhead / 2), askAgainIn)),
				reason: askAgainIn > 0 ? 'line' : 'reading',
			});
		}

		this.#queue.leave(request.requestId);
		const memory = divideMemory(choice.readers, request, engine);
		if (memory === undefined) {
			// It is out of the line meanwhile, so that those who find room pass it.
			return Right({kind: 'wait', askAgainIn: planAhead, reason: 'memory'});
		}

		return Right(this.#createPlan(request, memory.first.server.id, {
			helpers: memory.helpers,
			startIn: choice.wait,
			expectedFirst: choice.finish,
			ownTokens: memory.ownTokens,
		}));
	}

	/** Servers become free and writers end: a request is refused only when it has waited for a good part of its time. */
	#waitOrRefuse(request: PlanRequest, finish: number | undefined): Either<Failure, Decision> {
		this.#queue.leave(request.requestId);
		if (request.waited < refuseAfter * (request.waited + request.patience)) {
			return Right({kind: 'wait', askAgainIn: planAhead, reason: 'writers'});
		}

		return Left(finish === undefined
			? createFailure('overloaded', 'every backend server that could read the prompt writes answers which it would hold up', {retryAfterSeconds: holdUpRetry})
			: describeOverload(finish - request.patience));
	}

	#createPlan(request: PlanRequest, server: BackendServerId, more: Partial<Plan>): Decision {
		const plan = {
			planId: this.#ids.createUuid() as PlanId,
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
		this.#plans.set(plan.planId, {plan, since: now});
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
			readFrom: now + plan.startIn,
			heldTokens: plan.ownTokens,
			longestPause: plan.request.longestPause,
			contextTokens: plan.request.promptTokens / parts,
			hasStarted: false,
		};
		const first = this.#boards.get(plan.server);
		first?.add({...work, readUntil: findReadEnd(first)});
		for (const helper of plan.helpers) {
			const board = this.#boards.get(helper.server);
			board?.add({
				...work, readUntil: findReadEnd(board), isHelper: true, heldTokens: helper.heldTokens, contextTokens: 0, promptTokens: 0, longestPause: undefined,
			});
		}

		this.#shortWriters += isPrompt && !isLong ? 1 : 0;
	}

	#release(plan: Plan): void {
		if (!this.#plans.delete(plan.planId)) {
			return;
		}

		this.#forEachBoard(plan, board => {
			board.remove(plan.planId);
		});
		const engine = this.#engine;
		const isShort = engine !== undefined && plan.request.promptTokens > 0
			&& computeReadTime(engine, plan.request.promptTokens) <= longReadShare * this.#shortestPause;
		this.#shortWriters = Math.max(0, this.#shortWriters - (isShort ? 1 : 0));
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

/** Readers of a prompt, when they begin and when the first event is due; times from now. */
type ReaderChoice = {readers: ServerBoard[]; wait: number; readTime: number; finish: number};

/** A server that may read, and what its writers bear. */
type ReaderCandidate = {board: ServerBoard; wait: number; limit: number; writerTokens: number};

/**
 * Chooses how many servers read together: the fewest that end about as soon as the fastest choice.
 *
 * Servers whose writers bear the pause come first; others only where that is worth it.
 * Undefined when there are none.
 */
function chooseReaders(group: ServerBoard[], request: PlanRequest, engine: EngineFigures, now: number): ReaderChoice | undefined {
	const candidates = group
		.map(board => ({
			board, wait: board.findLongReadEnd(now) - now, limit: board.findReadLimit(engine) - pauseMargin, writerTokens: board.writerTokens,
		}))
		.sort((left, right) => left.wait - right.wait);
	const choices: ReaderChoice[] = [];
	for (let count = 1; count <= Math.min(candidates.length, mostHelpers + 1); count++) {
		const part = computeReadTime(engine, request.promptTokens, count);
		const bearing = candidates.filter(candidate => candidate.limit >= part);
		if (bearing.length >= count) {
			choices.push(describeChoice(bearing.slice(0, count), request, engine, now));
			continue;
		}

		const choice = holdUpWriters(candidates, bearing, {
			request, engine, now, count,
		});
		if (choice !== undefined) {
			choices.push(choice);
		}
	}

	return pickReaders(choices, request, computeReadTime(engine, request.promptTokens, Math.min(group.length, mostHelpers + 1)));
}

/** Adds the servers whose writers are worth least; undefined when that costs more than it brings. */
function holdUpWriters(
	candidates: ReaderCandidate[],
	bearing: ReaderCandidate[],
	{request, engine, now, count}: {request: PlanRequest; engine: EngineFigures; now: number; count: number},
): ReaderChoice | undefined {
	const others = candidates
		.filter(candidate => !bearing.includes(candidate))
		.sort((left, right) => left.writerTokens - right.writerTokens)
		.slice(0, count - bearing.length);
	const heldUp = others.reduce((sum, candidate) => sum + candidate.writerTokens, 0);
	if (heldUp * holdUpRatio > request.promptTokens) {
		return undefined;
	}

	const choice = describeChoice([...bearing, ...others], request, engine, now);
	return choice.finish <= readTargets.at(-1)! * request.objective ? choice : undefined;
}

function describeChoice(candidates: ReaderCandidate[], request: PlanRequest, engine: EngineFigures, now: number): ReaderChoice {
	const readers = candidates.map(candidate => candidate.board);
	const part = computeReadTime(engine, request.promptTokens, readers.length);
	const wait = Math.max(...readers.map(board => board.findLongReadEnd(now) - now));
	const readTime = Math.max(...readers.map(board => part + board.computePass(engine, 0)));
	const pass = computePassTime(engine, 1, request.promptTokens / readers.length);
	return {
		readers, wait, readTime, finish: wait + readTime + pass,
	};
}

/**
 * The fewest servers that meet a target, else about the fastest choice.
 *
 * None while the objective is missed only for want of servers that will be free soon:
 * `bestRead` is the time that all of them together would take.
 */
function pickReaders(choices: ReaderChoice[], request: PlanRequest, bestRead: number): ReaderChoice | undefined {
	const fastest = Math.min(...choices.map(choice => choice.finish));
	const inTime = readTargets.at(-1)! * request.objective;
	if (fastest > inTime && bestRead <= inTime) {
		return undefined;
	}

	const targets = [...readTargets.map(share => share * request.objective), lateTarget * request.patience, fastest * fewerServersSlack];
	const target = targets.find(limit => limit >= fastest);
	return choices.find(choice => choice.finish <= target!);
}

/** Which server takes the request, and who holds how much of its prompt; undefined when there is no room. */
function divideMemory(readers: ServerBoard[], request: PlanRequest, engine: EngineFigures): {first: ServerBoard; helpers: PlannedHelper[]; ownTokens: number} | undefined {
	const need = request.promptTokens + request.outputTokens;
	const findFree = (board: ServerBoard) => Math.max(0, (engine.memoryTokens * memoryShare) - board.heldTokens);
	const byRoom = [...readers].sort((left, right) => findFree(right) - findFree(left));
	// Servers that write already go on writing, so that the others stay free for reads of any length.
	const first = findLeast(byRoom.filter(board => findFree(board) >= need), board => -board.writers) ?? byRoom[0];
	const others = byRoom.filter(board => board !== first);
	let missing = Math.max(0, need - findFree(first));
	const ownTokens = need - missing;
	const helpers = others.map(board => {
		const heldTokens = Math.ceil(Math.min(missing, findFree(board)));
		missing -= Math.min(missing, heldTokens);
		return {server: board.server.id, heldTokens};
	});
	return missing > 0 ? undefined : {first, helpers, ownTokens};
}

/** The item with the least cost, the first of equals; undefined for an empty list. */
function findLeast<Item>(items: Item[], costOf: (item: Item) => number): Item | undefined {
	let best: Item | undefined;
	let least = Infinity;
	for (const item of items) {
		const cost = costOf(item);
		if (best === undefined || cost < least) {
			best = item;
			least = cost;
		}
	}

	return best;
}

function compareServers(left: ServerBoard, right: ServerBoard): number {
	return left.server.id < right.server.id ? -1 : 1;
}

function describeOverload(excess: number): Failure {
	const retryAfterSeconds = Math.max(0.1, excess / 1000);
	return createFailure('overloaded', `no backend server can begin in time; it would be ${Math.round(excess)} ms too late`, {retryAfterSeconds});
}
