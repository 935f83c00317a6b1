/**
 * How long a model server takes, from the figures its operators state. Pure.
 *
 * A server works in passes over everything that waits: `stepsPerPass` steps of writing,
 * stretched by whatever is read in them. All times in milliseconds.
 */
import type {EngineProfile} from '../routing/index.js';

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/** Time one server needs to read its even part of a prompt that `parts` servers read together. */
export function computePrefillTime(engine: EngineProfile, promptTokens: number, parts = 1): number {
	const pairs = (promptTokens * promptTokens) / 2;
	const alone = (promptTokens / engine.readRate) + ((pairs / pairsPerMillion) * engine.timePerMillionPairs);
	return alone / parts;
}

/** Time of one pass with writers and nothing to read. */
export function computePassTime(engine: EngineProfile, writers: number, contextTokens: number): number {
	const step = engine.stepTime
		+ (writers * engine.stepTimePerWriter)
		+ ((contextTokens / tokensPerThousand) * engine.stepTimePerThousandContext);
	return step * engine.stepsPerPass;
}
