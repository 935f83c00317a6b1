// Requests that crash every backend server that runs them, sent again by clients that disconnect early or switch nodes.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {
	formatEvent, createAnswerHeaders, type ServerBehaviour, type ReceivedRequest,
} from './helpers/platform-standins.js';

/** Timeout of tests with dozens of callers, in milliseconds. */
const testTimeout = 60_000;

/** Time for all nodes to receive a crash record, in milliseconds, and number of times the request may reach servers after that. */
const propagationTime = 3000;
const maxLateArrivals = 3;

/** Delay between the arrival of a crashing request and the crash, in milliseconds. */
const crashDelay = 150;

const nodes = 3;
const poison = 'poison';

let fleet: GatewayFleet;
/** Times at which the request crashed a server, and at which it reached one. */
let crashes: number[];
let arrivals: number[];
let isOver: boolean;
/** Whether the address of a crashed server still accepts connections, like that of a proxy. */
let isBehindProxy: boolean;

beforeEach(() => {
	fleet = new GatewayFleet();
	crashes = [];
	arrivals = [];
	isOver = false;
	isBehindProxy = false;
});

afterEach(async () => {
	isOver = true;
	await fleet.stop();
});

/** Streams six events in 300 ms; the `poison` request crashes the server even if its client has disconnected. */
function createCrashing(): ServerBehaviour {
	return async (request, response, socket) => {
		if (request.body === poison) {
			arrivals.push(Date.now());
			await pause(crashDelay);
			socket.destroy();
			crashServer(request);
			return;
		}

		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= 6 && !response.destroyed; id++) {
			response.write(formatEvent(id));
			await pause(50);
		}

		response.end();
	};
}

/** Crashes a server; its entry expires later, as on the platform. */
function crashServer({headers}: ReceivedRequest): void {
	const name = headers['cresshook-target-instance'] ?? '';
	if (isOver) {
		return;
	}

	crashes.push(Date.now());
	if (!isBehindProxy) {
		void fleet.runners[Number(name.slice(2))].stop();
	}

	setTimeout(() => {
		if (!isOver) {
			fleet.store.remove('servers', name);
			void fleet.addRunner('model', createCrashing());
		}
	}, 1500).unref();
}

async function startFleet(servers: number): Promise<void> {
	await fleet.start({nodes, runners: Array.from({length: servers}, () => ({service: 'model', behaviour: createCrashing()}))});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes));
}

async function sendStream(body: string, node: number, abortAfter?: number): Promise<number> {
	const {status} = await fleet.call({
		path: '/stream/', body, abortAfter, headers: {'cresshook-token-usage': '500,80'},
	}, node % fleet.settings.length);
	return status;
}

async function repeatUntil(end: number, gap: number, call: (attempt: number) => Promise<unknown>): Promise<void> {
	for (let attempt = 0; Date.now() < end; attempt++) {
		await call(attempt);
		await pause(gap);
	}
}

function countLateArrivals(): number {
	const third = crashes[2] ?? Infinity;
	return arrivals.filter(at => at > third + propagationTime).length;
}

test('rejects a request that crashed three servers after its client disconnected', async () => {
	await startFleet(8);
	await repeatUntil(Date.now() + 14_000, 300, async attempt => sendStream(poison, attempt, 60));
	expect(crashes.length).toBeGreaterThanOrEqual(3);
	expect(countLateArrivals()).toBeLessThanOrEqual(maxLateArrivals);
}, testTimeout);

test('rejects a request that crashed three servers after its client disconnected, under other load', async () => {
	await startFleet(8);
	const end = Date.now() + 14_000;
	const good = Array.from({length: 6}, async (_, index) => repeatUntil(end, 50, async attempt => sendStream(`good ${index}`, attempt)));
	await Promise.all([...good, repeatUntil(end, 300, async attempt => sendStream(poison, attempt, 60))]);
	expect(crashes.length).toBeGreaterThanOrEqual(3);
	expect(countLateArrivals()).toBeLessThanOrEqual(maxLateArrivals);
}, testTimeout);

test('rejects a request that crashed three servers behind proxies', async () => {
	isBehindProxy = true;
	await startFleet(8);
	await repeatUntil(Date.now() + 14_000, 300, async attempt => sendStream(poison, attempt));
	expect(crashes.length).toBeGreaterThanOrEqual(3);
	expect(countLateArrivals()).toBeLessThanOrEqual(maxLateArrivals);
}, testTimeout);

test('a node that joins after the crashes rejects the request when it is the only one left', async () => {
	await startFleet(6);
	await repeatUntil(Date.now() + 3000, 100, async attempt => sendStream(poison, attempt));
	const before = crashes.length;
	await fleet.addGateway();
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes + 1));
	await pause(2000);
	await Promise.all(fleet.gateways.splice(0, nodes).map(async gateway => gateway.close()));
	fleet.settings.splice(0, nodes);
	await pause(2000);
	const status = await sendStream(poison, 0);
	expect([status, crashes.length]).toEqual([503, before]);
}, testTimeout);
