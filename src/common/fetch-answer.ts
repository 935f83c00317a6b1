/** Requests over undici whose whole answer is read at once. */
import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {ByteQueue} from './byte-queue.js';

/** Header fields of an answer, in lower case. */
type Headers = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2];

/** An answer. */
export type FetchedAnswer = {status: number; headers: Headers; text: string};

/** Options of reading an answer. */
export type FetchOptions = {
	/** Ends the request. */
	signal: AbortSignal | undefined;
	/** Maximum size of the body, in bytes; the request fails when the answer is longer. */
	maxBytes: number;
	/** Called for the head and for each chunk of the body. */
	onData?: () => void;
};

/** The body of an answer is longer than the reader allows. */
export class OversizedAnswerError extends Error {
	constructor(maxBytes: number) {
		super(`the answer is longer than ${maxBytes} bytes`);
	}
}

const firstFinalStatus = 200;

/**
 * Sends a request and reads its answer as UTF-8 text; rejects when there is no complete one.
 *
 * The streams of undici's `request` pause its parser for slow readers, see `ReadGate`.
 */
export async function fetchAnswer(dispatcher: Dispatcher, request: Dispatcher.DispatchOptions, options: FetchOptions): Promise<FetchedAnswer> {
	return new Promise((resolve, reject) => {
		dispatcher.dispatch(request, new AnswerReader(options, resolve, reject));
	});
}

/** Collects one answer. */
class AnswerReader implements Dispatcher.DispatchHandler {
	readonly #options: FetchOptions;
	readonly #resolve: (answer: FetchedAnswer) => void;
	readonly #reject: (error: unknown) => void;
	readonly #body = new ByteQueue();
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#headers: Headers = {};

	constructor(options: FetchOptions, resolve: (answer: FetchedAnswer) => void, reject: (error: unknown) => void) {
		this.#options = options;
		this.#resolve = resolve;
		this.#reject = reject;
		options.signal?.addEventListener('abort', this.#abort);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#options.signal?.aborted) {
			this.#abort();
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: Headers): void {
		if (status >= firstFinalStatus) {
			this.#status = status;
			this.#headers = headers;
			this.#options.onData?.();
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#options.onData?.();
		this.#body.append(chunk);
		if (this.#body.length > this.#options.maxBytes) {
			this.#body.clear();
			controller.abort(new OversizedAnswerError(this.#options.maxBytes));
		}
	}

	onResponseEnd(): void {
		this.#finish();
		this.#resolve({status: this.#status, headers: this.#headers, text: Buffer.from(this.#body.take()).toString('utf8')});
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.#finish();
		this.#reject(error);
	}

	readonly #abort = () => {
		this.#controller?.abort(this.#options.signal?.reason as Error ?? new Error('the request was cancelled'));
	};

	#finish(): void {
		this.#options.signal?.removeEventListener('abort', this.#abort);
	}
}
