/** A sink whose reader stops waiting at a bound of its own. */
import {combineSignals} from '../../common/index.js';
import type {AnswerHead} from '../../rpc/index.js';
import {AnswerSink} from './answer-sink.js';

/** Passes an answer on until a signal fires. */
export class BoundedSink extends AnswerSink {
	override readonly gone: AbortSignal;
	readonly #sink: AnswerSink;
	#hasEnded = false;

	constructor(sink: AnswerSink, limit: AbortSignal) {
		super();
		this.#sink = sink;
		this.gone = combineSignals([sink.gone, limit]).signal;
	}

	/** Whether the whole answer has been passed on. */
	get hasEnded(): boolean {
		return this.#hasEnded;
	}

	override get hasStarted(): boolean {
		return this.#sink.hasStarted;
	}

	override get isFull(): boolean {
		return this.#sink.isFull;
	}

	override start(head: AnswerHead): void {
		this.#sink.start(head);
	}

	override write(piece: string | Uint8Array): void {
		this.#sink.write(piece);
	}

	override async waitForRoom(): Promise<void> {
		await this.#sink.waitForRoom();
	}

	override end(): void {
		this.#hasEnded = true;
		this.#sink.end();
	}

	override async flush(): Promise<void> {
		await this.#sink.flush();
	}

	override cut(): void {
		this.#hasEnded = true;
		this.#sink.cut();
	}
}
