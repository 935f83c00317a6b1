/** Verifies the events of a completion stream: order, request id and completeness. Pure. */
import {finishMarker, type EngineEvent} from '../../backends/index.js';
import type {RequestId} from '../../common/index.js';
import type {JsonObject} from './chunk-merger.js';
import type {Operation} from './caller-request.js';

/** Result of checking one event. */
export type EventCheckResult =
	/** The next chunk in sequence. */
	| {kind: 'chunk'; chunk: JsonObject}
	/** The finish marker; the completion is complete. */
	| {kind: 'finished'}
	/** A duplicate of an earlier event; ignored. */
	| {kind: 'repeated'}
	/** Sequence gap, unparsable event or premature finish marker; resume after the last valid event. */
	| {kind: 'broken'; reason: string}
	/** A chunk that belongs to another request. */
	| {kind: 'crossed'};

const idPrefixes = {chat: 'chatcmpl-', text: 'cmpl-', plain: ''} as const;

/** Checks the event stream of one attempt on one engine. */
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

	/** Sequence number of the last valid event; 0 before the first. */
	get lastSequence(): number {
		return this.#lastSequence;
	}

	/** Checks the next event. */
	check(event: EngineEvent): EventCheckResult {
		if (event.sequence <= this.#lastSequence) {
			return {kind: 'repeated'};
		}

		if (event.sequence !== this.#lastSequence + 1) {
			return {kind: 'broken', reason: `event ${event.sequence} follows event ${this.#lastSequence}`};
		}

		if (event.data === finishMarker) {
			return this.#checkMarker();
		}

		return this.#checkChunk(event);
	}

	#checkMarker(): EventCheckResult {
		if (this.#unfinishedChoices.size > 0) {
			return {kind: 'broken', reason: 'finish marker received before every choice had finished'};
		}

		this.#lastSequence++;
		return {kind: 'finished'};
	}

	#checkChunk(event: EngineEvent): EventCheckResult {
		const chunk = parseChunk(event.data);
		if (chunk === undefined) {
			return {kind: 'broken', reason: 'chunk is not a JSON object'};
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
