/** A stand-in of the platform's metadata store: objects by kind, lists and watches, linearizable and without faults of its own. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

const objectsPath = /^\/v1\/objects\/(?<kind>[^/?]+)(?:\/(?<name>[^/?]+))?/;

/** Time that an answer takes, in milliseconds, as on the users' sheets. */
const answerTime = 4;

/** Maximum number of objects in one page of a list. */
const pageSize = 500;

/** A store on one address. */
export class Store {
	#objects = new Map();
	#events = [];
	#revision = 0;
	#waiting = new Set();
	#server;

	async start(host, port) {
		this.#server = createServer((request, response) => {
			this.#serve(request, response);
		});
		await new Promise(resolve => {
			this.#server.listen(port, host, resolve);
		});
		this.address = `${host}:${port}`;
	}

	stop() {
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Creates or replaces an object, as the operator or a server does; returns when it was acknowledged. */
	put(kind, name, spec) {
		const key = `${kind}/${name}`;
		const object = {metadata: {name, revision: ++this.#revision, finalizers: []}, spec, status: {}};
		this.#objects.set(key, object);
		this.#publish(kind, {object, gone: false});
		return Date.now();
	}

	/** Removes an object; returns when that was acknowledged. */
	remove(kind, name) {
		const key = `${kind}/${name}`;
		const object = this.#objects.get(key);
		this.#objects.delete(key);
		this.#revision++;
		this.#publish(kind, {object, gone: true});
		return Date.now();
	}

	#publish(kind, event) {
		this.#events.push({kind, at: this.#revision, event});
		// The store answers its watches in no particular order.
		for (const wake of [...this.#waiting].sort(() => Math.random() - 0.5)) {
			wake();
		}
	}

	#serve(request, response) {
		const url = new URL(request.url, 'http://store');
		const {kind, name} = objectsPath.exec(url.pathname)?.groups ?? {};
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
			if (request.method === 'GET' && url.searchParams.has('watch')) {
				this.#watch(kind, url.searchParams, response);
			} else {
				this.#answer(request.method, {
					kind, name, body, after: url.searchParams.get('sinceRevision') ?? '',
				}, response);
			}
		});
	}

	#answer(method, {kind, name, body, after}, response) {
		if (method === 'GET' && name === undefined) {
			const listed = [...this.#objects].filter(([key, {metadata}]) => key.startsWith(`${kind}/`) && metadata.name > after);
			const all = listed.map(([, object]) => object).sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1);
			send(response, 200, {items: all.slice(0, pageSize), more: all.length > pageSize, at: this.#revision});
			return;
		}

		const key = `${kind}/${name ?? body?.metadata?.name}`;
		const known = this.#objects.get(key);
		if (method === 'GET') {
			send(response, known === undefined ? 404 : 200, known ?? {});
		} else if (method === 'POST' && known !== undefined) {
			send(response, 409, known);
		} else if (method === 'POST' || method === 'PUT') {
			this.put(kind, name ?? body.metadata.name, body.spec);
			send(response, 200, this.#objects.get(key));
		} else {
			send(response, 400, {});
		}
	}

	/** Answers as soon as there is an event after the revision, or when the wait is over. */
	#watch(kind, query, response) {
		const since = Number(query.get('watch'));
		const finish = () => {
			const events = this.#events.filter(event => event.kind === kind && event.at > since).map(({event}) => event);
			if (events.length === 0 && !isOver) {
				return;
			}

			clearTimeout(timer);
			this.#waiting.delete(finish);
			send(response, 200, {events, at: this.#revision});
		};

		let isOver = false;
		const timer = setTimeout(() => {
			isOver = true;
			finish();
		}, Number(query.get('waitMs') ?? 0));
		this.#waiting.add(finish);
		response.once('close', () => {
			clearTimeout(timer);
			this.#waiting.delete(finish);
		});
		finish();
	}
}

function send(response, status, body) {
	setTimeout(() => {
		if (!response.destroyed) {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify(body));
		}
	}, answerTime);
}
