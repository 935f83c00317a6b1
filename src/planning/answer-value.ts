/**
 * The value of answers, shared by all planning decisions. Pure.
 *
 * Values are in prompt tokens: the value of an answer in time grows with its prompt. Operators state no relative value for kinds of request;
 * this formula is an assumption.
 */
import type {PlanRequest} from './plan.js';

/** Fixed value of each answer, in tokens, so that short prompts count too. */
const baseValue = 5000;

/** Share of its value that an answer keeps when it is late, as the customers' requirements state. */
export const lateValueShare = 0.25;

/**
 * Additional loss, as a share of the value, when a started answer is aborted, and when a caller that retries is rejected again.
 *
 * These make such requests worth serving late rather than not at all; both shares come from the customers' requirements.
 */
const abortedLoss = 0.5;
const rejectedRetryLoss = 0.3;

/** Share of its time after which a request that waited and is not served loses its whole value in addition: its caller could have gone elsewhere. */
const fullWaitShare = 0.75;

/** Uncertainty of a predicted first event: a share of the predicted time, plus a minimum in milliseconds of about half a pass. */
const relativeUncertainty = 0.06;
const minUncertainty = 20;

/** Value of an answer in time, in tokens. */
export function computeValue(promptTokens: number): number {
	return promptTokens + baseValue;
}

/** Share of its value that is lost in addition when a request is not served; it grows with the time that it has waited. */
export function findLossShare({hasBegun, hasTried, waited, patience}: Pick<PlanRequest, 'hasBegun' | 'hasTried' | 'waited' | 'patience'>): number {
	if (hasBegun) {
		return abortedLoss;
	}

	const waitedLoss = Math.min(1, waited / (fullWaitShare * Math.max(1, waited + patience)));
	return Math.max(waitedLoss, hasTried ? rejectedRetryLoss : 0);
}

/** Expected share of its value that a request earns when its first event arrives after `finish`; all times in milliseconds from now. */
export function estimateValueShare(finish: number, objective: number, patience: number): number {
	if (finish >= patience) {
		return 0;
	}

	const uncertainty = minUncertainty + (relativeUncertainty * finish);
	const inTime = 1 / (1 + Math.exp((finish - objective) / uncertainty));
	return lateValueShare + ((1 - lateValueShare) * inTime);
}
