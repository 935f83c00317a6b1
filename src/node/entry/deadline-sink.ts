/** A sink whose reader has a deadline of its own. */
import {combineSignals} from '../../common/index.js';
import type {AnswerHead} from '../../rpc/index.js';
import {ResponseSink} from './response-sink.js';

/** Forwards a response to another sink; counts as disconnected once the deadline signal is aborted. */
export class DeadlineSink extends ResponseSink {
	override readonly disconnected: AbortSignal;
	readonly #sink: ResponseSink;
	#hasEnded = false;

	constructor(sink: ResponseSink, deadline: AbortSignal) {
		super();
		this.#sink = sink;
		this.disconnected = combineSignals([sink.disconnected, deadline]).signal;
	}

	/** Whether the response has been ended or aborted. */
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

	override write(chunk: string | Uint8Array): void {
		this.#sink.write(chunk);
	}

	override async waitForDrain(): Promise<void> {
		await this.#sink.waitForDrain();
	}

	override end(): void {
		this.#hasEnded = true;
		this.#sink.end();
	}

	override async flush(): Promise<void> {
		await this.#sink.flush();
	}

	override abort(): void {
		this.#hasEnded = true;
		this.#sink.abort();
	}
}
