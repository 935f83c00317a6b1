/**
 * One request to a backend server and its answer, on undici's dispatcher interface.
 *
 * Distinguishes requests that never left this node from those that may have run: only a request
 * whose connection was established before it failed can have reached the server.
 */
import type {Dispatcher} from 'undici';
import type {BoxId} from '../../common/index.js';
import type {HeaderFields} from '../wire.js';

/** Callbacks of an exchange, in order: a head, data, and an end or an error. */
export type ExchangeListener = {
	onHead(status: number, headers: HeaderFields): void;
	onData(chunk: Uint8Array): void;
	onEnd(): void;
	/** `wasSent` is false when no byte of the request can have reached the server. */
	onError(error: Error, wasSent: boolean): void;
};

const firstFinalStatus = 200;

/** The connection that an exchange uses. */
export type ExchangeConnection = {
	/** Whether the connection ended with an error. */
	wasReset: () => boolean;
	/** Whether the connection was opened for the exchange. */
	isNew?: () => boolean;
	/** Stops and resumes reading from the connection. */
	pause?: () => void;
	resume?: () => void;
	/** Resets the connection instead of closing it. */
	reset?: () => void;
	/** Called once when the exchange no longer needs the connection. */
	onDone: () => void;
};

/** Handler of one exchange. */
export class BackendExchange implements Dispatcher.DispatchHandler {
	/** The node that forwards the request to the server; undefined when this node is connected to it. */
	relay: BoxId | undefined;
	readonly #listener: ExchangeListener;
	#controller: Dispatcher.DispatchController | undefined;
	#wasSent = false;
	#isAborted = false;
	#isDone = false;
	#isFramed = false;
	#hasHead = false;
	#isPaused = false;
	#connection: ExchangeConnection | undefined;

	constructor(listener: ExchangeListener) {
		this.#listener = listener;
	}

	/** Whether the request may have reached the server. */
	get wasSent(): boolean {
		return this.#wasSent;
	}

	/** Whether the exchange was ended by this node. */
	get isAborted(): boolean {
		return this.#isAborted;
	}

	/** Whether the head of the answer states how its body ends. */
	get isFramed(): boolean {
		return this.#isFramed;
	}

	/** Records that the request has not reached the server after all: the node that was to forward it did not. */
	resetSend(): void {
		this.#wasSent = false;
		this.#controller = undefined;
	}

	/** Sets the connection that the exchange uses. */
	attach(connection: ExchangeConnection): void {
		this.#connection = connection;
	}

	/**
	 * Ends the exchange and closes its connection, so that the server stops working on it.
	 *
	 * Without an answer so far the connection is reset: what a cut link has held up would otherwise reach the server after the cut.
	 */
	abort(): void {
		this.#isAborted = true;
		if (!this.#isDone) {
			if (this.#wasSent && !this.#hasHead) {
				this.#connection?.reset?.();
			}

			this.#controller?.abort(new Error('the request was cancelled'));
		}
	}

	/** Whether reading is stopped; data that was read before may still arrive. */
	get isPaused(): boolean {
		return this.#isPaused;
	}

	/** Stops reading until `resume`: the caller is slower than the server. */
	pause(): void {
		this.#isPaused = true;
		this.#connection?.pause?.();
	}

	/** Resumes reading, unless the exchange has ended. */
	resume(): void {
		this.#isPaused = false;
		if (!this.#isDone) {
			this.#connection?.resume?.();
		}
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isAborted) {
			controller.abort(new Error('the request was cancelled'));
			return;
		}

		this.#wasSent = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: HeaderFields): void {
		this.#isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
		this.#hasHead ||= status >= firstFinalStatus;
		if (status >= firstFinalStatus && !this.#isAborted) {
			this.#listener.onHead(status, headers);
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (!this.#isAborted) {
			this.#listener.onData(chunk);
		}
	}

	onResponseEnd(): void {
		// Without a length, only a clean close of the connection proves that the answer is complete.
		if (!this.#isFramed && this.#connection?.wasReset() === true) {
			this.#finish(new Error('the connection was reset during an answer without a length'));
			return;
		}

		this.#finish();
	}

	onResponseError(_controller: Dispatcher.DispatchController | undefined, error: Error): void {
		this.#finish(error);
	}

	#finish(error?: Error): void {
		if (this.#isDone) {
			return;
		}

		this.#isDone = true;
		this.#connection?.onDone();
		if (this.#isAborted) {
			return;
		}

		if (error === undefined) {
			this.#listener.onEnd();
		} else {
			this.#listener.onError(error, this.#wasSent);
		}
	}
}
