/**
 * One request to a backend server and its answer, straight from undici's dispatcher.
 *
 * Tells apart what never left this node from what may have run: only a request whose
 * connection was up before it failed can have reached the server.
 */
import type {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import type {HeaderFields} from './wire.js';

/** What is heard of an exchange, in order: a head, data, and an end or an error. */
export type ExchangeListener = {
	onHead(status: number, headers: HeaderFields): void;
	onData(chunk: Buffer): void;
	onEnd(): void;
	/** `wasSent` is false when no byte of the request can have reached the server. */
	onError(error: Error, wasSent: boolean): void;
};

const firstFinalStatus = 200;

/** Handles one exchange. */
export class BackendExchange implements Dispatcher.DispatchHandler {
	readonly #listener: ExchangeListener;
	#controller: Dispatcher.DispatchController | undefined;
	#wasSent = false;
	#isAborted = false;
	#isOver = false;

	constructor(listener: ExchangeListener) {
		this.#listener = listener;
	}

	/** Whether the request may have reached the server. */
	get wasSent(): boolean {
		return this.#wasSent;
	}

	/** Ends the exchange and closes its connection, so that the server stops working on it. */
	abort(): void {
		this.#isAborted = true;
		if (!this.#isOver) {
			this.#controller?.abort(new Error('no longer wanted'));
		}
	}

	/** Stops reading until `resume`: the caller is slower than the server. */
	pause(): void {
		this.#controller?.pause();
	}

	/** Goes on reading. */
	resume(): void {
		this.#controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isAborted) {
			controller.abort(new Error('no longer wanted'));
			return;
		}

		this.#wasSent = true;
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number, headers: HeaderFields): void {
		if (status >= firstFinalStatus && !this.#isAborted) {
			this.#listener.onHead(status, headers);
		}
	}

	onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
		if (!this.#isAborted) {
			this.#listener.onData(chunk);
		}
	}

	onResponseEnd(): void {
		this.#isOver = true;
		if (!this.#isAborted) {
			this.#listener.onEnd();
		}
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#isOver = true;
		if (!this.#isAborted) {
			this.#listener.onError(error, this.#wasSent);
		}
	}
}
