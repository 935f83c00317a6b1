/** Draws the requests of callers and verifies their responses. */
import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {IncomingHttpHeaders} from 'node:http';
import {eventsHeader, formatStream, formatText} from './answers.js';
import {formatAddedKey, formatAddedPath} from './fleet.js';
import {keptVersions, type CallRecord, type RunRecords} from './records.js';

/** Prompt sizes in tokens: short, long, and larger than the memory of one server. */
const promptSizes = [{tokens: 4000, share: 0.86}, {tokens: 60_000, share: 0.11}, {tokens: 330_000, share: 0.03}];

/** Maximum size of a request body in bytes. */
const maxBodyBytes = 20_000;

/** Error code of a node that rejects a request as crashing. */
const rejectedCode = '"ends_servers"';

/** A kind of request: its path, its share of the traffic, and its deadline in milliseconds. */
export type CallShape = {kind: CallRecord['kind']; path: string; share: number; limit: number};

/** Requests for a route that a version has added; the path contains the version number. */
export const addedShape: CallShape = {
	kind: 'added', path: '', share: 0.1, limit: 1500,
};

export const shapes: CallShape[] = [
	{
		kind: 'stream', path: '/stream/', share: 0.5, limit: 5000,
	},
	{
		kind: 'once', path: '/once/', share: 0.2, limit: 1500,
	},
	{
		kind: 'again', path: '/again/', share: 0.1, limit: 1500,
	},
	{
		kind: 'version', path: '/turn/', share: 0.1, limit: 1500,
	},
	addedShape,
];

/** A request to send, and its record. */
export type DrawnCall = {record: CallRecord; path: string; body: Uint8Array; headers: Record<string, string>; events?: number};

/** Draws requests. */
export class CallDrawer {
	readonly #records: RunRecords;
	readonly #random: () => number;

	constructor(records: RunRecords, random: () => number) {
		this.#records = records;
		this.#random = random;
	}

	/** Draws a request to a node; `events` is the number of events of its stream. */
	draw(node: string, shape = this.#pickShape(), {addedBy = shape.kind === 'added' ? this.#pickVersion() : undefined, events}: {addedBy?: number; events?: number} = {}): DrawnCall {
		const id = randomUUID();
		const record: CallRecord = {
			id, kind: shape.kind, node, sentAt: Date.now(), endedAt: 0, status: 0, isComplete: false, limit: shape.limit, addedBy,
		};
		return {
			record,
			path: `${addedBy === undefined ? shape.path : formatAddedPath(addedBy)}a`,
			body: Buffer.alloc(Math.floor(this.#random() * maxBodyBytes), id),
			headers: this.formatHeaders(record, events),
			events,
		};
	}

	/** Formats the headers of a request. */
	formatHeaders(record: CallRecord, events?: number): Record<string, string> {
		return {
			host: 'shop.example',
			authorization: `Bearer ${record.addedBy === undefined ? 'secret-key' : formatAddedKey(record.addedBy)}`,
			'cresshook-attempt-id': record.id,
			'cresshook-deadline-ms': String(record.limit),
			'x-soak-node': record.node,
			...(record.kind === 'stream' ? {'cresshook-token-usage': `${this.#pickTokens()},200`} : {}),
			...(events === undefined ? {} : {[eventsHeader]: String(events)}),
		};
	}

	#pickShape(): CallShape {
		let left = this.#random();
		return shapes.find(shape => {
			left -= shape.share;
			return left < 0;
		}) ?? shapes[0];
	}

	#pickTokens(): number {
		let left = this.#random();
		return promptSizes.find(size => {
			left -= size.share;
			return left < 0;
		})?.tokens ?? promptSizes[0].tokens;
	}

	/** Picks mostly recent versions that the store has accepted, and sometimes one whose route was removed. */
	#pickVersion(): number {
		const newest = this.#records.changes.findLast(({version}) => version !== undefined)?.version?.number ?? 1;
		return Math.max(1, newest - Math.floor((this.#random() ** 4) * (keptVersions + 3)));
	}
}

/** The head of a response. */
type AnswerHead = {statusCode: number; headers: IncomingHttpHeaders};

/** Records the error in a complete response, if any, and the service that answered. */
export function checkAnswer({record, body, events}: DrawnCall, answer: AnswerHead, text: string): void {
	const expected = formatText(record.id, body);
	if (answer.statusCode !== 200) {
		record.wrong = text.includes(rejectedCode) ? 'it is rejected as a crashing request' : undefined;
		return;
	}

	if (answer.headers['cresshook-attempt-id'] !== record.id) {
		record.wrong = `it belongs to ${String(answer.headers['cresshook-attempt-id'])}`;
		return;
	}

	if (record.kind === 'stream') {
		record.wrong = text === formatStream(expected, events) ? undefined : `its ${text.length} bytes are not the whole stream`;
		return;
	}

	const [id, digest, service] = text.split(' ');
	record.service = service;
	record.wrong = `${id} ${digest}` === expected ? undefined : `it is "${text.slice(0, 80)}"`;
}
