/** Keeps an answer while it is made and after, for every caller that presents the same run key. */
import {Buffer} from 'node:buffer';
import type {AnswerHead, StoredAnswer} from '../../rpc/index.js';
import {AnswerSink} from './answer-sink.js';

/** Records an answer and plays it, also while it is still being made. */
export class Recording extends AnswerSink {
	/** Rebuilds a recording that another node passed on. */
	static fromStored(stored: StoredAnswer): Recording {
		const recording = new Recording();
		recording.#head = stored.head;
		recording.#state = stored.wasCut ? 'cut' : 'ended';
		recording.#isDropped = stored.body === undefined;
		const body = Buffer.from(stored.body ?? '', 'base64');
		recording.#pieces.push(body);
		recording.#size = body.length;
		return recording;
	}

	/** A recorded run goes on without its caller, who may come back for the outcome. */
	override readonly gone = new AbortController().signal;
	readonly #pieces: Uint8Array[] = [];
	readonly #waiting = new Set<() => void>();
	#head: AnswerHead | undefined;
	#state: 'open' | 'ended' | 'cut' = 'open';
	#size = 0;
	#isDropped = false;
	#followers = 0;

	override get hasStarted(): boolean {
		return this.#head !== undefined;
	}

	/** Whether the answer is complete. */
	get isDone(): boolean {
		return this.#state !== 'open';
	}

	/** Whether only the fact of the answer is kept. */
	get isDropped(): boolean {
		return this.#isDropped;
	}

	/** Whether someone is reading it. */
	get isFollowed(): boolean {
		return this.#followers > 0;
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

	override write(piece: string | Uint8Array): void {
		const bytes = typeof piece === 'string' ? Buffer.from(piece) : piece;
		this.#pieces.push(bytes);
		this.#size += bytes.length;
		this.#wake();
	}

	override end(): void {
		this.#state = 'ended';
		this.#wake();
	}

	override cut(): void {
		this.#state = 'cut';
		this.#wake();
	}

	override async waitForRoom(): Promise<void> {
		// There is always room.
	}

	override async flush(): Promise<void> {
		// What is recorded is at its end already.
	}

	/** Forgets the body of a finished answer; the fact that it ran stays. */
	drop(): void {
		this.#pieces.length = 0;
		this.#size = 0;
		this.#isDropped = true;
	}

	/** Takes the recording in a form that can be passed on; call when done. */
	store(): StoredAnswer {
		return {
			head: this.#head ?? {status: 500, headers: {}},
			body: this.#isDropped ? undefined : Buffer.concat(this.#pieces).toString('base64'),
			wasCut: this.#state === 'cut',
		};
	}

	/** Plays the answer into a sink, waiting for what is still to come. Stops when the sink's reader is gone. */
	async playInto(sink: AnswerSink): Promise<void> {
		this.#followers++;
		try {
			let next = 0;
			while (!sink.gone.aborted) {
				if (!sink.hasStarted && this.#head !== undefined) {
					sink.start(this.#head);
				}

				if (next < this.#pieces.length) {
					sink.write(this.#pieces[next]);
					next++;
					await sink.waitForRoom();
				} else if (this.isDone) {
					this.#finish(sink);
					return;
				} else {
					await this.#waitForMore(sink.gone);
				}
			}
		} finally {
			this.#followers--;
		}
	}

	#finish(sink: AnswerSink): void {
		if (this.#state === 'cut') {
			sink.cut();
		} else {
			sink.end();
		}
	}

	async #waitForMore(gone: AbortSignal): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				this.#waiting.delete(finish);
				gone.removeEventListener('abort', finish);
				resolve();
			};

			this.#waiting.add(finish);
			gone.addEventListener('abort', finish, {once: true});
		});
	}

	#wake(): void {
		for (const resume of this.#waiting) {
			resume();
		}
	}
}
