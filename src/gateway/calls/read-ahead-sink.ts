/** A sink that queues what a slow caller has not taken yet, so that its server need not wait for it. */
import {Buffer} from 'node:buffer';
import {ByteQueue} from '../../common/index.js';
import type {HeaderFields} from '../wire.js';
import type {BufferKind} from './buffer-account.js';
import {CallSink, type HttpSink} from './call-sink.js';

/** Size from which queued chunks are written together, in bytes: one by one, the small events of a stream would each cost a write. */
const minWriteSize = 65_536;

/** Callbacks of a sink to the account of its node. */
export type ReadAheadListener = {
	add: (kind: BufferKind, bytes: number) => void;
	subtract: (kind: BufferKind, bytes: number) => void;
	/** Whether the sink may not take more from its server now. */
	isHeldBack: () => boolean;
	/** Called when the caller begins to read more slowly than its server sends, and when it has caught up. */
	onSlow: () => void;
	onCaughtUp: () => void;
	/** Called once, when the response has closed: nothing is held any more. */
	onClose: () => void;
};

/** Sink of one call. */
export class ReadAheadSink extends CallSink {
	/** Resolves when the response has closed: sent whole, or broken off. */
	readonly closed: Promise<void>;
	readonly #target: HttpSink;
	readonly #listener: ReadAheadListener;
	readonly #queue = new ByteQueue();
	/** Bytes that the response itself holds until it drains. */
	#unsentLength = 0;
	#isSlow = false;
	#hasEnded = false;
	#isAborted = false;
	#resumeCallbacks: Array<() => void> = [];

	constructor(target: HttpSink, listener: ReadAheadListener) {
		super();
		this.#target = target;
		this.#listener = listener;
		this.closed = new Promise(resolve => {
			target.onClose(() => {
				this.#queue.clear();
				listener.onClose();
				resolve();
			});
		});
	}

	override get hasHead(): boolean {
		return this.#target.hasHead;
	}

	override get isFramed(): boolean {
		return this.#target.isFramed;
	}

	override sendHead(status: number, headers: HeaderFields, isFramed: boolean): void {
		this.#target.sendHead(status, headers, isFramed);
	}

	/** Sends or queues a chunk; false when the server is to be paused. */
	override write(chunk: Uint8Array): boolean {
		if (this.#isAborted) {
			return true;
		}

		if (this.#isSlow) {
			this.#enqueue(chunk);
		} else if (!this.#target.write(chunk)) {
			this.#waitForTarget();
		}

		return !this.#isSlow || !this.#listener.isHeldBack();
	}

	override onDrain(resume: () => void): void {
		this.#resumeCallbacks.push(resume);
	}

	/** Lets the server go on if it is paused. */
	resume(): void {
		const callbacks = this.#resumeCallbacks;
		this.#resumeCallbacks = [];
		for (const callback of callbacks) {
			callback();
		}
	}

	override end(chunk?: Uint8Array | string): void {
		this.#hasEnded = true;
		if (!this.#isSlow) {
			this.#endTarget(chunk);
		} else if (chunk !== undefined) {
			this.#enqueue(Buffer.from(chunk));
		}
	}

	override abort(): void {
		this.#isAborted = true;
		this.#queue.clear();
		this.#target.abort();
	}

	override holdAnswer(bytes: number): void {
		if (bytes > 0) {
			this.#listener.add('answer', bytes);
		} else {
			this.#listener.subtract('answer', -bytes);
		}
	}

	/** Releases the request body and answers that were not forwarded: the call has been served. */
	releaseCall(): void {
		this.#listener.subtract('request', Infinity);
		this.#listener.subtract('answer', Infinity);
	}

	#enqueue(chunk: Uint8Array): void {
		this.#queue.append(chunk);
		this.#listener.add('unread', chunk.length);
	}

	#waitForTarget(): void {
		this.#countUnsent();
		if (!this.#isSlow) {
			this.#isSlow = true;
			this.#listener.onSlow();
		}

		this.#target.onDrain(() => {
			this.#flush();
		});
	}

	/** Writes what is queued until the caller is slow again. */
	#flush(): void {
		while (this.#queue.length > 0) {
			const bytes = this.#queue.take(minWriteSize);
			const canWriteMore = this.#target.write(bytes);
			this.#listener.subtract('unread', bytes.length);
			if (!canWriteMore) {
				this.#releaseUnsent();
				this.#waitForTarget();
				return;
			}
		}

		this.#releaseUnsent();
		this.#isSlow = false;
		this.#listener.onCaughtUp();
		if (this.#hasEnded && !this.#isAborted) {
			this.#endTarget();
		}

		this.resume();
	}

	#endTarget(chunk?: Uint8Array | string): void {
		this.#target.end(chunk);
		this.#countUnsent();
	}

	#countUnsent(): void {
		this.#unsentLength = this.#target.unsentLength;
		this.#listener.add('unread', this.#unsentLength);
	}

	#releaseUnsent(): void {
		this.#listener.subtract('unread', this.#unsentLength);
		this.#unsentLength = 0;
	}
}
