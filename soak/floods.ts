/** Bytes without end that a stand-in server sends as its answer, until the connection closes. */
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import {pause} from './link.js';

/** Kinds of flood: events without data, events of one letter, a head of empty fields, and bytes before a status line. */
export const floodKinds = ['empty-events', 'short-events', 'fields', 'noise'] as const;

/** Kind of a flood. */
export type FloodKind = typeof floodKinds[number];

/** Size of one write in bytes, and time between two writes in milliseconds: what the callers of the soak still read beside their other requests. */
const pieceSize = 4096;
const pieceGap = 10;

const units: Record<FloodKind, string> = {
	'empty-events': ':\n\n', 'short-events': 'data:a\n\n', fields: 'x:\r\n', noise: '\r\nno answer',
};

/** Sends a flood and resolves when the connection has closed. */
export async function sendFlood(kind: FloodKind, response: ServerResponse, head: Record<string, string>): Promise<void> {
	const piece = units[kind].repeat(pieceSize / units[kind].length);
	const {socket} = response;
	if (socket === null) {
		return;
	}

	const closed = once(socket, 'close');
	const isHead = kind === 'fields' || kind === 'noise';
	if (isHead) {
		socket.write(kind === 'fields' ? 'HTTP/1.1 200 OK\r\n' : '');
	} else {
		response.writeHead(200, {...head, 'content-type': 'text/event-stream'});
	}

	while (!socket.destroyed) {
		const stream = isHead ? socket : response;
		if (!stream.write(piece)) {
			await Promise.race([closed, once(stream, 'drain')]);
		}

		await pause(pieceGap);
	}
}
