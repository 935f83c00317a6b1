/**
 * Whose turn it is to read a long prompt. Pure.
 *
 * Short reads go first, but everyone's turn comes with time: the order is by when a
 * request came plus a multiple of its read. A request stays in line by asking again.
 */
import type {RequestId} from '../common/index.js';
import type {PlanRequest} from './plan.js';

/**
 * How much later a request comes in the order for each millisecond of its read on all servers.
 *
 * What a prompt is worth grows with its length and its read with the square: under load the
 * longest cost several others their objective. In one played burst a weight of 2
 * left 9 late of 31, with two prompts of over 300,000 tokens among them.
 */
const readWeight = 6;

/** Time without asking again after which a request has left, in milliseconds: well above the longest pause between asks. */
const forgetAfter = 600;

/** Pause between asks behind one other request, in milliseconds. */
const askPause = 25;

/** Longest pause between asks, in milliseconds. */
export const longestAskPause = 200;

/** What a request would do if it were its turn; times from now. */
export type IntendedRead = {
	/** Time its read would take on all servers for long prompts. */
	readTime: number;
	/** When its servers are free. */
	startIn: number;
	/** When its read would be done. */
	readEndsIn: number;
};

/** One request in line; `startAt` is when its servers are expected to be free. */
type Waiting = {requestId: RequestId; turn: number; askedAt: number; startAt: number};

/** Requests that wait to be read. */
export class LongQueue {
	readonly #waiting = new Map<RequestId, Waiting>();

	/**
	 * Joins the line, or stays in it.
	 *
	 * Returns 0 when the request may read now: it is its turn, or it is done before whoever
	 * is first can begin. Else milliseconds after which to ask again.
	 */
	join(request: PlanRequest, intended: IntendedRead, now: number): number {
		const turn = now - request.waited + (intended.readTime * readWeight);
		this.#waiting.set(request.requestId, {
			requestId: request.requestId, turn, askedAt: now, startAt: now + intended.startIn,
		});
		const ahead = [...this.#waiting.values()].filter(waiting => waiting.turn < turn);
		const fitsBefore = ahead.every(waiting => now + intended.readEndsIn <= waiting.startAt);
		return fitsBefore ? 0 : Math.min(longestAskPause, ahead.length * askPause);
	}

	/** Leaves the line. */
	leave(requestId: RequestId): void {
		this.#waiting.delete(requestId);
	}

	/** Forgets who has not asked for long. */
	prune(now: number): void {
		for (const waiting of this.#waiting.values()) {
			if (now - waiting.askedAt > forgetAfter) {
				this.#waiting.delete(waiting.requestId);
			}
		}
	}
}
