import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {CallWire} from '../platform/index.js';
import {
	createSilentLogger, systemClock, type BackendServerId, type RequestId,
} from '../src/common/index.js';
import {
	BackendPool, Reservations, type Lease, type RequestActivity,
} from '../src/gateway/calls/index.js';
import type {Plan} from '../src/planning/index.js';
import {waitUntil} from './helpers/gateways.js';
import {StandinServer} from './helpers/platform-standins.js';

/** Time within which unused memory must be released, in milliseconds: after that it counts as leaked. */
const freeWithin = 3500;

/** Lifetime of a reservation that is not renewed, in milliseconds. */
const holdFor = 3000;

/** Time for two renewals, with a margin, in milliseconds. */
const twoRenewals = 2200;

let runner: StandinServer;
let pool: BackendPool;
let state: 'held' | 'used';
let orders: string[];
let reports: number;
let lease: Lease | undefined;

/** Reserves memory for a request with the given activity. */
async function reserveMemory(readActivity: () => RequestActivity): Promise<void> {
	const reservations = new Reservations({
		clock: systemClock, logger: createSilentLogger(), wire: new CallWire(), pool, isLive: () => true,
	});
	const helper = {address: runner.address, server: 'i-0' as BackendServerId, heldTokens: 5000};
	lease = await reservations.reserve({planId: 'plan-1-of-test'} as unknown as Plan, [helper], 'id-1' as RequestId, readActivity);
	expect(orders).toEqual(['reserve']);
}

beforeEach(async () => {
	state = 'held';
	orders = [];
	reports = 0;
	pool = new BackendPool(systemClock);
	runner = await new StandinServer((request, response) => {
		if (request.url === '/v1/report') {
			reports++;
			response.end(JSON.stringify({tickets: [{id: 'id-1-plan-1-o', tokens: 5000, state}, {id: 'other', tokens: 1, state: 'used'}]}));
			return;
		}

		orders.push((JSON.parse(request.body) as {op: string}).op);
		response.end('{}');
	}).start();
});

afterEach(async () => {
	lease?.release();
	await waitUntil(() => orders.includes('release'));
	await pool.close();
	await runner.stop();
});

// The connection of a running request died. Its server ended the request after a second or two, and the node, which did
// not notice, renewed the request's memory until its deadline: 6.3 to 11.4 s in which it was unused.
test('memory of a request whose end went unnoticed is released', async () => {
	await reserveMemory(() => ({hasBegun: false, quietFor: Infinity}));
	state = 'used';
	await waitUntil(() => reports > 0);
	state = 'held';
	await waitUntil(() => orders.includes('release'), freeWithin);
	const count = orders.length;
	await new Promise(resolve => {
		setTimeout(resolve, twoRenewals);
	});
	expect(orders).toHaveLength(count);
});

test('memory of a request that had sent events and whose end went unnoticed is released', async () => {
	await reserveMemory(() => ({hasBegun: true, quietFor: Infinity}));
	await waitUntil(() => orders.includes('release'), freeWithin);
});

test('memory is kept for a request that has not started, or that runs', async () => {
	await reserveMemory(() => ({hasBegun: false, quietFor: Infinity}));
	await waitUntil(() => reports > 1);
	state = 'used';
	await waitUntil(() => reports > 3);
	expect([...new Set(orders)]).toEqual(['reserve']);
	expect(orders.length).toBeGreaterThan(3);
}, 10_000);

test('a server is not asked about the memory of a request whose events arrive', async () => {
	await reserveMemory(() => ({hasBegun: true, quietFor: 0}));
	await waitUntil(() => orders.length > 2);
	expect(reports).toBe(0);
});

test('memory is renewed and released over new connections when those to its server fall silent, twice in a row', async () => {
	await reserveMemory(() => ({hasBegun: false, quietFor: 0}));
	runner.silenceConnections();
	await waitUntil(() => orders.length === 2, holdFor);
	runner.silenceConnections();
	lease?.release();
	await waitUntil(() => orders.includes('release'), freeWithin);
	expect(orders).toEqual(['reserve', 'reserve', 'release']);
}, 10_000);
