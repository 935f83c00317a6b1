/** Encodes a response as frames for the node that forwarded the request. */
import {Buffer} from 'node:buffer';
import type {AnswerFrame, AnswerHead} from '../../rpc/index.js';
import {ResponseSink} from './response-sink.js';

/** Frames queued for a slow reader before the sink counts as full. */
const maxQueuedFrames = 64;

/** A sink that is read as a sequence of frames. */
export class FrameSink extends ResponseSink {
	readonly #frames: AnswerFrame[] = [];
	readonly #disconnected: AbortSignal;
	#hasStarted = false;
	#hasEnded = false;
	#wakeReader: (() => void) | undefined;
	#wakeWriter: (() => void) | undefined;

	constructor(disconnected: AbortSignal) {
		super();
		this.#disconnected = disconnected;
		disconnected.addEventListener('abort', () => {
			this.#wakeReader?.();
			this.#wakeWriter?.();
		}, {once: true});
	}

	override get hasStarted(): boolean {
		return this.#hasStarted;
	}

	override get disconnected(): AbortSignal {
		return this.#disconnected;
	}

	override start(head: AnswerHead): void {
		this.#hasStarted = true;
		this.#push({kind: 'head', head});
	}

	override get isFull(): boolean {
		return this.#frames.length > maxQueuedFrames && !this.#disconnected.aborted;
	}

	override write(chunk: string | Uint8Array): void {
		const bytes = typeof chunk === 'string' ? Buffer.from(chunk) : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
		this.#push({kind: 'body', body: bytes.toString('base64')});
	}

	override async waitForDrain(): Promise<void> {
		if (this.isFull) {
			await new Promise<void>(resolve => {
				this.#wakeWriter = resolve;
			});
		}
	}

	override end(): void {
		this.#hasEnded = true;
		this.#push({kind: 'end'});
	}

	override abort(): void {
		this.#hasEnded = true;
		this.#push({kind: 'cut'});
	}

	override async flush(): Promise<void> {
		// Nothing to wait for: the reader pulls the frames from the queue.
	}

	/** Yields the frames until the response has ended or the reader has disconnected. */
	async * read(): AsyncGenerator<AnswerFrame> {
		for (;;) {
			const frame = this.#frames.shift();
			if (frame !== undefined) {
				this.#wakeWriter?.();
				yield frame;
			} else if (this.#hasEnded || this.#disconnected.aborted) {
				return;
			} else {
				await new Promise<void>(resolve => {
					this.#wakeReader = resolve;
				});
			}
		}
	}

	#push(frame: AnswerFrame): void {
		this.#frames.push(frame);
		this.#wakeReader?.();
	}
}
