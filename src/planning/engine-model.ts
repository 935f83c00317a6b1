/**
 * Predicts how long a model server takes, from the figures its operators declare. Pure.
 *
 * A server works in passes over all its requests: a pass has `stepsPerPass` decode steps and is extended by the prefill done in it.
 * Times are in milliseconds.
 */
import type {EngineProfile} from '../routing/index.js';

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/** Time one server needs to prefill its share of a prompt that is split evenly over `serverCount` servers. */
export function computePrefillTime(engine: EngineProfile, promptTokens: number, serverCount = 1): number {
	const pairs = (promptTokens * promptTokens) / 2;
	const total = (promptTokens / engine.readRate) + ((pairs / pairsPerMillion) * engine.timePerMillionPairs);
	return total / serverCount;
}

/** Time of one pass that decodes `writers` requests and prefills nothing. */
export function computePassTime(engine: EngineProfile, writers: number, contextTokens: number): number {
	const step = engine.stepTime
		+ (writers * engine.stepTimePerWriter)
		+ ((contextTokens / tokensPerThousand) * engine.stepTimePerThousandContext);
	return step * engine.stepsPerPass;
}
