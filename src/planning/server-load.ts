/**
 * Planned load of one backend server: prefill, decoding requests, memory. Pure.
 *
 * Times are monotonic milliseconds of the planner's clock.
 */
import type {PlanId} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {computeValue, lateValueShare} from './answer-value.js';
import {computePassTime} from './engine-model.js';
import type {PlannedPause} from './plan.js';
import {ServerHealth} from './server-health.js';

/** One request's task on a server. */
export type Task = {
	planId: PlanId;
	/** Whether it only prefills a part here and decodes elsewhere. */
	isHelper: boolean;
	/** Whether its prefill occupies a server exclusively. */
	isLong: boolean;
	/** When its prefill is expected to end. */
	prefillEnd: number;
	/** Duration of its prefill here. */
	prefillTime: number;
	/** Memory it occupies here, in tokens. */
	heldTokens: number;
	/** Longest pause that its caller accepts while it decodes here; undefined for helpers. */
	longestPause?: number;
	/** Silence after which it is moved elsewhere while it decodes here; undefined for helpers. */
	longestSilence?: number;
	/** Tokens of its whole prompt; 0 for helpers. */
	promptTokens: number;
	/** Tokens of context while it decodes here. */
	contextTokens: number;
	/** Whether its first event has been seen. */
	hasStarted: boolean;
	/** Whether a planned pass has already exceeded the pause that its caller accepts: longer passes cause no further loss. */
	hasExceededPause: boolean;
};

/** Marks a task as started: its first event was seen, so its prefill has ended. */
export function markTaskStarted(task: Task, now: number): void {
	task.hasStarted = true;
	task.prefillEnd = Math.min(task.prefillEnd, now);
}

/** Whether the task has ended at its server: a helper without memory only prefills. */
export function isTaskDone({hasStarted, isHelper, heldTokens}: Task): boolean {
	return hasStarted && isHelper && heldTokens === 0;
}

/**
 * Share of the time by which a long prefill is overdue that it is expected to take in addition.
 *
 * Load pattern: a prompt of 381,000 tokens is prefilled by six servers and takes a second longer than predicted. Servers that count as free at the
 * predicted end get the next prompts of a burst, all of which wait for that second.
 */
const overdueExtension = 0.2;

/** Minimum time that an overdue prefill is expected to take in addition, in milliseconds: its server never counts as free. */
const minOverdueExtension = 1;

/** Share of its predicted time by which a long prefill may be overdue before it counts as ended: the report of its first event may be lost. */
const maxOverdueShare = 1;

/** Whether its prompt is still being prefilled. A long prefill that is overdue goes on until its first event is seen. */
function isPrefilling({hasStarted, isLong, prefillEnd, prefillTime}: Task, now: number): boolean {
	return !hasStarted && prefillEnd + (isLong ? prefillTime * maxOverdueShare : 0) > now;
}

/** When the prefill of a task is expected to end; later than planned when it is overdue. */
function findPrefillEnd({prefillEnd}: Task, now: number): number {
	return prefillEnd > now ? prefillEnd : now + Math.max(minOverdueExtension, (now - prefillEnd) * overdueExtension);
}

/** Sums over the tasks of a server, cached until they change. */
type Summary = {
	/** Requests that decode here or are about to; helpers don't count. */
	writers: number;
	contextTokens: number;
	heldTokens: number;
	/** The pauses that decoding requests accept and the silences that they tolerate, shortest first, each with the total loss in tokens when a pass is longer. */
	pauses: Array<{maxPause: number; loss: number}>;
	/** Shortest silence after which a stream that decodes here is moved elsewhere, in milliseconds. */
	longestSilence: number;
};

/** Time after a long prefill during which it still explains a silence, in milliseconds: about the silence after which streams are moved. */
const recentPrefillWindow = 1500;

/** Planned load of one server. */
export class ServerLoad {
	readonly health = new ServerHealth();
	readonly #tasks = new Map<PlanId, Task>();
	/** Tasks whose prefill may not have ended, in order of arrival. */
	#prefilling: Task[] = [];
	#summary: Summary | undefined;
	#lastLongPrefillEnd = -Infinity;

	constructor(public server: BackendServer) {}

	/** Requests that decode here or are about to; helpers don't count. */
	get writers(): number {
		return this.#summarise().writers;
	}

	/** Number of tasks, including helpers. */
	get taskCount(): number {
		return this.#tasks.size;
	}

	/** Tokens of memory in use. */
	get heldTokens(): number {
		return this.#summarise().heldTokens;
	}

	/** Adds a task. */
	add(task: Task): void {
		this.#tasks.set(task.planId, task);
		this.#prefilling.push(task);
		this.#summary = undefined;
		if (task.isLong) {
			this.#lastLongPrefillEnd = Math.max(this.#lastLongPrefillEnd, task.prefillEnd);
		}
	}

	/** Records the first event of a request: its prefill has ended on all servers. */
	markStarted(planId: PlanId, now: number): void {
		const task = this.#tasks.get(planId);
		if (task === undefined) {
			return;
		}

		markTaskStarted(task, now);
		if (isTaskDone(task)) {
			this.remove(planId);
		}
	}

	/** Removes a task. */
	remove(planId: PlanId): void {
		this.#tasks.delete(planId);
		this.#prefilling = this.#prefilling.filter(task => task.planId !== planId);
		this.#summary = undefined;
	}

	/** Remaining prefill time, of short and long prompts. */
	computePendingPrefill(now: number): number {
		let sum = 0;
		for (const task of this.#listPrefilling(now)) {
			sum += Math.min(task.prefillTime, findPrefillEnd(task, now) - now);
		}

		return sum;
	}

	/** When the last long prefill here is expected to end; now, when there is none. */
	findLongPrefillEnd(now: number): number {
		let end = now;
		for (const task of this.#listPrefilling(now)) {
			if (task.isLong) {
				end = Math.max(end, findPrefillEnd(task, now));
			}
		}

		return end;
	}

	/** Whether a long prefill runs here or was due to end recently, which explains a silence: otherwise healthy servers would be put in backoff. */
	hasRecentLongPrefill(now: number): boolean {
		return now < this.#lastLongPrefillEnd + recentPrefillWindow;
	}

	/** Loss to requests that decode here when a pass also prefills for this long, in tokens: too long a pause makes an answer late. */
	estimateStallLoss(engine: EngineProfile, prefillTime: number): number {
		const passTime = this.computePassTime(engine, 0) + prefillTime;
		let loss = 0;
		for (const pause of this.#summarise().pauses) {
			if (pause.maxPause >= passTime) {
				break;
			}

			loss = pause.loss;
		}

		return loss;
	}

	/**
	 * Whether no stream that decodes here is moved when a pass also prefills for this long, plus `overrun` of the pass.
	 *
	 * Nodes do not know of planned prefills and treat such a silence as a fault: forty streams moved at once find no place, and their callers leave.
	 */
	canAbsorbPrefill(engine: EngineProfile, prefillTime: number, overrun: number): boolean {
		const pause = this.computePause(engine, prefillTime);
		return pause === undefined || pause.length * (1 + overrun) <= pause.bearable;
	}

	/** The pause caused by a pass that also prefills for this long; undefined when no stream that decodes here would be moved. */
	computePause(engine: EngineProfile, prefillTime: number): PlannedPause | undefined {
		const {longestSilence} = this.#summarise();
		return longestSilence === Infinity ? undefined : {length: this.computePassTime(engine, 0) + prefillTime, bearable: longestSilence};
	}

	/** Marks tasks whose accepted pause is exceeded by a pass that also prefills for this long: they have nothing more to lose. */
	markExceededPauses(engine: EngineProfile, prefillTime: number): void {
		const passTime = this.computePassTime(engine, 0) + prefillTime;
		for (const task of this.#tasks.values()) {
			task.hasExceededPause ||= task.longestPause !== undefined && task.longestPause < passTime;
		}

		this.#summary = undefined;
	}

	/** Duration of a pass over the decoding requests, with one more of `addedContext` tokens. */
	computePassTime(engine: EngineProfile, addedContext: number): number {
		const {writers, contextTokens} = this.#summarise();
		return computePassTime(engine, writers + (addedContext > 0 ? 1 : 0), contextTokens + addedContext);
	}

	/** Tasks still in prefill. Finished ones are removed, because decoding takes many seconds and each decision checks all servers. */
	#listPrefilling(now: number): Task[] {
		if (this.#prefilling.some(task => !isPrefilling(task, now))) {
			this.#prefilling = this.#prefilling.filter(task => isPrefilling(task, now));
		}

		return this.#prefilling;
	}

	#summarise(): Summary {
		this.#summary ??= summariseTasks([...this.#tasks.values()]);
		return this.#summary;
	}
}

function summariseTasks(tasks: Task[]): Summary {
	const summary: Summary = {
		writers: 0, contextTokens: 0, heldTokens: 0, pauses: [], longestSilence: Infinity,
	};
	for (const task of tasks) {
		summary.writers += task.isHelper ? 0 : 1;
		summary.contextTokens += task.contextTokens;
		summary.heldTokens += task.heldTokens;
		const value = computeValue(task.promptTokens);
		if (task.longestPause !== undefined && !task.hasExceededPause) {
			summary.pauses.push({maxPause: task.longestPause, loss: value * (1 - lateValueShare)});
		}

		if (task.longestSilence !== undefined) {
			summary.pauses.push({maxPause: task.longestSilence, loss: value * lateValueShare});
			summary.longestSilence = Math.min(summary.longestSilence, task.longestSilence);
		}
	}

	summary.pauses.sort((left, right) => left.maxPause - right.maxPause);
	let loss = 0;
	for (const pause of summary.pauses) {
		loss += pause.loss;
		pause.loss = loss;
	}

	return summary;
}
