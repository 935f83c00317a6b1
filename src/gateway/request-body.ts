/** Reads request bodies whole. */
import type {IncomingMessage} from 'node:http';
import {ByteQueue} from '../common/index.js';

/** A body that is longer than allowed. */
export class BodyTooLargeError extends Error {
	constructor(maxBytes: number) {
		super(`the body is longer than ${maxBytes} bytes`);
	}
}

/** Whether the head of a request states a body, be it empty. */
export function hasBody({headers}: IncomingMessage): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Whether the head of a request states a body that is longer than allowed. */
export function statesLargeBody({headers}: IncomingMessage, maxBytes: number): boolean {
	return Number(headers['content-length'] ?? 0) > maxBytes;
}

/** Reads a body of at most `maxBytes` bytes; small chunks are copied together. Rejects when it is longer or not complete. */
export async function readBody(request: IncomingMessage, maxBytes: number, onChunk: () => void): Promise<Uint8Array> {
	if (statesLargeBody(request, maxBytes)) {
		throw new BodyTooLargeError(maxBytes);
	}

	return new Promise((resolve, reject) => {
		const body = new ByteQueue();
		const handleData = (chunk: Uint8Array) => {
			body.append(chunk);
			onChunk();
			if (body.length > maxBytes) {
				body.clear();
				request.off('data', handleData);
				reject(new BodyTooLargeError(maxBytes));
			}
		};

		request.on('data', handleData);
		request.once('end', () => {
			resolve(body.take());
		});
		request.once('error', reject);
		// An aborted request may end without an error.
		request.once('close', () => {
			if (!request.complete) {
				reject(new Error('the connection was closed within the body'));
			}
		});
	});
}
