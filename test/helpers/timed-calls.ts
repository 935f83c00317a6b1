/** Requests that run for a stated time, with the times at which their callers and their servers saw them begin and end. */
import {request as sendRequest, type Agent, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import type {PlannedCall} from './planned-judge.js';
import {createAnswerHeaders, formatEvent, type ReceivedRequest} from './platform-standins.js';

/** What a caller saw. */
export type TimedAnswer = Pick<PlannedCall, 'sentAt' | 'endedAt' | 'status' | 'isComplete' | 'wasReset'> & {retryAfter?: number};

/** A request; the path is `/ROUTE/MILLISECONDS`. */
export type TimedCall = {
	id: string;
	agent: Agent;
	address: string;
	path: string;
	key: string;
	/** Time for which the caller waits for the answer, in milliseconds. */
	patience: number;
	/** Number of parts of the body, and the time between two, in milliseconds. */
	parts?: number;
	partGap?: number;
	/** Bytes a second that the caller reads; all that arrives without it. */
	readRate?: number;
};

const partLength = 2000;

/** Sends a request; returns undefined if no connection was made. */
export async function sendTimedCall({
	id, agent, address, path, key, patience, parts = 1, partGap = 0, readRate,
}: TimedCall): Promise<TimedAnswer | undefined> {
	const [host, port] = address.split(':');
	const answer: TimedAnswer = {
		sentAt: performance.now(), endedAt: 0, status: 0, isComplete: false, wasReset: false,
	};
	const isConnected = await new Promise<boolean>(resolve => {
		let isSent = false;
		const finish = (wasConnected = true) => {
			clearTimeout(timer);
			answer.endedAt = performance.now();
			// A request of which a part was sent was never read whole.
			answer.sentAt = isSent ? answer.sentAt : answer.endedAt;
			resolve(wasConnected);
		};

		const sent = sendRequest({
			agent, host, port, method: 'POST', path, headers: {
				host: 'shop.example', authorization: `Bearer ${key}`, 'cresshook-attempt-id': id, 'cresshook-deadline-ms': String(patience),
			},
		}, response => {
			answer.status = response.statusCode!;
			answer.retryAfter = response.headers['retry-after'] === undefined ? undefined : Number(response.headers['retry-after']);
			response.on('data', (chunk: Uint8Array) => {
				if (readRate !== undefined) {
					response.pause();
					setTimeout(() => {
						response.resume();
					}, chunk.length * 1000 / readRate);
				}
			});
			response.once('end', () => {
				answer.isComplete = response.complete;
			});
			response.once('error', error => {
				answer.wasReset = isReset(error);
			});
			response.once('close', () => {
				finish();
			});
		});
		const timer = setTimeout(() => sent.destroy(), patience);
		sent.once('error', error => {
			answer.wasReset = isReset(error);
			finish((error as NodeJS.ErrnoException).code !== 'ECONNREFUSED');
		});
		sent.once('finish', () => {
			isSent = true;
			answer.sentAt = performance.now();
		});
		void sendBody(parts, partGap, text => sent.write(text), () => {
			sent.end();
		});
	});
	return isConnected ? answer : undefined;
}

const eventGap = 50;

/** What a server did for a request. */
export type TimedRun = Pick<PlannedCall, 'service' | 'ranAt' | 'ranUntil'> & {server: number};

/** The runs of all servers by the id of their request. */
export class TimedRuns {
	readonly #runs = new Map<string, TimedRun>();

	get(id: string): TimedRun | undefined {
		return this.#runs.get(id);
	}

	/** Number of requests that a server runs now. */
	countRunning(server: number): number {
		return [...this.#runs.values()].filter(run => run.server === server && run.ranUntil === undefined).length;
	}

	/** Runs a request: `/stream/` sends events for its time, `/silent/` never answers, others answer after their time with `length` bytes. */
	async run(where: Pick<TimedRun, 'server' | 'service'>, request: ReceivedRequest, response: ServerResponse, length = 20): Promise<void> {
		const id = request.headers['cresshook-attempt-id'];
		if (id === undefined) {
			response.writeHead(404).end();
			return;
		}

		const [, route, time] = request.url.split('/');
		const run: TimedRun = {...where, ranAt: performance.now()};
		this.#runs.set(id, run);
		response.once('close', () => {
			run.ranUntil = performance.now();
		});
		if (route === 'silent') {
			return;
		}

		const headers = createAnswerHeaders(request);
		if (route === 'stream') {
			response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
			const count = Math.ceil(Number(time) / eventGap);
			for (let event = 1; event <= count && !response.destroyed; event++) {
				response.write(formatEvent(event));
				await sleep(eventGap);
			}

			response.end();
			return;
		}

		await sleep(Number(time));
		response.writeHead(200, headers);
		response.end('x'.repeat(length));
	}
}

async function sendBody(parts: number, gap: number, write: (text: string) => void, end: () => void): Promise<void> {
	for (let part = 1; part <= parts; part++) {
		write('x'.repeat(partLength));
		if (part < parts) {
			await sleep(gap);
		}
	}

	end();
}

function isReset(error: Error): boolean {
	return ['ECONNRESET', 'EPIPE'].includes((error as NodeJS.ErrnoException).code ?? '') && !error.message.includes('hang up');
}
