// Limits of the answers that a node reads.
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {ObjectStore} from '../platform/object-store.js';
import {systemClock} from '../src/common/index.js';
import {BackendPool} from '../src/gateway/calls/index.js';
import {PeerClients} from '../src/gateway/peers/index.js';
import {waitUntil} from './helpers/gateways.js';
import {LoopbackServer} from './helpers/platform-standins.js';

/** Bytes that the server sends at most, and those that a node may have read beyond its limit. */
const longest = 160 * 1024 * 1024;
const slack = 8 * 1024 * 1024;

const megabyte = 1024 * 1024;
const chunk = Buffer.alloc(megabyte, '[');

let server: LoopbackServer;
let sent: number;
let isClosed: boolean;

beforeEach(async () => {
	sent = 0;
	isClosed = false;
	server = await new LoopbackServer(async (_request, response) => {
		response.once('close', () => {
			isClosed = true;
		});
		response.writeHead(200, {'content-type': 'application/json'});
		while (!response.destroyed && sent < longest) {
			sent += chunk.length;
			if (!response.write(chunk)) {
				await sleep(1);
			}

			while (response.writableLength > megabyte && !response.destroyed) {
				await sleep(1);
			}
		}

		response.end();
	}).start();
});

afterEach(async () => {
	await server.stop();
});

test('an order or a report is given up when its answer is longer than a megabyte', async () => {
	const pool = new BackendPool(systemClock);
	await expect(pool.ask(server.address, {
		method: 'GET', path: '/v1/report', headers: {}, body: undefined,
	}, 5000)).rejects.toThrow('longer than');
	await waitUntil(() => isClosed);
	expect(sent).toBeLessThan(megabyte + slack);
	await pool.close();
});

test('a list of the store is given up when a page is longer than 32 megabytes', async () => {
	const store = new ObjectStore(server.address);
	const listed = await store.list('config', {signal: new AbortController().signal, isOnNewConnection: false, onData() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
	expect(listed.swap().extract()).toMatchObject({kind: 'unreachable'});
	await waitUntil(() => isClosed);
	expect(sent).toBeLessThan((32 * megabyte) + slack);
	await store.close();
});

test('a call to another node is given up when its answer is longer than 16 megabytes', async () => {
	const clients = new PeerClients(systemClock);
	const answer = await clients.ask(server.address, 5000, async (client, signal) => client.takeServers.query({revision: 1}, {signal}));
	expect(answer).toBeUndefined();
	await waitUntil(() => isClosed);
	expect(sent).toBeLessThan((16 * megabyte) + slack);
	await clients.close();
});
