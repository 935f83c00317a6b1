import {setImmediate as waitForTurn} from 'node:timers/promises';
import {expect, test} from '@jest/globals';
import {
	createSilentLogger, VirtualClock, type BackendServerId, type PlanId, type RequestId,
} from '../src/common/index.js';
import {
	Reservations, type BackendPool, type BackendRequest, type RequestActivity,
} from '../src/gateway/calls/index.js';
import type {GatewayWire, ReservationOrder, ReservationUse} from '../src/gateway/wire.js';
import type {Plan} from '../src/planning/index.js';

const reader = 'i-reader' as BackendServerId;
const holder = 'i-holder' as BackendServerId;

/** Creates reservations whose orders are recorded and confirmed. */
function createReservations(isLive: (id: BackendServerId) => boolean, readUse: () => ReservationUse = () => undefined) {
	const clock = new VirtualClock();
	const kinds: string[] = [];
	const wire = {
		formatOrder: (order: ReservationOrder) => ({body: order.kind, headers: {}}),
		readReservationUse: readUse,
	} as unknown as GatewayWire;
	// A request for a report has no body.
	const ask = async (_address: string, request: BackendRequest) => {
		if (request.body !== undefined) {
			kinds.push(String(request.body));
		}

		return {status: 200, text: ''};
	};

	const pool = {ask} as unknown as BackendPool;
	return {
		clock,
		kinds,
		reservations: new Reservations({
			clock, logger: createSilentLogger(), wire, pool, isLive,
		}),
	};
}

const noActivity: RequestActivity = {hasBegun: false, quietFor: Infinity};

async function reserve(reservations: Reservations, readActivity = () => noActivity) {
	const plan: Partial<Plan> = {planId: 'plan-1' as PlanId, server: reader};
	return reservations.reserve(plan as Plan, [{server: holder, address: '127.0.0.1:1', heldTokens: 142_217}], 'request-1' as RequestId, readActivity);
}

async function pass(clock: VirtualClock, milliseconds: number): Promise<void> {
	for (let passed = 0; passed < milliseconds; passed += 100) {
		clock.advance(100);
		await waitForTurn();
	}
}

test('memory is reserved while its request runs, and released when it ends', async () => {
	const {clock, kinds, reservations} = createReservations(() => true);
	const lease = await reserve(reservations);
	await pass(clock, 2000);
	lease?.release();
	await pass(clock, 2000);
	expect(kinds).toEqual(['reserve', 'reserve', 'reserve', 'release']);
});

// A server lost power while it read a prompt whose memory was reserved on another one. Its dead connection reported nothing,
// no other server was available, and the node renewed 142217 tokens for 9.6 s, 9552 ms of them after the request was over,
// until the caller's deadline, although the server's entry had expired after 1.2 s.
test('memory of a silent request whose server is gone is released', async () => {
	const live = new Set([reader, holder]);
	const {clock, kinds, reservations} = createReservations(id => live.has(id));
	const lease = await reserve(reservations);
	await pass(clock, 1000);
	live.delete(reader);
	await pass(clock, 3000);
	expect(kinds).toEqual(['reserve', 'reserve', 'release']);
	lease?.release();
	await pass(clock, 1000);
	expect(kinds).toEqual(['reserve', 'reserve', 'release']);
});

// Some servers leave unannounced: their entry goes, and they still serve for as long as draining ones. Memory that is not
// renewed expires after 3 s, and the request that uses it is aborted.
test.each([[reader], [holder]])('memory of an answer in progress is renewed when the entry of %s is gone', async leaving => {
	const live = new Set([reader, holder]);
	let silence = 100;
	const {clock, kinds, reservations} = createReservations(id => live.has(id));
	const lease = await reserve(reservations, () => ({hasBegun: true, quietFor: silence}));
	live.delete(leaving);
	await pass(clock, 2000);
	expect(kinds).toEqual(['reserve', 'reserve', 'reserve']);
	silence = 2000;
	await pass(clock, 1000);
	lease?.release();
	await pass(clock, 100);
	expect(kinds).toEqual(['reserve', 'reserve', 'reserve', 'release']);
});

// A server that leaves unannounced continues to read its prompt, whose memory was released during the read.
test.each([[reader], [holder]])('memory in use is renewed while a prompt is read when the entry of %s is gone', async leaving => {
	const live = new Set([reader, holder]);
	let use: ReservationUse = 'used';
	const {clock, kinds, reservations} = createReservations(id => live.has(id), () => use);
	await reserve(reservations);
	live.delete(leaving);
	await pass(clock, 4000);
	expect(kinds).toEqual(Array.from({length: 5}, () => 'reserve'));
	use = 'unused';
	await pass(clock, 1000);
	expect(kinds.at(-1)).toBe('release');
});

test('memory that no request has used is released after a bounded time when the entry of its reader is gone', async () => {
	const {clock, kinds, reservations} = createReservations(id => id !== reader, () => 'unused');
	const sentAt = clock.readMonotonic();
	await reserve(reservations, () => ({hasBegun: false, quietFor: clock.readMonotonic() - sentAt}));
	await pass(clock, 3600);
	expect(kinds).not.toContain('release');
	await pass(clock, 1800);
	expect(kinds.at(-1)).toBe('release');
});
