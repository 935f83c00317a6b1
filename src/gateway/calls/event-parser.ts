/**
 * Splits a stream of server-sent events into complete events, bytes unchanged. Pure.
 *
 * Callers receive only complete events: a server may break off in the middle of one,
 * and the next server continues with a complete one.
 */
import {Buffer} from 'node:buffer';
import {ByteQueue} from '../../common/index.js';

/** One complete event. */
export type EventFrame = {
	/** Its id, when it has one. */
	id?: number;
	/** Its bytes, including the blank line at its end. */
	bytes: Uint8Array;
};

/** Maximum size of one event, in bytes; with a longer one the data is not an event stream. */
const maxEventBytes = 4 * 1024 * 1024;

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const idPattern = /^id: ?(?<id>\d+) *\r?$/m;

/** How the bytes of an incomplete event end: a blank line may begin there. */
type Ending = 'line' | 'return' | 'other';

/** Buffers bytes and returns complete events. Searches each byte once, however the stream is cut into chunks. */
export class EventParser {
	readonly #pending = new ByteQueue();
	#ending: Ending = 'other';

	/** Number of buffered bytes of an incomplete event. */
	get pendingLength(): number {
		return this.#pending.length;
	}

	/** Adds bytes and returns the events that they complete. Throws when an event is too long. */
	push(chunk: Uint8Array): EventFrame[] {
		const frames: EventFrame[] = [];
		let start = 0;
		for (let end = findPendingEnd(chunk, this.#ending) ?? findEventEnd(chunk, 0); end !== -1; end = findEventEnd(chunk, start)) {
			const bytes = this.#complete(chunk.subarray(start, end));
			frames.push({id: readId(bytes), bytes});
			start = end;
		}

		this.#keep(chunk.subarray(start));
		if (this.#pending.length > maxEventBytes) {
			throw new Error(`an event is longer than ${maxEventBytes} bytes`);
		}

		return frames;
	}

	/** Returns the bytes of an event that these are the last of. */
	#complete(last: Uint8Array): Uint8Array {
		this.#ending = 'other';
		if (this.#pending.length === 0) {
			return last;
		}

		this.#pending.append(last);
		return this.#pending.take();
	}

	#keep(rest: Uint8Array): void {
		if (rest.length > 0) {
			this.#ending = findEnding(rest, this.#ending);
			this.#pending.append(rest);
		}
	}
}

/** Position after a blank line that began in the bytes before the chunk; undefined when none did. */
function findPendingEnd(chunk: Uint8Array, ending: Ending): number | undefined {
	if (ending === 'other') {
		return undefined;
	}

	if (chunk[0] === lineFeed) {
		return 1;
	}

	return ending === 'line' && chunk[0] === carriageReturn && chunk[1] === lineFeed ? 2 : undefined;
}

/** Position after the first blank line whose preceding line ends at or after `start`; -1 when there is none. */
function findEventEnd(data: Uint8Array, start: number): number {
	let index = data.indexOf(lineFeed, start);
	while (index !== -1) {
		const next = data[index + 1];
		if (next === lineFeed) {
			return index + 2;
		}

		if (next === carriageReturn && data[index + 2] === lineFeed) {
			return index + 3;
		}

		index = data.indexOf(lineFeed, index + 1);
	}

	return -1;
}

/** How bytes end, after others with an ending. */
function findEnding(bytes: Uint8Array, before: Ending): Ending {
	const last = bytes.at(-1);
	if (last === lineFeed) {
		return 'line';
	}

	const follows = bytes.length === 1 ? before === 'line' : bytes.at(-2) === lineFeed;
	return last === carriageReturn && follows ? 'return' : 'other';
}

function readId(bytes: Uint8Array): number | undefined {
	const id = idPattern.exec(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}
