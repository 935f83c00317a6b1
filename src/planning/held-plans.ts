/**
 * Plans in progress and what they put on each backend server. Pure.
 *
 * The work of a plan is kept also for a server that takes no new work and so has no board: it may take new work again.
 */
import type {
	BackendServerId, BoxId, PlanId, RequestFingerprint,
} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {computeReadTime} from './engine-model.js';
import type {Plan} from './plan.js';
import {
	isDone, ServerBoard, startWork, type Work,
} from './server-board.js';

/** Kept after a request's time before its plan is forgotten unasked, in milliseconds. */
const planMargin = 1000;

/** Age from which a plan that its node does not know is forgotten, in milliseconds: a younger one may still be on its way to it. */
const reconcileAge = 500;

/** A plan, when it was made or taken over, and whether it counts as a short request: what is short may change meanwhile. */
export type HeldPlan = {plan: Plan; since: number; isShort: boolean; isDecidedHere: boolean; works: ReadonlyMap<BackendServerId, Work>};

/** How a plan is held: `engine` is undefined for requests that are no prompts. */
export type HoldParts = {engine: EngineProfile | undefined; isLong: boolean; isDecidedHere: boolean};

/** When a plan is forgotten unasked. */
function findPlanEnd({plan, since}: HeldPlan): number {
	return since + plan.request.timeLeft + planMargin;
}

/** Plans of one service. */
export class HeldPlans {
	/** Boards of the servers that take new work. */
	readonly boards = new Map<BackendServerId, ServerBoard>();
	readonly #plans = new Map<PlanId, HeldPlan>();
	/** No plan's time is over before this. */
	#pruneFrom = Infinity;

	/** Plans in progress. */
	get size(): number {
		return this.#plans.size;
	}

	/** Whether a plan is held. */
	has(planId: PlanId): boolean {
		return this.#plans.has(planId);
	}

	/** Replaces the servers that take new work. */
	setServers(servers: BackendServer[]): void {
		const kept = new Set(servers.map(server => server.id));
		for (const id of this.boards.keys()) {
			if (!kept.has(id)) {
				this.boards.delete(id);
			}
		}

		for (const server of servers) {
			const board = this.boards.get(server.id);
			if (board === undefined) {
				this.#addBoard(server);
			} else {
				board.server = server;
			}
		}
	}

	/** Puts the work of a plan on its servers. */
	hold(plan: Plan, {engine, isLong, isDecidedHere}: HoldParts, now: number): HeldPlan {
		const readTime = engine === undefined ? 0 : computeReadTime(engine, plan.request.promptTokens, plan.helpers.length + 1);
		if (engine !== undefined) {
			this.#forEachBoard(plan, board => {
				board.markPauses(engine, readTime);
			});
		}

		const findReadEnd = (server: BackendServerId) => now + plan.startIn + readTime + (isLong ? this.boards.get(server)?.computePass(engine!, 0) ?? 0 : 0);
		const works = createWorks(plan, {isLong, readTime, findReadEnd});
		for (const [id, work] of works) {
			this.boards.get(id)?.add(work);
		}

		const held = {
			plan, since: now, isShort: engine !== undefined && !isLong, isDecidedHere, works,
		};
		this.#plans.set(plan.planId, held);
		this.#pruneFrom = Math.min(this.#pruneFrom, findPlanEnd(held));
		return held;
	}

	/** Notes that the first event of a plan was seen; undefined when it is not held. */
	start(planId: PlanId, now: number): HeldPlan | undefined {
		const held = this.#plans.get(planId);
		for (const [id, work] of held?.works ?? []) {
			startWork(work, now);
			this.boards.get(id)?.start(planId, now);
		}

		return held;
	}

	/** Takes the work of a plan off its servers; undefined when it is not held. */
	release(planId: PlanId): HeldPlan | undefined {
		const held = this.#plans.get(planId);
		if (held !== undefined) {
			this.#plans.delete(planId);
			this.#forEachBoard(held.plan, board => {
				board.remove(planId);
			});
		}

		return held;
	}

	/** Plans whose time is over. */
	listExpired(now: number): Plan[] {
		// Nearly all end long before: they are looked through only when one's time may be over.
		if (this.#pruneFrom >= now) {
			return [];
		}

		const plans = [...this.#plans.values()];
		const ends = plans.map(held => findPlanEnd(held)).filter(end => end >= now);
		this.#pruneFrom = Math.min(Infinity, ...ends);
		return plans.filter(held => findPlanEnd(held) < now).map(({plan}) => plan);
	}

	/** Plans of a node. */
	listOfNode(node: BoxId): Plan[] {
		return [...this.#plans.values()].filter(({plan}) => plan.request.node === node).map(({plan}) => plan);
	}

	/** Plans of a node that it does not carry out, and that are not on their way to it. */
	listUnknown(node: BoxId, active: ReadonlySet<PlanId>, now: number): Plan[] {
		return [...this.#plans.values()]
			.filter(({plan, since}) => plan.request.node === node && !active.has(plan.planId) && since < now - reconcileAge)
			.map(({plan}) => plan);
	}

	/** Servers on which a request runs. */
	findServers(fingerprint: RequestFingerprint): Set<BackendServerId> {
		const plans = [...this.#plans.values()].filter(({plan}) => plan.request.fingerprint === fingerprint);
		return new Set(plans.flatMap(({works}) => [...works.keys()]));
	}

	/** A server that takes new work again still runs its earlier plans, which hold memory there. */
	#addBoard(server: BackendServer): void {
		const board = new ServerBoard(server);
		this.boards.set(server.id, board);
		for (const {works} of this.#plans.values()) {
			const work = works.get(server.id);
			if (work !== undefined && !isDone(work)) {
				board.add(work);
			}
		}
	}

	#forEachBoard(plan: Plan, use: (board: ServerBoard) => void): void {
		for (const id of [plan.server, ...plan.helpers.map(helper => helper.server)]) {
			const board = this.boards.get(id);
			if (board !== undefined) {
				use(board);
			}
		}
	}
}

/** The work of a plan on each of its servers. */
function createWorks(plan: Plan, {isLong, readTime, findReadEnd}: {isLong: boolean; readTime: number; findReadEnd: (server: BackendServerId) => number}): Map<BackendServerId, Work> {
	const {request, server, helpers} = plan;
	const work = {
		planId: plan.planId,
		isHelper: false,
		isLong,
		promptTokens: request.promptTokens,
		readTime,
		heldTokens: plan.ownTokens,
		longestPause: request.longestPause,
		longestSilence: request.longestSilence,
		contextTokens: request.promptTokens / (helpers.length + 1),
		hasStarted: false,
		hasLostPause: false,
	};
	const works = new Map<BackendServerId, Work>([[server, {...work, readUntil: findReadEnd(server)}]]);
	for (const helper of helpers) {
		works.set(helper.server, {
			...work, readUntil: findReadEnd(helper.server), isHelper: true, heldTokens: helper.heldTokens, contextTokens: 0, promptTokens: 0, longestPause: undefined, longestSilence: undefined,
		});
	}

	return works;
}
