/**
 * What a planner has put on one backend server: reads, writers, memory. Pure.
 *
 * Times are monotonic milliseconds of the planner's clock.
 */
import type {PlanId} from '../common/index.js';
import type {BackendServer, EngineFigures} from '../routing/index.js';
import {computePassTime} from './engine-model.js';
import {ServerHealth} from './server-health.js';

/** One request's work on a server. */
export type Work = {
	planId: PlanId;
	/** Whether it only reads a part here and writes elsewhere. */
	isHelper: boolean;
	/** Whether its reading takes a server for itself. */
	isLong: boolean;
	/** When its reading is expected to be done. */
	readUntil: number;
	/** Time of its reading here. */
	readTime: number;
	/** Memory it holds here, in tokens. */
	heldTokens: number;
	/** Longest pause that its caller accepts while it writes here; undefined for helpers. */
	longestPause?: number;
	/** Tokens of its whole prompt; 0 for helpers. */
	promptTokens: number;
	/** Tokens of context while it writes here. */
	contextTokens: number;
	/** Whether its first event has been seen. */
	hasStarted: boolean;
};

/** The work of one server. */
export class ServerBoard {
	readonly health = new ServerHealth();
	readonly #works = new Map<PlanId, Work>();

	constructor(public server: BackendServer) {}

	/** Requests that write here or are about to; helpers don't count. */
	get writers(): number {
		let count = 0;
		for (const work of this.#works.values()) {
			count += work.isHelper ? 0 : 1;
		}

		return count;
	}

	/** All work, helpers too. */
	get workCount(): number {
		return this.#works.size;
	}

	/** Tokens of memory in use. */
	get heldTokens(): number {
		let sum = 0;
		for (const work of this.#works.values()) {
			sum += work.heldTokens;
		}

		return sum;
	}

	/** Prompt tokens of all who write here: about what their answers are worth together. */
	get writerTokens(): number {
		let sum = 0;
		for (const work of this.#works.values()) {
			sum += work.promptTokens;
		}

		return sum;
	}

	/** Adds work. */
	add(work: Work): void {
		this.#works.set(work.planId, work);
	}

	/** Notes that the first event of a request was seen: its reading is done everywhere. */
	start(planId: PlanId, now: number): void {
		const work = this.#works.get(planId);
		if (work === undefined) {
			return;
		}

		work.hasStarted = true;
		work.readUntil = Math.min(work.readUntil, now);
		if (work.isHelper && work.heldTokens === 0) {
			this.#works.delete(planId);
		}
	}

	/** Takes work out. */
	remove(planId: PlanId): void {
		this.#works.delete(planId);
	}

	/** Time of reading still to be done from now on, short and long. */
	findPendingRead(now: number): number {
		let sum = 0;
		for (const work of this.#works.values()) {
			if (!work.hasStarted && work.readUntil > now) {
				sum += Math.min(work.readTime, work.readUntil - now);
			}
		}

		return sum;
	}

	/** When the last long read here is expected to be done; now, when there is none. */
	findLongReadEnd(now: number): number {
		let end = now;
		for (const work of this.#works.values()) {
			if (work.isLong && !work.hasStarted) {
				end = Math.max(end, work.readUntil);
			}
		}

		return end;
	}

	/** The longest read that those who write here bear in one pass; infinite when nobody does. */
	findReadLimit(engine: EngineFigures): number {
		let pause = Infinity;
		for (const work of this.#works.values()) {
			pause = Math.min(pause, work.longestPause ?? Infinity);
		}

		return pause - this.computePass(engine, 0);
	}

	/** Time of a pass over those that write here, with one more of so many tokens. */
	computePass(engine: EngineFigures, moreContext: number): number {
		let context = moreContext;
		for (const work of this.#works.values()) {
			context += work.contextTokens;
		}

		return computePassTime(engine, this.writers + (moreContext > 0 ? 1 : 0), context);
	}
}
