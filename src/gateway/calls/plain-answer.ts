/**
 * The body of an answer that is not a stream.
 *
 * It is buffered so that a broken answer can still be replaced. One that is too long to be buffered is forwarded from
 * there on as it arrives; it can no longer be replaced, and is aborted if it breaks.
 */
import {ByteQueue} from '../../common/index.js';
import type {ResponseHead} from '../wire.js';
import type {CallSink} from './call-sink.js';

/** Status from which an answer is an error of its server, which another server's answer may replace. */
export const minServerErrorStatus = 500;

/** The body of one answer. */
export class PlainAnswer {
	readonly #head: ResponseHead;
	readonly #sink: CallSink;
	readonly #buffered = new ByteQueue();
	#isForwarding = false;

	constructor(head: ResponseHead, sink: CallSink) {
		this.#head = head;
		this.#sink = sink;
	}

	/** Whether the answer is forwarded as it arrives. */
	get isForwarding(): boolean {
		return this.#isForwarding;
	}

	/** Number of bytes that are held. */
	get bufferedLength(): number {
		return this.#buffered.length;
	}

	/** Whether the answer may be forwarded before it is complete: it is the last word of its server, and the caller has no other head. */
	get canForward(): boolean {
		return !this.#head.isDeclined && this.#head.status < minServerErrorStatus && !this.#sink.hasHead;
	}

	/** Holds a chunk. */
	add(chunk: Uint8Array): void {
		this.#buffered.append(chunk);
		this.#sink.holdAnswer(chunk.length);
	}

	/** Drops what is held: the answer is not needed. */
	discard(): void {
		this.#sink.holdAnswer(-this.#buffered.length);
		this.#buffered.clear();
	}

	/** Sends the head and everything that is held; false when the caller reads too slowly. */
	startForwarding(): boolean {
		this.#isForwarding = true;
		this.#sendHead(this.#head.bodyLength, this.#head.isFramed);
		return this.#sink.write(this.#takeBody());
	}

	/** Forwards a chunk; false when the caller reads too slowly. */
	forward(chunk: Uint8Array): boolean {
		return this.#sink.write(chunk);
	}

	/** Ends an answer that is complete; one that was buffered is sent now. Once the caller has the head of another answer, it can only be aborted. */
	end(): void {
		if (this.#isForwarding) {
			this.#sink.end();
			return;
		}

		if (this.#sink.hasHead) {
			this.#sink.abort();
			return;
		}

		const body = this.#takeBody();
		this.#sendHead(body.length, true);
		this.#sink.end(body);
	}

	#sendHead(length: number | undefined, isFramed: boolean): void {
		const {status, headers} = this.#head;
		this.#sink.sendHead(status, length === undefined ? headers : {...headers, 'content-length': String(length)}, isFramed);
	}

	#takeBody(): Uint8Array {
		this.#sink.holdAnswer(-this.#buffered.length);
		return this.#buffered.take();
	}
}
