import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {systemClock} from '../src/common/index.js';
import {BackendExchange} from '../src/gateway/calls/backend-exchange.js';
import {BackendPool} from '../src/gateway/calls/backend-pool.js';
import {PeerClients} from '../src/gateway/peers/peer-rpc.js';
import {waitUntil} from './helpers/gateways.js';
import {LoopbackServer} from './helpers/platform-standins.js';

/** Number of idle connections that are made silent. */
const keptConnections = 4;

/** Delay of an answer, in milliseconds: long enough that concurrent requests use a connection each. */
const answerTime = 30;

/** Answers every request, except on connections that were made silent. */
class SilenceableServer extends LoopbackServer {
	constructor() {
		super(async (request, response) => {
			await new Promise(resolve => {
				setTimeout(resolve, answerTime);
			});
			if (!this.isSilenced(request.socket)) {
				response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify({result: {data: true}}));
			}
		});
	}
}

let server: SilenceableServer;

/** Additional servers of a test. */
let others: SilenceableServer[];

/** Waits until connections that have just answered are idle. */
async function waitForIdle(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, answerTime);
	});
}

/** Makes concurrent requests and silences their connections once these are idle. */
async function openConnections(ask: (timeout: number) => Promise<unknown>): Promise<void> {
	await Promise.all(Array.from({length: keptConnections}, async () => ask(1000)));
	await waitForIdle();
	expect(server.sockets.size).toBe(keptConnections);
	server.silenceConnections();
}

beforeEach(async () => {
	server = await new SilenceableServer().start();
	others = [];
});

afterEach(async () => {
	await Promise.all([server, ...others].map(async standin => standin.stop()));
});

// All pooled connections may die at once, without a reset, while new ones work. A call that found one of them dead left
// the others in the pool, and the next call waited for one of those.
test('a node that was silent on one connection is asked on a new one', async () => {
	const clients = new PeerClients(systemClock);
	const ask = async (timeout: number) => clients.ask(server.address, timeout, async (client, signal) =>
		client.adopt.mutate({
			service: 'app',
			plans: [],
			crashRecords: [],
			limits: [],
			history: {
				life: 'a', age: 0, known: 1, requests: [], retries: [], meanWorth: 0,
			},
		}, {signal}));
	await openConnections(ask);
	expect([await ask(200), await ask(1000)]).toEqual([undefined, true]);
	await clients.close();
});

test('requests to a node wait for one short timeout when all its connections fall silent, also twice in a row', async () => {
	const clients = new PeerClients(systemClock);
	const ask = async (timeout: number) => clients.ask(server.address, timeout, async (client, signal) =>
		client.grantRetry.mutate({
			requestId: 'id-1', service: 'app', node: 'a', promptTokens: 1,
		}, {signal}));
	const askTogether = async (timeout: number) => Promise.all(Array.from({length: keptConnections}, async () => ask(timeout)));
	for (const _ of [1, 2]) {
		await openConnections(ask);
		expect(await askTogether(90)).toEqual(Array.from({length: keptConnections}, () => undefined));
		expect(await askTogether(1000)).toEqual(Array.from({length: keptConnections}, () => true));
		await waitForIdle();
	}

	await clients.close();
});

/** Sends a request to a backend server; returns the status of its answer, or undefined when there is none in time. */
async function askServer(pool: BackendPool, address: string, timeout: number): Promise<number | undefined> {
	try {
		const answer = await pool.ask(address, {
			method: 'GET', path: '/', headers: {}, body: undefined,
		}, timeout);
		return answer.status;
	} catch {
		return undefined;
	}
}

test('a backend server that was silent on one connection is asked on a new one', async () => {
	const pool = new BackendPool(systemClock);
	const ask = async (timeout: number) => askServer(pool, server.address, timeout);
	await openConnections(ask);
	expect(await ask(200)).toBeUndefined();
	expect(await Promise.all([ask(1000), ask(1000), ask(1000)])).toEqual([200, 200, 200]);
	await pool.close();
});

// The connections to all servers died together. Each one was detected by a request that waited a second or more, so
// answers were late or lost for five seconds.
test('after a silent server others are asked on new connections, except those that have answered since', async () => {
	const pool = new BackendPool(systemClock);
	others = [await new SilenceableServer().start(), await new SilenceableServer().start()];
	await Promise.all([server, ...others].map(async ({address}) => askServer(pool, address, 1000)));
	const [silent, answering] = others;
	const keptSockets = [...answering.sockets];
	server.silenceConnections();
	silent.silenceConnections();
	const waiting = askServer(pool, server.address, 300);
	await askServer(pool, answering.address, 1000);
	expect(await waiting).toBeUndefined();
	expect(await askServer(pool, silent.address, 300)).toBe(200);
	expect([...answering.sockets]).toEqual(keptSockets);
	await pool.close();
});

// Guards against a request that a cut link has held up reaching its server after the cut: closing the connection would still deliver it.
test('the connection of a cancelled request without an answer is reset', async () => {
	const errors: string[] = [];
	const silent = await new LoopbackServer(async request => {
		request.socket.on('error', error => {
			errors.push((error as NodeJS.ErrnoException).code ?? '');
		});
	}).start();
	const pool = new BackendPool(systemClock);
	const exchange = new BackendExchange({
		onHead() {}, onData() {}, onEnd() {}, onError() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	pool.dispatch(silent.address, {
		method: 'POST', path: '/', headers: {}, body: 'x',
	}, exchange);
	await waitUntil(() => exchange.wasSent && silent.sockets.size > 0);
	await waitForIdle();
	exchange.abort();
	await waitForIdle();
	await pool.close();
	await silent.stop();
	expect(errors).toEqual(['ECONNRESET']);
});
