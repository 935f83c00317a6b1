/**
 * Long prompts that wait for prefill, and the order in which they are considered. Pure.
 *
 * Prompts that can be in time come first, by deadline. Where not all can be in time, those of the last rank, and among them those with the least
 * value for their prefill time, are moved behind the others and served late. A request keeps its position by asking again.
 */
import type {RequestId} from '../common/index.js';
import type {EngineProfile} from '../routing/index.js';
import {computeValue} from './answer-value.js';
import {computePrefillTime} from './engine-model.js';
import {findMin} from './find-min.js';
import type {PlanRequest} from './plan.js';

/** Time after which a request that does not ask again leaves the queue, in milliseconds: well above the longest retry delay. */
const entryTimeout = 600;

/** Minimum time to the deadline in the waiting loss, in milliseconds: about one pass and one prefill. */
const minSlack = 300;

/** Value per millisecond that one step of rank outweighs: far above that of any prompt. */
const rankWeight = 1e6;

/** A queued request; times by the planner's clock. A lower rank goes first. */
type QueuedPrompt = {request: PlanRequest; lastAskedAt: number; deadline: number; rank: number};

/** Queue of prompts that wait for prefill. */
export class PrefillQueue {
	readonly #entries = new Map<RequestId, QueuedPrompt>();

	/** Number of queued requests. */
	get length(): number {
		return this.#entries.size;
	}

	/** Adds a request or refreshes its entry. */
	join(request: PlanRequest, now: number, rank = 0): void {
		this.#entries.set(request.requestId, {
			request, lastAskedAt: now, deadline: now + request.objective, rank,
		});
	}

	/** Removes a request. */
	leave(requestId: RequestId): void {
		this.#entries.delete(requestId);
	}

	/** Drops requests that have not asked recently. */
	prune(now: number): void {
		for (const {request, lastAskedAt} of this.#entries.values()) {
			if (now - lastAskedAt > entryTimeout) {
				this.#entries.delete(request.requestId);
			}
		}
	}

	/** Value that the other waiting requests lose per millisecond: their value, spread over the time until their deadlines. */
	computeWaitingLoss(requestId: RequestId, now: number): number {
		let loss = 0;
		for (const {request, deadline} of this.#entries.values()) {
			if (request.requestId !== requestId && deadline > now) {
				loss += computeValue(request.promptTokens) / Math.max(minSlack, deadline - now);
			}
		}

		return loss;
	}

	/** Requests ahead of this one, with their times as of now; `servers` is the number of servers that prefill together. */
	listAhead(requestId: RequestId, engine: EngineProfile, servers: number, now: number): PlanRequest[] {
		const ordered = this.#order(engine, servers, now);
		const index = ordered.findIndex(entry => entry.request.requestId === requestId);
		return ordered.slice(0, index).map(({request, lastAskedAt}) => advanceTime(request, now - lastAskedAt));
	}

	#order(engine: EngineProfile, servers: number, now: number): QueuedPrompt[] {
		const byDeadline = [...this.#entries.values()].sort((left, right) => left.deadline - right.deadline);
		const computeTime = (entry: QueuedPrompt) => computePrefillTime(engine, entry.request.promptTokens, servers);
		const inTime: QueuedPrompt[] = [];
		const late: QueuedPrompt[] = [];
		let end = now;
		for (const entry of byDeadline) {
			inTime.push(entry);
			end += computeTime(entry);
			while (end > entry.deadline && inTime.length > 0) {
				const lowest = findMin(inTime, candidate => computeValueDensity(candidate, engine) - (candidate.rank * rankWeight))!;
				inTime.splice(inTime.indexOf(lowest), 1);
				late.push(lowest);
				end -= computeTime(lowest);
			}
		}

		return [...inTime, ...late.sort((left, right) => left.rank - right.rank || computeValueDensity(right, engine) - computeValueDensity(left, engine))];
	}
}

/** Value per millisecond of prefill. */
function computeValueDensity({request}: QueuedPrompt, engine: EngineProfile): number {
	return computeValue(request.promptTokens) / computePrefillTime(engine, request.promptTokens);
}

function advanceTime(request: PlanRequest, time: number): PlanRequest {
	return {
		...request, waited: request.waited + time, objective: request.objective - time, patience: request.patience - time, timeLeft: request.timeLeft - time,
	};
}
