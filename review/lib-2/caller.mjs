/** A stand-in of a client: sends single requests and tells how each ended. */
import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {Agent, request as sendRequest} from 'node:http';

/** Returns the id of a new attempt. */
export function createAttemptId() {
	return randomBytes(8).toString('hex');
}

/** A client that keeps its connections. */
export class Caller {
	#agent = new Agent({keepAlive: true, maxSockets: 200});

	/** Sends a request; resolves with its id, status, body and whether the answer was whole. */
	async send(address, {
		path, host, key, method = 'POST', deadline = 10_000, headers = {}, body = '', id = createAttemptId(), agent = this.#agent, leaveAfter,
	}) {
		const [name, port] = address.split(':');
		const sentAt = Date.now();
		return new Promise(resolve => {
			let status = 0;
			const chunks = [];
			let answerHeaders = {};
			const finish = end => {
				clearTimeout(timer);
				clearTimeout(leaving);
				resolve({
					id, address, path, sentAt, endedAt: Date.now(), status, headers: answerHeaders, end, body: Buffer.concat(chunks).toString(),
				});
			};

			const request = sendRequest({
				host: name, port, path, method, agent, headers: {
					host, 'cresshook-attempt-id': id, 'cresshook-deadline-ms': String(deadline), ...(key !== undefined && {authorization: `Bearer ${key}`}), ...headers,
				},
			}, response => {
				status = response.statusCode;
				answerHeaders = response.headers;
				response.on('data', chunk => {
					chunks.push(chunk);
				});
				response.on('end', () => {
					finish(response.complete ? 'whole' : 'broken off');
				});
				response.on('error', () => {
					finish('broken off');
				});
			});
			const timer = setTimeout(() => {
				finish('deadline');
				request.destroy();
			}, deadline + 200);
			const leaving = leaveAfter === undefined
				? undefined
				: setTimeout(() => {
					finish('left');
					request.destroy();
				}, leaveAfter);
			request.once('error', () => {
				finish(status === 0 ? 'no answer' : 'broken off');
			});
			request.end(body);
		});
	}

	close() {
		this.#agent.destroy();
	}
}
