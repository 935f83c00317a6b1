// What a stopping node does with the requests that it has, and with those that still reach it.
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {CallWire} from '../platform/index.js';
import {createSilentLogger, OpenRequests, systemClock} from '../src/common/index.js';
import type {BackendExchange, Placer} from '../src/gateway/calls/index.js';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {openCallersServer, type OpenServer} from '../src/gateway/servers.js';
import {RelayService, type LinkedPool} from '../src/gateway/links/index.js';
import {formatRelayRequest, readRelayOutcome} from '../src/gateway/links/relay-wire.js';
import type {BackendServer} from '../src/routing/index.js';
import {
	createConfig, findFreePorts, GatewayFleet, send, waitUntil,
} from './helpers/gateways.js';
import {
	createAnswerHeaders, createTextAnswer, formatEvent, LoopbackServer, type ServerBehaviour,
} from './helpers/platform-standins.js';
import {processHost} from './helpers/process-host.js';

const testTimeout = 20_000;

/** Times after SIGTERM, in milliseconds: a node accepts calls until the first and cuts them off at the second. */
const acceptTime = 1000;
const cutOffTime = 3600;

const eventGap = 100;

/** Length of an answer that the system's buffers do not take whole, in bytes. */
const unsentLength = 12_000_000;

let fleet: GatewayFleet;
/** Time for which new streams go on, in milliseconds. */
let streamTime: number;
/** Paths of the requests that servers began to run, in order. */
let runs: string[];
const sockets: Socket[] = [];
const servers: OpenServer[] = [];

const answer: ServerBehaviour = async (request, response) => {
	runs.push(request.url);
	if (request.url.startsWith('/once/silent')) {
		return;
	}

	if (!request.url.startsWith('/stream/')) {
		await createTextAnswer('ok')(request, response, response.socket!);
		return;
	}

	response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
	const eventCount = streamTime / eventGap;
	for (let id = 1; id <= eventCount; id++) {
		response.write(formatEvent(id));
		await sleep(eventGap);
	}

	response.end();
};

beforeEach(async () => {
	fleet = new GatewayFleet();
	streamTime = 2000;
	runs = [];
	await fleet.start({runners: [{service: 'app', behaviour: answer}, {service: 'model', behaviour: answer}]});
	const routes = createConfig(1).routes as Array<Record<string, unknown>>;
	fleet.store.put('config', 'main', createConfig(2, {routes: routes.map(route => ({...route, timeoutMs: 15_000, targetLatencyMs: 10_000}))}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
});

afterEach(async () => {
	for (const socket of sockets.splice(0)) {
		socket.destroy();
	}

	await Promise.all(servers.splice(0).map(async server => server.close()));
	await fleet.stop();
});

/** A connection that stays open as long as the node keeps it. */
class KeptConnection {
	received = '';
	isClosed = false;
	readonly #socket: Socket;

	constructor(address: string) {
		const [host, port] = address.split(':');
		this.#socket = connect(Number(port), host);
		sockets.push(this.#socket);
		this.#socket.on('data', chunk => {
			this.received += String(chunk);
		});
		this.#socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		this.#socket.once('close', () => {
			this.isClosed = true;
		});
	}

	/** Statuses of the answers received, in order. */
	get statuses(): number[] {
		return [...this.received.matchAll(/HTTP\/1\.1 (?<status>\d+)/gu)].map(match => Number(match.groups?.status));
	}

	/** Sends a request whose body has `length` bytes, of which `body` are sent now. */
	request(path: string, {body = '', length = 0} = {}): void {
		const fields = ['host: shop.example', 'authorization: Bearer secret-key', `cresshook-attempt-id: ${path}`, 'cresshook-deadline-ms: 15000', `content-length: ${length}`];
		this.write(`POST ${path} HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n${body}`);
	}

	write(text: string): void {
		this.#socket.write(text);
	}

	pause(): void {
		this.#socket.pause();
	}

	resume(): void {
		this.#socket.resume();
	}
}

function openConnection(): KeptConnection {
	return new KeptConnection(fleet.settings[0].listen.callers);
}

function occupyEventLoop(time: number): void {
	const until = performance.now() + time;
	while (performance.now() < until) {
		// Busy.
	}
}

/** Stops the node while streams run on two connections; returns when the first of them has ended. */
async function stopWhileStreaming(): Promise<{kept: KeptConnection; longer: KeptConnection; stopping: Promise<void>}> {
	const [kept, longer] = [openConnection(), openConnection()];
	kept.request('/stream/a');
	await waitUntil(() => kept.received.includes('piece 1\n'));
	streamTime = 2800;
	longer.request('/stream/b');
	await waitUntil(() => longer.received.includes('piece 1\n'));
	const stopping = fleet.gateways[0].stop();
	await waitUntil(() => kept.received.endsWith('0\r\n\r\n'));
	return {kept, longer, stopping};
}

// Such a request was passed on and cut off with its node.
test('a stopping node refuses a request on a connection that was busy when it stopped accepting', async () => {
	const {kept, stopping} = await stopWhileStreaming();
	kept.request('/once/silent');
	await stopping;
	expect(runs).toEqual(['/stream/a', '/stream/b']);
	expect([[200], [200, 503]]).toContainEqual(kept.statuses);
}, testTimeout);

test('a stopping node closes a connection that was busy when it stopped accepting once its answer has ended', async () => {
	const {kept, longer, stopping} = await stopWhileStreaming();
	await waitUntil(() => kept.isClosed, 500);
	expect(longer.isClosed).toBe(false);
	await stopping;
	expect(longer.received.endsWith('0\r\n\r\n')).toBe(true);
}, testTimeout);

// Their connections were closed without an answer when the node's time was over.
test('requests that wait in a stopping node get an answer that says that they have not run', async () => {
	streamTime = 20_000;
	const waiting = Array.from({length: 8}, async (_, index) => fleet.call({
		path: `/stream/${index}`,
		headers: {
			'cresshook-deadline-ms': '15000', 'cresshook-model': 'm', 'cresshook-token-usage': '150000,2400', 'cresshook-prompt-prefix': `${index}a:150000`,
		},
	}));
	await waitUntil(() => runs.length > 0);
	await sleep(200);
	const runsBefore = runs.length;
	await fleet.gateways[0].stop();
	const answers = await Promise.all(waiting);
	const unsent = answers.filter((_, index) => !runs.includes(`/stream/${index}`));
	expect(unsent.length).toBeGreaterThan(0);
	expect(unsent.map(({status, isComplete}) => [status, isComplete])).toEqual(unsent.map(() => [503, true]));
	expect(runs.length).toBeLessThanOrEqual(runsBefore + 1);
}, testTimeout);

test('a request that runs when the time of a stopping node is over gets an answer that says that it may have run', async () => {
	const running = fleet.call({path: '/once/silent', headers: {'cresshook-deadline-ms': '15000'}});
	await waitUntil(() => runs.length === 1);
	await fleet.gateways[0].stop();
	const {status, isComplete, body} = await running;
	expect([status, isComplete]).toEqual([502, true]);
	expect(JSON.parse(body)).toMatchObject({error: {code: 'backend_unconfirmed', ran: 'maybe'}});
}, testTimeout);

test('a stopping node waits for the body of a request that it has begun to read, and refuses it', async () => {
	const upload = openConnection();
	upload.request('/once/upload', {body: 'first half ', length: 22});
	await sleep(100);
	const stopping = fleet.gateways[0].stop();
	await sleep(acceptTime + 500);
	upload.write('second half');
	await waitUntil(() => upload.isClosed);
	await stopping;
	expect(upload.statuses).toEqual([503]);
	expect(runs).toEqual([]);
}, testTimeout);

test('a stopping node ends as soon as its last answer has been sent', async () => {
	const running = fleet.call({path: '/stream/a'});
	await waitUntil(() => runs.length === 1);
	const stoppedAt = performance.now();
	await fleet.gateways[0].stop();
	expect(performance.now() - stoppedAt).toBeLessThan(cutOffTime - 500);
	expect(await running).toMatchObject({status: 200, isComplete: true});
}, testTimeout);

/** Stops a node while it runs a stream, and calls it when it no longer accepts calls. */
async function callStoppingNode({gateways, settings}: GatewayFleet): Promise<Awaited<ReturnType<typeof send>>> {
	const {callers} = settings[0].listen;
	const running = send(callers, {path: '/stream/a'});
	await waitUntil(() => runs.length === 1);
	const stopping = gateways[0].stop();
	await sleep(acceptTime + 200);
	const refused = await send(callers, {path: '/once/late'});
	await stopping;
	expect(await running).toMatchObject({status: 200, isComplete: true});
	expect(runs).toEqual(['/stream/a']);
	return refused;
}

// Callers of a fleet that stops as a whole found refused connections only, and gave up.
test('a stopping node without a ready one beside it says when to return', async () => {
	const {status, isComplete, headers} = await callStoppingNode(fleet);
	expect([status, isComplete, headers.connection]).toEqual([503, true, 'close']);
	const untilCutOff = (cutOffTime - acceptTime) / 1000;
	expect(Number(headers['retry-after'])).toBeGreaterThan(untilCutOff - 1);
	expect(Number(headers['retry-after'])).toBeLessThanOrEqual(untilCutOff);
}, testTimeout);

test('a stopping node accepts no new connection while another node is ready', async () => {
	const pair = new GatewayFleet();
	await pair.start({nodes: 0, runners: [{service: 'model', behaviour: answer}]});
	await pair.startTogether(2);
	await waitUntil(() => pair.gateways.every(gateway => gateway.listReadyNodes().length === 2));
	const {status, isComplete} = await callStoppingNode(pair);
	await pair.stop();
	expect([status, isComplete]).toEqual([0, false]);
}, testTimeout);

test('a pipelined request behind the last answer of its connection is not run', async () => {
	streamTime = 500;
	const stopping = fleet.gateways[0].stop();
	const pipelined = openConnection();
	pipelined.request('/stream/a');
	pipelined.request('/once/b');
	await waitUntil(() => pipelined.isClosed);
	await stopping;
	expect([pipelined.statuses, runs]).toEqual([[200], ['/stream/a']]);
}, testTimeout);

test('pipelined requests are served in order while the connection is kept', async () => {
	streamTime = 300;
	const pipelined = openConnection();
	pipelined.request('/stream/a');
	pipelined.request('/once/b');
	await waitUntil(() => pipelined.statuses.length === 2);
	expect([pipelined.statuses, runs]).toEqual([[200, 200], ['/stream/a', '/once/b']]);
}, testTimeout);

// Their connections were reset, since their requests had not been read yet.
test.each([['a kept', 200], ['a new', 503]])('a node that is busy when it stops accepting answers a request that reached it before: %s connection', async (kind, status) => {
	const waiting = openConnection();
	if (kind === 'a kept') {
		waiting.request('/once/first');
		await waitUntil(() => waiting.statuses.length === 1);
	}

	const stopping = fleet.gateways[0].stop();
	await sleep(acceptTime - 100);
	const late = kind === 'a kept' ? waiting : openConnection();
	late.request('/once/late');
	occupyEventLoop(300);
	await waitUntil(() => late.isClosed);
	await stopping;
	expect(late.statuses.at(-1)).toBe(status);
	expect(runs.filter(path => path === '/once/late').length).toBe(status === 200 ? 1 : 0);
}, testTimeout);

// Node.js accepts one connection in each turn of the event loop, and those that were not accepted were reset.
test('a node that is busy when it stops accepting answers the requests of all connections that reached it before', async () => {
	const pair = new GatewayFleet();
	await pair.start({nodes: 0, runners: [{service: 'app', behaviour: answer}]});
	await pair.startTogether(2);
	await waitUntil(() => pair.gateways.every(gateway => gateway.listReadyNodes().length === 2));
	const stopping = pair.gateways[0].stop();
	await sleep(acceptTime - 100);
	const late = Array.from({length: 20}, (_, index) => {
		const connection = new KeptConnection(pair.settings[0].listen.callers);
		connection.request(`/once/late-${index}`);
		return connection;
	});
	occupyEventLoop(300);
	await waitUntil(() => late.every(({isClosed}) => isClosed));
	await Promise.all([stopping, pair.stop()]);
	expect(late.map(({statuses}) => statuses)).toEqual(late.map(() => [503]));
}, testTimeout);

/** Opens a callers' listener that answers each request except `/held` with `length` bytes at once. */
async function openAnsweringServer(length: number): Promise<OpenServer> {
	const [port] = await findFreePorts(1);
	const server = await openCallersServer(`${processHost}:${port}`, {
		clock: systemClock,
		openRequests: new OpenRequests(),
		wire: new CallWire(),
		isStopping: () => false,
		findBodyLimit: () => 1,
		findIdleTime: () => 5000,
		async serve(request, _body, sink) {
			runs.push(request.url!);
			if (request.url === '/held') {
				return;
			}

			sink.sendHead(200, {'content-length': String(length)}, true);
			sink.end('x'.repeat(length));
		},
	});
	servers.push(server);
	return server;
}

// A stop closed the connection of a slow caller in the middle of an answer that its server had ended.
test.each([
	['idle connections', (server: OpenServer['server']) => {
		server.closeIdleConnections();
	}],
	['the listener', (server: OpenServer['server']) => {
		server.close();
	}],
])('closing %s closes idle connections and leaves those with a request or an answer that has not been sent', async (_name, close) => {
	const server = await openAnsweringServer(unsentLength);
	const {address, port} = server.server.address() as AddressInfo;
	const [slow, idle, pipelined] = Array.from({length: 3}, () => new KeptConnection(`${address}:${port}`));
	idle.request('/idle');
	pipelined.request('/first');
	pipelined.request('/held');
	await waitUntil(() => idle.received.length > unsentLength && pipelined.received.length > unsentLength);
	slow.pause();
	slow.request('/slow');
	await waitUntil(() => runs.length === 4);
	close(server.server);
	await waitUntil(() => idle.isClosed);
	expect(pipelined.isClosed).toBe(false);
	slow.resume();
	await waitUntil(() => slow.received.length > unsentLength || slow.isClosed);
	expect(slow.received.length - slow.received.indexOf('x')).toBe(unsentLength);
}, testTimeout);

/** Opens a listener that forwards requests of other nodes to a server; `forward` stands for the connection to it. */
async function openRelay(forward: (exchange: BackendExchange) => void): Promise<{relays: RelayService; listener: LoopbackServer; request: ReturnType<typeof formatRelayRequest>}> {
	const server = {id: 'i-0', service: 'app'} as unknown as BackendServer;
	const relays = new RelayService({
		logger: createSilentLogger(),
		metrics: new GatewayMetrics(),
		wire: new CallWire(),
		pool: {
			monitor: {links: {isCut: () => false}},
			forward(_server: BackendServer, _request: unknown, exchange: BackendExchange) {
				forward(exchange);
			},
		} as unknown as LinkedPool,
		placer: {isResting: () => false, recordNotice() {}} as unknown as Placer, // eslint-disable-line @typescript-eslint/no-empty-function -- notices do not count here
		findUsableServer: () => server,
		findServer: () => server,
		isStopping: () => false,
	});
	const listener = await new LoopbackServer(async (request, response) => {
		relays.serve(request, undefined, response);
	}).start();
	const request = formatRelayRequest({
		server: server.id, method: 'POST', path: '/once/', headers: {}, body: undefined,
	}, 'request', 'fresh');
	return {relays, listener, request};
}

// The node that had passed it on took the closed connection for a request that may have run.
test('a stopping node says of a request that it forwards for another node that it was not sent', async () => {
	const {relays, listener, request} = await openRelay(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- a server that is never connected
	const forwarded = send(listener.address, {path: request.path, headers: request.headers as Record<string, string>});
	await waitUntil(() => relays.inProgress === 1);
	relays.stopNow();
	const {headers, isComplete} = await forwarded;
	await listener.stop();
	expect([readRelayOutcome(headers), isComplete]).toEqual(['declined', true]);
}, testTimeout);

// The node that had passed it on got a broken answer, although the server had ended it.
test('a stop of a forwarding node does not break off an answer that its server has ended', async () => {
	const {relays, listener, request} = await openRelay(exchange => {
		exchange.attach({wasReset: () => false, onDone() {}}); // eslint-disable-line @typescript-eslint/no-empty-function -- no pool
		exchange.onRequestStart({abort() {}} as never); // eslint-disable-line @typescript-eslint/no-empty-function -- nothing is aborted
		exchange.onResponseStart({} as never, 200, {'content-length': String(unsentLength)});
		exchange.onResponseData({} as never, new Uint8Array(unsentLength));
		exchange.onResponseEnd();
	});
	const reader = new KeptConnection(listener.address);
	reader.pause();
	const fields = Object.entries(request.headers).map(([name, value]) => `${name}: ${String(value)}\r\n`).join('');
	reader.write(`POST ${request.path} HTTP/1.1\r\nhost: x\r\n${fields}content-length: 0\r\n\r\n`);
	await waitUntil(() => relays.inProgress === 1);
	relays.stopNow();
	reader.resume();
	await waitUntil(() => reader.isClosed || reader.received.length > unsentLength);
	await listener.stop();
	expect(reader.received.length).toBeGreaterThan(unsentLength);
}, testTimeout);
