/** Stops the reading of a connection without the knowledge of the HTTP client that reads it. */
import type {Socket} from 'node:net';

/** Number of bytes after which the event loop turns before more are read: one connection must not occupy it. */
const maxBytesPerTurn = 65_536;

/**
 * Lets a connection's data through, or holds it back in the socket.
 *
 * undici's own way is to pause its parser, but its handlers of a connection's end and error fail an assertion while the
 * parser is paused, which ends the process. Behind a gate the parser is never paused, it only finds nothing to read.
 */
export class ReadGate {
	readonly #socket: Socket;
	readonly #read: Socket['read'];
	#isClosed = false;
	#isYielding = false;
	/** Bytes read since the event loop was given a turn. */
	#readLength = 0;

	constructor(socket: Socket) {
		this.#socket = socket;
		this.#read = socket.read.bind(socket);
		socket.read = (size?: number) => this.#readData(size);
	}

	/** Holds back data from now on; what the client has read already still arrives. */
	close(): void {
		this.#isClosed = true;
	}

	/** Lets data through again. */
	open(): void {
		if (this.#isClosed) {
			this.#isClosed = false;
			this.#wakeReader();
		}
	}

	#readData(size?: number): unknown {
		// Node.js reads 0 bytes by itself, to start reading and to notice the end.
		if (size === 0) {
			return this.#read(0) as unknown;
		}

		if (this.#isClosed || this.#isYielding) {
			return null;
		}

		const data = this.#read(size) as Uint8Array | undefined;
		this.#readLength += data?.length ?? 0;
		if (this.#readLength >= maxBytesPerTurn) {
			this.#yieldTurn();
		}

		return data;
	}

	#yieldTurn(): void {
		this.#readLength = 0;
		this.#isYielding = true;
		setImmediate(() => {
			this.#isYielding = false;
			this.#wakeReader();
		});
	}

	#wakeReader(): void {
		if (!this.#isClosed && !this.#socket.destroyed) {
			this.#socket.emit('readable');
		}
	}
}
