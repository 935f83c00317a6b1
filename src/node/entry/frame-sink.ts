/** Turns an answer into frames for the node that passed a keyed request on. */
import {Buffer} from 'node:buffer';
import type {AnswerFrame, AnswerHead} from '../../rpc/index.js';
import {AnswerSink} from './answer-sink.js';

/** Frames held for a reader that is slower than the answer. */
const mostHeld = 64;

/** A sink that is read as a sequence of frames. */
export class FrameSink extends AnswerSink {
	readonly #frames: AnswerFrame[] = [];
	readonly #gone: AbortSignal;
	#hasStarted = false;
	#hasEnded = false;
	#wakeReader: (() => void) | undefined;
	#wakeWriter: (() => void) | undefined;

	constructor(gone: AbortSignal) {
		super();
		this.#gone = gone;
		gone.addEventListener('abort', () => {
			this.#wakeReader?.();
			this.#wakeWriter?.();
		}, {once: true});
	}

	override get hasStarted(): boolean {
		return this.#hasStarted;
	}

	override get gone(): AbortSignal {
		return this.#gone;
	}

	override start(head: AnswerHead): void {
		this.#hasStarted = true;
		this.#push({kind: 'head', head});
	}

	override get isFull(): boolean {
		return this.#frames.length > mostHeld && !this.#gone.aborted;
	}

	override write(piece: string | Uint8Array): void {
		const bytes = typeof piece === 'string' ? Buffer.from(piece) : Buffer.from(piece.buffer, piece.byteOffset, piece.byteLength);
		this.#push({kind: 'body', body: bytes.toString('base64')});
	}

	override async waitForRoom(): Promise<void> {
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

	override cut(): void {
		this.#hasEnded = true;
		this.#push({kind: 'cut'});
	}

	override async flush(): Promise<void> {
		// The reader of the frames waits for them itself.
	}

	/** Reads the frames until the answer has ended or the reader is gone. */
	async * read(): AsyncGenerator<AnswerFrame> {
		for (;;) {
			const frame = this.#frames.shift();
			if (frame !== undefined) {
				this.#wakeWriter?.();
				yield frame;
			} else if (this.#hasEnded || this.#gone.aborted) {
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
