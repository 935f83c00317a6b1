/** Writes a completion to the caller, as a stream of chunks or as one complete response. */
import {Buffer} from 'node:buffer';
import type {Clock, Metrics} from '../../common/index.js';
import {ChunkMerger, type JsonObject} from './chunk-merger.js';
import type {ResponseSink} from './response-sink.js';
import {buildContinuation} from './continuation.js';
import type {CallerRequest, CompletionBody} from './caller-request.js';
import type {TokenEstimator} from './token-estimator.js';

type Usage = {prompt_tokens?: number};

const millisecondsPerSecond = 1000;

/** Writes the response to one request across its attempts. */
export class ResponseWriter {
	/** Whether the caller asked for a stream. */
	readonly isStream: boolean;
	/** Number of choices requested (`n`). */
	readonly choiceCount: number;
	readonly #request: CallerRequest;
	readonly #completion: CompletionBody;
	readonly #sink: ResponseSink;
	readonly #parts: {clock: Clock; metrics: Metrics; estimator: TokenEstimator};
	readonly #isUsageRequested: boolean;
	#merger: ChunkMerger;
	/** Id of the first chunk, kept when the completion continues on another engine. */
	#completionId: unknown;
	#deliveredText = '';
	#deliveredChunks = 0;
	#timeToFirstToken: number | undefined;
	#isContinued = false;

	constructor(request: CallerRequest, sink: ResponseSink, parts: {clock: Clock; metrics: Metrics; estimator: TokenEstimator}) {
		if (request.completion === undefined) {
			throw new TypeError('the request is not a completion');
		}

		this.#request = request;
		this.#completion = request.completion;
		this.#sink = sink;
		this.#parts = parts;
		this.isStream = request.completion.stream === true;
		this.choiceCount = Number(request.completion.n ?? 1);
		this.#isUsageRequested = (request.completion.stream_options as {include_usage?: boolean} | undefined)?.include_usage === true;
		this.#merger = this.#createMerger();
	}

	/** Whether any chunk has been sent to the caller. */
	get hasDelivered(): boolean {
		return this.#deliveredChunks > 0;
	}

	/** Milliseconds from arrival to the first token; undefined before it. */
	get timeToFirstToken(): number | undefined {
		return this.#timeToFirstToken;
	}

	/** Whether another engine can continue the completion from the text already delivered. */
	get canContinue(): boolean {
		return this.#request.serviceSpec.continuable
			&& this.choiceCount === 1
			&& buildContinuation(this.#request.operation, this.#completion, this.#deliveredText, this.#deliveredChunks) !== undefined;
	}

	/** Whether the caller reads more slowly than the engine generates. */
	get isBackpressured(): boolean {
		return this.#sink.isFull;
	}

	/** Resolves when the caller has caught up or has disconnected. */
	async waitForDrain(): Promise<void> {
		await this.#sink.waitForDrain();
	}

	/** Prepares for the next attempt; merged chunks of an earlier attempt are discarded. */
	startAttempt(): void {
		this.#isContinued = this.hasDelivered;
		this.#merger = this.#createMerger();
	}

	/** Builds the JSON body for the engine: always streaming, with usage. The engine runs lower priorities first. */
	buildEngineBody(priority: number): string {
		const body = this.#isContinued
			? buildContinuation(this.#request.operation, this.#completion, this.#deliveredText, this.#deliveredChunks) ?? this.#completion
			: this.#completion;
		const options = (body.stream_options ?? {}) as JsonObject;
		return JSON.stringify({
			...body, stream: true, stream_options: {...options, include_usage: true}, priority,
		});
	}

	/** Writes or merges the next verified chunk. */
	writeChunk(data: string, chunk: JsonObject): void {
		this.#timeToFirstToken ??= this.#parts.clock.readMonotonic() - this.#request.arrivedAt;
		this.#recordUsage(chunk.usage as Usage | undefined);
		if (!this.isStream) {
			this.#merger.addChunk(chunk);
			return;
		}

		const isUsageOnly = Array.isArray(chunk.choices) && chunk.choices.length === 0;
		if (isUsageOnly && !this.#isUsageRequested) {
			return;
		}

		if (!this.#sink.hasStarted) {
			this.#sink.start({
				status: 200,
				headers: {'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache', 'x-request-id': this.#request.requestId},
			});
		}

		this.#completionId ??= chunk.id;
		this.#recordDelivered(chunk);
		const text = this.#isContinued ? JSON.stringify({...chunk, id: this.#completionId}) : data;
		this.#sink.write(`data: ${text}\n\n`);
	}

	/** Ends the response. */
	finish(): void {
		if (this.isStream) {
			this.#sink.write('data: [DONE]\n\n');
			this.#sink.end();
			return;
		}

		const body = JSON.stringify(this.#merger.build());
		this.#sink.start({
			status: 200,
			headers: {
				'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)), 'x-request-id': this.#request.requestId, 'x-cresshook-ran': 'yes',
			},
		});
		this.#sink.write(body);
		this.#sink.end();
	}

	#recordDelivered(chunk: JsonObject): void {
		this.#deliveredChunks++;
		if (!this.#request.serviceSpec.continuable) {
			return;
		}

		const choice = (chunk.choices as Array<{delta?: {content?: string}; text?: string}>)[0] as {delta?: {content?: string}; text?: string} | undefined;
		this.#deliveredText += choice?.delta?.content ?? choice?.text ?? '';
	}

	#recordUsage(usage: Usage | undefined): void {
		// A continued prompt also contains the text already generated, which the body does not.
		if (usage?.prompt_tokens !== undefined && !this.#isContinued) {
			this.#parts.estimator.update(this.#request.service, this.#request.body.length, usage.prompt_tokens);
		}
	}

	#createMerger(): ChunkMerger {
		return new ChunkMerger(this.#request.operation, Math.floor(this.#parts.clock.now().getTime() / millisecondsPerSecond));
	}
}
