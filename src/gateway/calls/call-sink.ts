/** Destination of the answer to one call. */
import type {ServerResponse} from 'node:http';
import type {HeaderFields} from '../wire.js';

/** The response to the caller of one call. */
export abstract class CallSink {
	/** Whether the head has been sent. */
	abstract readonly hasHead: boolean;

	/** Whether the backend server's head stated how its body ends: by a length or in chunks. */
	abstract readonly isFramed: boolean;

	/** Counts bytes of an answer that is held and not forwarded yet; negative when they are held no longer. */
	holdAnswer(_bytes: number): void {} // eslint-disable-line @typescript-eslint/no-empty-function -- only a sink with an account counts

	/** Sends the head. `isFramed` says whether the backend server's head stated how its body ends. */
	abstract sendHead(status: number, headers: HeaderFields, isFramed: boolean): void;

	/** Sends a chunk; false when the caller reads too slowly. */
	abstract write(chunk: Uint8Array): boolean;

	/** Calls back when a slow caller has caught up. */
	abstract onDrain(resume: () => void): void;

	/** Ends the answer as complete. */
	abstract end(chunk?: Uint8Array | string): void;

	/** Aborts the answer so that it cannot look complete. */
	abstract abort(): void;
}

/** A sink on an HTTP response. */
export class HttpSink extends CallSink {
	readonly #response: ServerResponse;
	readonly #isStopping: () => boolean;
	#isFramed = true;
	/** Whether only the end of the connection ends the body, for a caller that does not know chunks. */
	#endsWithConnection = false;

	constructor(response: ServerResponse, isStopping: () => boolean) {
		super();
		this.#response = response;
		this.#isStopping = isStopping;
	}

	override get hasHead(): boolean {
		return this.#response.headersSent;
	}

	override sendHead(status: number, headers: HeaderFields, isFramed: boolean): void {
		this.#isFramed = isFramed;
		const fields = Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined);
		if (this.#isStopping()) {
			this.#response.shouldKeepAlive = false;
		}

		// In chunks, a caller sees that an answer is cut off, also by the end of this process.
		this.#endsWithConnection = headers['content-length'] === undefined && !this.#response.useChunkedEncodingByDefault;
		this.#response.writeHead(status, Object.fromEntries(fields));
	}

	override get isFramed(): boolean {
		return this.#isFramed;
	}

	override write(chunk: Uint8Array): boolean {
		return this.#response.write(chunk);
	}

	/** Bytes that were written and not sent yet. */
	get unsentLength(): number {
		return this.#response.writableLength;
	}

	/** Calls back once when the response has closed, sent whole or not. */
	onClose(callback: () => void): void {
		this.#response.once('close', callback);
	}

	override onDrain(resume: () => void): void {
		this.#response.once('drain', resume);
	}

	override end(chunk?: Uint8Array | string): void {
		this.#response.end(chunk);
	}

	override abort(): void {
		// A body that ends with a clean close looks complete; only a reset shows that it is not.
		if (this.#endsWithConnection) {
			this.#response.socket?.resetAndDestroy();
		}

		this.#response.destroy();
	}
}
