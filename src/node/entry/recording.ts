/** Keeps an answer while it is made and after, for every caller that presents the same run key. */
import {Buffer} from 'node:buffer';
import type {AnswerHead, StoredAnswer} from '../../rpc/index.js';
import {AnswerSink} from './answer-sink.js';

/** Records an answer and plays it, also while it is still being made. */
export class Recording extends AnswerSink {
	/** Rebuilds a recording that another node passed on. */
	static restore(stored: StoredAnswer): Recording {
		const recording = new Recording();
		recording.#head = stored.head;
		recording.#state = stored.wasCut ? 'cut' : 'ended';
		recording.#isBodyDropped = stored.body === undefined;
		const body = Buffer.from(stored.body ?? '', 'base64');
		recording.#chunks.push(body);
		recording.#size = body.length;
		return recording;
	}

	/** A recorded run goes on without its caller, who may come back for the outcome. */
	override readonly disconnected = new AbortController().signal;
	readonly #chunks: Uint8Array[] = [];
	readonly #waitingReaders = new Set<() => void>();
	#head: AnswerHead | undefined;
	#state: 'open' | 'ended' | 'cut' = 'open';
	#size = 0;
	#isBodyDropped = false;
	#readerCount = 0;

	override get hasStarted(): boolean {
		return this.#head !== undefined;
	}

	/** Whether the answer is complete. */
	get isDone(): boolean {
		return this.#state !== 'open';
	}

	/** Whether only the fact of the answer is kept. */
	get isBodyDropped(): boolean {
		return this.#isBodyDropped;
	}

	/** Whether someone is reading it. */
	get hasReaders(): boolean {
		return this.#readerCount > 0;
	}

	/** Bytes kept. */
	get size(): number {
		return this.#size;
	}

	override start(head: AnswerHead): void {
		this.#head = head;
		this.#wake();
	}

	/** A recording takes all: it is kept whole, and bounded by `trim` of the store. */
	override get isFull(): boolean {
		return false;
	}

	override write(chunk: string | Uint8Array): void {
		const bytes = typeof chunk === 'string' ? Buffer.from(chunk) : chunk;
		this.#chunks.push(bytes);
		this.#size += bytes.length;
		this.#wake();
	}

	override end(): void {
		this.#state = 'ended';
		this.#wake();
	}

	override abort(): void {
		this.#state = 'cut';
		this.#wake();
	}

	override async waitForDrain(): Promise<void> {
		// There is always room.
	}

	override async flush(): Promise<void> {
		// What is recorded is at its end already.
	}

	/** Forgets the body of a finished answer; the fact that it ran stays. */
	dropBody(): void {
		this.#chunks.length = 0;
		this.#size = 0;
		this.#isBodyDropped = true;
	}

	/** Takes the recording in a form that can be passed on; call when done. */
	exportAnswer(): StoredAnswer {
		return {
			head: this.#head ?? {status: 500, headers: {}},
			body: this.#isBodyDropped ? undefined : Buffer.concat(this.#chunks).toString('base64'),
			wasCut: this.#state === 'cut',
		};
	}

	/** Plays the answer into a sink, waiting for what is still to come. Stops when the sink's reader is gone. */
	async replayInto(sink: AnswerSink): Promise<void> {
		this.#readerCount++;
		try {
			let next = 0;
			while (!sink.disconnected.aborted) {
				if (!sink.hasStarted && this.#head !== undefined) {
					sink.start(this.#head);
				}

				if (next < this.#chunks.length) {
					sink.write(this.#chunks[next]);
					next++;
					await sink.waitForDrain();
				} else if (this.isDone) {
					this.#finish(sink);
					return;
				} else {
					await this.#waitForMore(sink.disconnected);
				}
			}
		} finally {
			this.#readerCount--;
		}
	}

	#finish(sink: AnswerSink): void {
		if (this.#state === 'cut') {
			sink.abort();
		} else {
			sink.end();
		}
	}

	async #waitForMore(disconnected: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				this.#waitingReaders.delete(finish);
				disconnected.removeEventListener('abort', finish);
				resolve();
			};

			this.#waitingReaders.add(finish);
			disconnected.addEventListener('abort', finish, {once: true});
		});
	}

	#wake(): void {
		for (const resume of this.#waitingReaders) {
			resume();
		}
	}
}
