/**
 * Cuts a stream of server-sent events into whole events, bytes unchanged. Pure.
 *
 * A caller gets an event only when all of it is there: a server may break off in the
 * middle of one, and the next server begins with a whole one.
 */
import {Buffer} from 'node:buffer';

/** One whole event. */
export type EventFrame = {
	/** Its id, when it has one. */
	id?: number;
	/** Its bytes, the blank line at its end included. */
	bytes: Uint8Array;
};

/** Bytes of one event beyond which the stream is not one of events. */
const maxEventBytes = 4 * 1024 * 1024;

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const idPattern = /^id: ?(?<id>\d+) *\r?$/m;

/** Collects bytes and gives out whole events. */
export class EventParser {
	#pending: Uint8Array = new Uint8Array();

	/** Bytes of an event that has not ended. */
	get pendingLength(): number {
		return this.#pending.length;
	}

	/** Takes bytes; returns the events they complete. Throws when an event is too long. */
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

/** Position behind the first blank line; -1 when there is none. */
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
