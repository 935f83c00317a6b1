import {expect, test} from '@jest/globals';
import type {BackendServerId, RequestFingerprint} from '../src/common/index.js';
import {CrashRecords} from '../src/planning/index.js';

const [a, b] = ['fingerprint-a', 'fingerprint-b'] as RequestFingerprint[];

function nameServer(index: number): BackendServerId {
	return `i-${index}` as BackendServerId;
}

/** Servers that end one second after the other, from the first one on. */
function endServers(suspects: CrashRecords, fingerprint: RequestFingerprint, count: number, first = 0): number {
	for (let index = 0; index < count; index++) {
		suspects.recordCrash(nameServer(first + index), fingerprint, 1, (first + index) * 1000);
	}

	return (first + count) * 1000;
}

test('a request is watched after one end, runs alone after two and is refused after three', () => {
	const suspects = new CrashRecords();
	const kinds = [0, 1, 2, 3].map(index => {
		const {kind} = suspects.classify(a, index * 1000);
		suspects.recordCrash(nameServer(index), a, 1, index * 1000);
		return kind;
	});
	expect(kinds).toEqual(['clean', 'suspect', 'isolated', 'rejected']);
	expect(suspects.classify(b, 4000).kind).toBe('clean');
});

test('an end that several nodes tell of counts once', () => {
	const suspects = new CrashRecords();
	for (let told = 0; told < 5; told++) {
		suspects.recordCrash(nameServer(1), a, 1, 1000 + told);
		suspects.merge(a, [{server: nameServer(1), age: 10, weight: 1}], 1100);
	}

	expect(suspects.classify(a, 1200)).toEqual({kind: 'suspect', crashes: 1});
});

test('three losses of many servers at once bring nobody under more suspicion than one try alone', () => {
	const suspects = new CrashRecords();
	for (const round of [1, 2, 3]) {
		for (let server = 0; server < 4; server++) {
			suspects.recordCrash(nameServer((round * 10) + server), server === 0 ? a : `other-${round}-${server}` as RequestFingerprint, 1, (round * 5000) + (server * 20));
		}
	}

	expect(suspects.classify(a, 16_000)).toEqual({kind: 'isolated', crashes: 3});
});

test('servers that one request crashes one right after the other are no loss of many at once', () => {
	const suspects = new CrashRecords();
	for (let server = 0; server < 3; server++) {
		suspects.recordCrash(nameServer(server), a, 1, server * 10);
	}

	expect(suspects.classify(a, 100).kind).toBe('rejected');
});

test('a request that runs at most servers is not suspected for the crashes of some', () => {
	const suspects = new CrashRecords();
	for (let server = 0; server < 4; server++) {
		suspects.recordCrash(nameServer(server), a, 0.2, server * 1000);
	}

	expect(suspects.classify(a, 5000).kind).toBe('suspect');
});

test('a request that a server has answered is under no suspicion any more', () => {
	const suspects = new CrashRecords();
	const now = endServers(suspects, a, 3);
	suspects.clear(a);
	expect(suspects.classify(a, now)).toEqual({kind: 'clean', crashes: 0});
	const later = endServers(suspects, a, 2, 10);
	expect(suspects.classify(a, later).kind).toBe('isolated');
});

test('what one node knows another takes over, and both forget it after ten minutes', () => {
	const suspects = new CrashRecords();
	const now = endServers(suspects, a, 3);
	const next = new CrashRecords();
	for (const [fingerprint, crashes] of suspects.describeAll(now)) {
		next.merge(fingerprint, crashes, now);
	}

	expect(next.classify(a, now).kind).toBe('rejected');
	expect([suspects, next].map(known => known.classify(a, now + 600_000).kind)).toEqual(['clean', 'clean']);
});

// What other nodes tell was added without an end: only crashes that a node noted itself made it forget.
test('of many requests that other nodes tell the oldest are forgotten, too', () => {
	const suspects = new CrashRecords();
	for (let index = 0; index < 5000; index++) {
		suspects.merge(`fingerprint-${index}` as RequestFingerprint, [{server: nameServer(index), age: 0, weight: 1}], index);
	}

	expect(suspects.size).toBe(4096);
});

test('of many requests the oldest are forgotten', () => {
	const suspects = new CrashRecords();
	for (let index = 0; index < 5000; index++) {
		suspects.recordCrash(nameServer(index), `fingerprint-${index}` as RequestFingerprint, 1, index);
	}

	expect(suspects.size).toBe(4096);
	expect(suspects.classify('fingerprint-4999' as RequestFingerprint, 5000).kind).toBe('suspect');
});

test('counts each crash of a server that restarts under its id', () => {
	const suspects = new CrashRecords();
	for (const at of [0, 6000, 12_000]) {
		suspects.recordCrash(nameServer(1), a, 1, at);
		suspects.merge(a, [{server: nameServer(1), age: 100, weight: 1}], at + 300);
	}

	expect(suspects.classify(a, 13_000)).toMatchObject({kind: 'rejected', crashes: 3});
});
