// Limits of the answers that a node reads.
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {Agent} from 'undici';
import {ObjectStore} from '../platform/object-store.js';
import {EngineClient, type EngineEvent} from '../src/backends/index.js';
import {systemClock, type RequestId} from '../src/common/index.js';
import {BackendPool} from '../src/gateway/calls/index.js';
import {PeerClients} from '../src/gateway/peers/index.js';
import {waitUntil} from './helpers/gateways.js';
import {LoopbackServer} from './helpers/platform-standins.js';

/** Bytes that the server sends at most, and those that a node may have read beyond its limit. */
const longest = 160 * 1024 * 1024;
const slack = 8 * 1024 * 1024;

const megabyte = 1024 * 1024;

/** Longest event of an engine that is read, in bytes. */
const maxEngineBytes = 4 * megabyte;
const chunk = Buffer.alloc(megabyte, '[');

let server: LoopbackServer;
let sent: number;
let isClosed: boolean;
let status: number;

beforeEach(async () => {
	sent = 0;
	isClosed = false;
	status = 200;
	server = await new LoopbackServer(async (_request, response) => {
		response.once('close', () => {
			isClosed = true;
		});
		response.writeHead(status, {'content-type': 'application/json'});
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

/** Calls an engine whose answers do not end. */
const engineCalls: Array<[name: string, status: number, call: (engines: EngineClient, url: string) => Promise<unknown>]> = [
	['a list of requests', 200, async (engines, url) => {
		const listed = await engines.listRunning(url);
		return listed.isLeft();
	}],
	['an answer to a cancellation', 200, async (engines, url) => {
		const cancelled = await engines.cancel(url, 'r' as RequestId);
		return cancelled.isLeft();
	}],
	['a refusal', 503, async (engines, url) => {
		const started = await engines.startCompletion(createEngineCall(url));
		return started.isLeft();
	}],
	['an event', 200, async (engines, url) => {
		const started = await engines.startCompletion(createEngineCall(url));
		const batches = [];
		for await (const batch of started.extract() as AsyncIterable<EngineEvent[]>) {
			batches.push(batch);
		}

		return batches.length === 0;
	}],
];

function createEngineCall(url: string): Parameters<EngineClient['startCompletion']>[0] {
	return {
		url, path: '/v1/chat/completions', requestId: 'r' as RequestId, body: '{}', signal: new AbortController().signal,
	};
}

// A node kept what one engine sent until it had no memory left.
test.each(engineCalls)('%s of an engine that does not end is given up', async (_name, answered, call) => {
	status = answered;
	const agent = new Agent();
	expect(await call(new EngineClient(agent, systemClock), `http://${server.address}`)).toBe(true);
	await waitUntil(() => isClosed);
	expect(sent).toBeLessThan(maxEngineBytes + slack);
	await agent.destroy();
}, 20_000);
