/**
 * A queue of bytes that copies small chunks together.
 *
 * Kept one by one, chunks of a few bytes would each cost an object, and keep the buffer that they are a part of.
 */
import {Buffer} from 'node:buffer';

/** Size from which a chunk is copied by itself, in bytes. */
const minOwnChunk = 1024;

/** Sizes of the blocks that small chunks are copied to, in bytes. */
const firstBlockSize = 1024;
const maxBlockSize = 16_384;

/** Bytes in the order in which they were appended. */
export class ByteQueue {
	#chunks: Uint8Array[] = [];
	#length = 0;
	/** The block that small chunks are copied to; its bytes from `#blockStart` to `#blockEnd` are not in `#chunks` yet. */
	#block = Buffer.alloc(0);
	#blockStart = 0;
	#blockEnd = 0;

	/** Number of bytes. */
	get length(): number {
		return this.#length;
	}

	/** Adds a copy of bytes at the end. */
	append(bytes: Uint8Array): void {
		this.#length += bytes.length;
		if (bytes.length >= minOwnChunk) {
			this.#closeBlock();
			this.#chunks.push(Buffer.from(bytes));
			return;
		}

		if (this.#blockEnd + bytes.length > this.#block.length) {
			this.#openBlock();
		}

		this.#block.set(bytes, this.#blockEnd);
		this.#blockEnd += bytes.length;
	}

	/** Removes whole chunks from the front until they have at least `minLength` bytes, or nothing is left. */
	take(minLength = Infinity): Uint8Array {
		this.#closeBlock();
		let count = 0;
		let length = 0;
		while (count < this.#chunks.length && length < minLength) {
			length += this.#chunks[count].length;
			count++;
		}

		this.#length -= length;
		const taken = this.#chunks.splice(0, count);
		return taken.length === 1 ? taken[0] : Buffer.concat(taken, length);
	}

	/** Removes everything. */
	clear(): void {
		this.#chunks = [];
		this.#length = 0;
		this.#block = Buffer.alloc(0);
		this.#blockStart = 0;
		this.#blockEnd = 0;
	}

	#openBlock(): void {
		this.#closeBlock();
		this.#block = Buffer.allocUnsafeSlow(Math.min(maxBlockSize, Math.max(firstBlockSize, this.#block.length * 2)));
		this.#blockStart = 0;
		this.#blockEnd = 0;
	}

	/** Moves what was copied to the block to the other chunks; the rest of the block is used further. */
	#closeBlock(): void {
		if (this.#blockEnd > this.#blockStart) {
			this.#chunks.push(this.#block.subarray(this.#blockStart, this.#blockEnd));
			this.#blockStart = this.#blockEnd;
		}
	}
}
