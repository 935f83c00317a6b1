/**
 * Hedged calls to a source: while calls are unanswered, parallel ones are made, and the first answer counts.
 *
 * A dead connection never answers and a slow source answers late; only time distinguishes them. So no call is aborted for
 * its age, only once a later call was answered.
 */
import type {Either} from 'purify-ts';
import {readErrorMessage, waitFor, type Clock} from '../common/index.js';
import type {SourceCall, SourceFailure} from './fleet-source.js';
import type {SourceHealth} from './source-health.js';

/** Random fraction of a retry delay, so that nodes do not call in lockstep. */
const jitterRatio = 0.5;

/** Maximum number of open calls, each on its own connection: the oldest and the newest ones are kept. */
const maxOpenCalls = 12;

/** A call counts as unanswered only after this multiple of the source's recent answer time. */
const answerTimeFactor = 1.5;

/** Time to read received data before a call counts as late or silent, in milliseconds: after a stall of this process timers fire before sockets are read. */
const readGrace = 20;

/** A call to the source that is repeated until it is answered. */
export type SourceQuery<Answer> = {
	/** Makes one call; `attempt` counts from 0 since the last answer. */
	call: (attempt: number, call: SourceCall) => Promise<Either<SourceFailure, Answer>>;
	/** How long the source may hold the given attempt before it answers, in milliseconds. */
	getWait: (attempt: number) => number;
	/** Delay before the second, parallel call, in milliseconds. */
	firstRetryDelay: number;
	/** Delay between later calls, in milliseconds. */
	retryDelay: number;
	/** Silence after which a call counts as unanswered, in milliseconds, unless the source is known to be slower. */
	silenceTimeout: number;
	/** Called when the first call failed or is late, and parallel calls begin. */
	onSuspect: (reason: string) => void;
	/** Called for each call that failed or counts as unanswered, except a failed first long poll. */
	onUnanswered: (reason: string) => void;
	/** Whether the answer is still needed. */
	isNeeded: () => boolean;
};

/** Dependencies of the calls. */
export type SourceCallsParts = {
	clock: Clock;
	/** Uniform random numbers from 0 up to 1. */
	random: () => number;
	/** Shared with the other followers of the source. */
	health: SourceHealth;
};

/** A call without an answer so far. */
type OpenCall = {
	attempt: number;
	startedAt: number;
	lastDataAt: number;
	wait: number;
	isSilent: boolean;
	/** End of the time to read an answer that may have arrived; set when the call would first count as late or silent. */
	readDeadline?: number;
	controller: AbortController;
};

/** An answer, and which attempt it belongs to. */
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
	/** Whether a call failed or is late since the last answer. */
	#isSuspected = false;
	/** Whether the other followers were notified that the source answers again. */
	#hasReportedRecovery = false;
	#unexpectedError: Error | undefined;
	#wakeUp = new AbortController();

	constructor(parts: SourceCallsParts) {
		this.#parts = parts;
	}

	/** Whether there are open calls. */
	get hasOpenCalls(): boolean {
		return this.#openCalls.length > 0;
	}

	/**
	 * Makes calls until one is answered; `history_lost` is an answer. Calls made after the answered one stay open.
	 *
	 * @returns undefined when the answer is no longer needed, or the signal was aborted.
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

	/** Aborts all calls and drops their answers. */
	cancelAll(): void {
		for (const call of this.#openCalls) {
			call.controller.abort();
		}

		this.#openCalls = [];
		this.#answers.length = 0;
	}

	/** Throws an unexpected error once, so that a restarted follower begins without it. */
	#throwUnexpectedError(): void {
		const error = this.#unexpectedError;
		if (error !== undefined) {
			this.#unexpectedError = undefined;
			this.cancelAll();
			throw error;
		}
	}

	/** Makes the next call due at once: on a suspicion of another follower, or (`wasSuspected`) on its recovery. */
	#launchSooner({onSuspect}: SourceQuery<Answer>, wasSuspected: boolean): void {
		if (this.#openCalls.length === 0 || this.#isSuspected !== wasSuspected || this.#hasReportedRecovery) {
			return;
		}

		if (!wasSuspected) {
			if (this.#openCalls[0].wait === 0) {
				// A call without a wait was made a moment ago, and is answered soon or not at all.
				return;
			}

			this.#isSuspected = true;
			onSuspect('another call to the source failed or is late');
		}

		this.#dueAt = -Infinity;
		this.#wakeUp.abort();
	}

	/** Launches the call that is due, unless the answer to a late first call may have arrived during a stall of this process. */
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
			// Keeps the oldest call, which is answered first if the source is only slow.
			this.#openCalls.splice(1, 1)[0].controller.abort();
		}

		this.#dueAt = now + (attempt === 0 ? query.firstRetryDelay : this.#computeRetryDelay(query));
		void this.#follow(call, query);
	}

	#suspect({onSuspect}: SourceQuery<Answer>, reason: string): void {
		this.#isSuspected = true;
		onSuspect(reason);
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
			// A long poll may be disconnected though the source is healthy.
			this.#dueAt = -Infinity;
			this.#suspect(query, getFailureMessage(result));
		} else if (!call.isSilent) {
			query.onUnanswered(getFailureMessage(result));
		}
	}

	/** For a call answered before its wait was over only an upper bound of the answer time is known. */
	#recordAnswerTime({startedAt, wait}: OpenCall): void {
		const time = this.#now() - startedAt;
		this.#parts.health.recordAnswerTime(time < wait ? time : time - wait);
	}

	/** Marks calls without data for too long as unanswered; they stay open. */
	#detectSilence(query: SourceQuery<Answer>): void {
		const now = this.#now();
		for (const call of this.#openCalls) {
			if (!call.isSilent && now >= this.#computeSilenceDeadline(call, query) && this.#hasReadGraceElapsed(call)) {
				call.isSilent = true;
				query.onUnanswered(`no answer within ${Math.round(now - call.startedAt)} ms`);
			}
		}
	}

	/** The first long poll has no deadline, since it may wait long for a change; later calls show whether the source is silent. */
	#computeSilenceDeadline(call: OpenCall, {silenceTimeout}: SourceQuery<Answer>): number {
		return call.attempt === 0 && call.wait > 0
			? Infinity
			: Math.max(call.lastDataAt + call.wait + Math.max(silenceTimeout, this.#parts.health.minAnswerTime * answerTimeFactor), call.readDeadline ?? -Infinity);
	}

	#computeRetryDelay({retryDelay}: SourceQuery<Answer>): number {
		return retryDelay * (1 - (jitterRatio / 2) + (jitterRatio * this.#parts.random()));
	}

	/** Waits until the next call is due, a silence deadline passes, or an event arrives. */
	async #waitForNextEvent(query: SourceQuery<Answer>): Promise<void> {
		if (this.#answers.length > 0 || this.#unexpectedError !== undefined || !query.isNeeded()) {
			return;
		}

		const silenceDeadlines = this.#openCalls.filter(call => !call.isSilent).map(call => this.#computeSilenceDeadline(call, query));
		this.#wakeUp = new AbortController();
		await waitFor(this.#parts.clock, Math.max(0, Math.min(this.#dueAt, ...silenceDeadlines) - this.#now()), this.#wakeUp.signal);
	}

	/** Whether the time to read an answer that may have arrived is over; it begins with the first check. */
	#hasReadGraceElapsed(call: OpenCall): boolean {
		call.readDeadline ??= this.#now() + readGrace;
		return this.#now() >= call.readDeadline;
	}

	#now(): number {
		return this.#parts.clock.readMonotonic();
	}
}

/** Whether the source has answered; `history_lost` is an answer too. */
function isAnswer<Answer>(result: Either<SourceFailure, Answer>): boolean {
	return result.caseOf({Left: failure => failure.kind === 'history_lost', Right: () => true});
}

/** Returns why a source did not answer; empty when it did. */
function getFailureMessage<Answer>(result: Either<SourceFailure, Answer>): string {
	return result.caseOf({Left: failure => failure.message, Right: () => ''});
}
