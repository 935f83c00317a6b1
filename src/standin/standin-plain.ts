/** Simulates a plain HTTP service and counts the executions of each call. */
import {fastify, type FastifyInstance} from 'fastify';
import {waitFor, type Clock} from '../common/index.js';

/** Injected faults; each is off when absent. */
export type PlainFaults = {
	/** Number of next calls that are executed and whose connection is closed without a reply. */
	loseReplies?: number;
	/** Time that a call takes, in milliseconds. */
	delay?: number;
	/** Reply with the id of another request, once. */
	cross?: boolean;
};

/** A simulated plain service on a loopback port. */
export class StandinPlain {
	faults: PlainFaults = {};
	/** Executions by idempotency key, or by URL path for calls without a key. */
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

	/** Number of executions of a call. */
	countRuns(key: string): number {
		return this.runs.get(key) ?? 0;
	}

	/** Listens on a loopback port (0 picks a free one) and returns the base URL. */
	async start(port = 0): Promise<string> {
		return this.#app.listen({port, host: '127.0.0.1'});
	}

	/** Stops listening and closes every connection. */
	async stop(): Promise<void> {
		await this.#app.close();
	}
}
