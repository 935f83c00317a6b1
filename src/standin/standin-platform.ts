/** A small stand-in for the platform's object API: versions, conditional updates, paged lists, watches. */
import type {ServerResponse} from 'node:http';
import {fastify, type FastifyInstance, type FastifyReply} from 'fastify';
import type {Clock} from '../common/index.js';
import type {PlatformObjectInput} from '../store/index.js';

/** Faults that tests switch on. */
export type PlatformFaults = {
	/** Answer nothing: every connection is closed. */
	down?: boolean;
	/** Carry out this many of the next writes and lose their replies. */
	loseReplies?: number;
	/** End every watch as expired, once. */
	expireWatches?: boolean;
};

type Stored = Omit<PlatformObjectInput, 'metadata'> & {metadata: {name: string; resourceVersion: string}};
type Change = {type: 'ADDED' | 'MODIFIED' | 'DELETED'; object: Stored};

const basePath = '/apis/cresshook.dev/v1/objects';
const bookmarkInterval = 5000;
const mostHistory = 10_000;

/** A stand-in platform. */
export class StandinPlatform {
	faults: PlatformFaults = {};
	/** Calls counted as the platform does. */
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

	/** Opens the stand-in on a port, 0 for a free one; returns its base URL. */
	async start(port = 0): Promise<string> {
		this.#scheduleBookmark();
		return this.#app.listen({port, host: '127.0.0.1'});
	}

	/** Closes the stand-in. */
	async stop(): Promise<void> {
		this.#bookmarkTimer?.cancel();
		this.cutWatches();
		await this.#app.close();
	}

	/** Breaks every open watch. */
	cutWatches(): void {
		for (const watch of this.#watches) {
			watch.destroy();
		}

		this.#watches.clear();
	}

	/** Stores an object whatever its version, as another writer would. */
	putObject(object: PlatformObjectInput): void {
		const key = `${object.kind}/${object.metadata.name}`;
		this.#store(key, object);
	}

	/** Deletes an object, as another writer would. */
	deleteObject(kind: string, name: string): void {
		const object = this.#objects.get(`${kind}/${name}`);
		if (object !== undefined) {
			this.#objects.delete(`${kind}/${name}`);
			this.#publish({type: 'DELETED', object: {...object, metadata: {...object.metadata, resourceVersion: String(++this.#version)}}});
		}
	}

	/** Reads what is stored. */
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
		if (this.#history.length > mostHistory) {
			this.#history.shift();
		}

		for (const watch of this.#watches) {
			watch.write(`${JSON.stringify(change)}\n`);
		}
	}

	/** Pages by key, all of one version only while nothing is written between: enough for a stand-in. */
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
