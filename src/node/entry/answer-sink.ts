/** Where an answer goes: to a caller's connection, or into a recording. */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {findAnswer, formatErrorBody, type Failure} from '../../common/index.js';
import type {AnswerHead} from '../../rpc/index.js';

/** Takes an answer chunk by chunk. */
export abstract class AnswerSink {
	/** Whether `start` has been called. */
	abstract readonly hasStarted: boolean;

	/** Fires when nobody waits for the answer any more. */
	abstract readonly disconnected: AbortSignal;

	/** Whether more is waiting to be taken than should be; `waitForRoom` before writing on. */
	abstract readonly isFull: boolean;

	/** Sends the head. Called once. */
	abstract start(head: AnswerHead): void;

	/** Sends a chunk. */
	abstract write(chunk: string | Uint8Array): void;

	/** Resolves when there is room, so that a slow reader slows the backend server, or when the reader is gone. */
	abstract waitForDrain(): Promise<void>;

	/** Ends a whole answer. */
	abstract end(): void;

	/** Resolves when what was written has left the process, or can no longer leave it. */
	abstract flush(): Promise<void>;

	/** Ends a short answer: a stream that cannot carry an error of its own is cut, so that its reader sees the lack. */
	abstract abort(): void;
}

/** Sends an answer over a caller's HTTP connection. */
export class HttpAnswerSink extends AnswerSink {
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

/** Headers of an error answer. */
export function formatErrorHead(failure: Failure): AnswerHead {
	const answer = findAnswer(failure);
	const headers: Record<string, string> = {'content-type': 'application/json', 'x-cresshook-ran': answer.ran};
	if (answer.retryAfterSeconds !== undefined) {
		headers['retry-after'] = String(answer.retryAfterSeconds);
	}

	// OpenAI's clients repeat some statuses by themselves; a request that may have run must not be.
	if (answer.ran !== 'no') {
		headers['x-should-retry'] = 'false';
	}

	return {status: answer.status, headers};
}

/** Ends an answer with a failure: a whole error before the first chunk, an error event in a stream, a cut elsewhere. */
export function sendFailure(sink: AnswerSink, failure: Failure, isEventStream: boolean): void {
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
