import {expect, test} from '@jest/globals';
import type {BackendServerId, ContentDigest} from '../src/common/index.js';
import {Suspects} from '../src/planning/index.js';

const [a, b] = ['content-a', 'content-b'] as ContentDigest[];

function nameServer(index: number): BackendServerId {
	return `i-${index}` as BackendServerId;
}

/** Servers that end one second after the other, from the first one on. */
function endServers(suspects: Suspects, content: ContentDigest, count: number, first = 0): number {
	for (let index = 0; index < count; index++) {
		suspects.noteEnd(nameServer(first + index), content, 1, (first + index) * 1000);
	}

	return (first + count) * 1000;
}

test('a request is watched after one end, runs alone after two and is refused after three', () => {
	const suspects = new Suspects();
	const kinds = [0, 1, 2, 3].map(index => {
		const {kind} = suspects.judge(a, index * 1000);
		suspects.noteEnd(nameServer(index), a, 1, index * 1000);
		return kind;
	});
	expect(kinds).toEqual(['free', 'watched', 'alone', 'refused']);
	expect(suspects.judge(b, 4000).kind).toBe('free');
});

test('an end that several nodes tell of counts once', () => {
	const suspects = new Suspects();
	for (let told = 0; told < 5; told++) {
		suspects.noteEnd(nameServer(1), a, 1, 1000 + told);
		suspects.learn(a, [{server: nameServer(1), age: 10, weight: 1}], 1100);
	}

	expect(suspects.judge(a, 1200)).toEqual({kind: 'watched', ends: 1});
});

test('three losses of many servers at once bring nobody under more suspicion than one try alone', () => {
	const suspects = new Suspects();
	for (const round of [1, 2, 3]) {
		for (let server = 0; server < 4; server++) {
			suspects.noteEnd(nameServer((round * 10) + server), server === 0 ? a : `other-${round}-${server}` as ContentDigest, 1, (round * 5000) + (server * 20));
		}
	}

	expect(suspects.judge(a, 16_000)).toEqual({kind: 'alone', ends: 3});
});

test('servers that one request ends one right after the other are no loss of many at once', () => {
	const suspects = new Suspects();
	for (let server = 0; server < 3; server++) {
		suspects.noteEnd(nameServer(server), a, 1, server * 10);
	}

	expect(suspects.judge(a, 100).kind).toBe('refused');
});

test('a request that runs at most servers is not suspected for the ends of some', () => {
	const suspects = new Suspects();
	for (let server = 0; server < 4; server++) {
		suspects.noteEnd(nameServer(server), a, 0.2, server * 1000);
	}

	expect(suspects.judge(a, 5000).kind).toBe('watched');
});

test('a request that a server has answered is under no suspicion any more', () => {
	const suspects = new Suspects();
	const now = endServers(suspects, a, 3);
	suspects.clear(a);
	expect(suspects.judge(a, now)).toEqual({kind: 'free', ends: 0});
	const later = endServers(suspects, a, 2, 10);
	expect(suspects.judge(a, later).kind).toBe('alone');
});

test('what one node knows another takes over, and both forget it after ten minutes', () => {
	const suspects = new Suspects();
	const now = endServers(suspects, a, 3);
	const next = new Suspects();
	for (const [content, ends] of suspects.describeAll(now)) {
		next.learn(content, ends, now);
	}

	expect(next.judge(a, now).kind).toBe('refused');
	expect([suspects, next].map(known => known.judge(a, now + 600_000).kind)).toEqual(['free', 'free']);
});

// What other nodes tell was added without an end: only ends that a node noted itself made it forget.
test('of many requests that other nodes tell the oldest are forgotten, too', () => {
	const suspects = new Suspects();
	for (let index = 0; index < 5000; index++) {
		suspects.learn(`content-${index}` as ContentDigest, [{server: nameServer(index), age: 0, weight: 1}], index);
	}

	expect(suspects.size).toBe(4096);
});

test('of many requests the oldest are forgotten', () => {
	const suspects = new Suspects();
	for (let index = 0; index < 5000; index++) {
		suspects.noteEnd(nameServer(index), `content-${index}` as ContentDigest, 1, index);
	}

	expect(suspects.size).toBe(4096);
	expect(suspects.judge('content-4999' as ContentDigest, 5000).kind).toBe('watched');
});

test('counts each crash of a server that restarts under its id', () => {
	const suspects = new Suspects();
	for (const at of [0, 6000, 12_000]) {
		suspects.noteEnd(nameServer(1), a, 1, at);
		suspects.learn(a, [{server: nameServer(1), age: 100, weight: 1}], at + 300);
	}

	expect(suspects.judge(a, 13_000)).toMatchObject({kind: 'refused', ends: 3});
});
