/** A small stand-in for a plain service: it counts how often each call ran. */
import {fastify, type FastifyInstance} from 'fastify';
import {waitFor, type Clock} from '../common/index.js';

/** Faults that tests switch on. */
export type PlainFaults = {
	/** Run this many of the next calls and lose their replies. */
	loseReplies?: number;
	/** Milliseconds a call takes. */
	delay?: number;
	/** Answer with another request's id, once. */
	cross?: boolean;
};

/** A stand-in plain service. */
export class StandinPlain {
	faults: PlainFaults = {};
	/** Runs by idempotency key, or by path for calls without one. */
	readonly runs = new Map<string, number>();
	readonly #app: FastifyInstance = fastify({forceCloseConnections: true, keepAliveTimeout: 60_000});
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#app.removeAllContentTypeParsers();
		this.#app.addContentTypeParser('*', {parseAs: 'string'}, (_request, body, done) => {
			done(null, body);
		});
		this.#app.all('*', async (request, reply) => {
			const key = String(request.headers['idempotency-key'] ?? request.url);
			this.runs.set(key, this.countRuns(key) + 1);
			await waitFor(this.#clock, this.faults.delay ?? 0);
			if ((this.faults.loseReplies ?? 0) > 0) {
				this.faults.loseReplies!--;
				void reply.hijack();
				reply.raw.destroy();
				return;
			}

			const requestId = this.faults.cross ? 'another' : request.headers['x-request-id'];
			this.faults.cross = false;
			return reply.header('x-request-id', requestId).send({
				method: request.method, path: request.url, organisation: request.headers['x-organisation'], body: request.body, run: this.runs.get(key),
			});
		});
	}

	/** How often a call ran. */
	countRuns(key: string): number {
		return this.runs.get(key) ?? 0;
	}

	/** Opens the stand-in on a port, 0 for a free one; returns its base URL. */
	async start(port = 0): Promise<string> {
		return this.#app.listen({port, host: '127.0.0.1'});
	}

	/** Closes the stand-in and every connection. */
	async stop(): Promise<void> {
		await this.#app.close();
	}
}
