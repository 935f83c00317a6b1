/**
 * Estimates how long a caller has been trying, from the wait time that it declares with each call. Pure.
 *
 * Callers of one route share a total wait time, and each retry declares what is left of it: a caller that declares less than most others has
 * tried before, and its objective counts from its first try. The most common wait is the reference, not a high quantile, because declared
 * waits are unbounded: a few callers that declare 1e9 ms would make all others look like retries.
 */
import type {PlanRequest} from './plan.js';

/** Calls remembered for each route, and the minimum needed for an estimate. */
const maxSamples = 40;
const minSamples = 4;

/** Tolerance for network transit, in milliseconds: a smaller difference does not indicate an earlier try. */
const maxTransitTime = 60;

/** Declared waits of the latest calls of each route. */
export class CallerWaits {
	readonly #waits = new Map<string, number[]>();

	/** Records a call's declared wait, in milliseconds. */
	add(route: string, wait: number): void {
		const waits = this.#waits.get(route) ?? [];
		this.#waits.set(route, waits);
		waits.push(wait);
		if (waits.length > maxSamples) {
			waits.shift();
		}
	}

	/** Counts a request's objective from its caller's first try, and records the declared wait of a new call. */
	adjustObjective(request: PlanRequest): PlanRequest {
		const {route, callerWaits, waited, objective} = request;
		if (route === undefined || callerWaits === undefined) {
			return request;
		}

		if (waited === 0) {
			this.add(route, callerWaits);
		}

		const elapsed = this.estimateElapsed(route, callerWaits);
		return {...request, objective: objective - elapsed, hasTried: elapsed > 0};
	}

	/** How long a caller had been trying before this call, in milliseconds; 0 when there is no evidence of an earlier try. */
	estimateElapsed(route: string, wait: number): number {
		const waits = this.#waits.get(route) ?? [];
		if (waits.length < minSamples) {
			return 0;
		}

		const elapsed = findCommonWait(waits) - wait;
		return elapsed > maxTransitTime ? elapsed : 0;
	}
}

/** The highest wait of the largest group of similar waits; waits are similar if they differ by no more than the transit tolerance. */
function findCommonWait(waits: number[]): number {
	const sorted = [...waits].sort((left, right) => left - right);
	let common = sorted[0];
	let largest = 0;
	let first = 0;
	for (const [index, wait] of sorted.entries()) {
		while (wait - sorted[first] > maxTransitTime) {
			first++;
		}

		const similar = index - first + 1;
		if (similar >= largest) {
			largest = similar;
			common = wait;
		}
	}

	return common;
}
