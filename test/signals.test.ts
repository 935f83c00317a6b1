// Signals at any moment of a gateway's life, and starts that fail, with the program as it is deployed.
import {readFileSync, writeFileSync} from 'node:fs';
import {createServer, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {
	createConfig, findFreePorts, send, waitUntil,
} from './helpers/gateways.js';
import {processHost} from './helpers/process-host.js';
import {
	createAnswerHeaders, formatEvent, StandinServer, StandinStore,
} from './helpers/platform-standins.js';

const testTimeout = 30_000;

/** Time from a signal to the end of a process without calls: its addresses are valid for a second. */
const stopLimit = 3000;

let program: GatewayProgram;
let store: StandinStore;
let server: StandinServer;

beforeAll(() => {
	program = new GatewayProgram();
}, testTimeout);

afterAll(() => {
	program.remove();
});

beforeEach(async () => {
	store = await new StandinStore().start();
	server = await new StandinServer(async (request, response) => {
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		for (let id = 1; id <= 20; id++) {
			response.write(formatEvent(id));
			await sleep(100);
		}

		response.end();
	}).start();
	store.put('config', 'main', createConfig(1));
	store.put('servers', 'i-0', {
		service: 'model', address: server.address, zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 1,
	});
});

afterEach(async () => {
	await program.killAll();
	await Promise.all([server.stop(), store.stop()]);
});

async function startWithStream(): Promise<{node: GatewayProcess; stream: ReturnType<typeof send>}> {
	const node = await program.start({storeAddress: store.address});
	const stream = send(node.callers, {path: '/stream/a'});
	await waitUntil(() => server.receivedRequests.length === 1);
	return {node, stream};
}

test('a second SIGTERM changes nothing about a stop', async () => {
	const {node, stream} = await startWithStream();
	node.signal('SIGTERM');
	await sleep(300);
	for (const signal of ['SIGTERM', 'SIGHUP', 'SIGINT'] as const) {
		node.signal(signal);
		await sleep(50);
	}

	expect(await stream).toMatchObject({status: 200, isComplete: true});
	expect(await node.waitForEnd(stopLimit)).toBe(0);
	expect(node.log.listEvents('signal_ignored').map(({signal}) => signal)).toEqual(['SIGTERM', 'SIGHUP', 'SIGINT']);
}, testTimeout);

test('a second SIGINT ends the process at once', async () => {
	const {node, stream} = await startWithStream();
	node.signal('SIGINT');
	await sleep(100);
	node.signal('SIGINT');
	expect(await node.waitForEnd(500)).toBe(1);
	expect(await stream).toMatchObject({isComplete: false});
}, testTimeout);

test.each([0, 20, 40, 60, 100, 200])('SIGHUP %i ms after a start has begun does not end the process', async delay => {
	const node = await program.spawn({storeAddress: store.address});
	await node.waitUntilListening();
	await sleep(delay);
	node.signal('SIGHUP');
	await node.waitUntilReady();
	await sleep(200);
	expect(node.end).toBeUndefined();
}, testTimeout);

test.each([0, 50, 100, 200])('SIGTERM %i ms after a start has begun ends the process in order', async delay => {
	const node = await program.spawn({storeAddress: store.address});
	await node.waitUntilListening();
	await sleep(delay);
	const call = send(node.callers, {path: '/stream/a'});
	await sleep(20);
	node.signal('SIGTERM');
	expect(await node.waitForEnd(stopLimit + 2000)).toBe(0);
	const {status, isComplete} = await call;
	// A connection that the listener had not accepted yet is refused.
	expect([[200, true], [503, true], [0, false]]).toContainEqual([status, isComplete]);
}, testTimeout);

const listeners: Array<[name: string, port: number]> = [['callers', 0], ['ready', 1], ['addresses', 2], ['peers', 3], ['metrics', 5]];

test.each(listeners)('a start ends within a second when the port for %s is taken', async (_name, index) => {
	const ports = await findFreePorts(6);
	const taken: Server = createServer();
	await new Promise<void>(resolve => {
		taken.listen(ports[index], processHost, resolve);
	});
	const node = await program.spawn({storeAddress: store.address, ports});
	await waitUntil(() => node.log.listEvents('start_failed').length === 1 || node.end !== undefined);
	expect(await node.waitForEnd(1000)).toBe(1);
	taken.close();
}, testTimeout);

// The process ended with code 2, as for a file that stays invalid.
test('a start whose settings file is empty while it is rewritten reads it again', async () => {
	const node = await program.spawn({storeAddress: store.address});
	const text = readFileSync(node.settingsFile, 'utf8');
	writeFileSync(node.settingsFile, '');
	await sleep(300);
	writeFileSync(node.settingsFile, text);
	await node.waitUntilReady();
}, testTimeout);

test('a start whose settings file stays invalid ends with its problems', async () => {
	const node = await program.spawn({storeAddress: store.address});
	writeFileSync(node.settingsFile, 'box = ');
	expect(await node.waitForEnd(testTimeout / 2)).toBe(2);
}, testTimeout);
