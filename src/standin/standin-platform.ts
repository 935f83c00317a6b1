/** Simulates the platform's object API: resource versions, conditional updates, paged lists and watches. */
import type {ServerResponse} from 'node:http';
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import type {Clock} from '../common/index.js';
import type {PlatformObjectInput} from '../store/index.js';

/** Injected faults; each is off when absent. */
export type PlatformFaults = {
	/** Close every connection without a reply. */
	down?: boolean;
	/** Number of next writes that are stored and whose connection is closed without a reply. */
	loseReplies?: number;
	/** Reject the next watch as expired (410). */
	expireWatches?: boolean;
};

type Stored = Omit<PlatformObjectInput, 'metadata'> & {metadata: {name: string; resourceVersion: string}};
type Change = {type: 'ADDED' | 'MODIFIED' | 'DELETED'; object: Stored};

const basePath = '/apis/cresshook.dev/v1/objects';
const bookmarkInterval = 5000;
/** Changes kept for watches; a watch from an older version is rejected as expired. */
const maxHistory = 10_000;

/** A simulated platform API on a loopback port. */
export class StandinPlatform {
	faults: PlatformFaults = {};
	/** Calls so far; a list, a get and the start of a watch each count as one read. */
	readonly calls = {reads: 0, writes: 0};
	readonly #app: FastifyInstance = fastify({forceCloseConnections: true, keepAliveTimeout: 60_000});
	readonly #clock: Clock;
	readonly #objects = new Map<string, Stored>();
	readonly #history: Change[] = [];
	readonly #watches = new Set<ServerResponse>();
	#version = 1;
	#bookmarkTimer: {cancel(): void} | undefined;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#addRoutes();
	}

	/** Listens on a loopback port (0 picks a free one) and returns the base URL. */
	async start(port = 0): Promise<string> {
		this.#scheduleBookmark();
		return this.#app.listen({port, host: '127.0.0.1'});
	}

	/** Stops listening and closes every watch and connection. */
	async stop(): Promise<void> {
		this.#bookmarkTimer?.cancel();
		this.cutWatches();
		await this.#app.close();
	}

	/** Drops the connection of every open watch. */
	cutWatches(): void {
		for (const watch of this.#watches) {
			watch.destroy();
		}

		this.#watches.clear();
	}

	/** Stores an object without a version check, to simulate another writer. */
	putObject(object: PlatformObjectInput): void {
		const key = `${object.kind}/${object.metadata.name}`;
		this.#store(key, object);
	}

	/** Deletes an object, to simulate another writer. */
	deleteObject(kind: string, name: string): void {
		const object = this.#objects.get(`${kind}/${name}`);
		if (object !== undefined) {
			this.#objects.delete(`${kind}/${name}`);
			this.#publish({type: 'DELETED', object: {...object, metadata: {...object.metadata, resourceVersion: String(++this.#version)}}});
		}
	}

	/** Returns the stored object, or undefined if there is none. */
	findObject(kind: string, name: string): PlatformObjectInput | undefined {
		return this.#objects.get(`${kind}/${name}`) as PlatformObjectInput | undefined;
	}

	#addRoutes(): void {
		this.#app.addHook('onRequest', async (_request, reply) => {
			if (this.faults.down) {
				void reply.hijack();
				reply.raw.destroy();
			}
		});
		this.#app.get<{Querystring: {watch?: string; resourceVersion?: string; limit?: string; continue?: string}}>(basePath, async (request, reply) => {
			this.calls.reads++;
			return request.query.watch === '1'
				? this.#startWatch(Number(request.query.resourceVersion ?? 0), reply)
				: this.#list(Number(request.query.limit ?? 500), request.query.continue ?? '');
		});
		this.#app.get<{Params: {kind: string; name: string}}>(`${basePath}/:kind/:name`, async (request, reply) => {
			this.calls.reads++;
			const object = this.#objects.get(`${request.params.kind}/${request.params.name}`);
			return object ?? reply.code(404).send({code: 404});
		});
		this.#app.put<{Params: {kind: string; name: string}; Body: Stored}>(`${basePath}/:kind/:name`, async (request, reply) => {
			this.calls.writes++;
			const key = `${request.params.kind}/${request.params.name}`;
			const stored = this.#objects.get(key);
			if (Number(request.body.metadata.resourceVersion) !== Number(stored?.metadata.resourceVersion ?? 0)) {
				return reply.code(409).send({code: 409, message: `the stored version is ${stored?.metadata.resourceVersion ?? 0}`});
			}

			const written = this.#store(key, request.body as PlatformObjectInput);
			if ((this.faults.loseReplies ?? 0) > 0) {
				this.faults.loseReplies!--;
				void reply.hijack();
				reply.raw.destroy();
				return;
			}

			return written;
		});
	}

	#store(key: string, object: PlatformObjectInput): Stored {
		const type = this.#objects.has(key) ? 'MODIFIED' : 'ADDED';
		const stored = {...object, metadata: {name: object.metadata.name, resourceVersion: String(++this.#version)}};
		this.#objects.set(key, stored);
		this.#publish({type, object: stored});
		return stored;
	}

	#publish(change: Change): void {
		this.#history.push(change);
		if (this.#history.length > maxHistory) {
			this.#history.shift();
		}

		for (const watch of this.#watches) {
			watch.write(`${JSON.stringify(change)}\n`);
		}
	}

	/** Pages by key. The pages of a list are consistent only if nothing is written between them. */
	#list(limit: number, after: string): unknown {
		const keys = [...this.#objects.keys()].sort().filter(key => key > after);
		const page = keys.slice(0, limit);
		const hasMore = keys.length > limit;
		return {
			items: page.map(key => this.#objects.get(key)),
			metadata: {resourceVersion: String(this.#version), ...(hasMore ? {continue: page.at(-1)} : {})},
		};
	}

	#startWatch(after: number, reply: FastifyReply): FastifyReply {
		const oldest = Number(this.#history[0]?.object.metadata.resourceVersion ?? this.#version + 1);
		const isExpired = this.faults.expireWatches === true || after < oldest - 1;
		if (isExpired) {
			this.faults.expireWatches = false;
			return reply.code(410).send({code: 410});
		}

		void reply.hijack();
		reply.raw.writeHead(200, {'content-type': 'application/json'});
		reply.raw.flushHeaders();
		for (const change of this.#history.filter(past => Number(past.object.metadata.resourceVersion) > after)) {
			reply.raw.write(`${JSON.stringify(change)}\n`);
		}

		this.#watches.add(reply.raw);
		reply.raw.once('close', () => {
			this.#watches.delete(reply.raw);
		});
		return reply;
	}

	#scheduleBookmark(): void {
		this.#bookmarkTimer = this.#clock.setTimer(bookmarkInterval, () => {
			for (const watch of this.#watches) {
				watch.write(`${JSON.stringify({type: 'BOOKMARK', object: {}})}\n`);
			}

			this.#scheduleBookmark();
		});
	}
}
