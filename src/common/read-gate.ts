/** Stops the reading of a connection without the knowledge of the HTTP client that reads it. */
import type {Socket} from 'node:net';
import type {ReadTurns} from './read-turns.js';

/** Time in milliseconds that a byte of a body may take; only what takes longer counts, so that large answers are not held up. */
const usualByteTime = 0.02 / 1024;

/** Time in milliseconds beyond the usual one and its share that a connection may use before it is busy. */
const maxBurstTime = 1;

/** Share of the time that a connection may take beyond the usual one without being busy. */
const burstShare = 0.25;

/** Time beyond the usual one for which a busy connection is read when it is resumed, in milliseconds. */
const maxBusyTurnTime = 0.5;

/** Time beyond the usual one in such a turn below which a connection is no longer busy, in milliseconds. */
const minBusyUse = 0.1;

/** Time without waiting after which a connection is no longer busy, in milliseconds. */
const busyMemory = 100;

/** Sizes of the pieces in which data is handed over, in bytes: the cost of a piece is known only afterwards. */
const minPieceSize = 2048;
const maxPieceSize = 16_384;

/** Time in milliseconds below which the next piece may be larger, and above which it is smaller. */
const cheapPieceTime = 0.1;
const costlyPieceTime = 0.4;

/**
 * Lets a connection's data through in its turns, or holds it back in the socket.
 *
 * undici's own way is to pause its parser, but its handlers of a connection's end and error fail an assertion while the
 * parser is paused, which ends the process. Behind a gate the parser is never paused, it only finds nothing to read.
 */
export class ReadGate {
	readonly #socket: Socket;
	readonly #turns: ReadTurns;
	readonly #read: Socket['read'];
	#isClosed = false;
	#isWaiting = false;
	#busyUntil = -Infinity;
	/** Time beyond the usual one since the connection was resumed as a busy one; undefined otherwise. */
	#grantUsed: number | undefined;
	/** Time beyond the usual one and the share of a connection, at the monotonic time of the last piece. */
	#burstTime = 0;
	#pieceSize = minPieceSize;
	/** When the last piece was handed over, and its length until it has been charged. */
	#pieceAt = 0;
	#pieceLength = 0;

	constructor(socket: Socket, turns: ReadTurns) {
		this.#socket = socket;
		this.#turns = turns;
		this.#read = socket.read.bind(socket);
		socket.read = (size?: number) => this.#readData(size);
	}

	get isBusy(): boolean {
		return this.#turns.readTime() < this.#busyUntil;
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

	/** Reads on after a wait. */
	resume(): void {
		this.#isWaiting = false;
		if (this.#busyUntil === -Infinity) {
			this.#wakeReader();
			return;
		}

		this.#markBusy();
		this.#grantUsed = 0;
		this.#wakeReader();
		if (this.#grantUsed < minBusyUse) {
			this.#busyUntil = -Infinity;
		}

		this.#grantUsed = undefined;
	}

	#readData(size?: number): unknown {
		// Node.js reads 0 bytes by itself, to start reading and to notice the end.
		if (size === 0) {
			return this.#read(0) as unknown;
		}

		if (this.#pieceLength > 0) {
			this.#chargePiece();
		}

		if (this.#isClosed || this.#isWaiting) {
			return null;
		}

		const {readableLength} = this.#socket;
		if (readableLength > 0 && !this.#canRead()) {
			this.#isWaiting = true;
			this.#turns.enqueue(this);
			return null;
		}

		const data = this.#read(readableLength > this.#pieceSize ? this.#pieceSize : size) as Uint8Array | undefined;
		this.#openPiece(data?.length ?? 0);
		return data;
	}

	#canRead(): boolean {
		if (this.#grantUsed !== undefined) {
			return this.#grantUsed < maxBusyTurnTime;
		}

		if (this.#burstTime >= maxBurstTime) {
			this.#burstTime = 0;
			this.#markBusy();
			return false;
		}

		if (this.#busyUntil !== -Infinity) {
			if (this.isBusy) {
				return false;
			}

			this.#busyUntil = -Infinity;
		}

		return !this.#turns.isUsedUp;
	}

	#markBusy(): void {
		this.#busyUntil = this.#turns.readTime() + busyMemory;
	}

	#openPiece(length: number): void {
		const now = this.#turns.readTime();
		this.#burstTime = Math.max(0, this.#burstTime - ((now - this.#pieceAt) * burstShare));
		this.#pieceAt = now;
		this.#pieceLength = length;
	}

	/** Counts the time in which the client processed the last piece; it asks for the next one in the same turn. */
	#chargePiece(): void {
		const time = this.#turns.readTime() - this.#pieceAt;
		const excess = Math.max(0, time - (this.#pieceLength * usualByteTime));
		this.#pieceLength = 0;
		this.#turns.charge(time);
		if (this.#grantUsed === undefined) {
			this.#burstTime += excess;
		} else {
			this.#grantUsed += excess;
		}

		if (time < cheapPieceTime) {
			this.#pieceSize = Math.min(maxPieceSize, this.#pieceSize * 2);
		} else if (time > costlyPieceTime) {
			this.#pieceSize = Math.max(minPieceSize, this.#pieceSize / 2);
		}
	}

	#wakeReader(): void {
		if (!this.#isClosed && !this.#socket.destroyed) {
			this.#socket.emit('readable');
		}
	}
}
