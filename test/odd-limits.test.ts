// Limits of a configuration that no request could keep, with the program as it is deployed.
import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {createConfig, send} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createTextAnswer, StandinServer, StandinStore} from './helpers/platform-standins.js';

/** Timeout of tests with processes, in milliseconds. */
const processTimeout = 30_000;

/** Time within which a change must take effect, in milliseconds. */
const maxChangeTime = 2000;

let program: GatewayProgram;
let store: StandinStore;
let server: StandinServer;
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
	server = await new StandinServer(createTextAnswer('ok')).start();
	putServer('i-0', server.address);
	node = await program.start({storeAddress: store.address});
}, processTimeout);

afterEach(async () => {
	await program.killAll();
	await Promise.all([server, store].map(async standin => standin.stop()));
});

function putServer(name: string, address: string, changes: Record<string, unknown> = {}): void {
	store.put('servers', name, {
		service: 'app', address, zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 1, ...changes,
	});
}

async function callNode(path: string, count: number): Promise<number[]> {
	const statuses: number[] = [];
	for (let index = 0; index < count; index++) {
		try {
			const {status} = await send(node.callers, {path});
			statuses.push(status);
		} catch {
			statuses.push(0);
		}
	}

	return statuses;
}

// A negative limit reached the timers of sockets, and each request got 400.
test.each([
	[{idleTimeoutMs: -1}], [{idleTimeoutMs: 1e300}], [{idleTimeoutMs: 0.4}], [{headerTimeoutMs: -1}], [{headerTimeoutMs: 1e300}], [{maxBodyBytes: -1}],
])('a configuration with the limits %j does not end a node, and requests are served', async limits => {
	store.put('config', 'main', createConfig(2, {
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, ...limits,
		},
	}));
	await pause(maxChangeTime);
	const statuses = await callNode('/again/x', 5);
	expect([node.end, ...statuses]).toEqual([undefined, 200, 200, 200, 200, 200]);
}, processTimeout);
