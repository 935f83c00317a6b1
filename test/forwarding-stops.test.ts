// A node that stops while it forwards the requests of other nodes.
import {connect} from 'node:net';
import {expect, test} from '@jest/globals';
import {CallWire} from '../platform/index.js';
import {createSilentLogger} from '../src/common/index.js';
import type {BackendExchange, Placer} from '../src/gateway/calls/index.js';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {RelayService, type LinkedPool} from '../src/gateway/links/index.js';
import {formatRelayRequest} from '../src/gateway/links/relay-wire.js';
import type {BackendServer} from '../src/routing/index.js';
import {waitUntil} from './helpers/gateways.js';
import {LoopbackServer} from './helpers/platform-standins.js';

const testTimeout = 60_000;

/** Length of an answer that the system's buffers do not take whole, in bytes. */
const unsentLength = 12_000_000;

// The node that had passed it on got a broken answer, although the server had ended it.
test('a stop of a forwarding node does not break off an answer that its server has ended', async () => {
	const server = {id: 'i-0', service: 'app'} as unknown as BackendServer;
	const relays = new RelayService({
		logger: createSilentLogger(),
		metrics: new GatewayMetrics(),
		wire: new CallWire(),
		pool: {
			monitor: {links: {isCut: () => false}},
			forward(_server: BackendServer, _request: unknown, exchange: BackendExchange) {
				exchange.attach({wasReset: () => false, onDone() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
				exchange.onRequestStart({abort() {}} as never); // eslint-disable-line @typescript-eslint/no-empty-function
				exchange.onResponseStart({} as never, 200, {'content-length': String(unsentLength)});
				exchange.onResponseData({} as never, new Uint8Array(unsentLength));
				exchange.onResponseEnd();
			},
		} as unknown as LinkedPool,
		placer: {isResting: () => false, recordNotice() {}} as unknown as Placer, // eslint-disable-line @typescript-eslint/no-empty-function
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
	const [host, port] = listener.address.split(':');
	const socket = connect(Number(port), host);
	let received = 0;
	socket.on('data', chunk => {
		received += chunk.length;
	});
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	let isClosed = false;
	socket.once('close', () => {
		isClosed = true;
	});
	socket.pause();
	const fields = Object.entries(request.headers).map(([name, value]) => `${name}: ${String(value)}`);
	socket.write(`POST ${request.path} HTTP/1.1\r\nhost: x\r\n${fields.join('\r\n')}\r\ncontent-length: 0\r\n\r\n`);
	await waitUntil(() => relays.inProgress === 1);
	relays.stopNow();
	socket.resume();
	await waitUntil(() => isClosed || received > unsentLength);
	await listener.stop();
	expect(received).toBeGreaterThan(unsentLength);
}, testTimeout);
