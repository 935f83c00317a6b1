// Eras of the platform's store: each begins when it is restored from a copy, and counts revisions from there.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {PlatformSource} from '../platform/index.js';
import {createSilentLogger} from '../src/common/index.js';
import {
	createPosition, formatPosition, readEra, readRevision, type BackendServer, type Changes, type Listing, type SourceFailure,
} from '../src/routing/index.js';
import {StandinStore} from './helpers/platform-standins.js';

const entry = {
	service: 'app', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 4, state: 'ready', coldRemainingMs: 0, sequence: 1,
};

let store: StandinStore;
let source: PlatformSource;

beforeEach(async () => {
	store = await new StandinStore().start();
	source = new PlatformSource(store.address, createSilentLogger());
});

afterEach(async () => {
	await source.close();
	await store.stop();
});

function createCall() {
	return {signal: new AbortController().signal, isOnNewConnection: false, onData() {/* Nothing. */}};
}

async function list(): Promise<Listing<BackendServer>> {
	const listed = await source.servers.list(createCall());
	return listed.unsafeCoerce();
}

async function follow(revision: number): Promise<Changes<BackendServer> | SourceFailure['kind']> {
	const followed = await source.servers.follow({revision, wait: 20}, createCall());
	return followed.caseOf<Changes<BackendServer> | SourceFailure['kind']>({Left: ({kind}) => kind, Right: changes => changes});
}

test('positions are ordered by era, then by revision, and keep both', () => {
	const parts = fc.tuple(fc.nat(8191), fc.maxSafeNat().map(value => value % (2 ** 40)));
	fc.assert(fc.property(parts, parts, ([era, revision], [otherEra, otherRevision]) => {
		const position = createPosition(era, revision);
		expect([readEra(position), readRevision(position), Number.isSafeInteger(position)]).toEqual([era, revision, true]);
		const isBefore = era < otherEra || (era === otherEra && revision < otherRevision);
		expect(position < createPosition(otherEra, otherRevision)).toBe(isBefore);
	}), {numRuns: 1000});
	expect([formatPosition(7), formatPosition(createPosition(2, 7))]).toEqual([7, '2/7']);
});

test('lists, entries and changes have positions in the era of the store', async () => {
	store.era = 3;
	store.put('servers', 'i-1', entry);
	const listed = await list();
	expect([listed.revision, listed.items[0].entryRevision]).toEqual([createPosition(3, 1), createPosition(3, 1)]);
	store.put('servers', 'i-2', entry);
	const changes = await follow(listed.revision) as Changes<BackendServer>;
	expect([changes.revision, changes.changes[0].revision]).toEqual([createPosition(3, 2), createPosition(3, 2)]);
});

test('changes after a position of an earlier era are lost history, also when its revision exists again', async () => {
	store.era = 1;
	const copy = store.copy();
	store.put('servers', 'i-1', entry);
	store.put('servers', 'i-2', entry);
	const {revision} = await list();
	store.restore(copy);
	for (const name of ['i-3', 'i-4', 'i-5']) {
		store.put('servers', name, entry);
	}

	expect(await follow(revision)).toBe('history_lost');
	const listed = await list();
	expect(listed.revision).toBe(createPosition(2, 3));
});

test('a late answer of an earlier era changes nothing', async () => {
	store.era = 2;
	const {revision} = await list();
	store.era = 1;
	expect(await follow(revision)).toBe('unreachable');
	const listed = await list();
	expect(listed.revision).toBeLessThan(revision);
});

test.each([undefined, Number.NaN, -1, 1.5, 8192])('an answer with the era %s belongs to the latest era that is known', async era => {
	store.era = 2;
	const {revision} = await list();
	store.era = era;
	store.put('servers', 'i-1', entry);
	const changes = await follow(revision) as Changes<BackendServer>;
	expect(changes.revision).toBe(createPosition(2, 1));
});

test('a list whose pages are of two eras is read again', async () => {
	store.pageSize = 1;
	store.put('servers', 'i-1', entry);
	store.put('servers', 'i-2', entry);
	// Every call is answered in an era of its own.
	Object.defineProperty(store, 'era', {get: () => store.calls.length});
	const listed = await source.servers.list(createCall());
	expect(listed.swap().map(({kind}) => kind).extract()).toBe('unreachable');
	expect(store.calls).toHaveLength(2);
});
