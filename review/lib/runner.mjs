/** Stand-in for a runner: it registers itself, runs what it is sent as the case tells, and notes each run. */
import {createServer} from 'node:http';
import {readBody} from './store.mjs';

const slots = 8;

/** One runner. */
export class Runner {
	/** Ids of the requests that it has begun to run, in order. */
	runs = [];
	#options;
	#server;
	#sequence = 0;
	#running = 0;

	/** `work(request, response)` runs one request; `response` has the status and the head set, but nothing was sent. */
	constructor(options) {
		this.#options = options;
	}

	get id() {
		return this.#options.id;
	}

	/** Starts to listen on a free port and registers in the store. */
	async start(host) {
		this.#server = createServer({keepAliveTimeout: 8000}, async (request, response) => this.#serve(request, response));
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
		this.register();
	}

	/** Writes its entry. */
	register(state = 'ready') {
		const {store, id, service, zone} = this.#options;
		this.#sequence++;
		store.put('servers', id, {
			service, address: this.address, zone, version: '1', slots, state, coldRemainingMs: 0, sequence: this.#sequence,
		});
	}

	stop() {
		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	async #serve(request, response) {
		const {id, record, work} = this.#options;
		const {'cresshook-attempt-id': attempt, 'cresshook-target-instance': target} = request.headers;
		const body = await readBody(request);
		if (request.url === '/v1/report') {
			response.setHeader('content-type', 'application/json');
			response.end(JSON.stringify({
				stage: 'dual', models: [], busy: false, sequence: 0, queued: 0, running: this.#running, kvUsed: 0, kvTotal: 0, handles: 0, tickets: [],
			}));
			return;
		}

		if (attempt === undefined || (target !== undefined && target !== id)) {
			response.writeHead(attempt === undefined ? 400 : 421, {'cresshook-not-executed': '1', ...(attempt !== undefined && {'cresshook-attempt-id': attempt})});
			response.end();
			return;
		}

		this.runs.push(attempt);
		this.#running++;
		record(`runner ${id} runs ${attempt} ${request.method} ${request.url}`);
		response.once('close', () => {
			this.#running--;
			record(`runner ${id} ${response.writableFinished ? 'has answered' : 'was cut off from'} ${attempt}`);
		});
		response.setHeader('cresshook-attempt-id', attempt);
		response.setHeader('cresshook-response-seal', `seal.${id}.${attempt}`);
		response.setHeader('cresshook-instance-load', `${this.#running},0,${slots}`);
		work({
			request, response, body, attempt,
		});
	}
}
