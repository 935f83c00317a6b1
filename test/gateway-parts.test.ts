import {Buffer} from 'node:buffer';
import {createServer as createHttpServer} from 'node:http';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {Right} from 'purify-ts';
import {CallWire} from '../platform/index.js';
import {
	createSilentLogger, systemClock, VirtualClock, type AvailabilityZone, type BackendServerId, type BoxId, type Clock, type RequestId,
} from '../src/common/index.js';
import {listCallerAddresses} from '../src/gateway/peers/addresses.js';
import type {Call} from '../src/gateway/calls/call.js';
import {closeEarlyListener, listenOnEarly, takeEarlyListener} from '../src/gateway/early-listener.js';
import {EventParser} from '../src/gateway/calls/event-parser.js';
import {BackendPool, type BackendRequest, type ConnectionUse} from '../src/gateway/calls/backend-pool.js';
import {PlacementFinder} from '../src/gateway/calls/placement-finder.js';
import {Placer, type PlacementAnswer, type Placement} from '../src/gateway/calls/placer.js';
import {Reservations} from '../src/gateway/calls/reservations.js';
import type {Plan, PlanRequest} from '../src/planning/index.js';
import {send, waitUntil} from './helpers/gateways.js';
import {createPeer} from './helpers/peers.js';
import {LoopbackServer} from './helpers/platform-standins.js';

test('whole events come out unchanged however the bytes are cut', () => {
	const events = ['id: 1\ndata: a\n\n', 'data: no id\n\n', 'id:2\r\ndata: b\r\n\r\n', 'id: 30\ndata: two\ndata: lines\n\n'];
	const text = Buffer.from(events.join(''));
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: text.length})), cuts => {
		const parser = new EventParser();
		const edges = [0, ...[...cuts].sort((left, right) => left - right), text.length];
		const found = edges.slice(1).flatMap((end, index) => parser.push(text.subarray(edges[index], end)));
		return JSON.stringify(found.map(frame => [frame.id, Buffer.from(frame.bytes).toString()]))
			=== JSON.stringify([[1, events[0]], [undefined, events[1]], [2, events[2]], [30, events[3]]]) && parser.pendingLength === 0;
	}), {seed: 7, numRuns: 300});
});

test('an event that has not ended is held back', () => {
	const parser = new EventParser();
	expect(parser.push(Buffer.from('id: 1\ndata: a\n'))).toHaveLength(0);
	expect(parser.pendingLength).toBe(14);
});

test('an event without end is given up', () => {
	const parser = new EventParser();
	expect(() => parser.push(Buffer.alloc(5_000_000, 'a'))).toThrow('longer than');
});

test('callers hear of their own zone first, and never of one address alone while there are more', () => {
	const nodes = [createPeer('a'), createPeer('b'), createPeer('c', {availabilityZone: 'z' as AvailabilityZone})];
	expect(listCallerAddresses(nodes, 'a' as AvailabilityZone)).toEqual(['a:1', 'b:1']);
	expect(listCallerAddresses(nodes, 'z' as AvailabilityZone)).toEqual(['a:1', 'b:1', 'c:1']);
	expect(listCallerAddresses([], 'a' as AvailabilityZone)).toEqual([]);
});

/** Tells whoever asks to ask again, and in the end gives a plan. */
class WaitingPlacer extends Placer {
	readonly waits: number[] = [];

	override async place(request: PlanRequest) {
		this.waits.push(request.waited);
		const placed: Partial<Placement> = {plan: {startIn: 0} as unknown as Plan, decidedBy: 'self'};
		return Right(this.waits.length < 3 ? {askAgainIn: 1} : placed as PlacementAnswer);
	}

	override async takeRetry() {
		return true;
	}

	override report(): never {
		throw new Error('nothing is sent');
	}

	override recordLimit(): never {
		throw new Error('nothing is sent');
	}
}

test('of the asks of one request only the first says that it has not waited, however fine the clock', async () => {
	let now = 0;
	const clock: Clock = {
		now: () => new Date(),
		readMonotonic: () => ++now / 1000,
		setTimer(_delay, callback) {
			queueMicrotask(callback);
			return {cancel() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
		},
	};
	const placer = new WaitingPlacer();
	const call = {
		arrived: 0, head: {}, route: {objective: 300}, service: {name: 'model'},
	} as unknown as Call;
	await new PlacementFinder({
		clock, placer, call, node: 'edge-1' as BoxId, availabilityZone: 'a' as AvailabilityZone, deadline: 1000,
	}).findPlacement(false);
	expect(placer.waits[0]).toBe(0);
	expect(placer.waits.slice(1).every(waited => waited > 0)).toBe(true);
});

test('a place that is granted at once to a call that was stopped meanwhile is told, so that it can be given back', async () => {
	const placer = new WaitingPlacer();
	placer.waits.push(0, 0);
	const call = {
		arrived: 0, head: {}, route: {objective: 300}, service: {name: 'model'},
	} as unknown as Call;
	const finder = new PlacementFinder({
		clock: systemClock, placer, call, node: 'edge-1' as BoxId, availabilityZone: 'a' as AvailabilityZone, deadline: 1000,
	});
	const asked = finder.findHedge(true, 'i-1' as BackendServerId);
	finder.stop();
	const placed = await asked;
	expect(placed?.plan.startIn).toBe(0);
});

/** Time after which a helper answers an order, in milliseconds: longer than the test takes to see it there. */
const answerDelay = 40;

/** Knows how many of its questions have no answer yet. */
class CountingPool extends BackendPool {
	unanswered = 0;

	override async ask(address: string, request: BackendRequest, timeout: number, use?: ConnectionUse) {
		this.unanswered++;
		try {
			return await super.ask(address, request, timeout, use);
		} finally {
			this.unanswered--;
		}
	}
}

// A renewal is left out while the one before it has no answer. The test moved its clock once a helper had the order, and
// not once the node had its answer: with answers 40 ms late the next renewal never came, and the test passed its 5 s; so
// it did once in a whole run, where the answer took longer than the 10 ms after which the test looks again.
test('memory at helpers is set aside again only in lives that go on, and freed at the end', async () => {
	const clock = new VirtualClock();
	const orders: string[] = [];
	const helpers = await Promise.all(['i-0@1', 'i-1@1'].map(async server => {
		const listening = await new LoopbackServer(async (request, response) => {
			const pieces: Uint8Array[] = [];
			for await (const piece of request) {
				pieces.push(piece as Uint8Array);
			}

			// A server that has started again holds no memory.
			if (request.method === 'GET') {
				response.end('{"tickets":[]}');
				return;
			}

			const {op} = JSON.parse(Buffer.concat(pieces).toString()) as {op: string};
			orders.push(`${op} ${server}`);
			await sleep(answerDelay);
			response.end('{}');
		}).start();
		return {
			server: server as BackendServerId, address: listening.address, heldTokens: 5, listening,
		};
	}));
	const reader = 'i-9@1' as BackendServerId;
	const liveServers = new Set([reader, ...helpers.map(({server}) => server)]);
	const pool = new CountingPool(systemClock);
	const reservations = new Reservations({
		clock, logger: createSilentLogger(), wire: new CallWire(), pool, isLive: id => liveServers.has(id),
	});
	const takeOrders = async (count: number) => {
		await waitUntil(() => orders.length >= count && pool.unanswered === 0);
		return orders.splice(0).sort();
	};

	const lease = await reservations.reserve({planId: 'p-1', server: reader} as unknown as Plan, helpers, 'r-1' as RequestId, () => ({hasBegun: false, quietFor: 0}));
	expect(await takeOrders(2)).toEqual(['reserve i-0@1', 'reserve i-1@1']);
	clock.advance(900);
	expect(await takeOrders(2)).toEqual(['reserve i-0@1', 'reserve i-1@1']);
	liveServers.delete('i-1@1' as BackendServerId);
	clock.advance(900);
	expect(await takeOrders(1)).toEqual(['reserve i-0@1']);
	clock.advance(900);
	expect(await takeOrders(1)).toEqual(['reserve i-0@1']);
	lease!.release();
	expect(await takeOrders(2)).toEqual(['release i-0@1', 'release i-1@1']);
	clock.advance(9000);
	await pool.close();
	await Promise.all(helpers.map(async ({listening}) => listening.stop()));
	expect(orders).toEqual([]);
});

/** Opens a port as the loader does. */
async function openEarlyListener(): Promise<{address: string; connections: Socket[]}> {
	const connections: Socket[] = [];
	const server = createServer({pauseOnConnect: true}, connection => {
		connections.push(connection);
	});
	await new Promise<void>(resolve => {
		server.listen({host: '127.0.0.1', port: 0}, resolve);
	});
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	Object.assign(globalThis, {[Symbol.for('cresshook.early-listener')]: {address, server, connections}});
	return {address, connections};
}

test('what comes before the program listens is answered when it does, and the port is the program\'s from then on', async () => {
	const {address, connections} = await openEarlyListener();
	const before = send(address, {path: '/before'});
	await waitUntil(() => connections.length === 1);
	expect(takeEarlyListener('127.0.0.1:1')).toBeUndefined();
	const early = takeEarlyListener(address)!;
	expect(takeEarlyListener(address)).toBeUndefined();
	const server = createHttpServer((request, response) => {
		response.end(request.url);
	});
	await listenOnEarly(server, early);
	const answers = [await before, await send(address, {path: '/after'})];
	expect(answers.map(answer => answer.body)).toEqual(['/before', '/after']);
	server.closeAllConnections();
	await new Promise(resolve => {
		server.close(resolve);
	});
	const refused = await send(address, {path: '/closed'});
	expect(refused.status).toBe(0);
});

test('an early port that the program does not take is closed, and named', async () => {
	const {address, connections} = await openEarlyListener();
	const waiting = send(address, {path: '/waiting'});
	await waitUntil(() => connections.length === 1);
	expect(closeEarlyListener()).toBe(address);
	const answers = [await waiting, await send(address, {path: '/closed'})];
	expect(answers.map(answer => answer.status)).toEqual([0, 0]);
	expect(closeEarlyListener()).toBeUndefined();
});
