// Connections to other nodes that forward requests, after a request that no node could forward.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {
	createSilentLogger, systemClock, type AvailabilityZone, type BackendServerId, type BackendServerName, type BoxId, type ServiceName,
} from '../src/common/index.js';
import {BackendExchange, ServerDialer, type DialCallback} from '../src/gateway/calls/index.js';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {LinkedPool, type RelayPeers} from '../src/gateway/links/index.js';
import type {Peer} from '../src/gateway/peers/heartbeat.js';
import type {BackendServer} from '../src/routing/index.js';
import {waitUntil} from './helpers/gateways.js';
import {LoopbackServer} from './helpers/platform-standins.js';

/** A server that takes no connection. */
const server: BackendServer = {
	id: 'i-1' as BackendServerId,
	name: 'i-1' as BackendServerName,
	entryRevision: 1,
	service: 'app' as ServiceName,
	address: '127.0.0.1:1',
	availabilityZone: 'north' as AvailabilityZone,
	slots: 1,
	isLeaving: false,
};

class RefusingDialer extends ServerDialer {
	override dial(address: string, _timeout: number, callback: DialCallback): void {
		setImmediate(callback, new Error(`connect ECONNREFUSED ${address}`), null);
	}
}

let relay: LoopbackServer;
let pool: LinkedPool;
/** Number of requests that the other node was to forward; it answers the first one only. */
let relayed: number;

beforeEach(async () => {
	relayed = 0;
	relay = await new LoopbackServer(async (_request, response) => {
		relayed++;
		if (relayed === 1) {
			response.writeHead(502, {'relay-outcome': 'unreachable'});
			response.end('not reached');
		}
	}).start();
	const peer: Peer = {
		name: 'edge-1' as BoxId,
		life: 'a',
		availabilityZone: server.availabilityZone,
		callerAddress: '',
		peerAddress: relay.address,
		beatAddress: '',
		cores: 1,
		isReady: true,
		isSourceReachable: true,
		hearsSource: true,
	};
	pool = new LinkedPool({
		clock: systemClock,
		logger: createSilentLogger(),
		metrics: new GatewayMetrics(),
		dialer: new RefusingDialer(),
		relays: {isAvailable: true, list: () => [peer], record() {}} as unknown as RelayPeers, // eslint-disable-line @typescript-eslint/no-empty-function -- one node, whatever its record
		random: () => 0.5,
		findServer: () => server,
		listServers: () => [server],
		reportPath: '/report',
	});
});

afterEach(async () => {
	await Promise.all([pool.close(), relay.stop()]);
});

/** Sends a request; resolves to the error that ends it. */
async function send(): Promise<Error> {
	return new Promise(resolve => {
		const exchange = new BackendExchange({
			onHead() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- only errors count
			onData() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- only errors count
			onEnd() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- only errors count
			onError: resolve,
		});
		pool.dispatch(server.address, {
			server: server.id, method: 'POST', path: '/again/', headers: {}, body: 'x',
		}, exchange);
	});
}

// The connection was released twice: two requests got it, and closing it as an idle one cut off both.
test('requests after one that no node could forward do not share a connection', async () => {
	expect(await send()).toBeInstanceOf(Error);
	void send();
	void send();
	await waitUntil(() => relayed === 3, 1000);
	expect(relayed).toBe(3);
});
