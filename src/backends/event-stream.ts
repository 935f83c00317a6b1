/**
 * Reads server-sent events directly from undici's dispatcher.
 *
 * The streams of undici's `request` took more CPU time per token than the rest of the path (docs/MEASURES.md).
 */
import {StringDecoder} from 'node:string_decoder';
import {createParser, type EventSourceParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';

/** One event of an answer. */
export type EngineEvent = {
	/** Position in the answer, counted from 1. */
	sequence: number;
	/** JSON text of a chunk, or the finish marker. */
	data: string;
};

/** The status of a response, with its text if it is not a stream. */
export type StreamOpening = {
	status: number;
	/** Body of a response that is not a stream; empty for streams. */
	text: string;
};

/** Events buffered for a slow reader before the connection is paused. */
const maxBufferedEvents = 64;

/** Maximum size of an event, and of the body of an answer that is no stream, in bytes. */
const maxEventBytes = 4 * 1024 * 1024;
const maxTextBytes = 65_536;

/** Handles one request whose response is a stream of events. */
export class EventStreamHandler implements Dispatcher.DispatchHandler, AsyncIterable<EngineEvent[]> {
	/** Resolves once the response has started; rejects if there is none. */
	readonly opened: Promise<StreamOpening>;
	readonly #signal: AbortSignal;
	readonly #decoder = new StringDecoder('utf8');
	readonly #parser: EventSourceParser;
	readonly #onAbort: () => void;
	#resolveOpened!: (opening: StreamOpening) => void;
	#rejectOpened!: (error: Error) => void;
	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#text = '';
	/** Bytes received since the last event. */
	#pendingBytes = 0;
	#events: EngineEvent[] = [];
	#hasEnded = false;
	#resumeReader: (() => void) | undefined;

	constructor(signal: AbortSignal) {
		this.#signal = signal;
		this.opened = new Promise((resolve, reject) => {
			this.#resolveOpened = resolve;
			this.#rejectOpened = reject;
		});
		this.#parser = createParser({
			onEvent: ({id, data}) => {
				this.#pendingBytes = 0;
				this.#events.push({sequence: Number(id), data});
			},
		});
		this.#onAbort = () => {
			this.#controller?.abort(new Error('no longer wanted'));
		};

		signal.addEventListener('abort', this.#onAbort);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#signal.aborted) {
			this.#onAbort();
		}
	}

	onResponseStart(_controller: Dispatcher.DispatchController, status: number): void {
		this.#status = status;
		if (status === 200) {
			this.#resolveOpened({status, text: ''});
		}
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		const text = this.#decoder.write(chunk);
		this.#pendingBytes += chunk.length;
		if (this.#pendingBytes > (this.#status === 200 ? maxEventBytes : maxTextBytes)) {
			controller.abort(new Error('the answer of the engine does not end'));
			return;
		}

		if (this.#status !== 200) {
			this.#text += text;
			return;
		}

		this.#parser.feed(text);
		if (this.#events.length > maxBufferedEvents) {
			controller.pause();
		}

		this.#resumeReader?.();
	}

	onResponseEnd(): void {
		this.#end();
		this.#resolveOpened({status: this.#status, text: this.#text});
	}

	/** Ends the events when the connection breaks; the reader detects the missing finish marker. */
	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#end();
		this.#rejectOpened(error);
	}

	/** Yields the events in batches as they arrive; leaving the loop early closes the connection. */
	async * [Symbol.asyncIterator](): AsyncGenerator<EngineEvent[]> {
		try {
			for (;;) {
				if (this.#events.length > 0) {
					const batch = this.#events;
					this.#events = [];
					yield batch;
					continue;
				}

				if (this.#hasEnded) {
					return;
				}

				this.#controller?.resume();
				await new Promise<void>(resolve => {
					this.#resumeReader = resolve;
				});
			}
		} finally {
			if (!this.#hasEnded) {
				this.#onAbort();
			}
		}
	}

	#end(): void {
		this.#hasEnded = true;
		this.#signal.removeEventListener('abort', this.#onAbort);
		this.#resumeReader?.();
	}
}
