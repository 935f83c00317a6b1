/**
 * Plans in progress and what they put on each backend server. Pure.
 *
 * The work of a plan is kept also for a server that takes no new work and so has no board: it may take new work again.
 */
import type {
	BackendServerId, BoxId, PlanId, RequestFingerprint,
} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {computePrefillTime} from './engine-model.js';
import type {Plan} from './plan.js';
import {
	isTaskDone, ServerLoad, markTaskStarted, type Task,
} from './server-load.js';

/** Kept after a request's time before its plan is forgotten unasked, in milliseconds. */
const planMargin = 1000;

/** Age from which a plan that its node does not know is forgotten, in milliseconds: a younger one may still be on its way to it. */
const reconcileAge = 500;

/** A plan, when it was made or taken over, and whether it counts as a short request: what is short may change meanwhile. */
export type ActivePlan = {plan: Plan; since: number; isShort: boolean; isDecidedHere: boolean; works: ReadonlyMap<BackendServerId, Task>};

/** How a plan is held: `engine` is undefined for requests that are no prompts. */
export type HoldParts = {engine: EngineProfile | undefined; isLong: boolean; isDecidedHere: boolean};

/** When a plan is forgotten unasked. */
function findPlanEnd({plan, since}: ActivePlan): number {
	return since + plan.request.timeLeft + planMargin;
}

/** Plans of one service. */
export class ActivePlans {
	/** Boards of the servers that take new work. */
	readonly loads = new Map<BackendServerId, ServerLoad>();
	readonly #plans = new Map<PlanId, ActivePlan>();
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
		for (const id of this.loads.keys()) {
			if (!kept.has(id)) {
				this.loads.delete(id);
			}
		}

		for (const server of servers) {
			const board = this.loads.get(server.id);
			if (board === undefined) {
				this.#addBoard(server);
			} else {
				board.server = server;
			}
		}
	}

	/** Puts the work of a plan on its servers. */
	add(plan: Plan, {engine, isLong, isDecidedHere}: HoldParts, now: number): ActivePlan {
		const prefillTime = engine === undefined ? 0 : computePrefillTime(engine, plan.request.promptTokens, plan.helpers.length + 1);
		if (engine !== undefined) {
			this.#forEachBoard(plan, board => {
				board.markExceededPauses(engine, prefillTime);
			});
		}

		const findReadEnd = (server: BackendServerId) => now + plan.startIn + prefillTime + (isLong ? this.loads.get(server)?.computePassTime(engine!, 0) ?? 0 : 0);
		const works = createWorks(plan, {isLong, prefillTime: prefillTime, findReadEnd});
		for (const [id, work] of works) {
			this.loads.get(id)?.add(work);
		}

		const held = {
			plan, since: now, isShort: engine !== undefined && !isLong, isDecidedHere, works,
		};
		this.#plans.set(plan.planId, held);
		this.#pruneFrom = Math.min(this.#pruneFrom, findPlanEnd(held));
		return held;
	}

	/** Notes that the first event of a plan was seen; undefined when it is not held. */
	recordStart(planId: PlanId, now: number): ActivePlan | undefined {
		const held = this.#plans.get(planId);
		for (const [id, work] of held?.works ?? []) {
			markTaskStarted(work, now);
			this.loads.get(id)?.markStarted(planId, now);
		}

		return held;
	}

	/** Takes the work of a plan off its servers; undefined when it is not held. */
	release(planId: PlanId): ActivePlan | undefined {
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
	listByNode(node: BoxId): Plan[] {
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
		const board = new ServerLoad(server);
		this.loads.set(server.id, board);
		for (const {works} of this.#plans.values()) {
			const work = works.get(server.id);
			if (work !== undefined && !isTaskDone(work)) {
				board.add(work);
			}
		}
	}

	#forEachBoard(plan: Plan, use: (board: ServerLoad) => void): void {
		for (const id of [plan.server, ...plan.helpers.map(helper => helper.server)]) {
			const board = this.loads.get(id);
			if (board !== undefined) {
				use(board);
			}
		}
	}
}

/** The work of a plan on each of its servers. */
function createWorks(plan: Plan, {isLong, prefillTime: prefillTime, findReadEnd}: {isLong: boolean; prefillTime: number; findReadEnd: (server: BackendServerId) => number}): Map<BackendServerId, Task> {
	const {request, server, helpers} = plan;
	const work = {
		planId: plan.planId,
		isHelper: false,
		isLong,
		promptTokens: request.promptTokens,
		prefillTime: prefillTime,
		heldTokens: plan.ownTokens,
		longestPause: request.longestPause,
		longestSilence: request.longestSilence,
		contextTokens: request.promptTokens / (helpers.length + 1),
		hasStarted: false,
		hasExceededPause: false,
	};
	const works = new Map<BackendServerId, Task>([[server, {...work, prefillEnd: findReadEnd(server)}]]);
	for (const helper of helpers) {
		works.set(helper.server, {
			...work, prefillEnd: findReadEnd(helper.server), isHelper: true, heldTokens: helper.heldTokens, contextTokens: 0, promptTokens: 0, longestPause: undefined, longestSilence: undefined,
		});
	}

	return works;
}
