import {createServer, type AddressInfo} from 'node:net';
import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import {createSilentLogger, systemClock} from '../src/common/index.js';
import {Peers, PeerSocket} from '../src/gateway/peers/index.js';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {createConfig, findFreePorts, send} from './helpers/gateways.js';
import {
	createAnswerHeaders, StandinServer, StandinStore, streamEvents, type ServerBehaviour,
} from './helpers/platform-standins.js';
import {createPeer} from './helpers/peers.js';
import {processHost} from './helpers/process-host.js';

/** Timeout of tests with processes, in milliseconds. */
const processTimeout = 30_000;

/** Longest time for which a node may be blocked, in milliseconds: callers get their answer within it after their time is over. */
const maxBlock = 500;

const invalidHead = 'HTTP/1.1 000 OK\r\ncontent-length: 2\r\n\r\nok';

/** Writes an answer whose status line has no valid status. */
const answerInvalidStatus: ServerBehaviour = (_request, _response, socket) => {
	socket.write(invalidHead);
};

let program: GatewayProgram;
let store: StandinStore;
let servers: StandinServer[];
let node: GatewayProcess;

beforeAll(() => {
	program = new GatewayProgram();
}, processTimeout);

afterAll(() => {
	program.remove();
});

beforeEach(async () => {
	store = await new StandinStore().start();
	store.put('config', 'main', createConfig(1));
	const services = ['app', 'model', 'model'];
	servers = await Promise.all(services.map(async () => new StandinServer().start()));
	for (const [index, service] of services.entries()) {
		store.put('servers', `i-${index}`, {
			service, address: servers[index].address, zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 1,
		});
	}
}, processTimeout);

afterEach(async () => {
	await program.killAll();
	await Promise.all([...servers, store].map(async standin => standin.stop()));
});

/** Returns the longest time for which the node was blocked during an action, and the result of the action. */
async function measureBlock<Result>(action: () => Promise<Result>): Promise<{block: number; result: Result}> {
	let isOver = false;
	const measured = node.measureLongestBlock(() => isOver);
	const result = await action();
	isOver = true;
	return {block: await measured, result};
}

async function pause(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

// A failed assertion of the HTTP client made Node.js parse the minified bundle for seconds.
test('an invalid status line of a server does not block a node', async () => {
	node = await program.start({storeAddress: store.address});
	servers[0].behaviour = answerInvalidStatus;
	const {block, result} = await measureBlock(async () => send(node.callers, {path: '/once/a'}));
	expect(result.status).toBe(502);
	expect(block).toBeLessThan(maxBlock);
}, processTimeout);

test('an invalid status line of the store does not block a node', async () => {
	node = await program.start({storeAddress: store.address});
	store.server.removeAllListeners('request');
	store.server.on('request', ({socket}) => {
		socket.write(invalidHead);
	});
	const {block} = await measureBlock(async () => {
		for (const socket of store.sockets) {
			socket.destroy();
		}

		await pause(3000);
	});
	expect(block).toBeLessThan(maxBlock);
	const answer = await send(node.callers, {path: '/once/a'});
	expect(answer.status).toBe(200);
}, processTimeout);

test('an invalid status line of an answer to a memory order does not block a node', async () => {
	const routes = createConfig(1).routes as Array<Record<string, unknown>>;
	store.put('config', 'main', createConfig(2, {routes: routes.map(route => ({...route, timeoutMs: 60_000, targetLatencyMs: 30_000}))}));
	node = await program.start({storeAddress: store.address});
	const orders: string[] = [];
	for (const server of servers) {
		server.behaviour = async (request, response, socket) => {
			if (request.url === '/v1/order') {
				orders.push(request.body);
				return answerInvalidStatus(request, response, socket);
			}

			return streamEvents(3)(request, response, socket);
		};
	}

	const {block} = await measureBlock(async () => send(node.callers, {
		path: '/stream/a', abortAfter: 3000, headers: {
			'cresshook-model': 'm', 'cresshook-token-usage': '400000,80', 'cresshook-prompt-prefix': '0001:400000', 'cresshook-deadline-ms': '60000',
		},
	}));
	expect(orders).not.toHaveLength(0);
	expect(block).toBeLessThan(maxBlock);
}, processTimeout);

test('an invalid status line of another node does not block a node', async () => {
	let connections = 0;
	const otherNode = createServer(socket => {
		connections++;
		socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		socket.once('data', () => {
			socket.end(invalidHead);
		});
	});
	await new Promise<void>(resolve => {
		otherNode.listen(0, processHost, resolve);
	});
	const [heartbeatPort] = await findFreePorts(1);
	const beatAddress = `${processHost}:${heartbeatPort}`;
	const logger = createSilentLogger();
	const peers = new Peers({
		clock: systemClock,
		logger,
		self: () => createPeer('other', {life: 'other', beatAddress, peerAddress: `${processHost}:${(otherNode.address() as AddressInfo).port}`}),
		view: () => ({
			configVersion: 9, serversRevision: 99, serversDigest: 'other', sourceAges: {configuration: 0, servers: 0},
		}),
		random: Math.random,
	});
	const socket = new PeerSocket({
		clock: systemClock, logger, peers, host: processHost, port: heartbeatPort, onHeartbeat() {}, onPlanUpdate() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	const stopping = new AbortController();
	node = await program.start({storeAddress: store.address});
	peers.addCandidate(node.heartbeats);
	const {block} = await measureBlock(async () => {
		const running = socket.run(stopping.signal);
		await pause(3000);
		stopping.abort();
		await running;
	});
	otherNode.close();
	expect(connections).toBeGreaterThan(0);
	expect(block).toBeLessThan(maxBlock);
}, processTimeout);

/** Bodies of streams in HTTP chunks, each within the limits of an event and of a line. */
const costlyStreams: Array<[name: string, body: string]> = [
	['one long event in chunks of one byte', `6\r\ndata: \r\n${'1\r\nx\r\n'.repeat(1_000_000)}2\r\n\n\n\r\n0\r\n\r\n`],
	['one event of many short lines', `300000\r\n${'a\n'.repeat(0x30_00_00 / 2)}\r\n2\r\n\n\n\r\n0\r\n\r\n`],
	['one event of many short lines, a chunk each', `${'2\r\na\n\r\n'.repeat(500_000)}1\r\n\n\r\n0\r\n\r\n`],
	['many events of two bytes', `400000\r\n${'\n\n'.repeat(0x40_00_00 / 2)}\r\n0\r\n\r\n`],
];

// A connection was read for as long as it had data, within one turn of the event loop.
test.each(costlyStreams)('a stream with %s does not block a node', async (_name, body) => {
	node = await program.start({storeAddress: store.address});
	for (const server of servers) {
		server.behaviour = (request, _response, socket) => {
			const fields = Object.entries({...createAnswerHeaders(request), 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked'});
			socket.write(`HTTP/1.1 200 OK\r\n${fields.map(([field, value]) => `${field}: ${value}\r\n`).join('')}\r\n${body}`);
		};
	}

	const {block, result} = await measureBlock(async () => send(node.callers, {path: '/stream/a'}));
	expect(result.status).toBe(200);
	expect(block).toBeLessThan(maxBlock);
}, processTimeout);
