/** Tells failures of a backend server from those of its request. Pure. */

/** Statuses that say that the request asks for something the server does not offer: any other server would answer the same. */
const requestStatuses = new Set([501, 505]);

const timeoutStatus = 504;

const minServerErrorStatus = 500;

/** Time left of a request below which a 504 says that the request's time has run out, in milliseconds: servers stop shortly before the deadline that they are given. */
const deadlineMargin = 100;

/** An error answer of a server. */
export type FailedAnswerFacts = {
	status: number;
	/** Whether the answer asks for rest: that is granted, and it is no failure. */
	asksForRest: boolean;
	/** Time left of the request when the answer was complete, in milliseconds. */
	timeLeft: number;
};

/** Whether an error answer counts against the server that gave it. */
export function isServerFault({status, asksForRest, timeLeft}: FailedAnswerFacts): boolean {
	if (status < minServerErrorStatus || asksForRest || requestStatuses.has(status)) {
		return false;
	}

	return status !== timeoutStatus || timeLeft > deadlineMargin;
}
