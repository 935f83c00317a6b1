import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import {systemClock} from '../src/common/index.js';
import {CallerConnections} from '../src/gateway/caller-connections.js';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {createConfig, send, waitUntil} from './helpers/gateways.js';
import {createTextAnswer, StandinServer, StandinStore} from './helpers/platform-standins.js';
import {pause} from './helpers/pause.js';
import {processHost} from './helpers/process-host.js';

/** Timeout of tests with processes, in milliseconds. */
const processTimeout = 30_000;

/** Time limits of the configuration, in milliseconds. */
const limits = {
	maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 1000, idleTimeoutMs: 1000,
};

/** Number of connections that flood a node, and for how long, in milliseconds. */
const floodWidth = 20;
const floodTime = 1500;

/** Latest answer of a request beside a flood, in milliseconds. */
const maxDelay = 500;

/** Memory that floods may add to a node, in megabytes: the bodies that are read at the time, at their limit, and buffers. */
const maxAddedMemory = 64;

/** Time within which connections that send no request are closed, beyond the sum of their time limits, in milliseconds. */
const closeSlack = 2500;

const head = 'POST /once/ HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer secret-key\r\ncresshook-attempt-id: flood\r\n';
const chunked = `${head}transfer-encoding: chunked\r\n\r\n`;
const pipelined = `${head}content-length: 0\r\n\r\n`;

/** Bytes without end: what a connection begins with, and what it repeats. */
const floods: Array<[name: string, first: string, repeated: string]> = [
	['tiny header fields', head, 'x:1\r\n'],
	['empty header fields', head, 'x:\r\n'],
	['chunks of one byte', chunked, '1\r\nx\r\n'],
	['chunks of one byte with extensions', chunked, '1;a=b\r\nx\r\n'],
	['pipelined requests behind an answer that takes long', '', pipelined],
	['pipelined requests that are refused', '', 'GET / HTTP/1.1\r\nhost: x\r\n\r\n'],
	['blank lines', '', '\r\n'],
];

let program: GatewayProgram;
let store: StandinStore;
let server: StandinServer;
let node: GatewayProcess;
let flooders: Socket[];

beforeAll(() => {
	program = new GatewayProgram();
}, processTimeout);

afterAll(() => {
	program.remove();
});

beforeEach(async () => {
	flooders = [];
	store = await new StandinStore().start();
	store.put('config', 'main', createConfig(1, {limits}));
	server = await new StandinServer(async (...exchange) => exchange[0].url === '/once/' ? undefined : createTextAnswer('yes')(...exchange)).start();
	store.put('servers', 'i-0', {
		service: 'app', address: server.address, zone: 'north', version: 'v1', slots: 200, state: 'ready', coldRemainingMs: 0, sequence: 1,
	});
	node = await program.start({storeAddress: store.address});
}, processTimeout);

afterEach(async () => {
	stopFloods();
	await program.killAll();
	await Promise.all([server, store].map(async standin => standin.stop()));
});

/** Sends the same bytes again and again, as fast as they are read. */
function flood(address: string, first: string, repeated: string): void {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	flooders.push(socket);
	const bytes = Buffer.from(repeated.repeat(Math.ceil(65_536 / repeated.length)));
	const push = () => {
		if (socket.writable) {
			socket.write(bytes, push);
		}
	};

	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	socket.resume();
	socket.write(first);
	push();
}

function stopFloods(): void {
	for (const socket of flooders) {
		socket.destroy();
	}
}

// Each caller cost an object a chunk, and a turn of the event loop as many of them as were received.
test.each(floods)('callers that send %s without end do not hold up other callers', async (_name, first, repeated) => {
	const memoryBefore = node.readMemory();
	for (let index = 0; index < floodWidth; index++) {
		flood(node.callers, first, repeated);
	}

	let slowest = 0;
	let memory = 0;
	const statuses = new Set<number>();
	const end = performance.now() + floodTime;
	while (performance.now() < end) {
		const askedAt = performance.now();
		const {status} = await send(node.callers, {path: '/again/a', body: 'sound'});
		slowest = Math.max(slowest, performance.now() - askedAt);
		memory = Math.max(memory, node.readMemory());
		statuses.add(status);
	}

	stopFloods();
	expect(node.end).toBeUndefined();
	expect([...statuses]).toEqual([200]);
	expect(slowest).toBeLessThan(maxDelay);
	expect(memory - memoryBefore).toBeLessThan(maxAddedMemory);
}, processTimeout);

/** What a caller sends again and again at an interval of a fifth of the time limits. */
const trickles: Array<[name: string, first: string, repeated: string]> = [
	['a head', head, 'x'],
	['blank lines', '', '\r\n'],
	['blank lines after a request', pipelined.replace('/once/', '/again/'), '\r\n'],
	['nothing', '', ''],
];

test.each(trickles)('the connection of a caller that sends %s slowly is closed', async (_name, first, repeated) => {
	const [host, port] = node.callers.split(':');
	const socket = connect(Number(port), host);
	flooders.push(socket);
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	let isClosed = false;
	socket.once('close', () => {
		isClosed = true;
	});
	socket.resume();
	socket.write(first);
	const timer = setInterval(() => {
		if (socket.writable) {
			socket.write(repeated);
		}
	}, limits.headerTimeoutMs / 5);
	try {
		await waitUntil(() => isClosed, limits.headerTimeoutMs + limits.idleTimeoutMs + closeSlack);
	} finally {
		clearInterval(timer);
	}
}, processTimeout);

test('a request with more header fields than are read is refused', async () => {
	const answer = await send(node.callers, {path: '/again/a', headers: Object.fromEntries(Array.from({length: 1200}, (_, index) => [`x-${index}`, '1']))});
	expect(answer.status).toBe(431);
	expect(server.receivedRequests).toHaveLength(0);
});

/** Chunks that one turn of the event loop may handle for all connections together: 100 ms at 5 microseconds each. */
const maxChunksPerTurn = 20_000;

// Independent of the machine's speed.
test('chunks of one byte of a hundred connections are handled in many turns', async () => {
	const connections = new CallerConnections(systemClock);
	const listener: Server = createServer();
	connections.observe(listener);
	let chunks = 0;
	let chunksInTurn = 0;
	let mostInTurn = 0;
	listener.on('request', request => {
		request.on('data', () => {
			chunks++;
			chunksInTurn++;
			connections.recordChunk(request.socket);
		});
		request.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	});
	await new Promise<void>(resolve => {
		listener.listen(0, processHost, resolve);
	});
	let isOver = false;
	const countTurn = () => {
		mostInTurn = Math.max(mostInTurn, chunksInTurn);
		chunksInTurn = 0;
		if (!isOver) {
			setImmediate(countTurn);
		}
	};

	countTurn();
	for (let index = 0; index < 100; index++) {
		flood(`${processHost}:${(listener.address() as AddressInfo).port}`, chunked, '1\r\nx\r\n');
	}

	await waitUntil(() => chunks > 200_000);
	isOver = true;
	stopFloods();
	await pause(50);
	listener.close();
	listener.closeAllConnections();
	expect(mostInTurn).toBeLessThan(maxChunksPerTurn);
});

test('a body in chunks of one byte is read whole', async () => {
	const size = 200_000;
	server.behaviour = ({body}, response) => {
		response.end(String(body.length));
	};

	const [host, port] = node.callers.split(':');
	const socket = connect(Number(port), host);
	flooders.push(socket);
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.write(`${chunked.replace('/once/', '/again/')}${'1\r\nx\r\n'.repeat(size)}0\r\n\r\n`);
	await waitUntil(() => server.receivedRequests.length > 0);
	expect(server.receivedRequests[0].body).toHaveLength(size);
	await waitUntil(() => text.length > 0);
}, processTimeout);
