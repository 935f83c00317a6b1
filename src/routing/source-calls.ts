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
const jitterRatio = 0.5;

/** Calls under way at most, each on a connection of its own: the oldest one and the newest ones. */
const maxOpenCalls = 12;

/** How many times the time that the source took of late a call may take before it counts as unanswered. */
const answerTimeFactor = 1.5;

/** Time in which what has arrived is read before a call counts as late or silent, in milliseconds: after a gap of this process its timers fire first. */
const readGrace = 20;

/** What is asked until it is answered. */
export type SourceQuery<Answer> = {
	/** Asks once; `attempt` counts from 0 since the last answer. */
	call: (attempt: number, call: SourceCall) => Promise<Either<SourceFailure, Answer>>;
	/** How long the source may wait before it answers, in milliseconds, by the attempt. */
	getWait: (attempt: number) => number;
	/** Time until a second call goes out beside the first, in milliseconds. */
	firstRetryDelay: number;
	/** Time between two calls after that, in milliseconds. */
	retryDelay: number;
	/** Silence of a call after which it counts as unanswered, in milliseconds, unless the source is known to be slower. */
	silenceTimeout: number;
	/** Called when the first call was lost or is late, and others go out. */
	onSuspect: (reason: string) => void;
	/** Called for each call that failed or counts as unanswered. */
	onUnanswered: (reason: string) => void;
	/** Whether there is reason to ask on. */
	isNeeded: () => boolean;
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
	lastDataAt: number;
	wait: number;
	isSilent: boolean;
	/** When the time to read its answer is over; undefined until it would count as late or silent. */
	readDeadline?: number;
	controller: AbortController;
};

/** An answer, and whether it came to the first call. */
export type SourceAnswer<Answer> = {result: Either<SourceFailure, Answer>; attempt: number};

/** The calls of one follower. */
export class SourceCalls<Answer> {
	readonly #parts: SourceCallsParts;
	/** Oldest first. */
	#openCalls: OpenCall[] = [];
	readonly #answers: Array<SourceAnswer<Answer>> = [];
	#attempt = 0;
	/** When the next call is due, by the monotonic clock. */
	#dueAt = -Infinity;
	/** Whether a call was lost or is late since the last answer. */
	#isSuspected = false;
	/** Whether the others have been told that the source answers after that. */
	#hasReportedRecovery = false;
	#unexpectedError: Error | undefined;
	#wakeUp = new AbortController();

	constructor(parts: SourceCallsParts) {
		this.#parts = parts;
	}

	/** Whether calls are under way. */
	get hasOpenCalls(): boolean {
		return this.#openCalls.length > 0;
	}

	/**
	 * Asks until a call is answered; a lost history is an answer. Calls that went out after the answered one stay under way.
	 *
	 * @returns undefined when there is no reason to ask on, or the signal was aborted.
	 */
	async ask(query: SourceQuery<Answer>, signal: AbortSignal): Promise<SourceAnswer<Answer> | undefined> {
		const {health} = this.#parts;
		if (this.#openCalls.length === 0) {
			this.#attempt = 0;
			this.#isSuspected = false;
			this.#hasReportedRecovery = false;
			this.#dueAt = -Infinity;
		}

		const wake = () => {
			this.#wakeUp.abort();
		};

		const removeListeners = [
			health.addSuspicionListener(() => {
				this.#launchSooner(query, false);
			}),
			health.addRecoveryListener(() => {
				this.#launchSooner(query, true);
			}),
		];
		signal.addEventListener('abort', wake);
		try {
			while (!signal.aborted && query.isNeeded()) {
				this.#throwUnexpectedError();

				const answer = this.#answers.shift();
				if (answer !== undefined) {
					return answer;
				}

				this.#detectSilence(query);
				if (this.#now() >= this.#dueAt) {
					this.#launchDue(query);
				}

				await this.#waitForNextEvent(query);
			}

			this.cancelAll();
			return undefined;
		} finally {
			signal.removeEventListener('abort', wake);
			for (const remove of removeListeners) {
				remove();
			}
		}
	}

	/** Ends all calls: nobody wants their answers any more. */
	cancelAll(): void {
		for (const call of this.#openCalls) {
			call.controller.abort();
		}

		this.#openCalls = [];
		this.#answers.length = 0;
	}

	/** Once: whoever restarts its follower begins anew. */
	#throwUnexpectedError(): void {
		const error = this.#unexpectedError;
		if (error !== undefined) {
			this.#unexpectedError = undefined;
			this.cancelAll();
			throw error;
		}
	}

	/** The next call goes out at once, beside one that was not doubted yet, or that was. */
	#launchSooner({onSuspect: onDoubt}: SourceQuery<Answer>, wasSuspected: boolean): void {
		if (this.#openCalls.length === 0 || this.#isSuspected !== wasSuspected || this.#hasReportedRecovery) {
			return;
		}

		if (!wasSuspected) {
			if (this.#openCalls[0].wait === 0) {
				// It was asked a moment ago, and is answered soon or not at all.
				return;
			}

			this.#isSuspected = true;
			onDoubt('another call to the source was lost or is late');
		}

		this.#dueAt = -Infinity;
		this.#wakeUp.abort();
	}

	/** A first call that is late may have been answered in a gap of this process. */
	#launchDue(query: SourceQuery<Answer>): void {
		const [first] = this.#openCalls;
		if (first === undefined || this.#isSuspected || this.#hasReadGraceElapsed(first)) {
			this.#launch(query);
		} else {
			this.#dueAt = first.readDeadline!;
		}
	}

	#launch(query: SourceQuery<Answer>): void {
		const attempt = this.#attempt++;
		const now = this.#now();
		if (attempt > 0 && !this.#isSuspected) {
			this.#suspect(query, `no answer within ${Math.round(query.firstRetryDelay)} ms`);
		}

		const call = {
			attempt, startedAt: now, lastDataAt: now, wait: query.getWait(attempt), isSilent: false, controller: new AbortController(),
		};
		this.#openCalls.push(call);
		if (this.#openCalls.length > maxOpenCalls) {
			// The oldest one is answered first if the source is only slow.
			this.#openCalls.splice(1, 1)[0].controller.abort();
		}

		this.#dueAt = now + (attempt === 0 ? query.firstRetryDelay : this.#computeRetryDelay(query));
		void this.#follow(call, query);
	}

	#suspect({onSuspect: onDoubt}: SourceQuery<Answer>, reason: string): void {
		this.#isSuspected = true;
		onDoubt(reason);
		this.#parts.health.notifySuspected();
	}

	async #follow(call: OpenCall, query: SourceQuery<Answer>): Promise<void> {
		try {
			const result = await query.call(call.attempt, {
				signal: call.controller.signal,
				isOnNewConnection: call.attempt > 0,
				onData: () => {
					call.lastDataAt = this.#now();
					this.#dueAt = Math.max(this.#dueAt, call.lastDataAt + query.retryDelay);
				},
			});
			if (!call.controller.signal.aborted) {
				this.#handleResult(call, result, query);
			}
		} catch (error) {
			this.#unexpectedError ??= error instanceof Error ? error : new Error(readErrorMessage(error));
		}

		this.#wakeUp.abort();
	}

	#handleResult(call: OpenCall, result: Either<SourceFailure, Answer>, query: SourceQuery<Answer>): void {
		const {health} = this.#parts;
		if (isAnswer(result)) {
			this.#recordAnswerTime(call);
			for (const earlier of this.#openCalls.splice(0, this.#openCalls.indexOf(call) + 1)) {
				earlier.controller.abort();
			}

			this.#answers.push({result, attempt: call.attempt});
			if (call.attempt > 0 && !this.#hasReportedRecovery) {
				this.#hasReportedRecovery = true;
				health.notifyRecovered();
			}

			return;
		}

		this.#openCalls = this.#openCalls.filter(other => other !== call);
		if (call.attempt === 0 && call.wait > 0) {
			// A call that waits may be cut though the source is well.
			this.#dueAt = -Infinity;
			this.#suspect(query, getFailureMessage(result));
		} else if (!call.isSilent) {
			query.onUnanswered(getFailureMessage(result));
		}
	}

	/** Of a call that was answered before its wait was over, only the most that the answer can have taken is known. */
	#recordAnswerTime({startedAt, wait}: OpenCall): void {
		const time = this.#now() - startedAt;
		this.#parts.health.recordAnswerTime(time < wait ? time : time - wait);
	}

	/** Calls that are silent for long count as unanswered; they stay under way. */
	#detectSilence(query: SourceQuery<Answer>): void {
		const now = this.#now();
		for (const call of this.#openCalls) {
			if (!call.isSilent && now >= this.#computeSilenceDeadline(call, query) && this.#hasReadGraceElapsed(call)) {
				call.isSilent = true;
				query.onUnanswered(`no answer within ${Math.round(now - call.startedAt)} ms`);
			}
		}
	}

	/** The first call may wait long for a change: those after it show whether the source is silent. */
	#computeSilenceDeadline(call: OpenCall, {silenceTimeout: silentAfter}: SourceQuery<Answer>): number {
		return call.attempt === 0 && call.wait > 0
			? Infinity
			: Math.max(call.lastDataAt + call.wait + Math.max(silentAfter, this.#parts.health.minAnswerTime * answerTimeFactor), call.readDeadline ?? -Infinity);
	}

	#computeRetryDelay({retryDelay: pause}: SourceQuery<Answer>): number {
		return pause * (1 - (jitterRatio / 2) + (jitterRatio * this.#parts.random()));
	}

	/** Waits until the next call is due or one counts as silent, or until something was heard. */
	async #waitForNextEvent(query: SourceQuery<Answer>): Promise<void> {
		if (this.#answers.length > 0 || this.#unexpectedError !== undefined || !query.isNeeded()) {
			return;
		}

		const silenceDeadlines = this.#openCalls.filter(call => !call.isSilent).map(call => this.#computeSilenceDeadline(call, query));
		this.#wakeUp = new AbortController();
		await waitFor(this.#parts.clock, Math.max(0, Math.min(this.#dueAt, ...silenceDeadlines) - this.#now()), this.#wakeUp.signal);
	}

	/** Whether the time to read an answer of this call that may have arrived is over; it begins with the first look. */
	#hasReadGraceElapsed(call: OpenCall): boolean {
		call.readDeadline ??= this.#now() + readGrace;
		return this.#now() >= call.readDeadline;
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
function getFailureMessage<Answer>(result: Either<SourceFailure, Answer>): string {
	return result.caseOf({Left: failure => failure.message, Right: () => ''});
}
