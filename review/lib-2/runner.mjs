/** A stand-in of a runner that does what the pages say of a sound one, and records each request that reaches it. */
import {createServer} from 'node:http';

/** Number of requests that it works on at once. */
const slots = 11;

/** Memory in tokens. */
const memory = 315_000;

/** Time for which an idle connection is kept, in milliseconds. */
const idleTime = 9000;

/** One runner of a service. */
export class Runner {
	/** Requests that were run: id, tenant, and when they arrived, were answered or broke off. */
	runs = [];
	#options;
	#server;
	#running = 0;

	/**
	 * `work` is the time of a plain request in milliseconds; `events` and `eventGap` the number of events of a stream and the time between two.
	 * `intercept(request, run)` may return true to take over what follows.
	 */
	constructor(options) {
		this.#options = {
			work: 60, events: 20, eventGap: 40, firstEvent: 60, ...options,
		};
	}

	get id() {
		return this.#options.id;
	}

	get service() {
		return this.#options.service;
	}

	get address() {
		return `${this.#options.host}:${this.#options.port}`;
	}

	/** Its entry in the store. */
	describe(state = 'ready') {
		const {service, zone} = this.#options;
		return {
			service, address: this.address, zone, version: 'v1', slots, state, coldRemainingMs: 0, sequence: 1,
		};
	}

	async start() {
		this.#server = createServer({keepAliveTimeout: idleTime}, (request, response) => {
			this.#serve(request, response);
		});
		await new Promise(resolve => {
			this.#server.listen(this.#options.port, this.#options.host, resolve);
		});
	}

	/** Ends as its process would: open connections break. */
	stop() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#serve(request, response) {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			if (request.method === 'GET' && request.url === '/v1/report') {
				response.writeHead(200, {'content-type': 'application/json'});
				response.end(JSON.stringify({
					stage: 'dual', models: [{name: 'm', version: 1, adapters: []}], busy: false, sequence: 0, queued: 0, running: this.#running, kvUsed: 0, kvTotal: memory, handles: 0, tickets: [],
				}));
			} else {
				this.#run(request, response);
			}
		});
	}

	#run(request, response) {
		const {id, kind} = this.#options;
		const attempt = request.headers['cresshook-attempt-id'];
		if (request.headers['cresshook-target-instance'] !== id) {
			response.writeHead(421, {'cresshook-not-executed': '1', 'cresshook-attempt-id': attempt});
			response.end();
			return;
		}

		if (this.#running >= slots * 2) {
			response.writeHead(503, {'cresshook-not-executed': '1', 'cresshook-attempt-id': attempt});
			response.end();
			return;
		}

		const run = {
			id: attempt, runner: id, node: request.socket.remoteAddress, at: Date.now(), tenant: request.headers['cresshook-tenant'], end: 'open',
		};
		this.runs.push(run);
		this.#running++;
		response.once('close', () => {
			this.#running--;
			run.end = response.writableFinished ? 'answered' : 'broken off';
			run.endedAt = Date.now();
		});
		if (this.#options.intercept?.(request, response, run) === true) {
			return;
		}

		const head = {'cresshook-attempt-id': attempt, 'cresshook-response-seal': `seal.${id}.${attempt}`, 'cresshook-instance-load': `${this.#running},0,${slots}`};
		if (kind === 'stream') {
			this.#stream(request, response, head);
		} else {
			setTimeout(() => {
				response.writeHead(200, head);
				response.end(`answer to ${attempt}`);
			}, this.#options.work);
		}
	}

	#stream(request, response, head) {
		const {events, eventGap, firstEvent} = this.#options;
		let sequence = Number(request.headers['last-event-id'] ?? 0);
		const sendNext = () => {
			if (response.destroyed) {
				return;
			}

			if (!response.headersSent) {
				response.writeHead(200, {...head, 'content-type': 'text/event-stream'});
			}

			sequence++;
			response.write(`id: ${sequence}\ndata: event ${sequence} of ${head['cresshook-attempt-id']}\n\n`);
			if (sequence >= events) {
				response.end();
			} else {
				setTimeout(sendNext, eventGap);
			}
		};

		setTimeout(sendNext, firstEvent);
	}
}
