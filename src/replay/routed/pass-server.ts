/**
 * A model server that works in passes, by the figures that its operators state.
 *
 * A pass writes some tokens for everyone who writes and reads what waits, up to a bound a
 * step; it takes as long as both together. A prompt that several servers read together is
 * divided evenly, and its first token comes after the last part. Times in milliseconds.
 */
import type {EngineProfile} from '../../routing/index.js';
import {computePassTime, computePrefillTime} from '../../planning/index.js';

/** Runs a function after a delay, on the replay's virtual clock. */
export type Schedule = (delay: number, run: () => void) => void;

/** What a request is told while it runs. */
export type PassListener = {
	/** An event has been written. */
	onEvent: () => void;
	/** The last event has been written. */
	onEnd: () => void;
	/** A server that it depends on is gone. */
	onLost: () => void;
};

/** What a request asks of its servers: events of its answer, 0 for the most urgent, and servers that read it together. */
export type JobSpec = {promptTokens: number; events: number; urgency: number; parts: number};

/** A request as its servers see it: shared by the server that writes and those that help it to read. */
export class PassJob {
	/** Parts of the prompt that are still to be read. */
	partsLeft: number;
	isOver = false;

	eventsLeft: number;

	constructor(readonly spec: JobSpec, readonly listener: PassListener) {
		this.partsLeft = spec.parts;
		this.eventsLeft = spec.events;
	}
}

/** One server's part of a read. */
type Part = {job: PassJob; tokensLeft: number; timePerToken: number; isJoint: boolean; isOwn: boolean};

/** Time for which what depends on a lost server stands still before that is told, in milliseconds: what the customers' platform states. */
export const stallTime = 1500;

/** Tokens that a server reads in one step at most. */
export const defaultChunk = 2048;

/** One server. */
export class PassServer {
	isAlive = true;
	/** Whether it says nothing since it was lost; one that is not dark resets what it held. */
	isDark = false;
	/** How many times slower than stated it works. */
	pace = 1;
	readonly #engine: EngineProfile;
	readonly #schedule: Schedule;
	#waiting: PassJob[] = [];
	#parts: Part[] = [];
	#writers: PassJob[] = [];
	#isInPass = false;
	#life = 0;

	constructor(engine: EngineProfile, schedule: Schedule) {
		this.#engine = engine;
		this.#schedule = schedule;
	}

	/** Takes a request that it writes itself; it waits for a place inside. */
	submit(job: PassJob): void {
		if (!this.isAlive) {
			this.#lose([job]);
			return;
		}

		this.#waiting.push(job);
		this.#startPass();
	}

	/** Reads a part of a request that another server writes. */
	help(job: PassJob): void {
		this.#addPart(job, false);
		this.#startPass();
	}

	/** Dies: whatever depends on it is lost, which callers of a dark server find out for themselves. */
	die(isDark = false): void {
		const own = new Set([...this.#waiting, ...this.#writers, ...this.#parts.filter(part => part.isOwn).map(part => part.job)]);
		const helped = this.#parts.filter(part => !part.isOwn).map(part => part.job);
		this.isAlive = false;
		this.isDark = isDark;
		this.#life++;
		this.#isInPass = false;
		this.#waiting = [];
		this.#parts = [];
		this.#writers = [];
		this.#lose([...own]);
		this.#schedule(stallTime, () => {
			this.#tellLost(helped);
		});
	}

	/** Comes back, empty. */
	revive(): void {
		this.isAlive = true;
	}

	#lose(jobs: PassJob[]): void {
		if (!this.isDark) {
			this.#tellLost(jobs);
		}
	}

	#tellLost(jobs: PassJob[]): void {
		for (const job of jobs) {
			if (!job.isOver) {
				job.isOver = true;
				job.listener.onLost();
			}
		}
	}

	#addPart(job: PassJob, isOwn: boolean): void {
		const {promptTokens, parts} = job.spec;
		const tokens = promptTokens / parts;
		this.#parts.push({
			job,
			tokensLeft: tokens,
			timePerToken: computePrefillTime(this.#engine, promptTokens, parts) / tokens,
			isJoint: parts > 1,
			isOwn,
		});
	}

	#admit(): void {
		this.#waiting = this.#waiting.filter(job => !job.isOver);
		this.#waiting.sort((left, right) => left.spec.urgency - right.spec.urgency);
		const ownParts = this.#parts.filter(part => part.isOwn).length;
		for (let places = this.#engine.slots - this.#writers.length - ownParts; places > 0 && this.#waiting.length > 0; places--) {
			this.#addPart(this.#waiting.shift()!, true);
		}
	}

	#startPass(): void {
		if (this.#isInPass || !this.isAlive) {
			return;
		}

		this.#writers = this.#writers.filter(job => !job.isOver);
		this.#parts = this.#parts.filter(part => !part.job.isOver);
		this.#admit();
		if (this.#parts.length === 0 && this.#writers.length === 0) {
			return;
		}

		this.#isInPass = true;
		const life = this.#life;
		const writers = this.#writers.filter(job => job.partsLeft === 0);
		const {duration, done} = this.#planPass(writers);
		this.#schedule(duration, () => {
			if (life === this.#life) {
				this.#endPass(writers, done);
			}
		});
	}

	#planPass(writers: PassJob[]): {duration: number; done: Part[]} {
		const steps = writers.length > 0 ? this.#engine.stepsPerPass : 1;
		const context = writers.reduce((sum, job) => sum + (job.spec.promptTokens / job.spec.parts), 0);
		let duration = computePassTime(this.#engine, writers.length, context) * steps / this.#engine.stepsPerPass;
		let room = steps * defaultChunk;
		const done: Part[] = [];
		for (const part of this.#parts.sort((left, right) => Number(right.isJoint) - Number(left.isJoint) || left.job.spec.urgency - right.job.spec.urgency)) {
			const tokens = Math.min(room, part.tokensLeft);
			room -= tokens;
			part.tokensLeft -= tokens;
			duration += tokens * part.timePerToken;
			if (part.tokensLeft <= 0) {
				done.push(part);
			}
		}

		return {duration: duration * this.pace, done};
	}

	#endPass(writers: PassJob[], done: Part[]): void {
		this.#isInPass = false;
		for (const job of writers) {
			this.#write(job);
		}

		this.#writers = this.#writers.filter(job => !job.isOver);
		this.#parts = this.#parts.filter(part => !done.includes(part));
		for (const {job, isOwn} of done) {
			job.partsLeft--;
			if (isOwn) {
				this.#writers.push(job);
			}

			if (job.partsLeft === 0) {
				this.#write(job);
			}
		}

		this.#startPass();
	}

	#write(job: PassJob): void {
		if (job.isOver || job.partsLeft > 0) {
			return;
		}

		job.eventsLeft--;
		job.listener.onEvent();
		if (job.eventsLeft <= 0) {
			job.isOver = true;
			job.listener.onEnd();
		}
	}
}
