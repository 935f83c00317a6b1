/** Servers whose answers do not end, and the requests that run beside them. */
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import type {GatewayProcess, GatewayProgram} from './gateway-process.js';
import {createConfig, engineSpec} from './gateways.js';
import {
	createAnswerHeaders, StandinServer, StandinStore, streamEvents, type ReceivedRequest,
} from './platform-standins.js';

/** Time of every route, and time after it within which a request must have its outcome, in milliseconds. */
export const routeTime = 2500;
const outcomeSlack = 500;

/** Time within which a request that meets no flood is answered, in milliseconds. */
const soundTime = 500;

/** Time within which the connection of a flood is closed after its request has ended, in milliseconds. */
const closeTime = 500;

/** Size of a write of an unpaced flood, in bytes. */
const blockSize = 65_536;

/** Resolution at which delays of this process's own event loop are known, in milliseconds. */
const ownDelayResolution = 1;

/** Time between two floods that run at once, in milliseconds. */
const floodInterval = 25;

/** Requests before a run, and time between two of them in milliseconds: the first requests of a process take longer. */
const warmUpRequests = 150;
const warmUpInterval = 8;

/** Number of requests that a server runs at once. */
const slots = 100;

export type Path = '/stream/' | '/once/' | '/again/';

/** Path of half of the requests beside floods. */
const otherPaths: Record<Path, Path> = {'/stream/': '/again/', '/once/': '/stream/', '/again/': '/stream/'};

/** An answer that does not end. */
export type Flood = {
	path: Path;
	/** Where the repeated bytes begin: in place of the answer, after its status line, or as its body. */
	place: 'start' | 'head' | 'body';
	isChunked?: boolean;
	/** Bytes that are sent once, before the others. */
	first?: string;
	/** Bytes that are repeated. */
	unit: string;
	/** Bytes in a millisecond; as many as are read when undefined. */
	rate?: number;
};

/** A caller; one that is slow reads `rate` bytes in a millisecond, and one that leaves closes its connection. */
export type Caller = {rate?: number; leavesAfter?: number};

/** How a request ended. */
export type Outcome = {
	id: string;
	path: Path;
	isFlooded: boolean;
	leavesAfter: number | undefined;
	status: number;
	isComplete: boolean;
	/** Time until the answer was complete or the connection closed, in milliseconds; infinite when neither happened. */
	took: number;
	endedAt: number;
};

/** The requests of a run, and how the node stood it. */
export type FloodResult = {
	outcomes: Outcome[];
	/** Longest time without an answer of the readiness check, in milliseconds. */
	longestBlock: number;
	/** Requests that met no flood and were not answered in time, and requests that ended past the time of their route. */
	troubled: Outcome[];
	/** Number of floods, and how many of their connections were open too long after their request. */
	floods: number;
	leftOpen: number;
	/** Largest resident memory of the node, in mebibytes. */
	memory: number;
};

/** A run of requests. */
export type FloodRun = {
	flood: Flood;
	/** Number of requests, and time between two of them in milliseconds. */
	requests?: number;
	interval?: number;
	/** Number of requests at the flooding server of which one is answered with a flood. */
	every?: number;
	/** Number of requests that both servers flood, one after another from the start; no other request is flooded then. */
	atOnce?: number;
	caller?: Caller;
};

/** A node with two servers, one of which sends floods. */
export class FloodedNode {
	readonly #store = new StandinStore();
	readonly #servers = [new StandinServer(), new StandinServer()];
	readonly #flooded = new Map<string, Socket[]>();
	readonly #closedAt = new Map<Socket, number>();
	#run: FloodRun | undefined;
	#asked = 0;
	#floods = 0;
	#node!: GatewayProcess;

	get node(): GatewayProcess {
		return this.#node;
	}

	async start(program: GatewayProgram): Promise<this> {
		await this.#store.start();
		const {routes} = createConfig(1) as {routes: Array<Record<string, unknown>>};
		this.#store.put('config', 'main', createConfig(1, {
			routes: routes.map(route => ({...route, timeoutMs: routeTime, maxAttempts: 1})),
			services: [{name: 'model', maxConnections: 199, engine: {...engineSpec, slots}}, {name: 'app', maxConnections: 199}],
		}));
		for (const [index, server] of this.#servers.entries()) {
			await server.start();
			server.behaviour = async (request, response, socket) => {
				if (this.#claimFlood(request, index)) {
					await this.#flood(request, socket);
				} else if (request.url.startsWith('/stream/')) {
					await streamEvents(5)(request, response, socket);
				} else {
					response.writeHead(200, {...createAnswerHeaders(request), 'content-length': '2'});
					response.end('ok');
				}
			};

			for (const service of ['app', 'model']) {
				this.#store.put('servers', `i-${index}-${service}`, {
					service, address: server.address, zone: 'north', version: 'v1', slots, state: 'ready', coldRemainingMs: 0, sequence: 1,
				});
			}
		}

		this.#node = await program.start({storeAddress: this.#store.address});
		this.#run = {flood: {path: '/stream/', place: 'start', unit: ''}, every: Infinity};
		await runPaced(warmUpRequests, warmUpInterval, index => {
			void this.#ask(`w${index}`, index % 2 === 0 ? '/stream/' : '/again/');
		});
		return this;
	}

	async stop(): Promise<void> {
		await this.#node.kill();
		await Promise.all([...this.#servers, this.#store].map(async standin => standin.stop()));
	}

	/** Sends requests to the node while one of its servers floods some of them. */
	async play(run: FloodRun): Promise<FloodResult> {
		this.#run = run;
		this.#asked = 0;
		this.#floods = 0;
		this.#flooded.clear();
		const {requests = 160, interval = 25, atOnce} = run;
		let isOver = false;
		let memory = 0;
		const measured = this.#measureLongestBlock(() => {
			memory = Math.max(memory, this.#node.readMemory());
			return isOver;
		});
		const sent: Array<Promise<Outcome>> = [];
		await Promise.all([
			runPaced(atOnce ?? 0, floodInterval, index => sent.push(this.#ask(`flood${index}`, run.flood.path))),
			runPaced(requests, interval, index => sent.push(this.#ask(`r${index}`, index % 2 === 0 ? run.flood.path : otherPaths[run.flood.path]))),
		]);

		const outcomes = await Promise.all(sent);
		await sleep(closeTime);
		isOver = true;
		const longestBlock = await measured;
		const troubled = outcomes.filter(({isFlooded, leavesAfter, status, isComplete, took}) =>
			took > routeTime + outcomeSlack || (!isFlooded && leavesAfter === undefined && !(status === 200 && isComplete && took < soundTime)));
		const leftOpen = outcomes.flatMap(({id, endedAt}) => (this.#flooded.get(id) ?? []).filter(socket => (this.#closedAt.get(socket) ?? Infinity) > endedAt + closeTime)).length;
		return {
			outcomes, longestBlock, troubled, floods: this.#floods, leftOpen, memory,
		};
	}

	/** Returns the longest time for which the node answered no readiness check until `isOver` returned true, less what this process held its own event loop. */
	async #measureLongestBlock(isOver: () => boolean): Promise<number> {
		let longest = 0;
		while (!isOver()) {
			const own = monitorEventLoopDelay({resolution: ownDelayResolution});
			own.enable();
			const block = await this.#node.measureReadiness();
			own.disable();
			longest = Math.max(longest, block - Math.max(0, (own.max / 1e6) - ownDelayResolution));
		}

		return longest;
	}

	#claimFlood({url}: ReceivedRequest, index: number): boolean {
		const {flood, every = 6, atOnce} = this.#run!;
		const isClaimed = atOnce === undefined ? index === 1 && url.startsWith(flood.path) && ++this.#asked % every === 0 : url.includes('/flood');
		if (!isClaimed) {
			return false;
		}

		this.#floods++;
		return true;
	}

	async #flood(request: ReceivedRequest, socket: Socket): Promise<void> {
		const {flood} = this.#run!;
		const id = request.headers['cresshook-attempt-id']!;
		this.#flooded.set(id, [...this.#flooded.get(id) ?? [], socket]);
		socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		socket.once('close', () => {
			this.#closedAt.set(socket, performance.now());
		});
		const size = flood.rate === undefined ? blockSize : Math.min(blockSize, flood.rate * 10);
		const block = Buffer.from(formatUnit(flood).repeat(Math.max(1, Math.floor(size / formatUnit(flood).length))), 'latin1');
		socket.write(`${formatStart(flood, request)}${flood.first ?? ''}`, 'latin1');
		while (!socket.destroyed) {
			const canWriteMore = socket.write(block);
			if (flood.rate !== undefined) {
				await sleep(Math.max(1, block.length / flood.rate));
			}

			if (!canWriteMore) {
				await new Promise<void>(resolve => {
					socket.once('drain', resolve);
					socket.once('close', () => {
						resolve();
					});
				});
			}
		}
	}

	async #ask(id: string, path: Path): Promise<Outcome> {
		const [host, port] = this.#node.callers.split(':');
		const {rate, leavesAfter} = path === this.#run!.flood.path ? this.#run!.caller ?? {} : {};
		const sentAt = performance.now();
		let head = '';
		let tail = '';
		let hasEnded = false;
		const socket = connect(Number(port), host);
		const fields = ['host: shop.example', 'authorization: Bearer secret-key', `cresshook-attempt-id: ${id}`, `cresshook-deadline-ms: ${routeTime}`, 'connection: close', 'content-length: 0'];
		socket.write(`POST ${path}${id} HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`);
		socket.on('data', chunk => {
			head = head.length < 400 ? head + chunk.toString('latin1', 0, 400) : head;
			tail = `${tail}${chunk.toString('latin1', Math.max(0, chunk.length - 5))}`.slice(-5);
			if (rate !== undefined) {
				socket.pause();
				setTimeout(() => {
					socket.resume();
				}, chunk.length / rate);
			}
		});
		socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		const timer = setTimeout(() => {
			socket.destroy();
		}, leavesAfter ?? routeTime + (2 * outcomeSlack));
		await new Promise<void>(resolve => {
			socket.once('end', () => {
				hasEnded = true;
				resolve();
			});
			socket.once('close', () => {
				resolve();
			});
			socket.once('error', () => {
				hasEnded = true;
			});
		});
		clearTimeout(timer);
		socket.destroy();
		const endedAt = performance.now();
		const status = Number(head.split(' ')[1] ?? 0);
		return {
			id, path, isFlooded: this.#flooded.has(id), leavesAfter, status, isComplete: head.toLowerCase().includes('content-length') ? hasEnded : tail === '0\r\n\r\n',
			took: hasEnded || leavesAfter !== undefined ? endedAt - sentAt : Infinity, endedAt,
		};
	}
}

/** Calls an action several times, one time after the other. */
async function runPaced(count: number, interval: number, action: (index: number) => void): Promise<void> {
	const startedAt = performance.now();
	for (let index = 0; index < count; index++) {
		action(index);
		await sleep(startedAt + ((index + 1) * interval) - performance.now());
	}
}

function formatUnit({isChunked, place, unit}: Flood): string {
	return isChunked && place === 'body' ? `${unit.length.toString(16)}\r\n${unit}\r\n` : unit;
}

function formatStart({place, isChunked}: Flood, request: ReceivedRequest): string {
	if (place === 'start') {
		return '';
	}

	if (place === 'head') {
		return 'HTTP/1.1 200 OK\r\n';
	}

	const headers = {...createAnswerHeaders(request), 'content-type': 'text/event-stream', ...(isChunked ? {'transfer-encoding': 'chunked'} : {connection: 'close'})};
	return `HTTP/1.1 200 OK\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`;
}

