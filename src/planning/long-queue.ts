/**
 * Whose turn it is to read a long prompt. Pure.
 *
 * Short reads go first, but everyone's turn comes with time: the order is by when a
 * request came plus a multiple of its read. A request stays in line by asking again.
 */
import type {RequestId} from '../common/index.js';
import type {PlanRequest} from './plan.js';

/** How much later a request comes in the order for each millisecond of its read: a long review lets shorter ones pass that came within twice its read. */
const readWeight = 2;

/** Time without asking again after which a request has left, in milliseconds: well above the longest pause between asks. */
const forgetAfter = 600;

/** Pause between asks behind one other request, in milliseconds. */
const askPause = 25;

/** Longest pause between asks, in milliseconds. */
export const longestAskPause = 200;

/** One request in line. */
type Waiting = {requestId: RequestId; turn: number; askedAt: number};

/** Requests that wait to be read. */
export class LongQueue {
	readonly #waiting = new Map<RequestId, Waiting>();

	/**
	 * Joins the line, or stays in it.
	 *
	 * Returns 0 when it is this request's turn, else milliseconds after which to ask again.
	 */
	join(request: PlanRequest, readTime: number, now: number): number {
		const turn = now - request.waited + (readTime * readWeight);
		this.#waiting.set(request.requestId, {requestId: request.requestId, turn, askedAt: now});
		const ahead = [...this.#waiting.values()].filter(waiting => waiting.turn < turn).length;
		return Math.min(longestAskPause, ahead * askPause);
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
