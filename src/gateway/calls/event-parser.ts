/**
 * Splits a stream of server-sent events into complete events, bytes unchanged. Pure.
 *
 * Callers receive only complete events: a server may break off in the middle of one,
 * and the next server continues with a complete one.
 */
import {ByteQueue} from '../../common/index.js';

/** One complete event. */
export type EventFrame = {
	/** Its id, when it has one. */
	id?: number;
	/** Whether it has a field `data`; without one it is a comment or a change of fields. */
	hasData: boolean;
	/** Its bytes, including the blank line at its end. */
	bytes: Uint8Array;
};

/** Maximum size of one event, in bytes; with a longer one the data is not an event stream. */
const maxEventBytes = 4 * 1024 * 1024;

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const space = 0x20;
const colon = 0x3A;
const digitZero = 0x30;
const digitNine = 0x39;
const idName = Uint8Array.from([0x69, 0x64]);
const dataName = Uint8Array.from([0x64, 0x61, 0x74, 0x61]);

/** How the bytes of an incomplete event end: a blank line may begin there. */
type Ending = 'line' | 'return' | 'other';

/** Buffers bytes and returns complete events. Searches each byte once, however the stream is cut into chunks. */
export class EventParser {
	readonly #pending = new ByteQueue();
	#ending: Ending = 'other';
	#hasPendingData = false;

	/** Number of buffered bytes of an incomplete event. */
	get pendingLength(): number {
		return this.#pending.length;
	}

	/** Whether the incomplete event has a field `data`. */
	get hasPendingData(): boolean {
		return this.#hasPendingData;
	}

	/** Adds bytes and returns the events that they complete. Throws when an event is too long. */
	push(chunk: Uint8Array): EventFrame[] {
		const frames: EventFrame[] = [];
		let start = 0;
		for (let end = findPendingEnd(chunk, this.#ending) ?? findEventEnd(chunk, 0); end !== -1; end = findEventEnd(chunk, start)) {
			const bytes = this.#complete(chunk.subarray(start, end));
			frames.push({...readFields(bytes), bytes});
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
		this.#hasPendingData = false;
		if (this.#pending.length === 0) {
			return last;
		}

		this.#pending.append(last);
		return this.#pending.take();
	}

	#keep(rest: Uint8Array): void {
		if (rest.length > 0) {
			const isLineStart = this.#pending.length === 0 || this.#ending === 'line';
			this.#hasPendingData ||= readFields(rest, isLineStart).hasData;
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

/** Reads the first valid id of an event, and whether it has data. */
function readFields(bytes: Uint8Array, isFirstWhole = true): Pick<EventFrame, 'id' | 'hasData'> {
	let id: number | undefined;
	let hasData = false;
	let isLineStart = isFirstWhole;
	// Searching for each line end would cost events of many short lines more than reading byte by byte.
	for (let index = 0; index < bytes.length; index++) {
		if (isLineStart) {
			id ??= readId(bytes, index);
			hasData ||= hasName(bytes, index, dataName) && isNameEnd(bytes[index + dataName.length]);
		}

		isLineStart = bytes[index] === lineFeed;
	}

	return {id, hasData};
}

/** Reads the id of a line that has the form `id: 12`. */
function readId(bytes: Uint8Array, start: number): number | undefined {
	if (!hasName(bytes, start, idName) || bytes[start + idName.length] !== colon) {
		return undefined;
	}

	const first = start + idName.length + (bytes[start + idName.length + 1] === space ? 2 : 1);
	let index = first;
	let id = 0;
	while (bytes[index] >= digitZero && bytes[index] <= digitNine) {
		id = (id * 10) + bytes[index] - digitZero;
		index++;
	}

	if (index === first) {
		return undefined;
	}

	while (bytes[index] === space) {
		index++;
	}

	return isLineEnd(bytes, index) ? id : undefined;
}

function hasName(bytes: Uint8Array, start: number, name: Uint8Array): boolean {
	return bytes[start] === name[0] && name.every((byte, index) => bytes[start + index] === byte);
}

function isNameEnd(byte: number): boolean {
	return byte === colon || byte === lineFeed || byte === carriageReturn;
}

function isLineEnd(bytes: Uint8Array, index: number): boolean {
	return bytes[index] === lineFeed || (bytes[index] === carriageReturn && bytes[index + 1] === lineFeed);
}
