/**
 * What reading was asked for lately: those of the last seconds stand for those soon to come. Pure.
 */
import type {EngineProfile} from '../routing/index.js';
import {computeValue} from './answer-value.js';
import {computePrefillTime} from './engine-model.js';
import type {PlanRequest} from './plan.js';

/** Time for which a request counts as demand, in milliseconds: a few times the longest read. */
const demandMemory = 10_000;

/** Most servers that read one prompt: what a server takes as helpers, and itself. */
export const maxPrefillServers = 16;

/** One request that was asked for. */
type Asked = {at: number; readTime: number; worth: number};

/** Reads of the last seconds. */
export class PrefillDemand {
	readonly #asked: Asked[] = [];

	/** Notes a request when it comes, not each time it asks again. */
	add(request: PlanRequest, engine: EngineProfile, now: number): void {
		if (request.waited === 0) {
			this.#asked.push({
				at: now, readTime: computePrefillTime(engine, request.promptTokens), worth: computeValue(request.promptTokens),
			});
		}
	}

	/** Reading asked for, as a number of servers that it keeps at work. */
	countBusyServers(now: number): number {
		this.#forget(now);
		return this.#asked.reduce((sum, asked) => sum + asked.readTime, 0) / demandMemory;
	}

	/** Worth that came in with each millisecond. */
	computeValueRate(now: number): number {
		this.#forget(now);
		return this.#asked.reduce((sum, asked) => sum + asked.worth, 0) / demandMemory;
	}

	#forget(now: number): void {
		while (this.#asked.length > 0 && this.#asked[0].at < now - demandMemory) {
			this.#asked.shift();
		}
	}
}
