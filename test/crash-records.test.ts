import {expect, test} from '@jest/globals';
import type {BackendServerId, RequestFingerprint} from '../src/common/index.js';
import {classifyTraits, CrashRecords} from '../src/planning/index.js';

const [a, b] = ['fingerprint-a', 'fingerprint-b'] as RequestFingerprint[];

function nameServer(index: number): BackendServerId {
	return `i-${index}` as BackendServerId;
}

/** Records crashes of servers one second apart, starting with server `first`; returns the time after the last one. */
function crashServers(records: CrashRecords, fingerprint: RequestFingerprint, count: number, first = 0): number {
	for (let index = 0; index < count; index++) {
		records.recordCrash(nameServer(first + index), fingerprint, 1, (first + index) * 1000);
	}

	return (first + count) * 1000;
}

test('a request is suspect after one crash, isolated after two and rejected after three', () => {
	const records = new CrashRecords();
	const kinds = [0, 1, 2, 3].map(index => {
		const {kind} = classifyTraits(records, [a], index * 1000);
		records.recordCrash(nameServer(index), a, 1, index * 1000);
		return kind;
	});
	expect(kinds).toEqual(['clean', 'suspect', 'isolated', 'rejected']);
	expect(classifyTraits(records, [b], 4000).kind).toBe('clean');
});

test('a crash reported by several nodes counts once', () => {
	const records = new CrashRecords();
	for (let count = 0; count < 5; count++) {
		records.recordCrash(nameServer(1), a, 1, 1000 + count);
		records.merge(a, [{server: nameServer(1), age: 10, weight: 1}], 1100);
	}

	expect(classifyTraits(records, [a], 1200)).toEqual({kind: 'suspect', crashes: 1});
});

test('three correlated failures of many servers isolate a request but do not reject it', () => {
	const records = new CrashRecords();
	for (const round of [1, 2, 3]) {
		for (let server = 0; server < 4; server++) {
			records.recordCrash(nameServer((round * 10) + server), server === 0 ? a : `other-${round}-${server}` as RequestFingerprint, 1, (round * 5000) + (server * 20));
		}
	}

	expect(classifyTraits(records, [a], 16_000)).toEqual({kind: 'isolated', crashes: 3, trait: a});
});

test('servers that one request crashes in quick succession are no correlated failure', () => {
	const records = new CrashRecords();
	for (let server = 0; server < 3; server++) {
		records.recordCrash(nameServer(server), a, 1, server * 10);
	}

	expect(classifyTraits(records, [a], 100).kind).toBe('rejected');
});

test('a request that runs on most servers is not suspected for the crashes of some', () => {
	const records = new CrashRecords();
	for (let server = 0; server < 4; server++) {
		records.recordCrash(nameServer(server), a, 0.2, server * 1000);
	}

	expect(classifyTraits(records, [a], 5000).kind).toBe('suspect');
});

test('an answer of a server clears the records of a request', () => {
	const records = new CrashRecords();
	const now = crashServers(records, a, 3);
	records.recordAnswer(a, now);
	expect(classifyTraits(records, [a], now)).toEqual({kind: 'clean', crashes: 0});
	const later = crashServers(records, a, 2, 10);
	expect(classifyTraits(records, [a], later).kind).toBe('isolated');
});

test('crash records are transferred to another node, and both drop them after ten minutes', () => {
	const records = new CrashRecords();
	const now = crashServers(records, a, 3);
	const other = new CrashRecords();
	for (const [fingerprint, crashes] of records.describeAll(now)) {
		other.merge(fingerprint, crashes, now);
	}

	expect(classifyTraits(other, [a], now).kind).toBe('rejected');
	expect([records, other].map(known => classifyTraits(known, [a], now + 600_000).kind)).toEqual(['clean', 'clean']);
});

// Records merged from other nodes were once kept without a bound: only crashes that a node recorded itself triggered pruning.
test('the oldest of many requests reported by other nodes are dropped', () => {
	const records = new CrashRecords();
	for (let index = 0; index < 5000; index++) {
		records.merge(`fingerprint-${index}` as RequestFingerprint, [{server: nameServer(index), age: 0, weight: 1}], index);
	}

	expect(records.size).toBe(4096);
});

test('the oldest of many requests are dropped', () => {
	const records = new CrashRecords();
	for (let index = 0; index < 5000; index++) {
		records.recordCrash(nameServer(index), `fingerprint-${index}` as RequestFingerprint, 1, index);
	}

	expect(records.size).toBe(4096);
	expect(classifyTraits(records, ['fingerprint-4999' as RequestFingerprint], 5000).kind).toBe('suspect');
});

test('counts each crash of a server that restarts under the same id', () => {
	const records = new CrashRecords();
	for (const at of [0, 6000, 12_000]) {
		records.recordCrash(nameServer(1), a, 1, at);
		records.merge(a, [{server: nameServer(1), age: 100, weight: 1}], at + 300);
	}

	expect(classifyTraits(records, [a], 13_000)).toMatchObject({kind: 'rejected', crashes: 3});
});
