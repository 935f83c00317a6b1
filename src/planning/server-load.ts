/**
 * What a planner has put on one backend server: reads, writers, memory. Pure.
 *
 * Times are monotonic milliseconds of the planner's clock.
 */
import type {PlanId} from '../common/index.js';
import type {BackendServer, EngineProfile} from '../routing/index.js';
import {computeValue, lateValueShare} from './answer-value.js';
import {computePassTime} from './engine-model.js';
import type {PlannedPause} from './plan.js';
import {ServerHealth} from './server-health.js';

/** One request's work on a server. */
export type Task = {
	planId: PlanId;
	/** Whether it only reads a part here and writes elsewhere. */
	isHelper: boolean;
	/** Whether its reading takes a server for itself. */
	isLong: boolean;
	/** When its reading is expected to be done. */
	prefillEnd: number;
	/** Time of its reading here. */
	prefillTime: number;
	/** Memory it holds here, in tokens. */
	heldTokens: number;
	/** Longest pause that its caller accepts while it writes here; undefined for helpers. */
	longestPause?: number;
	/** Silence after which it is moved elsewhere while it writes here; undefined for helpers. */
	longestSilence?: number;
	/** Tokens of its whole prompt; 0 for helpers. */
	promptTokens: number;
	/** Tokens of context while it writes here. */
	contextTokens: number;
	/** Whether its first event has been seen. */
	hasStarted: boolean;
	/** Whether a pass that was planned was longer than its caller accepts: longer ones cost it nothing more. */
	hasExceededPause: boolean;
};

/** Notes that the first event of a request was seen: its reading is done. */
export function markTaskStarted(work: Task, now: number): void {
	work.hasStarted = true;
	work.prefillEnd = Math.min(work.prefillEnd, now);
}

/** Whether nothing of it is left at its server: a helper that holds no memory has only read. */
export function isTaskDone({hasStarted, isHelper, heldTokens}: Task): boolean {
	return hasStarted && isHelper && heldTokens === 0;
}

/** Whether its prompt is still read, as far as is known. */
function isReading({hasStarted, prefillEnd: readUntil}: Task, now: number): boolean {
	return !hasStarted && readUntil > now;
}

/** Sums over the work of a server, kept until it changes. */
type Summary = {
	/** Requests that write here or are about to; helpers don't count. */
	writers: number;
	contextTokens: number;
	heldTokens: number;
	/** The pauses that writers accept and the silences that they bear, shortest first, and what is lost when a pass is longer than this one, in tokens. */
	pauses: Array<{longest: number; lost: number}>;
	/** Shortest silence after which one of those who write here is moved elsewhere, in milliseconds. */
	longestSilence: number;
};

/** Time after a long read in which it still explains a silence, in milliseconds: about the silence after which streams are moved. */
const readMemory = 1500;

/** The work of one server. */
export class ServerLoad {
	readonly health = new ServerHealth();
	readonly #works = new Map<PlanId, Task>();
	/** Work whose reading may not be done yet, in the order in which it came. */
	#reading: Task[] = [];
	#summary: Summary | undefined;
	#lastLongReadEnd = -Infinity;

	constructor(public server: BackendServer) {}

	/** Requests that write here or are about to; helpers don't count. */
	get writers(): number {
		return this.#summarise().writers;
	}

	/** All work, helpers too. */
	get taskCount(): number {
		return this.#works.size;
	}

	/** Tokens of memory in use. */
	get heldTokens(): number {
		return this.#summarise().heldTokens;
	}

	/** Adds work. */
	add(work: Task): void {
		this.#works.set(work.planId, work);
		this.#reading.push(work);
		this.#summary = undefined;
		if (work.isLong) {
			this.#lastLongReadEnd = Math.max(this.#lastLongReadEnd, work.prefillEnd);
		}
	}

	/** Notes that the first event of a request was seen: its reading is done everywhere. */
	markStarted(planId: PlanId, now: number): void {
		const work = this.#works.get(planId);
		if (work === undefined) {
			return;
		}

		markTaskStarted(work, now);
		if (isTaskDone(work)) {
			this.remove(planId);
		}
	}

	/** Takes work out. */
	remove(planId: PlanId): void {
		this.#works.delete(planId);
		this.#reading = this.#reading.filter(work => work.planId !== planId);
		this.#summary = undefined;
	}

	/** Time of reading still to be done from now on, short and long. */
	computePendingPrefill(now: number): number {
		let sum = 0;
		for (const {prefillTime: readTime, prefillEnd: readUntil} of this.#listReading(now)) {
			sum += Math.min(readTime, readUntil - now);
		}

		return sum;
	}

	/** When the last long read here is expected to be done; now, when there is none. */
	findLongPrefillEnd(now: number): number {
		let end = now;
		for (const {isLong, prefillEnd: readUntil} of this.#listReading(now)) {
			if (isLong) {
				end = Math.max(end, readUntil);
			}
		}

		return end;
	}

	/** Whether a long read here is under way or was due to end a moment ago: it explains a silence. Without it 80 replayed days bring 0.796 for 0.804, servers left alone for nothing. */
	hasRecentLongPrefill(now: number): boolean {
		return now < this.#lastLongReadEnd + readMemory;
	}

	/**
	 * What those who write here lose when a pass reads for so long besides, in tokens: a pause too long makes an answer late.
	 *
	 * Without it 80 replayed days bring 0.717 of the worth for 0.823.
	 */
	estimateStallLoss(engine: EngineProfile, readTime: number): number {
		const pass = this.computePassTime(engine, 0) + readTime;
		let lost = 0;
		for (const pause of this.#summarise().pauses) {
			if (pause.longest >= pass) {
				break;
			}

			lost = pause.lost;
		}

		return lost;
	}

	/**
	 * Whether nobody who writes here is silent until its node moves it when a pass reads for so long besides, and for `overrun` of it longer.
	 *
	 * Nodes know nothing of reads and take such a silence for a fault: forty streams moved at once find no place, and
	 * their callers leave. Without it 64 replayed days whose servers differ from their figures by up to 15 in 100 bring
	 * 0.748 of the worth for 0.760, with 2,955 moves for 956 and 1,465 callers that leave for 778.
	 */
	canAbsorbPrefill(engine: EngineProfile, readTime: number, overrun: number): boolean {
		const pause = this.computePause(engine, readTime);
		return pause === undefined || pause.length * (1 + overrun) <= pause.bearable;
	}

	/** The silence that a pass makes which reads for so long besides; undefined when nobody writes here whose callers leave for it. */
	computePause(engine: EngineProfile, readTime: number): PlannedPause | undefined {
		const {longestSilence} = this.#summarise();
		return longestSilence === Infinity ? undefined : {length: this.computePassTime(engine, 0) + readTime, bearable: longestSilence};
	}

	/** Notes that a pass reads for so long: whose pause that is too long for has no more to lose. Without it 0.832 for 0.840. */
	markExceededPauses(engine: EngineProfile, readTime: number): void {
		const pass = this.computePassTime(engine, 0) + readTime;
		for (const work of this.#works.values()) {
			work.hasExceededPause ||= work.longestPause !== undefined && work.longestPause < pass;
		}

		this.#summary = undefined;
	}

	/** Time of a pass over those that write here, with one more of so many tokens. */
	computePassTime(engine: EngineProfile, moreContext: number): number {
		const {writers, contextTokens} = this.#summarise();
		return computePassTime(engine, writers + (moreContext > 0 ? 1 : 0), contextTokens + moreContext);
	}

	/** Work that is still read: what has been read once is not looked at again, while an answer is written for many seconds and each decision asks all servers. */
	#listReading(now: number): Task[] {
		if (this.#reading.some(work => !isReading(work, now))) {
			this.#reading = this.#reading.filter(work => isReading(work, now));
		}

		return this.#reading;
	}

	#summarise(): Summary {
		this.#summary ??= summariseWorks([...this.#works.values()]);
		return this.#summary;
	}
}

function summariseWorks(works: Task[]): Summary {
	const summary: Summary = {
		writers: 0, contextTokens: 0, heldTokens: 0, pauses: [], longestSilence: Infinity,
	};
	for (const work of works) {
		summary.writers += work.isHelper ? 0 : 1;
		summary.contextTokens += work.contextTokens;
		summary.heldTokens += work.heldTokens;
		const worth = computeValue(work.promptTokens);
		if (work.longestPause !== undefined && !work.hasExceededPause) {
			summary.pauses.push({longest: work.longestPause, lost: worth * (1 - lateValueShare)});
		}

		if (work.longestSilence !== undefined) {
			summary.pauses.push({longest: work.longestSilence, lost: worth * lateValueShare});
			summary.longestSilence = Math.min(summary.longestSilence, work.longestSilence);
		}
	}

	summary.pauses.sort((left, right) => left.longest - right.longest);
	let lost = 0;
	for (const pause of summary.pauses) {
		lost += pause.lost;
		pause.lost = lost;
	}

	return summary;
}
