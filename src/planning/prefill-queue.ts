/**
 * Who waits to be read, and in which order they are thought of. Pure.
 *
 * Those that can be in time come first, by when they are due; where they cannot all be in
 * time, those go behind that bring least for their reading, and are read late. A request
 * stays in line by asking again.
 */
import type {RequestId} from '../common/index.js';
import type {EngineProfile} from '../routing/index.js';
import {computeValue} from './answer-value.js';
import {computePrefillTime} from './engine-model.js';
import {findMin} from './find-min.js';
import type {PlanRequest} from './plan.js';

/** Time without asking again after which a request has left, in milliseconds: well above the longest pause between asks. */
const forgetAfter = 600;

/** Least time until it is late by which a request that waits is weighed, in milliseconds: about a pass and a read. */
const shortestSlack = 300;

/** One request in line; times by the planner's clock. */
type Waiting = {request: PlanRequest; askedAt: number; due: number};

/** Requests that wait to be read. */
export class PrefillQueue {
	readonly #waiting = new Map<RequestId, Waiting>();

	/** How many wait. */
	get length(): number {
		return this.#waiting.size;
	}

	/** Joins the line, or stays in it. */
	join(request: PlanRequest, now: number): void {
		this.#waiting.set(request.requestId, {request, askedAt: now, due: now + request.objective});
	}

	/** Leaves the line. */
	leave(requestId: RequestId): void {
		this.#waiting.delete(requestId);
	}

	/** Forgets who has not asked for long. */
	prune(now: number): void {
		for (const {request, askedAt} of this.#waiting.values()) {
			if (now - askedAt > forgetAfter) {
				this.#waiting.delete(request.requestId);
			}
		}
	}

	/** Worth that those who wait lose with each millisecond: what they bring, spread over the time until they are late. */
	computeWaitingLoss(requestId: RequestId, now: number): number {
		let pressure = 0;
		for (const {request, due} of this.#waiting.values()) {
			if (request.requestId !== requestId && due > now) {
				pressure += computeValue(request.promptTokens) / Math.max(shortestSlack, due - now);
			}
		}

		return pressure;
	}

	/** Those before a request, with their times as of now; `servers` read together. */
	listAhead(requestId: RequestId, engine: EngineProfile, servers: number, now: number): PlanRequest[] {
		const ordered = this.#order(engine, servers, now);
		const index = ordered.findIndex(waiting => waiting.request.requestId === requestId);
		return ordered.slice(0, index).map(({request, askedAt}) => passTime(request, now - askedAt));
	}

	#order(engine: EngineProfile, servers: number, now: number): Waiting[] {
		const byDue = [...this.#waiting.values()].sort((left, right) => left.due - right.due);
		const computeRead = (waiting: Waiting) => computePrefillTime(engine, waiting.request.promptTokens, servers);
		const inTime: Waiting[] = [];
		const late: Waiting[] = [];
		let end = now;
		for (const waiting of byDue) {
			inTime.push(waiting);
			end += computeRead(waiting);
			while (end > waiting.due && inTime.length > 0) {
				const least = findMin(inTime, candidate => computeDensity(candidate, engine))!;
				inTime.splice(inTime.indexOf(least), 1);
				late.push(least);
				end -= computeRead(least);
			}
		}

		return [...inTime, ...late.sort((left, right) => computeDensity(right, engine) - computeDensity(left, engine))];
	}
}

/** Worth for each millisecond of reading. */
function computeDensity({request}: Waiting, engine: EngineProfile): number {
	return computeValue(request.promptTokens) / computePrefillTime(engine, request.promptTokens);
}

function passTime(request: PlanRequest, time: number): PlanRequest {
	return {
		...request, waited: request.waited + time, objective: request.objective - time, patience: request.patience - time, timeLeft: request.timeLeft - time,
	};
}
