/**
 * What answers are worth, so that all decisions weigh the same thing. Pure.
 *
 * The unit is a token of prompt: what an answer in time is worth grows with what was asked.
 * Between kinds of request no figure of worth is stated by operators; this one is assumed.
 *
 * Figures in the comments of this folder are what replayed days bring (`cresshook rehearse`):
 * the share of worth over the day, its worst windows and its worst kind, weighted 0.6, 0.25
 * and 0.15.
 */
import type {PlanRequest} from './plan.js';

/**
 * Worth of an answer beside its prompt's tokens, in tokens: the shortest prompts have somebody waiting too.
 *
 * Of 40 replayed days 0.914 of the worth was brought with 5,000, 0.899 with 2,000 and 0.905 with 10,000.
 */
const baseWorth = 5000;

/** Share of its worth that an answer keeps when it is late: what the customers' sheets state. */
export const lateValueShare = 0.25;

/**
 * What is lost beyond its worth, as a share of it, when an answer that has begun is broken off, and when a caller that came back is turned away again.
 *
 * So that whoever was told when to come, or reads already, is served late rather than not at all; the customers' rules state both shares.
 */
const brokenOffLoss = 0.5;
const turnedAwayLoss = 0.3;

/** Uncertainty of a predicted first event: a share of the time until it and milliseconds besides, about a pass. */
const relativeDoubt = 0.06;
const leastDoubt = 20;

/** Worth of an answer in time, in tokens. */
export function computeValue(promptTokens: number): number {
	return promptTokens + baseWorth;
}

/** Share of its worth that a request loses beyond it when it is not served. */
export function findLossShare(request: Pick<PlanRequest, 'hasBegun' | 'hasTried'>): number {
	if (request.hasBegun) {
		return brokenOffLoss;
	}

	return request.hasTried ? turnedAwayLoss : 0;
}

/** Share of its worth that a request is expected to earn when its first event comes after `finish`; all times in milliseconds from now. */
export function estimateValueShare(finish: number, objective: number, patience: number): number {
	if (finish >= patience) {
		return 0;
	}

	const doubt = leastDoubt + (relativeDoubt * finish);
	const inTime = 1 / (1 + Math.exp((finish - objective) / doubt));
	return lateValueShare + ((1 - lateValueShare) * inTime);
}
