/** Expected responses of the stand-in backend servers, shared by the servers and the callers that verify them. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Maximum number of events in a stream. */
const maxEvents = 12;

/** Header of a request that asks for a number of events. */
export const eventsHeader = 'x-soak-events';

/** Prefix of a request body that makes a backend server crash. */
const crashPrefix = 'crash-';

/** Returns the body of a crashing request. */
export function formatCrashing(name: string): string {
	return `${crashPrefix}${name}`;
}

/** Returns whether a body belongs to a crashing request. */
export function isCrashing(body: Uint8Array): boolean {
	return Buffer.from(body.subarray(0, crashPrefix.length)).toString() === crashPrefix;
}

/** Returns the SHA-1 digest of a request body, which the response repeats. */
export function hashBody(body: Uint8Array): string {
	return createHash('sha1').update(body).digest('hex');
}

/** Returns response text that is unique to a request. */
export function formatText(id: string, body: Uint8Array): string {
	return `${id} ${hashBody(body)}`;
}

/** Returns the number of events in the stream of a request. */
export function countEvents(text: string): number {
	return 1 + (createHash('sha1').update(text).digest()[0] % maxEvents);
}

/** Formats a server-sent event. */
export function formatEvent(id: number, text: string): string {
	return `id: ${id}\ndata: ${text}\n\n`;
}

/** Formats the complete stream of a request. */
export function formatStream(text: string, count = countEvents(text)): string {
	return Array.from({length: count}, (_, index) => formatEvent(index + 1, text)).join('');
}
