/** Destinations of a response: a caller's connection, a recording, or frames for another node. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {findAnswer, formatErrorBody, type Failure} from '../../common/index.js';
import type {AnswerHead} from '../../rpc/index.js';

/** Receives a response chunk by chunk. */
export abstract class ResponseSink {
	/** Whether `start` has been called. */
	abstract readonly hasStarted: boolean;

	/** Aborted once the reader of the response has disconnected. */
	abstract readonly disconnected: AbortSignal;

	/** Whether the write buffer is full; call `waitForDrain` before the next write. */
	abstract readonly isFull: boolean;

	/** Sends status and headers. Called once. */
	abstract start(head: AnswerHead): void;

	/** Sends a chunk of the body. */
	abstract write(chunk: string | Uint8Array): void;

	/** Resolves when the buffer has drained or the reader has disconnected; applies backpressure to the backend server. */
	abstract waitForDrain(): Promise<void>;

	/** Ends a complete response. */
	abstract end(): void;

	/** Resolves when all written data has been handed to the operating system or the connection is closed. */
	abstract flush(): Promise<void>;

	/** Aborts an incomplete response: the connection is reset, so that the reader sees that the response is truncated. */
	abstract abort(): void;
}

/** Sends a response over a caller's HTTP connection. */
export class HttpResponseSink extends ResponseSink {
	readonly #response: ServerResponse;
	readonly #disconnected = new AbortController();
	#hasStarted = false;
	#hasEnded = false;

	constructor(response: ServerResponse) {
		super();
		this.#response = response;
		response.once('close', () => {
			if (!this.#hasEnded) {
				this.#disconnected.abort();
			}
		});
		response.on('error', () => {
			this.#disconnected.abort();
		});
	}

	override get hasStarted(): boolean {
		return this.#hasStarted;
	}

	override get disconnected(): AbortSignal {
		return this.#disconnected.signal;
	}

	override start(head: AnswerHead): void {
		this.#hasStarted = true;
		this.#response.writeHead(head.status, head.headers);
	}

	override get isFull(): boolean {
		return this.#response.writableNeedDrain && !this.disconnected.aborted;
	}

	override write(chunk: string | Uint8Array): void {
		if (!this.disconnected.aborted) {
			this.#response.write(chunk);
		}
	}

	override async waitForDrain(): Promise<void> {
		if (!this.isFull) {
			return;
		}

		await new Promise<void>(resolve => {
			const finish = () => {
				this.#response.off('drain', finish);
				this.disconnected.removeEventListener('abort', finish);
				resolve();
			};

			this.#response.once('drain', finish);
			this.disconnected.addEventListener('abort', finish, {once: true});
		});
	}

	override end(): void {
		this.#hasEnded = true;
		this.#response.end();
	}

	override abort(): void {
		this.#hasEnded = true;
		this.#response.destroy();
	}

	override async flush(): Promise<void> {
		if (this.#response.writableFinished || this.#response.destroyed) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#response.once('finish', resolve);
			this.#response.once('close', resolve);
		});
	}
}

/** Builds status and headers of an error response. */
export function formatErrorHead(failure: Failure): AnswerHead {
	const answer = findAnswer(failure);
	const headers: Record<string, string> = {'content-type': 'application/json', 'x-cresshook-ran': answer.ran};
	if (answer.retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(answer.retryAfterSeconds);
	}

	// OpenAI's clients retry some statuses on their own; a request that may have run must not be retried.
	if (answer.ran !== 'no') {
		headers['x-should-retry'] = 'false';
	}

	return {status: answer.status, headers};
}

/** Ends a response with a failure: an error response before the first chunk, an error event in an event stream, otherwise a connection reset. */
export function sendFailure(sink: ResponseSink, failure: Failure, isEventStream: boolean): void {
	const body = JSON.stringify(formatErrorBody(failure));
	if (!sink.hasStarted) {
		const head = formatErrorHead(failure);
		sink.start({...head, headers: {...head.headers, 'content-length': String(Buffer.byteLength(body))}});
		sink.write(body);
		sink.end();
		return;
	}

	if (!isEventStream) {
		sink.abort();
		return;
	}

	sink.write(`data: ${body}\n\n`);
	sink.end();
}
