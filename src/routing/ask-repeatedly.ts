/** Asks a source that may be silent: again and again, without waiting for what is not answered. */
import type {Either} from 'purify-ts';
import {
	joinSignals, readErrorMessage, waitFor, type Clock,
} from '../common/index.js';
import type {SourceFailure} from './fleet-source.js';
import type {SourceHealth} from './source-health.js';

/** Part of a pause that is drawn, so that several nodes do not ask in step. */
const drawnPart = 0.5;

/** One question, and what is done about calls without an answer. */
export type RepeatedQuestion<Answer> = {
	/** Asks once; aborted when another call was answered. */
	call: (signal: AbortSignal) => Promise<Either<SourceFailure, Answer>>;
	/** Called for each call that failed; one that has only no answer yet may be slow. */
	onUnanswered: (reason: string) => void;
	/** Whether there is reason to ask on. */
	goesOn: () => boolean;
	/** Time until a source without an answer is asked again, in milliseconds. */
	pause: number;
};

/** What asking needs. */
export type AskingParts = {
	clock: Clock;
	random: () => number;
	/** Tells when the source has answered somebody else: then it is asked again at once. */
	health: SourceHealth;
};

/**
 * Asks until one call is answered, each beside those that wait still; a lost history is an answer.
 *
 * A call that went out while the source was silent is never answered, on its connection, also
 * when the source is back: with a pause of 0.6 s the next one finds that out within 0.75 s, where
 * waiting for the first took 1.2 s and a pause of up to as much. One that is only slow is not given
 * up for it.
 *
 * @returns undefined when there is no reason to ask on, or the signal was aborted.
 */
export async function askRepeatedly<Answer>(parts: AskingParts, question: RepeatedQuestion<Answer>, signal: AbortSignal): Promise<Either<SourceFailure, Answer> | undefined> {
	const {clock, random, health} = parts;
	const ended = new AbortController();
	const end = () => {
		ended.abort();
	};

	let answer: Either<SourceFailure, Answer> | undefined;
	let defect: Error | undefined;
	const askOnce = async () => {
		try {
			const result = await question.call(ended.signal);
			if (isAnswer(result)) {
				answer ??= result;
				end();
			} else if (!ended.signal.aborted) {
				question.onUnanswered(readReason(result));
			}
		} catch (error) {
			defect ??= error instanceof Error ? error : new Error(readErrorMessage(error));
			end();
		}
	};

	signal.addEventListener('abort', end);
	try {
		while (!signal.aborted && question.goesOn()) {
			void askOnce();
			await waitForTurn(clock, question.pause * (1 - (drawnPart / 2) + (drawnPart * random())), {health, signal: ended.signal});
			if (defect !== undefined) {
				throw defect;
			}

			if (answer !== undefined) {
				return answer;
			}
		}

		return undefined;
	} finally {
		signal.removeEventListener('abort', end);
		end();
	}
}

/** Waits for a time, or until the source has answered somebody else, or the signal. */
async function waitForTurn(clock: Clock, time: number, {health, signal}: {health: SourceHealth; signal: AbortSignal}): Promise<void> {
	const woken = new AbortController();
	const wake = () => {
		woken.abort();
	};

	const removeListener = health.addAnswerListener(wake);
	const either = joinSignals([signal, woken.signal]);
	await waitFor(clock, time, either.signal);
	either.release();
	removeListener();
}

/** Whether the source has answered: that it has lost its history is an answer too. */
export function isAnswer<Answer>(result: Either<SourceFailure, Answer>): boolean {
	return result.caseOf({Left: failure => failure.kind === 'history_lost', Right: () => true});
}

/** Why a source did not answer; empty when it did. */
export function readReason<Answer>(result: Either<SourceFailure, Answer>): string {
	return result.caseOf({Left: failure => failure.message, Right: () => ''});
}
