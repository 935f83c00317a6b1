/** Stores a response for every caller that sends the same run key, during the run and after it. */
import {Buffer} from 'node:buffer';
import type {AnswerHead, StoredAnswer} from '../../rpc/index.js';
import {ResponseSink} from './response-sink.js';

/** Records a response and replays it, also while it is still being written. */
export class Recording extends ResponseSink {
	/** Restores a recording exported by another node. */
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

	/** Never aborted: a recorded run continues without its caller, who may come back for the outcome. */
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

	/** Whether the response has been ended or aborted. */
	get isDone(): boolean {
		return this.#state !== 'open';
	}

	/** Whether the body was dropped, so that only the fact that the request ran is kept. */
	get isBodyDropped(): boolean {
		return this.#isBodyDropped;
	}

	/** Whether any caller is reading the recording. */
	get hasReaders(): boolean {
		return this.#readerCount > 0;
	}

	/** Size of the stored body, in bytes. */
	get size(): number {
		return this.#size;
	}

	override start(head: AnswerHead): void {
		this.#head = head;
		this.#wake();
	}

	/** Never full; `RunKeyStore.trim` limits the memory of finished recordings. */
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
		// A recording never applies backpressure.
	}

	override async flush(): Promise<void> {
		// Recorded data stays in this process.
	}

	/** Drops the body of a finished response; the fact that the request ran is kept. */
	dropBody(): void {
		this.#chunks.length = 0;
		this.#size = 0;
		this.#isBodyDropped = true;
	}

	/** Exports the recording for another node. Call only when `isDone`. */
	exportAnswer(): StoredAnswer {
		return {
			head: this.#head ?? {status: 500, headers: {}},
			body: this.#isBodyDropped ? undefined : Buffer.concat(this.#chunks).toString('base64'),
			wasCut: this.#state === 'cut',
		};
	}

	/** Replays the response into a sink, following a run in progress. Stops when the sink's reader disconnects. */
	async replayInto(sink: ResponseSink): Promise<void> {
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

	#finish(sink: ResponseSink): void {
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
