/**
 * Splits a stream of server-sent events into complete events, bytes unchanged. Pure.
 *
 * Callers receive only complete events: a server may break off in the middle of one,
 * and the next server continues with a complete one.
 */
import {Buffer} from 'node:buffer';

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

/** Buffers bytes and returns complete events. */
export class EventParser {
	#pending: Uint8Array = new Uint8Array();

	/** Number of buffered bytes of an incomplete event. */
	get pendingLength(): number {
		return this.#pending.length;
	}

	/** Adds bytes and returns the events that they complete. Throws when an event is too long. */
	push(chunk: Uint8Array): EventFrame[] {
		let data = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
		const frames: EventFrame[] = [];
		for (let end = findEventEnd(data); end !== -1; end = findEventEnd(data)) {
			const bytes = data.subarray(0, end);
			frames.push({id: readId(bytes), bytes});
			data = data.subarray(end);
		}

		if (data.length > maxEventBytes) {
			throw new Error(`an event is longer than ${maxEventBytes} bytes`);
		}

		this.#pending = Buffer.from(data);
		return frames;
	}
}

/** Position after the first blank line; -1 when there is none. */
function findEventEnd(data: Uint8Array): number {
	let index = data.indexOf(lineFeed);
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

function readId(bytes: Uint8Array): number | undefined {
	const id = idPattern.exec(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}
