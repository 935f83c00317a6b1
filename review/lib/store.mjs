/** Stand-in for the platform's metadata store: kinds of objects, lists, watches and writes, as PROTOCOL.md says. */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';

/** The store of one case; it keeps its whole history. */
export class Store {
	#objects = new Map();
	#events = [];
	#revision = 0;
	#waiting = new Set();
	#server;

	/** Starts to listen on a free port of a loopback address; returns the address. */
	async start(host) {
		this.#server = createServer(async (request, response) => this.#serve(request, response));
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
		return this.address;
	}

	/** Writes an object, as the operator or a runner does. */
	put(kind, name, spec) {
		const existing = this.#objects.get(`${kind}/${name}`);
		if (existing !== undefined && JSON.stringify(existing.spec) === JSON.stringify(spec)) {
			return existing;
		}

		const revision = this.#nextRevision();
		const object = {
			metadata: {
				name, revision, made: existing?.metadata.made ?? Date.now(), finalizers: [], deleting: false,
			}, spec, status: existing?.status ?? {},
		};
		this.#objects.set(`${kind}/${name}`, object);
		this.#notify({kind, revision, event: {object, gone: false}});
		return object;
	}

	/** Removes an object. */
	remove(kind, name) {
		const object = this.#objects.get(`${kind}/${name}`);
		if (object !== undefined) {
			this.#objects.delete(`${kind}/${name}`);
			this.#notify({kind, revision: this.#nextRevision(), event: {object, gone: true}});
		}
	}

	stop() {
		this.#server?.close();
		this.#server?.closeAllConnections();
	}

	#nextRevision() {
		this.#revision++;
		return this.#revision;
	}

	#notify(change) {
		this.#events.push(change);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	async #serve(request, response) {
		const url = new URL(request.url, 'http://store');
		const [, version, objects, kind, name] = url.pathname.split('/').map(part => decodeURIComponent(part));
		const body = await readBody(request);
		if (version !== 'v1' || objects !== 'objects' || kind === undefined) {
			answer(response, 404, {});
		} else if (request.method === 'GET' && name === undefined && url.searchParams.has('watch')) {
			await this.#watch(kind, url.searchParams, response);
		} else if (request.method === 'GET' && name === undefined) {
			const items = [...this.#objects].filter(([key]) => key.startsWith(`${kind}/`)).map(([, object]) => object);
			answer(response, 200, {items, more: false, at: this.#revision});
		} else {
			switch (request.method) {
				case 'GET': {
					const object = this.#objects.get(`${kind}/${name}`);
					answer(response, object === undefined ? 404 : 200, object ?? {});

					break;
				}

				case 'POST': {
					const {metadata, spec} = JSON.parse(body);
					const existing = this.#objects.get(`${kind}/${metadata.name}`);
					answer(response, existing === undefined ? 201 : 409, existing ?? this.put(kind, metadata.name, spec));

					break;
				}

				case 'PUT': {
					answer(response, 200, this.put(kind, name, JSON.parse(body).spec));

					break;
				}

				default: {
					answer(response, 400, {});
				}
			}
		}
	}

	async #watch(kind, query, response) {
		const since = Number(query.get('watch'));
		const find = () => this.#events.filter(change => change.kind === kind && change.revision > since).map(({event}) => event);
		if (find().length === 0) {
			await new Promise(resolve => {
				const finish = () => {
					clearTimeout(timer);
					this.#waiting.delete(check);
					resolve();
				};

				const check = () => {
					if (find().length > 0) {
						finish();
					}
				};

				const timer = setTimeout(finish, Number(query.get('waitMs')));
				this.#waiting.add(check);
				response.once('close', finish);
			});
		}

		answer(response, 200, {events: find(), at: this.#revision});
	}
}

function answer(response, status, value) {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.length});
	response.end(body);
}

/** Reads the whole body of a message. */
export async function readBody(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('latin1');
}
