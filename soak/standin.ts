/**
 * Stand-in process for the store of the platform or for one backend server.
 *
 * A backend server registers itself, sends heartbeats, and prints a line for each request
 * that it starts to run. SIGTERM drains it.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import process from 'node:process';
import {Command} from 'commander';
import {request as sendRequest} from 'undici';
import {LoopbackServer, StandinStore} from '../test/helpers/platform-standins.js';
import {
	countEvents, eventsHeader, formatEvent, formatText, isCrashing,
} from './answers.js';
import {sendFlood, type FloodKind} from './floods.js';
import {pause} from './link.js';

/** Time between two heartbeats of a server, in milliseconds. */
const heartbeatInterval = 400;

/** Number of missed heartbeats after which the store removes an entry. */
const missedHeartbeats = 3;

/** Host on which the servers and the store listen for the links of the soak. */
const linkedHost = '127.0.0.1';

/** Time that a draining server keeps serving, in milliseconds; well past the bound for new requests, so that violations are seen. */
const drainTime = 5000;

/** Number of concurrent requests that a server announces. */
const slots = 11;

/** Keep-alive timeout of idle connections, in milliseconds. */
const keepAliveTime = 4000;

/** Memory of a server in tokens. */
const memoryTokens = 315_000;

/** Time between two events of a stream, in milliseconds. */
const eventGap = 35;

/** Maximum processing time of a request without streaming, in milliseconds; long enough for faults to hit some in progress. */
const maxPlainTime = 300;

/** Share of requests that a flooding server answers with bytes without end. */
const floodShare = 0.15;

/** Time from the start of a crashing request to the crash, and time to flush the last line before it, in milliseconds. */
const crashAfter = 100;
const flushTime = 5;

function print(line: Record<string, unknown>): void {
	process.stdout.write(`${JSON.stringify(line)}\n`);
}

async function runStore(): Promise<void> {
	const store = await new StandinStore().start(0, linkedHost);
	print({address: store.address});
	const seen = new Map<string, {sequence: unknown; missed: number}>();
	setInterval(() => {
		expireEntries(store, seen);
	}, heartbeatInterval);
	for await (const line of readLines()) {
		const order = JSON.parse(line) as {trouble?: StandinStore['trouble']; forget?: boolean; evacuate?: string; endEvacuation?: string};
		store.trouble = order.trouble ?? store.trouble;
		if (order.forget === true) {
			store.forgetHistory();
		}

		if (order.evacuate !== undefined) {
			store.put('evacuations', order.evacuate, {});
			print({event: 'evacuated', zone: order.evacuate, at: Date.now()});
		}

		if (order.endEvacuation !== undefined) {
			store.remove('evacuations', order.endEvacuation);
			print({event: 'returned', zone: order.endEvacuation, at: Date.now()});
		}
	}
}

/** Removes entries that have missed three heartbeats in a row; called once per heartbeat interval. */
function expireEntries(store: StandinStore, seen: Map<string, {sequence: unknown; missed: number}>): void {
	for (const name of store.listNames('servers')) {
		// A foreign entry may have no sequence number, or may not be an object.
		const spec = store.get('servers', name);
		const sequence = typeof spec === 'object' && spec !== null && 'sequence' in spec ? spec.sequence : undefined;
		const before = seen.get(name);
		const missed = before !== undefined && before.sequence === sequence ? before.missed + 1 : 0;
		seen.set(name, {sequence, missed});
		if (missed >= missedHeartbeats) {
			store.remove('servers', name);
			seen.delete(name);
		}
	}
}

async function * readLines(): AsyncGenerator<string> {
	let rest = '';
	for await (const chunk of process.stdin) {
		const lines = (rest + String(chunk)).split('\n');
		rest = lines.pop()!;
		yield * lines;
	}
}

type ServerOptions = {id: string; born: string; service: string; zone: string; store: string; advertise: string; port: string};

/** A backend server that serves requests, manages memory reservations and registers itself. */
class SoakServer {
	readonly #options: ServerOptions;
	readonly #reservations = new Map<string, {tokens: number; until: number}>();
	#running = 0;
	#sequence = 0;
	#limit: number | undefined;
	#limitNamedAt: number | undefined;
	#flood: FloodKind | undefined;
	#isLeaving = false;

	constructor(options: ServerOptions) {
		this.#options = options;
	}

	async start(): Promise<void> {
		const listening = new LoopbackServer(async (request, response) => this.#answer(request, response));
		listening.server.keepAliveTimeout = keepAliveTime;
		await listening.start(Number(this.#options.port), linkedHost);
		print({address: listening.address});
		process.once('SIGTERM', () => {
			void this.#leave();
		});
		void this.#register();
		void this.#takeOrders();
	}

	async #takeOrders(): Promise<void> {
		for await (const line of readLines()) {
			const {limit = this.#limit, flood = this.#flood} = JSON.parse(line) as {limit?: number | 'none'; flood?: FloodKind | 'none'};
			this.#limitNamedAt = limit === this.#limit ? this.#limitNamedAt : undefined;
			this.#limit = limit === 'none' ? undefined : limit;
			this.#flood = flood === 'none' ? undefined : flood;
		}
	}

	async #register(): Promise<void> {
		for (;;) {
			await this.#writeEntry();
			await pause(heartbeatInterval);
		}
	}

	async #writeEntry(): Promise<boolean> {
		const {id, born, service, zone, store, advertise} = this.#options;
		const body = JSON.stringify({
			metadata: {name: id},
			spec: {
				service, address: advertise, zone, version: 'v1', slots, state: this.#isLeaving ? 'draining' : 'ready', coldRemainingMs: 0, sequence: ++this.#sequence, born: Number(born),
			},
		});
		try {
			// The entry of an earlier incarnation may still exist.
			const created = this.#sequence === 1 ? await this.#send(`http://${store}/v1/objects/servers`, 'POST', body) : undefined;
			return created === true || await this.#send(`http://${store}/v1/objects/servers/${id}`, 'PUT', body);
		} catch {
			// Store failures are injected; the next heartbeat retries.
			return false;
		}
	}

	async #send(target: string, method: 'POST' | 'PUT', body: string): Promise<boolean> {
		const answer = await sendRequest(target, {method, body, headersTimeout: 2000});
		await answer.body.dump();
		return answer.statusCode < 300;
	}

	async #leave(): Promise<void> {
		this.#isLeaving = true;
		while (!await this.#writeEntry()) {
			await pause(heartbeatInterval);
		}

		print({event: 'leaving', at: Date.now()});
		await pause(drainTime);
		while (this.#running > 0) {
			await pause(eventGap);
		}

		process.exit(0); // eslint-disable-line unicorn/no-process-exit -- the open server would keep the process alive
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await readBody(request);
		if (request.url === '/v1/order') {
			this.#takeOrder(JSON.parse(Buffer.from(body).toString()) as {op: string; id: string; tokens?: number; holdMs?: number}, response);
			return;
		}

		if (request.url === '/v1/report') {
			this.#expire();
			sendJson(response, 200, {tickets: [...this.#reservations.keys()].map(id => ({id}))});
			return;
		}

		await this.#serve(request, body, response);
	}

	#takeOrder(order: {op: string; id: string; tokens?: number; holdMs?: number}, response: ServerResponse): void {
		this.#expire();
		if (order.op === 'release') {
			this.#reservations.delete(order.id);
			sendJson(response, 200, {});
			return;
		}

		const others = [...this.#reservations].filter(([id]) => id !== order.id).reduce((sum, [, held]) => sum + held.tokens, 0);
		const tokens = order.tokens ?? 0;
		if (others + tokens > memoryTokens) {
			sendJson(response, 409, {free: memoryTokens - others});
			return;
		}

		this.#reservations.set(order.id, {tokens, until: Date.now() + (order.holdMs ?? 0)});
		sendJson(response, 200, {free: memoryTokens - others - tokens});
	}

	#expire(): void {
		for (const [id, {until}] of this.#reservations) {
			if (until < Date.now()) {
				this.#reservations.delete(id);
			}
		}
	}

	async #serve(request: IncomingMessage, body: Uint8Array, response: ServerResponse): Promise<void> {
		const id = String(request.headers['cresshook-attempt-id'] ?? '');
		const node = String(request.headers['x-soak-node'] ?? '');
		const head = {'cresshook-attempt-id': id, 'cresshook-response-seal': 'seal', ...this.#announceLimit(node)};
		const isOther = request.headers['cresshook-target-instance'] !== this.#options.id;
		if (isOther || this.#running >= slots * 2) {
			response.writeHead(isOther ? 421 : 503, {...head, 'cresshook-not-executed': '1', 'content-length': '0'});
			response.end();
			return;
		}

		this.#running++;
		print({
			event: 'run', id, at: Date.now(), service: this.#options.service, node,
		});
		if (isCrashing(body)) {
			await this.#crash(Buffer.from(body).toString(), node);
			return;
		}

		const text = formatText(id, body);
		try {
			if (this.#flood !== undefined && Math.random() < floodShare) {
				print({event: 'flood', id, at: Date.now()});
				await sendFlood(this.#flood, response, head);
				return;
			}

			await (request.headers['cresshook-token-usage'] === undefined
				? this.#sendWhole(response, head, `${text} ${this.#options.service}`)
				: this.#sendEvents(request, response, head, text));
			if (!response.destroyed) {
				print({event: 'done', id, at: Date.now()});
			}
		} finally {
			this.#running--;
		}
	}

	/** Prints an arrival and returns the header that announces the rate limit. */
	#announceLimit(node: string): Record<string, string> {
		if (this.#limit === undefined) {
			return {};
		}

		this.#limitNamedAt ??= Date.now();
		print({
			event: 'limited', at: Date.now(), node, limit: this.#limit, namedAt: this.#limitNamedAt,
		});
		return {'server-limit': String(this.#limit)};
	}

	/** Ends the process, even if the caller has disconnected. */
	async #crash(name: string, node: string): Promise<void> {
		print({
			event: 'crash', request: name, node, at: Date.now(), hasCrashed: false,
		});
		await pause(crashAfter);
		print({
			event: 'crash', request: name, node, at: Date.now(), hasCrashed: true,
		});
		await pause(flushTime);
		process.exit(1); // eslint-disable-line unicorn/no-process-exit -- simulates a crash
	}

	async #sendWhole(response: ServerResponse, head: Record<string, string>, text: string): Promise<void> {
		await pause(Math.random() * maxPlainTime);
		response.writeHead(200, {...head, 'content-length': String(text.length)});
		response.end(text);
	}

	async #sendEvents(request: IncomingMessage, response: ServerResponse, head: Record<string, string>, text: string): Promise<void> {
		response.writeHead(200, {...head, 'content-type': 'text/event-stream'});
		const asked = request.headers[eventsHeader];
		const last = asked === undefined ? countEvents(text) : Number(asked);
		for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= last && !response.destroyed; id++) {
			await pause(eventGap);
			response.write(formatEvent(id, text));
		}

		response.end();
	}
}

async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const pieces: Uint8Array[] = [];
	for await (const piece of request) {
		pieces.push(piece as Uint8Array);
	}

	return Buffer.concat(pieces);
}

function sendJson(response: ServerResponse, status: number, value: unknown): void {
	response.writeHead(status, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

async function main(): Promise<void> {
	const program = new Command('soak-standin');
	program.command('store').action(runStore);
	program.command('server')
		.requiredOption('--id <id>')
		.requiredOption('--born <milliseconds>')
		.requiredOption('--zone <zone>')
		.requiredOption('--service <service>')
		.requiredOption('--store <address>')
		.requiredOption('--advertise <address>')
		.option('--port <port>', 'port', '0')
		.action(async (options: ServerOptions) => {
			await new SoakServer(options).start();
		});
	await program.parseAsync(process.argv);
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- the bundle is CommonJS
