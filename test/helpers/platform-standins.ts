/** Test doubles of the platform, over loopback sockets: its object store and its model servers (runners). */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {processHost} from './process-host.js';

/** An HTTP server on a loopback address. A handler error is ignored if the client disconnected before its request was read. */
export class LoopbackServer {
	readonly server: Server;
	readonly sockets = new Set<Socket>();
	/** Connections that stay open but get no more answers. */
	readonly #silenced = new WeakSet<Socket>();

	constructor(handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>) {
		this.server = createServer((request, response) => {
			void handleRequest(handle, request, response);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => this.sockets.delete(socket));
		});
	}

	get address(): string {
		const {address, port} = this.server.address() as AddressInfo;
		return `${address}:${port}`;
	}

	/** Listens on a port; by default a free one, at an address that only this process uses. */
	async start(port = 0, host = processHost): Promise<this> {
		await new Promise<void>(resolve => {
			this.server.listen(port, host, resolve);
		});
		return this;
	}

	/** Silences all open connections permanently; new ones are answered. */
	silenceConnections(): void {
		for (const socket of this.sockets) {
			this.silenceConnection(socket);
		}
	}

	/** Silences one connection permanently. */
	silenceConnection(socket: Socket): void {
		this.#silenced.add(socket);
	}

	/** Whether a connection was silenced. */
	isSilenced(socket: Socket): boolean {
		return this.#silenced.has(socket);
	}

	async stop(): Promise<void> {
		for (const socket of this.sockets) {
			socket.destroy();
		}

		await new Promise<void>(resolve => {
			this.server.close(() => {
				resolve();
			});
		});
	}
}

async function handleRequest(
	handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
	request: IncomingMessage,
	response: ServerResponse,
): Promise<void> {
	try {
		await handle(request, response);
	} catch (error) {
		if (!request.destroyed) {
			throw error;
		}
	}
}

/** Answer delay of a slow store, in milliseconds. */
const slowAnswerDelay = 900;

type StoredObject = {metadata: {name: string; revision: number}; spec: unknown};
/** The content of a store at a moment. */
export type StoreCopy = {objects: Map<string, Map<string, StoredObject>>; revision: number};
type StoreEvent = {kind: string; revision: number; gone: boolean; object: StoredObject};

/** The object store, with paged lists, watches and injected faults. */
export class StandinStore extends LoopbackServer {
	/** Number of objects on one page of a list. */
	pageSize = 50;
	/** Injected fault: `silent` never answers, `busy` answers 503, `slow` answers late, `lossy` performs every second write without an answer. */
	trouble: 'none' | 'silent' | 'busy' | 'slow' | 'lossy' = 'none';
	readonly calls: string[] = [];
	/** Sent with every answer; undefined for a store that does not send it. */
	era: number | undefined;
	/** JSON texts, such as numbers that no program can hold, that replace the strings of these names in answers. */
	readonly rawTexts = new Map<string, string>();
	#objects = new Map<string, Map<string, StoredObject>>();
	#events: StoreEvent[] = [];
	#revision = 0;
	#oldestRevision = 0;
	readonly #waitingWatches = new Set<() => void>();
	/** Connections with a waiting watch, and the kind of object that it watches. */
	readonly #watchedKinds = new Map<Socket, string>();

	constructor() {
		super(async (request, response) => this.#answer(request, response));
	}

	/** Writes an object, as operators and runners do. */
	put(kind: string, name: string, spec: unknown, otherMetadata: Record<string, unknown> = {}): void {
		const object = {metadata: {...otherMetadata, name, revision: ++this.#revision}, spec};
		this.#getObjects(kind).set(name, object);
		this.#publish({
			kind, revision: this.#revision, gone: false, object,
		});
	}

	/** Removes an object. */
	remove(kind: string, name: string): void {
		const object = this.#getObjects(kind).get(name);
		this.#getObjects(kind).delete(name);
		if (object !== undefined) {
			this.#publish({
				kind, revision: ++this.#revision, gone: true, object,
			});
		}
	}

	override async stop(): Promise<void> {
		this.#wakeAll();
		await super.stop();
	}

	/** Drops the history: watches from an earlier revision answer 410. */
	forgetHistory(): void {
		this.#events = [];
		this.#oldestRevision = this.#revision;
		this.#wakeAll();
	}

	/** Copies the content, which `restore` brings back. */
	copy(): StoreCopy {
		return {objects: new Map([...this.#objects].map(([kind, objects]) => [kind, new Map(objects)])), revision: this.#revision};
	}

	/** Comes back from a copy: what was written since is gone, and revisions are given out again. All connections are closed unless it was away too briefly for that. */
	restore({objects, revision}: StoreCopy, isKeepingConnections = false): void {
		this.#objects = new Map([...objects].map(([kind, copied]) => [kind, new Map(copied)]));
		this.#revision = revision;
		this.#events = [];
		this.#oldestRevision = revision;
		this.era = (this.era ?? 0) + 1;
		for (const socket of isKeepingConnections ? [] : this.sockets) {
			socket.resetAndDestroy();
		}

		this.#wakeAll();
	}

	/** Number of watches that currently wait for a change. */
	get waitingWatches(): number {
		return this.#waitingWatches.size;
	}

	/** Permanently silences the connections on which watches of a kind wait; others are answered. */
	silenceWatches(kind: string): void {
		for (const [socket, watched] of this.#watchedKinds) {
			if (watched === kind) {
				this.silenceConnection(socket);
			}
		}
	}

	/** Returns the spec of an object; undefined when there is none. */
	get(kind: string, name: string): unknown {
		return this.#getObjects(kind).get(name)?.spec;
	}

	/** Lists the names of the objects of a kind. */
	listNames(kind: string): string[] {
		return [...this.#getObjects(kind).keys()];
	}

	#getObjects(kind: string): Map<string, StoredObject> {
		const objects = this.#objects.get(kind) ?? new Map<string, StoredObject>();
		this.#objects.set(kind, objects);
		return objects;
	}

	#publish(event: StoreEvent): void {
		this.#events.push(event);
		this.#wakeAll();
	}

	#wakeAll(): void {
		for (const wake of this.#waitingWatches) {
			wake();
		}
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(request.url ?? '/', 'http://store');
		this.calls.push(`${request.method} ${request.url}`);
		if (this.#isUnanswered(request)) {
			return;
		}

		if (this.era !== undefined) {
			response.setHeader('store-era', String(this.era));
		}

		if (this.trouble === 'slow') {
			// An answer that is no longer awaited must not keep the process alive.
			await new Promise(resolve => {
				setTimeout(resolve, slowAnswerDelay).unref();
			});
		}

		if (this.trouble === 'busy') {
			response.writeHead(503).end();
			return;
		}

		const [kind, name] = url.pathname.split('/').slice(3);
		if (request.method === 'GET') {
			const watched = url.searchParams.get('watch');
			if (watched === null) {
				this.#list(kind, url, response);
				return;
			}

			await this.#watch(url, request, response);
			return;
		}

		await this.#write(kind, name, request, response);
	}

	async #write(kind: string, name: string | undefined, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = JSON.parse(await readText(request)) as {metadata: {name: string}; spec: unknown};
		const target = name ?? body.metadata.name;
		if (name === undefined && this.#getObjects(kind).has(target)) {
			response.writeHead(409).end('{}');
			return;
		}

		this.#store(kind, target, body.spec);
		if (this.trouble === 'lossy' && this.#revision % 2 === 0) {
			return;
		}

		this.#send(response, this.#getObjects(kind).get(target));
	}

	/** Writes an object; one that changes only the heartbeat sequence gets no new revision and publishes no event. */
	#store(kind: string, name: string, spec: unknown): void {
		const before = this.#getObjects(kind).get(name);
		if (before !== undefined && JSON.stringify({...before.spec as Record<string, unknown>, sequence: 0}) === JSON.stringify({...spec as Record<string, unknown>, sequence: 0})) {
			before.spec = spec;
			return;
		}

		this.put(kind, name, spec);
	}

	#list(kind: string, url: URL, response: ServerResponse): void {
		const after = url.searchParams.get('sinceRevision') ?? '';
		const objects = [...this.#getObjects(kind).values()]
			.sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1)
			.filter(object => object.metadata.name > after);
		this.#send(response, {items: objects.slice(0, this.pageSize), more: objects.length > this.pageSize, at: this.#revision});
	}

	/** Whether the request stays unanswered; its connection stays silent after the fault has ended. */
	#isUnanswered({socket}: IncomingMessage): boolean {
		if (this.trouble === 'silent') {
			this.silenceConnection(socket);
		}

		return this.isSilenced(socket);
	}

	async #watch(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const [kind] = url.pathname.split('/').slice(3);
		const [revision, wait] = ['watch', 'waitMs'].map(field => Number(url.searchParams.get(field)));
		if (revision < this.#oldestRevision || revision > this.#revision) {
			response.writeHead(410).end('{}');
			return;
		}

		const find = () => this.#events.filter(event => event.kind === kind && event.revision > revision);
		if (find().length === 0) {
			this.#watchedKinds.set(request.socket, kind);
			const until = Date.now() + wait;
			do {
				await this.#waitForEvent(until - Date.now());
			} while (find().length === 0 && Date.now() < until && revision >= this.#oldestRevision && this.trouble === 'none');

			this.#watchedKinds.delete(request.socket);
		}

		if (this.#isUnanswered(request)) {
			return;
		}

		if (revision < this.#oldestRevision) {
			response.writeHead(410).end('{}');
			return;
		}

		this.#send(response, {events: find().map(event => ({object: event.object, gone: event.gone})), at: this.#revision});
	}

	#send(response: ServerResponse, value: unknown): void {
		let text = JSON.stringify(value);
		for (const [name, raw] of this.rawTexts) {
			text = text.replaceAll(`"${name}"`, () => raw);
		}

		response.writeHead(200, {'content-type': 'application/json'});
		response.end(text);
	}

	async #waitForEvent(wait: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#waitingWatches.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, wait);
			this.#waitingWatches.add(finish);
		});
	}
}

/** A request as a server received it. */
export type ReceivedRequest = {
	method: string;
	url: string;
	headers: Record<string, string | undefined>;
	body: string;
};

/** How a server handles a request. */
export type ServerBehaviour = (request: ReceivedRequest, response: ServerResponse, socket: Socket) => void | Promise<void>;

/** A model server with a scripted behaviour, which records the requests it receives. */
export class StandinServer extends LoopbackServer {
	readonly receivedRequests: ReceivedRequest[] = [];
	/** Number of requests whose client disconnected before the answer ended. */
	abandonedCount = 0;
	behaviour: ServerBehaviour;

	constructor(behaviour: ServerBehaviour = createTextAnswer('ok')) {
		super(async (request, response) => this.#answer(request, response));
		this.behaviour = behaviour;
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const seen = {
			method: request.method ?? '', url: request.url ?? '', headers: request.headers as Record<string, string | undefined>, body: await readText(request),
		};
		if (this.isSilenced(request.socket)) {
			return;
		}

		this.receivedRequests.push(seen);
		response.once('close', () => {
			this.abandonedCount += response.writableEnded ? 0 : 1;
		});
		await this.behaviour(seen, response, request.socket);
	}
}

/** Creates the header fields of a genuine answer. */
export function createAnswerHeaders(request: ReceivedRequest): Record<string, string> {
	return {'cresshook-attempt-id': request.headers['cresshook-attempt-id'] ?? '', 'cresshook-response-seal': 'seal'};
}

/** Creates a behaviour that answers with a complete body. */
export function createTextAnswer(text: string, status = 200): ServerBehaviour {
	return (request, response) => {
		response.writeHead(status, {...createAnswerHeaders(request), 'content-length': String(text.length)});
		response.end(text);
	};
}

/** Declines a request: answers that it did not run. */
export const decline: ServerBehaviour = (request, response) => {
	response.writeHead(503, {'cresshook-attempt-id': request.headers['cresshook-attempt-id'] ?? '', 'cresshook-not-executed': '1'});
	response.end();
};

/** Formats an event as runners do. */
export function formatEvent(id: number): string {
	return `id: ${id}\ndata: piece ${id}\n\n`;
}

/** Creates a behaviour that streams the events after the caller's last one up to `last`, and disconnects within the event after `breakAfter`. */
export function streamEvents(last: number, breakAfter = Infinity): ServerBehaviour {
	return (request, response, socket) => {
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= last; id++) {
			if (id > breakAfter) {
				response.write(`id: ${id}\ndata: pi`);
				setTimeout(() => socket.resetAndDestroy(), 10);
				return;
			}

			response.write(formatEvent(id));
		}

		response.end();
	};
}

async function readText(request: IncomingMessage): Promise<string> {
	let text = '';
	for await (const chunk of request) {
		text += String(chunk);
	}

	return text;
}
