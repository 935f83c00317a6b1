/** Checks each event of an answer: that it belongs to the request, comes in order, and that the answer is whole. Pure. */
import {finishMarker, type EngineEvent} from '../../backends/index.js';
import type {RequestId} from '../../common/index.js';
import type {JsonObject} from './chunk-merger.js';
import type {Operation} from './caller-request.js';

/** What an event turned out to be. */
export type CheckedEvent =
	/** The next chunk. */
	| {kind: 'chunk'; chunk: JsonObject}
	/** The marker of a whole answer. */
	| {kind: 'finished'}
	/** Seen before; to be left out. */
	| {kind: 'repeated'}
	/** Events are missing before it, or it cannot be read, or the marker came too early: resume from the last good one. */
	| {kind: 'broken'; reason: string}
	/** A chunk of another request. */
	| {kind: 'crossed'};

const idPrefixes = {chat: 'chatcmpl-', text: 'cmpl-', plain: ''} as const;

/** Follows one attempt on one engine. */
export class ChunkChecker {
	readonly #expectedId: string;
	#lastSequence = 0;
	readonly #unfinishedChoices = new Set<number>();

	constructor(operation: Operation, attemptId: RequestId, choiceCount: number) {
		this.#expectedId = `${idPrefixes[operation]}${attemptId}`;
		for (let index = 0; index < choiceCount; index++) {
			this.#unfinishedChoices.add(index);
		}
	}

	/** Sequence number of the last good event; 0 before the first. */
	get lastSequence(): number {
		return this.#lastSequence;
	}

	/** Checks the next event. */
	check(event: EngineEvent): CheckedEvent {
		if (event.sequence <= this.#lastSequence) {
			return {kind: 'repeated'};
		}

		if (event.sequence !== this.#lastSequence + 1) {
			return {kind: 'broken', reason: `event ${event.sequence} came after ${this.#lastSequence}`};
		}

		if (event.data === finishMarker) {
			return this.#checkMarker();
		}

		return this.#checkChunk(event);
	}

	#checkMarker(): CheckedEvent {
		if (this.#unfinishedChoices.size > 0) {
			return {kind: 'broken', reason: 'the finish marker came before every choice had ended'};
		}

		this.#lastSequence++;
		return {kind: 'finished'};
	}

	#checkChunk(event: EngineEvent): CheckedEvent {
		const chunk = parseChunk(event.data);
		if (chunk === undefined) {
			return {kind: 'broken', reason: 'a chunk is not a JSON object'};
		}

		if (chunk.id !== this.#expectedId) {
			return {kind: 'crossed'};
		}

		this.#lastSequence = event.sequence;
		for (const choice of (chunk.choices ?? []) as JsonObject[]) {
			if (typeof choice.finish_reason === 'string') {
				this.#unfinishedChoices.delete(Number(choice.index ?? 0));
			}
		}

		return {kind: 'chunk', chunk};
	}
}

function parseChunk(data: string): JsonObject | undefined {
	try {
		const value: unknown = JSON.parse(data);
		return typeof value === 'object' && value !== null ? value as JsonObject : undefined;
	} catch {
		return undefined;
	}
}
