/**
 * Reads a stream of server-sent events straight from undici's dispatcher.
 *
 * The stream objects of undici's `request` cost more processor time for each token than all
 * else on the path (docs/MEASURES.md); a handler of its own needs none of them.
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

/** The beginning of an answer. */
export type StreamOpening = {
	status: number;
	/** The body of an answer that is not a stream; empty for streams. */
	text: string;
};

/** Events held for a reader that is slower than the engine before the connection is paused. */
const maxBufferedEvents = 64;

/** Handles one request whose answer is a stream of events. */
export class EventStreamHandler implements Dispatcher.DispatchHandler, AsyncIterable<EngineEvent[]> {
	/** Settles with the beginning of the answer; rejects when there was none. */
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

	/** A broken connection is the end of the events; the reader sees that the finish marker is missing. */
	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#end();
		this.#rejectOpened(error);
	}

	/** Reads the events in the batches in which they arrive; leaving the loop early closes the connection. */
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
