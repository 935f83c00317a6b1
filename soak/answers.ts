/** What a true answer of a stand-in server looks like, for the server and for the caller that checks it. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Most events of one stream. */
const mostEvents = 12;

/** How the body of a request begins that crashes the backend servers that run it. */
const crashMark = 'crash-';

/** The body of a crashing request. */
export function formatCrashing(name: string): string {
	return `${crashMark}${name}`;
}

/** Whether a body is that of a crashing request. */
export function isCrashing(body: Uint8Array): boolean {
	return Buffer.from(body.subarray(0, crashMark.length)).toString() === crashMark;
}

/** Digest of a request's body, which its answer repeats. */
export function hashBody(body: Uint8Array): string {
	return createHash('sha1').update(body).digest('hex');
}

/** Text that belongs to one request and no other. */
export function formatText(id: string, body: Uint8Array): string {
	return `${id} ${hashBody(body)}`;
}

/** How many events the stream of a request has. */
export function countEvents(text: string): number {
	return 1 + (createHash('sha1').update(text).digest()[0] % mostEvents);
}

/** One event of a stream. */
export function formatEvent(id: number, text: string): string {
	return `id: ${id}\ndata: ${text}\n\n`;
}

/** The whole stream of a request. */
export function formatStream(text: string): string {
	return Array.from({length: countEvents(text)}, (_, index) => formatEvent(index + 1, text)).join('');
}
