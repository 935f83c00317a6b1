/**
 * Calls to a source that may be silent, or slow: another one goes out beside those without an answer, and whichever is answered counts.
 *
 * A silent connection never answers and a slow source does later, and nothing tells them apart but time. So no call is
 * given up for its age: those after it find out about the connection, and it is left once a later one was answered.
 */
import type {Either} from 'purify-ts';
import {readErrorMessage, waitFor, type Clock} from '../common/index.js';
import type {SourceCall, SourceFailure} from './fleet-source.js';
import type {SourceHealth} from './source-health.js';

/** Part of a pause that is drawn, so that several nodes do not ask in step. */
const drawnPart = 0.5;

/** Calls under way at most, each on a connection of its own: the oldest one and the newest ones. */
const mostOpen = 12;

/** How many times the time that the source took of late a call may take before it counts as unanswered. */
const slowFactor = 1.5;

/** Time in which what has arrived is read before a call counts as late or silent, in milliseconds: after a gap of this process its timers fire first. */
const readingTime = 20;

/** What is asked until it is answered. */
export type Question<Answer> = {
	/** Asks once; `attempt` counts from 0 since the last answer. */
	call: (attempt: number, call: SourceCall) => Promise<Either<SourceFailure, Answer>>;
	/** How long the source may wait before it answers, in milliseconds, by the attempt. */
	findWait: (attempt: number) => number;
	/** Time until a second call goes out beside the first, in milliseconds. */
	firstPause: number;
	/** Time between two calls after that, in milliseconds. */
	pause: number;
	/** Silence of a call after which it counts as unanswered, in milliseconds, unless the source is known to be slower. */
	silentAfter: number;
	/** Called when the first call was lost or is late, and others go out. */
	onDoubt: (reason: string) => void;
	/** Called for each call that failed or counts as unanswered. */
	onUnanswered: (reason: string) => void;
	/** Whether there is reason to ask on. */
	goesOn: () => boolean;
};

/** What calls need. */
export type SourceCallsParts = {
	clock: Clock;
	/** Uniform random numbers from 0 up to 1. */
	random: () => number;
	/** What the other followers of the source find. */
	health: SourceHealth;
};

/** One call without an answer. */
type OpenCall = {
	attempt: number;
	startedAt: number;
	heardAt: number;
	wait: number;
	isSilent: boolean;
	/** When the time to read its answer is over; undefined until it would count as late or silent. */
	readUntil?: number;
	stop: AbortController;
};

/** An answer, and whether it came to the first call. */
export type SourceAnswer<Answer> = {result: Either<SourceFailure, Answer>; attempt: number};

/** The calls of one follower. */
export class SourceCalls<Answer> {
	readonly #parts: SourceCallsParts;
	/** Oldest first. */
	#open: OpenCall[] = [];
	readonly #answers: Array<SourceAnswer<Answer>> = [];
	#attempt = 0;
	/** When the next call is due, by the monotonic clock. */
	#dueAt = -Infinity;
	/** Whether a call was lost or is late since the last answer. */
	#isDoubted = false;
	/** Whether the others have been told that the source answers after that. */
	#hasToldAnswer = false;
	#defect: Error | undefined;
	#turn = new AbortController();

	constructor(parts: SourceCallsParts) {
		this.#parts = parts;
	}

	/** Whether calls are under way. */
	get isAsking(): boolean {
		return this.#open.length > 0;
	}

	/**
	 * Asks until a call is answered; a lost history is an answer. Calls that went out after the answered one stay under way.
	 *
	 * @returns undefined when there is no reason to ask on, or the signal was aborted.
	 */
	async next(question: Question<Answer>, signal: AbortSignal): Promise<SourceAnswer<Answer> | undefined> {
		const {health} = this.#parts;
		if (this.#open.length === 0) {
			this.#attempt = 0;
			this.#isDoubted = false;
			this.#hasToldAnswer = false;
			this.#dueAt = -Infinity;
		}

		const wake = () => {
			this.#turn.abort();
		};

		const removeListeners = [
			health.addDoubtListener(() => {
				this.#hasten(question, false);
			}),
			health.addAnswerListener(() => {
				this.#hasten(question, true);
			}),
		];
		signal.addEventListener('abort', wake);
		try {
			while (!signal.aborted && question.goesOn()) {
				this.#throwDefect();

				const answer = this.#answers.shift();
				if (answer !== undefined) {
					return answer;
				}

				this.#noticeSilence(question);
				if (this.#now() >= this.#dueAt) {
					this.#launchDue(question);
				}

				await this.#waitForTurn(question);
			}

			this.end();
			return undefined;
		} finally {
			signal.removeEventListener('abort', wake);
			for (const remove of removeListeners) {
				remove();
			}
		}
	}

	/** Ends all calls: nobody wants their answers any more. */
	end(): void {
		for (const call of this.#open) {
			call.stop.abort();
		}

		this.#open = [];
		this.#answers.length = 0;
	}

	/** Once: whoever restarts its follower begins anew. */
	#throwDefect(): void {
		const defect = this.#defect;
		if (defect !== undefined) {
			this.#defect = undefined;
			this.end();
			throw defect;
		}
	}

	/** The next call goes out at once, beside one that was not doubted yet, or that was. */
	#hasten({onDoubt}: Question<Answer>, wasDoubted: boolean): void {
		if (this.#open.length === 0 || this.#isDoubted !== wasDoubted || this.#hasToldAnswer) {
			return;
		}

		if (!wasDoubted) {
			if (this.#open[0].wait === 0) {
				// It was asked a moment ago, and is answered soon or not at all.
				return;
			}

			this.#isDoubted = true;
			onDoubt('another call to the source was lost or is late');
		}

		this.#dueAt = -Infinity;
		this.#turn.abort();
	}

	/** A first call that is late may have been answered in a gap of this process. */
	#launchDue(question: Question<Answer>): void {
		const [first] = this.#open;
		if (first === undefined || this.#isDoubted || this.#hasRead(first)) {
			this.#launch(question);
		} else {
			this.#dueAt = first.readUntil!;
		}
	}

	#launch(question: Question<Answer>): void {
		const attempt = this.#attempt++;
		const now = this.#now();
		if (attempt > 0 && !this.#isDoubted) {
			this.#doubt(question, `no answer within ${Math.round(question.firstPause)} ms`);
		}

		const call = {
			attempt, startedAt: now, heardAt: now, wait: question.findWait(attempt), isSilent: false, stop: new AbortController(),
		};
		this.#open.push(call);
		if (this.#open.length > mostOpen) {
			// The oldest one is answered first if the source is only slow.
			this.#open.splice(1, 1)[0].stop.abort();
		}

		this.#dueAt = now + (attempt === 0 ? question.firstPause : this.#drawPause(question));
		void this.#follow(call, question);
	}

	#doubt({onDoubt}: Question<Answer>, reason: string): void {
		this.#isDoubted = true;
		onDoubt(reason);
		this.#parts.health.tellDoubt();
	}

	async #follow(call: OpenCall, question: Question<Answer>): Promise<void> {
		try {
			const result = await question.call(call.attempt, {
				signal: call.stop.signal,
				isRepeated: call.attempt > 0,
				onHeard: () => {
					call.heardAt = this.#now();
					this.#dueAt = Math.max(this.#dueAt, call.heardAt + question.pause);
				},
			});
			if (!call.stop.signal.aborted) {
				this.#take(call, result, question);
			}
		} catch (error) {
			this.#defect ??= error instanceof Error ? error : new Error(readErrorMessage(error));
		}

		this.#turn.abort();
	}

	#take(call: OpenCall, result: Either<SourceFailure, Answer>, question: Question<Answer>): void {
		const {health} = this.#parts;
		if (isAnswer(result)) {
			this.#noteAnswerTime(call);
			for (const earlier of this.#open.splice(0, this.#open.indexOf(call) + 1)) {
				earlier.stop.abort();
			}

			this.#answers.push({result, attempt: call.attempt});
			if (call.attempt > 0 && !this.#hasToldAnswer) {
				this.#hasToldAnswer = true;
				health.tellAnswer();
			}

			return;
		}

		this.#open = this.#open.filter(other => other !== call);
		if (call.attempt === 0 && call.wait > 0) {
			// A call that waits may be cut though the source is well.
			this.#dueAt = -Infinity;
			this.#doubt(question, readReason(result));
		} else if (!call.isSilent) {
			question.onUnanswered(readReason(result));
		}
	}

	/** Of a call that was answered before its wait was over, only the most that the answer can have taken is known. */
	#noteAnswerTime({startedAt, wait}: OpenCall): void {
		const time = this.#now() - startedAt;
		this.#parts.health.noteAnswerTime(time < wait ? time : time - wait);
	}

	/** Calls that are silent for long count as unanswered; they stay under way. */
	#noticeSilence(question: Question<Answer>): void {
		const now = this.#now();
		for (const call of this.#open) {
			if (!call.isSilent && now >= this.#findSilentAt(call, question) && this.#hasRead(call)) {
				call.isSilent = true;
				question.onUnanswered(`no answer within ${Math.round(now - call.startedAt)} ms`);
			}
		}
	}

	/** The first call may wait long for a change: those after it show whether the source is silent. */
	#findSilentAt(call: OpenCall, {silentAfter}: Question<Answer>): number {
		return call.attempt === 0 && call.wait > 0
			? Infinity
			: Math.max(call.heardAt + call.wait + Math.max(silentAfter, this.#parts.health.answerTime * slowFactor), call.readUntil ?? -Infinity);
	}

	#drawPause({pause}: Question<Answer>): number {
		return pause * (1 - (drawnPart / 2) + (drawnPart * this.#parts.random()));
	}

	/** Waits until the next call is due or one counts as silent, or until something was heard. */
	async #waitForTurn(question: Question<Answer>): Promise<void> {
		if (this.#answers.length > 0 || this.#defect !== undefined || !question.goesOn()) {
			return;
		}

		const silentAt = this.#open.filter(call => !call.isSilent).map(call => this.#findSilentAt(call, question));
		this.#turn = new AbortController();
		await waitFor(this.#parts.clock, Math.max(0, Math.min(this.#dueAt, ...silentAt) - this.#now()), this.#turn.signal);
	}

	/** Whether the time to read an answer of this call that may have arrived is over; it begins with the first look. */
	#hasRead(call: OpenCall): boolean {
		call.readUntil ??= this.#now() + readingTime;
		return this.#now() >= call.readUntil;
	}

	#now(): number {
		return this.#parts.clock.readMonotonic();
	}
}

/** Whether the source has answered: that it has lost its history is an answer too. */
function isAnswer<Answer>(result: Either<SourceFailure, Answer>): boolean {
	return result.caseOf({Left: failure => failure.kind === 'history_lost', Right: () => true});
}

/** Why a source did not answer; empty when it did. */
function readReason<Answer>(result: Either<SourceFailure, Answer>): string {
	return result.caseOf({Left: failure => failure.message, Right: () => ''});
}
