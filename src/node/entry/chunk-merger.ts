/**
 * Merges the chunks of a streamed completion into one complete response.
 *
 * Engines always stream, because only a stream can be verified event by event and resumed.
 * The merge is generic so that unknown fields are kept: strings of a delta are concatenated,
 * lists are merged by `index`, anything else is replaced.
 */
import type {Operation} from './caller-request.js';

/** A JSON object. */
export type JsonObject = Record<string, unknown>;

/** String fields that engines send once or repeat unchanged, so they are replaced instead of concatenated. */
const nonConcatenatedKeys = new Set(['id', 'role', 'type', 'name', 'object', 'model', 'finish_reason']);

/** Accumulates the chunks of one completion. */
export class ChunkMerger {
	readonly #operation: Operation;
	#fields: JsonObject = {};
	readonly #choices = new Map<number, JsonObject>();

	readonly #createdSecond: number;

	/** `createdSecond` is the Unix time in seconds used for `created` if the engine sends none. */
	constructor(operation: Operation, createdSecond: number) {
		this.#operation = operation;
		this.#createdSecond = createdSecond;
	}

	/** Adds the next chunk. */
	addChunk(chunk: JsonObject): void {
		const {choices, ...head} = chunk;
		for (const [key, value] of Object.entries(head)) {
			// Every chunk but the last has `usage: null`, which must not overwrite a value.
			if (value !== null) {
				this.#fields[key] = value;
			}
		}

		for (const choice of (choices ?? []) as JsonObject[]) {
			const index = Number(choice.index ?? 0);
			this.#choices.set(index, mergeObjects(this.#choices.get(index) ?? {}, choice));
		}
	}

	/** Builds the response body of a request without `stream`. */
	build(): JsonObject {
		const choices = [...this.#choices.entries()].sort(([left], [right]) => left - right).map(([, choice]) => choice);
		const created = Number(this.#fields.created ?? 0) > 0 ? this.#fields.created : this.#createdSecond;
		if (this.#operation === 'text') {
			return {
				...this.#fields, created, object: 'text_completion', choices,
			};
		}

		return {
			...this.#fields,
			created,
			object: 'chat.completion',
			choices: choices.map(({delta, ...choice}) => ({...choice, message: buildMessage(delta as JsonObject | undefined)})),
		};
	}
}

function buildMessage(delta: JsonObject | undefined): JsonObject {
	const message: JsonObject = {role: 'assistant', content: null, ...delta};
	if (Array.isArray(message.tool_calls)) {
		message.tool_calls = (message.tool_calls as JsonObject[]).map(({index: _index, ...call}) => call);
	}

	return message;
}

function mergeObjects(target: JsonObject, source: JsonObject): JsonObject {
	const merged = {...target};
	for (const [key, value] of Object.entries(source)) {
		merged[key] = mergeValues(key, merged[key], value);
	}

	return merged;
}

function mergeValues(key: string, before: unknown, after: unknown): unknown {
	if (after === null || after === undefined) {
		return before ?? after;
	}

	if (typeof before === 'string' && typeof after === 'string') {
		return nonConcatenatedKeys.has(key) ? after : before + after;
	}

	if (Array.isArray(before) && Array.isArray(after)) {
		return mergeLists(before as JsonObject[], after as JsonObject[]);
	}

	if (isObject(before) && isObject(after)) {
		return mergeObjects(before, after);
	}

	return after;
}

function mergeLists(before: JsonObject[], after: JsonObject[]): JsonObject[] {
	const merged = [...before];
	for (const item of after) {
		const position = item.index === undefined ? -1 : merged.findIndex(existing => existing.index === item.index);
		if (position === -1) {
			merged.push(item);
		} else {
			merged[position] = mergeObjects(merged[position], item);
		}
	}

	return merged;
}

function isObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
