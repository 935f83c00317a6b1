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

test('complete events are unchanged however the bytes are split', () => {
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

test('an incomplete event is buffered', () => {
	const parser = new EventParser();
	expect(parser.push(Buffer.from('id: 1\ndata: a\n'))).toHaveLength(0);
	expect(parser.pendingLength).toBe(14);
});

test('an event beyond the size limit is an error', () => {
	const parser = new EventParser();
	expect(() => parser.push(Buffer.alloc(5_000_000, 'a'))).toThrow('longer than');
});

// The bytes of an incomplete event were copied and searched again with each chunk, for minutes in the event loop.
test('the time to read an event does not grow with the number of its chunks and lines', () => {
	const parser = new EventParser();
	const chunk = Buffer.from('data: abc\n');
	const startedAt = performance.now();
	for (let sent = 0; sent < 1_000_000; sent += chunk.length) {
		parser.push(chunk);
	}

	expect(parser.push(Buffer.from('\n'))).toHaveLength(1);
	expect(performance.now() - startedAt).toBeLessThan(500);
});

test('callers get the addresses of their own zone, and others rather than a single address', () => {
	const nodes = [createPeer('a'), createPeer('b'), createPeer('c', {availabilityZone: 'z' as AvailabilityZone})];
	expect(listCallerAddresses(nodes, 'a' as AvailabilityZone)).toEqual(['a:1', 'b:1']);
	expect(listCallerAddresses(nodes, 'z' as AvailabilityZone)).toEqual(['a:1', 'b:1', 'c:1']);
	expect(listCallerAddresses([], 'a' as AvailabilityZone)).toEqual([]);
});

/** Has the caller ask again twice, then returns a plan. */
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

	override recordNotice(): never {
		throw new Error('nothing is sent');
	}

	override isResting(): boolean {
		return false;
	}
}

test('only the first ask of a request states a wait of zero, however precise the clock', async () => {
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
		arrived: 0, head: {}, parts: [], route: {objective: 300}, service: {name: 'model'},
	} as unknown as Call;
	await new PlacementFinder({
		clock, placer, call, node: 'edge-1' as BoxId, availabilityZone: 'a' as AvailabilityZone, deadline: 1000, readStopTime: () => Infinity, endsBeforeStop: () => true, estimateReturnDelay: () => 0,
	}).findPlacement(false);
	expect(placer.waits[0]).toBe(0);
	expect(placer.waits.slice(1).every(waited => waited > 0)).toBe(true);
});

test('a placement that is granted after its call was stopped is returned, so that it can be released', async () => {
	const placer = new WaitingPlacer();
	placer.waits.push(0, 0);
	const call = {
		arrived: 0, head: {}, parts: [], route: {objective: 300}, service: {name: 'model'},
	} as unknown as Call;
	const finder = new PlacementFinder({
		clock: systemClock, placer, call, node: 'edge-1' as BoxId, availabilityZone: 'a' as AvailabilityZone, deadline: 1000, readStopTime: () => Infinity, endsBeforeStop: () => true, estimateReturnDelay: () => 0,
	});
	const asked = finder.findHedge(true, 'i-1' as BackendServerId);
	finder.stop();
	const placed = await asked;
	expect(placed?.plan.startIn).toBe(0);
});

/** Delay of a helper's answer to an order, in milliseconds: longer than the test takes to see the order. */
const answerDelay = 40;

/** Counts its requests that have no answer yet. */
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

// A renewal is skipped while the previous one has no answer, so the clock advances only once the node has all answers. When
// it advanced as soon as a helper had the order, any answer later than the next poll after 10 ms made the node skip the
// next renewal, and the test timed out after 5 s; answers 40 ms late do so every time.
test('memory at helpers is renewed only while their processes run, and released at the end', async () => {
	const clock = new VirtualClock();
	const orders: string[] = [];
	const helpers = await Promise.all(['i-0@1', 'i-1@1'].map(async server => {
		const listening = await new LoopbackServer(async (request, response) => {
			const pieces: Uint8Array[] = [];
			for await (const piece of request) {
				pieces.push(piece as Uint8Array);
			}

			// A restarted server has no reservations.
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

test('connections that arrive before the program listens are served once it does, and it owns the port from then on', async () => {
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

test('an early port that the program does not take over is closed and reported', async () => {
	const {address, connections} = await openEarlyListener();
	const waiting = send(address, {path: '/waiting'});
	await waitUntil(() => connections.length === 1);
	expect(closeEarlyListener()).toBe(address);
	const answers = [await waiting, await send(address, {path: '/closed'})];
	expect(answers.map(answer => answer.status)).toEqual([0, 0]);
	expect(closeEarlyListener()).toBeUndefined();
});
