/** Writes a completion's chunks to the caller: as they come, or gathered into one whole answer. */
import {Buffer} from 'node:buffer';
import type {Clock, Metrics} from '../../common/index.js';
import {AnswerMerge, type JsonObject} from './answer-merge.js';
import type {AnswerSink} from './answer-sink.js';
import {buildContinuation} from './continuation.js';
import type {CallerRequest, CompletionBody} from './caller-request.js';
import type {TokenEstimator} from './token-estimator.js';

type Usage = {prompt_tokens?: number};

const millisecondsPerSecond = 1000;

/** Writes one request's answer, over one or more attempts. */
export class AnswerWriter {
	/** Whether the caller asked for a stream. */
	readonly isStream: boolean;
	/** Number of answers asked for at once. */
	readonly choiceCount: number;
	readonly #request: CallerRequest;
	readonly #completion: CompletionBody;
	readonly #sink: AnswerSink;
	readonly #parts: {clock: Clock; metrics: Metrics; estimator: TokenEstimator};
	readonly #wantsUsage: boolean;
	#merge: AnswerMerge;
	/** Id of the first chunk; a continued answer keeps it. */
	#answerId: unknown;
	#deliveredText = '';
	#deliveredChunks = 0;
	#firstToken: number | undefined;
	#isContinued = false;

	constructor(request: CallerRequest, sink: AnswerSink, parts: {clock: Clock; metrics: Metrics; estimator: TokenEstimator}) {
		if (request.completion === undefined) {
			throw new TypeError('a completion is needed');
		}

		this.#request = request;
		this.#completion = request.completion;
		this.#sink = sink;
		this.#parts = parts;
		this.isStream = request.completion.stream === true;
		this.choiceCount = Number(request.completion.n ?? 1);
		this.#wantsUsage = (request.completion.stream_options as {include_usage?: boolean} | undefined)?.include_usage === true;
		this.#merge = this.#createMerge();
	}

	/** Whether any part of the answer has reached the caller. */
	get hasDelivered(): boolean {
		return this.#deliveredChunks > 0;
	}

	/** Milliseconds from arrival to the first token. */
	get firstToken(): number | undefined {
		return this.#firstToken;
	}

	/** Whether the answer can go on elsewhere from what the caller has. */
	get canContinue(): boolean {
		return this.#request.serviceSpec.continuable
			&& this.choiceCount === 1
			&& buildContinuation(this.#request.operation, this.#completion, this.#deliveredText, this.#deliveredChunks) !== undefined;
	}

	/** Whether the caller takes the answer more slowly than it comes. */
	get isBehind(): boolean {
		return this.#sink.isFull;
	}

	/** Resolves when the caller has caught up or is gone. */
	async waitForRoom(): Promise<void> {
		await this.#sink.waitForRoom();
	}

	/** Prepares for an attempt on another engine. */
	startAttempt(): void {
		this.#isContinued = this.hasDelivered;
		this.#merge = this.#createMerge();
	}

	/** Makes the JSON text for the engine: always a stream, with usage, at a priority of which the least goes first. */
	buildEngineBody(priority: number): string {
		const body = this.#isContinued
			? buildContinuation(this.#request.operation, this.#completion, this.#deliveredText, this.#deliveredChunks) ?? this.#completion
			: this.#completion;
		const options = (body.stream_options ?? {}) as JsonObject;
		return JSON.stringify({
			...body, stream: true, stream_options: {...options, include_usage: true}, priority,
		});
	}

	/** Takes the next checked chunk. */
	writeChunk(data: string, chunk: JsonObject): void {
		this.#firstToken ??= this.#parts.clock.readMonotonic() - this.#request.arrived;
		this.#learnUsage(chunk.usage as Usage | undefined);
		if (!this.isStream) {
			this.#merge.addChunk(chunk);
			return;
		}

		const isUsageOnly = Array.isArray(chunk.choices) && chunk.choices.length === 0;
		if (isUsageOnly && !this.#wantsUsage) {
			return;
		}

		if (!this.#sink.hasStarted) {
			this.#sink.start({
				status: 200,
				headers: {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', 'x-request-id': this.#request.requestId},
			});
		}

		this.#answerId ??= chunk.id;
		this.#remember(chunk);
		const text = this.#isContinued ? JSON.stringify({...chunk, id: this.#answerId}) : data;
		this.#sink.write(`data: ${text}\n\n`);
	}

	/** Ends the answer. */
	finish(): void {
		if (this.isStream) {
			this.#sink.write('data: [DONE]\n\n');
			this.#sink.end();
			return;
		}

		const body = JSON.stringify(this.#merge.build());
		this.#sink.start({
			status: 200,
			headers: {
				'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), 'x-request-id': this.#request.requestId, 'x-cresshook-ran': 'yes',
			},
		});
		this.#sink.write(body);
		this.#sink.end();
	}

	#remember(chunk: JsonObject): void {
		this.#deliveredChunks++;
		if (!this.#request.serviceSpec.continuable) {
			return;
		}

		const choice = (chunk.choices as Array<{delta?: {content?: string}; text?: string}>)[0] as {delta?: {content?: string}; text?: string} | undefined;
		this.#deliveredText += choice?.delta?.content ?? choice?.text ?? '';
	}

	#learnUsage(usage: Usage | undefined): void {
		// A continued prompt is longer than the body by what was already answered.
		if (usage?.prompt_tokens !== undefined && !this.#isContinued) {
			this.#parts.estimator.learn(this.#request.service, this.#request.body.length, usage.prompt_tokens);
		}
	}

	#createMerge(): AnswerMerge {
		return new AnswerMerge(this.#request.operation, Math.floor(this.#parts.clock.now().getTime() / millisecondsPerSecond));
	}
}
