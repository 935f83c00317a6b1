import {expect, test} from '@jest/globals';
import type {
	BackendServerId, Incarnation, OrganisationId, RequestId, ServiceName,
} from '../src/common/index.js';
import {
	FirstTokenPlacement, Ledger, noPrefixes, PrefillEstimator, PrefixIndex, RateLimiter, reserveServer, type AdmitRequest, type PoolState, type ServerState,
} from '../src/node/dispatch/index.js';

function describeServer(index: number): ServerState {
	return {
		id: `engine-${index}` as BackendServerId, url: '', availabilityZone: 'a', capacity: 450_000, prefillRate: 20_000, tokenInterval: 30, open: true,
	};
}

const servers = [describeServer(0), describeServer(1)];

function createState(): PoolState {
	const ledger = new Ledger();
	ledger.setServers(servers);
	return {
		ledger, prefillEstimator: new PrefillEstimator(), prefixes: new PrefixIndex(), reservation: undefined, now: 0,
	};
}

function describeRequest(promptTokens: number, more: Partial<AdmitRequest> = {}): AdmitRequest {
	return {
		requestId: 'r' as RequestId,
		organisation: 'o' as OrganisationId,
		service: 's' as ServiceName,
		entry: 'e' as Incarnation,
		promptTokens,
		outputTokens: 100,
		patience: 60_000,
		excluded: [],
		prefixes: noPrefixes,
		...more,
	};
}

function choose(state: PoolState, request: AdmitRequest): string | undefined {
	return new FirstTokenPlacement().place(request, state).choice?.server.id;
}

test('a short prompt avoids an engine that is prefilling a long one', () => {
	const state = createState();
	state.prefillEstimator.recordSent(servers[0], 200_000, 0, 0);
	expect(choose(state, describeRequest(2000))).toBe('engine-1');
});

test('a short prompt goes to an engine that is prefilling a long one rather than wait behind many short ones', () => {
	const state = createState();
	state.prefillEstimator.recordSent(servers[0], 200_000, 0, 0);
	for (let index = 0; index < 10; index++) {
		state.prefillEstimator.recordSent(servers[1], 4000, 0, 0);
	}

	expect(choose(state, describeRequest(2000))).toBe('engine-0');
});

test('an engine with cached prefixes is preferred until its backlog costs more than the cache saves', () => {
	const state = createState();
	const prefixes = {hashes: ['a', 'b', 'c'], firstTokens: 1000};
	state.prefixes.recordSent(servers[1].id, 6000, prefixes.hashes);
	const request = describeRequest(6000, {prefixes});
	expect(choose(state, request)).toBe('engine-1');

	// 4000 cached tokens save 200 ms of prefill: more than a backlog of 160 ms costs, less than one of 240 ms.
	state.prefillEstimator.recordSent(servers[1], 3200, 0, 0);
	expect(choose(state, request)).toBe('engine-1');
	state.prefillEstimator.recordSent(servers[1], 1600, 0, 0);
	expect(choose(state, request)).toBe('engine-0');
});

test('cached prefixes expire when the engine is removed, and once the cache size in tokens has been sent since', () => {
	const index = new PrefixIndex();
	const prefixes = {hashes: ['a'], firstTokens: 500};
	index.recordSent(servers[0].id, 1000, ['a']);
	index.recordSent(servers[1].id, 1000, ['a']);
	expect(index.findCached(prefixes)).toEqual(new Map([['engine-0', 500], ['engine-1', 500]]));
	index.removeServer(servers[0].id);
	index.recordSent(servers[1].id, 460_000, []);
	expect(index.findCached(prefixes)).toEqual(new Map());
});

test('a server prefills one long prompt at a time', () => {
	const state = createState();
	for (const server of servers) {
		state.prefillEstimator.recordSent(server, 100_000, 0, 0);
	}

	expect(choose(state, describeRequest(50_000))).toBeUndefined();
	expect(choose({...state, now: 4990}, describeRequest(50_000))).toBe('engine-0');
});

test('the end of a request corrects the estimate for an engine that is faster than declared', () => {
	const state = createState();
	const first = state.prefillEstimator.recordSent(servers[0], 1_000_000, 0, 0);
	state.prefillEstimator.recordSent(servers[1], 1_000_000, 0, 0);
	expect(choose({...state, now: 1000}, describeRequest(50_000))).toBeUndefined();
	state.prefillEstimator.recordDone(first, 1000);
	expect(choose({...state, now: 1000}, describeRequest(50_000))).toBe('engine-0');
});

test('the server that first has enough memory is reserved, and other requests may use it only if they do not delay the reserved one', () => {
	const state = createState();
	const hold = (server: number, tokens: number, expectedHold: number) => {
		state.ledger.hold({
			grantId: `g${server}${tokens}` as never,
			requestId: 'x' as RequestId,
			pool: 'p' as never,
			organisation: 'o' as OrganisationId,
			entry: 'e' as Incarnation,
			backendServer: servers[server].id,
			url: '',
			tokens,
			expectedHold,
			priority: 0,
			term: 1,
			usableFor: 0,
		}, 0);
	};

	hold(0, 300_000, 20_000);
	hold(1, 400_000, 9000);
	const reservation = reserveServer(describeRequest(250_000), state.ledger, 0)!;
	expect([reservation.server.id, reservation.at]).toEqual(['engine-1', 9000]);
	const isDelayedBy = (tokens: number) => reservation.isDelayedBy(servers[1], describeRequest(tokens, {requestId: 'other' as RequestId}), {cachedTokens: 0, freeTokens: 50_000}, 0);
	expect(isDelayedBy(40_000)).toBe(false);
	expect(isDelayedBy(280_000)).toBe(true);
	expect(reservation.isDelayedBy(servers[0], describeRequest(280_000), {cachedTokens: 0, freeTokens: 0}, 0)).toBe(false);
});

test('the rate limiter allows a burst of one minute\'s quota and returns the time until the next request fits', () => {
	const limiter = new RateLimiter<string>();
	const waits = [1, 2, 3, 4].map(() => limiter.take('o', 30, 90, 0));
	expect(waits).toEqual([0, 0, 0, 20_000]);
	expect(limiter.take('o', 30, 90, 20_000)).toBe(0);
	expect(limiter.take('other', 30, 90, 0)).toBe(0);
});
