/** Recent prefill demand, used as the forecast for the next seconds. Pure. */
import type {EngineProfile} from '../routing/index.js';
import {computeValue} from './answer-value.js';
import {computePrefillTime} from './engine-model.js';
import type {PlanRequest} from './plan.js';

/** Time for which a request counts as demand, in milliseconds: a few times the longest prefill. */
const demandWindow = 10_000;

/** Maximum number of servers that prefill one prompt: one server and the helpers that it accepts. */
export const maxPrefillServers = 16;

/** One requested prefill. */
type DemandEntry = {at: number; prefillTime: number; value: number};

/** Prefills requested within the window. */
export class PrefillDemand {
	readonly #entries: DemandEntry[] = [];

	/** Records a request on arrival, not when it asks again. */
	add(request: PlanRequest, engine: EngineProfile, now: number): void {
		if (request.waited === 0) {
			this.#entries.push({
				at: now, prefillTime: computePrefillTime(engine, request.promptTokens), value: computeValue(request.promptTokens),
			});
		}
	}

	/** Number of servers that the requested prefills keep busy. */
	countBusyServers(now: number): number {
		this.#prune(now);
		return this.#entries.reduce((sum, entry) => sum + entry.prefillTime, 0) / demandWindow;
	}

	/** Value requested per millisecond, in tokens. */
	computeValueRate(now: number): number {
		this.#prune(now);
		return this.#entries.reduce((sum, entry) => sum + entry.value, 0) / demandWindow;
	}

	#prune(now: number): void {
		while (this.#entries.length > 0 && this.#entries[0].at < now - demandWindow) {
			this.#entries.shift();
		}
	}
}
