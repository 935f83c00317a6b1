/** Tells long prompts from short ones, by the performance of the service's servers and the pauses that callers accept. Pure. */
import type {EngineProfile} from '../routing/index.js';
import {computePrefillTime} from './engine-model.js';
import type {PlanRequest} from './plan.js';

/** A prompt whose prefill takes more than this share of the shortest accepted pause is long. */
const longPrefillShare = 0.75;

/** Pause assumed for requests that declare none, in milliseconds. */
const defaultMaxPause = 250;

/** Prompt classes of one service. */
export class PromptClassifier {
	/** Performance figures of the service's servers; undefined for plain services. */
	engine: EngineProfile | undefined;
	#shortestPause = defaultMaxPause;

	/** Records the longest pause that a request accepts; the shortest of them counts. */
	recordPause({longestPause}: PlanRequest): void {
		if (longestPause !== undefined) {
			this.#shortestPause = Math.min(this.#shortestPause, longestPause);
		}
	}

	/** Whether a request is a long prompt. */
	isLong({promptTokens}: PlanRequest): boolean {
		return this.engine !== undefined && promptTokens > 0 && computePrefillTime(this.engine, promptTokens) > longPrefillShare * this.#shortestPause;
	}
}
