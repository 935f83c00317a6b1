// Servers that end their answers in any way while their callers read at any rate, through the program as it is deployed.
import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, afterEach, beforeAll, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {createConfig} from './helpers/gateways.js';
import {createAnswerHeaders, StandinServer, StandinStore} from './helpers/platform-standins.js';

const seed = Number(process.env.SEED ?? 1);
const scriptCount = Number(process.env.SCRIPTS ?? 300);
const testTimeout = 60_000 + (scriptCount * 300);

/** Number of requests at a time. */
const concurrency = 24;

/** Time that a caller states, and slack until it must have an outcome, in milliseconds. */
const deadline = 1500;
const slack = 1000;

const extraAnswer = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra';

type Script = {
	path: '/stream/' | '/once/' | '/again/';
	framing: 'none' | 'length' | 'chunks';
	keepsAlive: boolean;
	/** Sizes of the pieces of the answer, in bytes. */
	pieces: number[];
	/** What the server does after its pieces; `whole` ends the answer as its framing says. */
	end: 'whole' | 'close' | 'reset' | 'halfClose' | 'silence' | 'extra';
	delay: number;
	/** Bytes that the caller reads per millisecond. */
	rate: number;
	/** Time after which the caller leaves, in milliseconds. */
	leavesAfter: number;
};

const scripts = fc.record<Script>({
	path: fc.constantFrom('/stream/', '/once/', '/again/'),
	framing: fc.constantFrom('none', 'none', 'length', 'chunks'),
	keepsAlive: fc.boolean(),
	pieces: fc.array(fc.oneof(fc.integer({min: 1, max: 2000}), fc.integer({min: 1, max: 300_000}), fc.constant(3_900_000)), {minLength: 1, maxLength: 3}),
	end: fc.constantFrom('whole', 'close', 'reset', 'reset', 'halfClose', 'silence', 'extra'),
	delay: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 400})),
	rate: fc.constantFrom(400, 4000, Infinity),
	leavesAfter: fc.oneof(fc.constant(Infinity), fc.constant(Infinity), fc.integer({min: 1, max: 1500})),
});

let program: GatewayProgram;
let store: StandinStore;
let server: StandinServer;
let played: Map<string, Script>;
/** Connections on which a server may still send more after a complete answer. */
const unfinished = new WeakSet<Socket>();
/** Scripts played on such a connection: what an earlier one sends late belongs to their answers, and nothing shows it where these have no length. */
const crossed = new Set<Script>();

beforeAll(() => {
	program = new GatewayProgram();
}, testTimeout);

afterAll(() => {
	program.remove();
});

afterEach(async () => {
	await program.killAll();
	await Promise.all([server.stop(), store.stop()]);
});

/** The pieces of an answer; those of a stream are events. */
function formatPieces({pieces, path}: Script): Uint8Array[] {
	return pieces.map((size, index) => Buffer.from(path === '/stream/' ? `id: ${index + 1}\ndata: ${'x'.repeat(size)}\n\n` : 'x'.repeat(size)));
}

async function play(script: Script, headers: Record<string, string>, socket: Socket): Promise<void> {
	const pieces = formatPieces(script);
	const {length} = Buffer.concat(pieces);
	const fields = {
		...headers,
		...(!script.keepsAlive && {connection: 'close'}),
		...(script.framing === 'length' && {'content-length': String(length + (isWhole(script) ? 0 : 1))}),
		...(script.framing === 'chunks' && {'transfer-encoding': 'chunked'}),
	};
	socket.write(`HTTP/1.1 200 OK\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`);
	for (const piece of pieces) {
		socket.write(script.framing === 'chunks' ? Buffer.concat([Buffer.from(`${piece.length.toString(16)}\r\n`), piece, Buffer.from('\r\n')]) : piece);
	}

	if (script.framing === 'chunks' && isWhole(script)) {
		socket.write('0\r\n\r\n');
	}

	if (unfinished.has(socket)) {
		crossed.add(script);
	}

	unfinished.add(socket);
	await sleep(script.delay);
	unfinished.delete(socket);
	switch (script.end) {
		case 'reset': {
			socket.resetAndDestroy();
			break;
		}

		case 'silence': {
			break;
		}

		case 'extra': {
			socket.end(extraAnswer);
			break;
		}

		case 'whole': {
			if (script.framing === 'none') {
				socket.end();
			}

			break;
		}

		case 'close': {
			socket.destroySoon();
			break;
		}

		case 'halfClose': {
			socket.end();
		}
	}
}

/** Whether the framing of an answer shows that it is whole; one without a length ends with its connection. */
function isWhole({framing, end}: Script): boolean {
	return end === 'whole' || end === 'extra' || (framing === 'none' && (end === 'close' || end === 'halfClose'));
}

/** The body of the answer; without a length, what follows the pieces belongs to it. */
function formatBody(script: Script): Uint8Array {
	return Buffer.concat([...formatPieces(script), ...(script.framing === 'none' && script.end === 'extra' ? [Buffer.from(extraAnswer)] : [])]);
}

type Outcome = {script: Script; received: string; isClosed: boolean; took: number};

async function ask(node: GatewayProcess, id: string, script: Script): Promise<Outcome> {
	const [host, port] = node.callers.split(':');
	const sentAt = performance.now();
	let received = '';
	let isClosed = false;
	const socket = connect(Number(port), host);
	const fields = ['host: shop.example', 'authorization: Bearer secret-key', `cresshook-attempt-id: ${id}`, `cresshook-deadline-ms: ${deadline}`, 'connection: close', 'content-length: 0'];
	socket.write(`POST ${script.path}${id} HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`);
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	socket.on('data', chunk => {
		received += chunk.toString('latin1');
		if (script.rate !== Infinity) {
			socket.pause();
			setTimeout(() => {
				socket.resume();
			}, chunk.length / script.rate);
		}
	});
	const closed = new Promise<void>(resolve => {
		socket.once('close', () => {
			isClosed = true;
			resolve();
		});
	});
	const limit = Math.min(script.leavesAfter, deadline + slack + (formatPieces(script).reduce((sum, piece) => sum + piece.length, 0) / script.rate));
	const timer = setTimeout(() => {
		socket.destroy();
	}, limit);
	await closed;
	clearTimeout(timer);
	const took = performance.now() - sentAt;
	return {
		script, received, isClosed: isClosed && took < limit, took,
	};
}

/** The body of an answer, and whether its framing shows that it is complete. */
function readAnswer(received: string): {status: number; body: string; isComplete: boolean} {
	const headEnd = received.indexOf('\r\n\r\n');
	const head = received.slice(0, Math.max(0, headEnd)).toLowerCase();
	const status = Number(head.split(' ')[1]);
	let rest = received.slice(headEnd + 4);
	const length = /^content-length: (?<length>\d+)$/mu.exec(head.replaceAll('\r', ''))?.groups?.length;
	if (length !== undefined) {
		return {status, body: rest, isComplete: rest.length === Number(length)};
	}

	if (!head.includes('transfer-encoding: chunked')) {
		return {status, body: rest, isComplete: false};
	}

	let body = '';
	for (;;) {
		const lineEnd = rest.indexOf('\r\n');
		const size = Number.parseInt(rest.slice(0, lineEnd), 16);
		if (lineEnd === -1 || Number.isNaN(size) || rest.length < lineEnd + size + 4) {
			return {status, body, isComplete: false};
		}

		if (size === 0) {
			return {status, body, isComplete: true};
		}

		body += rest.slice(lineEnd + 2, lineEnd + 2 + size);
		rest = rest.slice(lineEnd + size + 4);
	}
}

// An early end of an answer without a length, while its caller read slowly, ended the process of each node that met it.
test(`servers that end their answers in any way end no node: ${scriptCount} scripts, seed ${seed}`, async () => {
	played = new Map(fc.sample(scripts, {seed, numRuns: scriptCount}).map((script, index) => [`s${index}`, script]));
	server = await new StandinServer((request, _response, socket) => {
		socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		void play(played.get(request.url.split('/')[2])!, createAnswerHeaders(request), socket);
	}).start();
	store = await new StandinStore().start();
	const routes = createConfig(1).routes as Array<Record<string, unknown>>;
	store.put('config', 'main', createConfig(1, {routes: routes.map(route => ({...route, resumeStreams: false, maxAttempts: 1}))}));
	for (const service of ['app', 'model']) {
		store.put('servers', service, {
			service, address: server.address, zone: 'north', version: 'v1', slots: 64, state: 'ready', coldRemainingMs: 0, sequence: 1,
		});
	}

	const node = await program.start({storeAddress: store.address});
	const waiting = [...played];
	const outcomes: Outcome[] = [];
	await Promise.all(Array.from({length: concurrency}, async () => {
		for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
			outcomes.push(await ask(node, ...next));
		}
	}));
	expect(node.end).toBeUndefined();
	const late = outcomes.filter(({script, isClosed}) => script.leavesAfter === Infinity && !isClosed);
	expect(late.map(({script}) => script)).toEqual([]);
	const answered = outcomes.map(({script, received}) => ({script, ...readAnswer(received)})).filter(({status}) => status === 200);
	expect(answered.length).toBeGreaterThan(scriptCount / 4);
	const misleading = answered.filter(({script, body, isComplete}) => isComplete && !(crossed.has(script) && script.framing === 'none') && !(isWhole(script) && Buffer.from(body, 'latin1').equals(formatBody(script))));
	expect(misleading.map(({script}) => script)).toEqual([]);
}, testTimeout);
