/**
 * Plans in progress and the load that they put on each backend server. Pure.
 *
 * Tasks are also kept for a server that accepts no new work and therefore has no load entry: it may accept new work again.
 */
import type {
	BackendServerId, BoxId, CrashTrait, PlanId,
} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {listTraits} from './crashes/index.js';
import {computePrefillTime} from './engine-model.js';
import type {Plan} from './plan.js';
import {
	isTaskDone, ServerLoad, markTaskStarted, type Task,
} from './server-load.js';

/** How long a plan is kept after its request's deadline before it expires, in milliseconds. */
const expiryMargin = 1000;

/** Minimum age at which a plan unknown to its node is dropped, in milliseconds: a younger one may still be in transit to the node. */
const minReconcileAge = 500;

/** A plan and when it was made or adopted. `isShort` is fixed then, because the limit between short and long requests may change later. */
export type ActivePlan = {plan: Plan; since: number; isShort: boolean; isDecidedHere: boolean; tasks: ReadonlyMap<BackendServerId, Task>};

/** How a plan is added: `engine` is undefined for requests that are not prompts. */
export type PlanOptions = {engine: EngineProfile | undefined; isLong: boolean; isDecidedHere: boolean};

/** When a plan expires, in milliseconds. */
function computeExpiry({plan, since}: ActivePlan): number {
	return since + plan.request.timeLeft + expiryMargin;
}

/** Plans of one service. */
export class ActivePlans {
	/** Loads of the servers that accept new work. */
	readonly loads = new Map<BackendServerId, ServerLoad>();
	readonly #plans = new Map<PlanId, ActivePlan>();
	/** Lower bound of all expiry times. */
	#earliestExpiry = Infinity;

	/** Plans in progress. */
	get size(): number {
		return this.#plans.size;
	}

	/** Whether a plan is in progress. */
	has(planId: PlanId): boolean {
		return this.#plans.has(planId);
	}

	/** Finds a plan; undefined for an unknown one. */
	findPlan(planId: PlanId): Plan | undefined {
		return this.#plans.get(planId)?.plan;
	}

	/** Replaces the servers that accept new work. */
	setServers(servers: BackendServer[]): void {
		const ids = new Set(servers.map(server => server.id));
		for (const id of this.loads.keys()) {
			if (!ids.has(id)) {
				this.loads.delete(id);
			}
		}

		for (const server of servers) {
			const load = this.loads.get(server.id);
			if (load === undefined) {
				this.#addLoad(server);
			} else {
				load.server = server;
			}
		}
	}

	/** Adds a plan and its tasks on each server. */
	add(plan: Plan, {engine, isLong, isDecidedHere}: PlanOptions, now: number): ActivePlan {
		const prefillTime = engine === undefined ? 0 : computePrefillTime(engine, plan.request.promptTokens, plan.helpers.length + 1);
		if (engine !== undefined) {
			this.#forEachLoad(plan, load => {
				load.markExceededPauses(engine, prefillTime);
			});
		}

		const computePrefillEnd = (server: BackendServerId) => now + plan.startIn + prefillTime + (isLong ? this.loads.get(server)?.computePassTime(engine!, 0) ?? 0 : 0);
		const tasks = createTasks(plan, {isLong, prefillTime, computePrefillEnd});
		for (const [id, task] of tasks) {
			this.loads.get(id)?.add(task);
		}

		const active = {
			plan, since: now, isShort: engine !== undefined && !isLong, isDecidedHere, tasks,
		};
		this.#plans.set(plan.planId, active);
		this.#earliestExpiry = Math.min(this.#earliestExpiry, computeExpiry(active));
		return active;
	}

	/** Records the first event of a plan; undefined for an unknown plan. */
	recordStart(planId: PlanId, now: number): ActivePlan | undefined {
		const active = this.#plans.get(planId);
		for (const [id, task] of active?.tasks ?? []) {
			markTaskStarted(task, now);
			this.loads.get(id)?.markStarted(planId, now);
		}

		return active;
	}

	/** Removes a plan and its tasks; undefined for an unknown plan. */
	release(planId: PlanId): ActivePlan | undefined {
		const active = this.#plans.get(planId);
		if (active !== undefined) {
			this.#plans.delete(planId);
			this.#forEachLoad(active.plan, load => {
				load.remove(planId);
			});
		}

		return active;
	}

	/** Plans that have expired. */
	listExpired(now: number): Plan[] {
		// Nearly all plans end long before they expire: they are searched only when one may have expired.
		if (this.#earliestExpiry >= now) {
			return [];
		}

		const plans = [...this.#plans.values()];
		const expiries = plans.map(active => computeExpiry(active)).filter(expiry => expiry >= now);
		this.#earliestExpiry = Math.min(Infinity, ...expiries);
		return plans.filter(active => computeExpiry(active) < now).map(({plan}) => plan);
	}

	/** Plans of a node. */
	listByNode(node: BoxId): Plan[] {
		return [...this.#plans.values()].filter(({plan}) => plan.request.node === node).map(({plan}) => plan);
	}

	/** Plans of a node that the node does not run and that cannot be in transit to it any more. */
	listUnknown(node: BoxId, active: ReadonlySet<PlanId>, now: number): Plan[] {
		return [...this.#plans.values()]
			.filter(({plan, since}) => plan.request.node === node && !active.has(plan.planId) && since < now - minReconcileAge)
			.map(({plan}) => plan);
	}

	/** Servers on which requests with a trait run. */
	findServers(trait: CrashTrait): Set<BackendServerId> {
		const plans = [...this.#plans.values()].filter(({plan}) => listTraits(plan.request).includes(trait));
		return new Set(plans.flatMap(({tasks}) => [...tasks.keys()]));
	}

	/** A server that accepts new work again still runs its earlier plans, which occupy memory there. */
	#addLoad(server: BackendServer): void {
		const load = new ServerLoad(server);
		this.loads.set(server.id, load);
		for (const {tasks} of this.#plans.values()) {
			const task = tasks.get(server.id);
			if (task !== undefined && !isTaskDone(task)) {
				load.add(task);
			}
		}
	}

	#forEachLoad(plan: Plan, use: (load: ServerLoad) => void): void {
		for (const id of [plan.server, ...plan.helpers.map(helper => helper.server)]) {
			const load = this.loads.get(id);
			if (load !== undefined) {
				use(load);
			}
		}
	}
}

/** The tasks of a plan, one for each of its servers. */
function createTasks(plan: Plan, {isLong, prefillTime, computePrefillEnd}: {isLong: boolean; prefillTime: number; computePrefillEnd: (server: BackendServerId) => number}): Map<BackendServerId, Task> {
	const {request, server, helpers} = plan;
	const task = {
		planId: plan.planId,
		isHelper: false,
		isLong,
		promptTokens: request.promptTokens,
		prefillTime,
		heldTokens: plan.ownTokens,
		longestPause: request.longestPause,
		longestSilence: request.longestSilence,
		contextTokens: request.promptTokens / (helpers.length + 1),
		hasStarted: false,
		hasExceededPause: false,
	};
	const tasks = new Map<BackendServerId, Task>([[server, {...task, prefillEnd: computePrefillEnd(server)}]]);
	for (const helper of helpers) {
		tasks.set(helper.server, {
			...task, prefillEnd: computePrefillEnd(helper.server), isHelper: true, heldTokens: helper.heldTokens, contextTokens: 0, promptTokens: 0, longestPause: undefined, longestSilence: undefined,
		});
	}

	return tasks;
}
