// Which traits of requests are blamed for crashes of servers.
import {performance} from 'node:perf_hooks';
import {expect, test} from '@jest/globals';
import type {BackendServerId, CrashTrait, RequestFingerprint} from '../src/common/index.js';
import {classifyTraits, CrashRecords, formatPartTrait} from '../src/planning/index.js';
import {plannedRoutes} from './helpers/planned-calls.js';
import {ScriptedCall} from './helpers/scripted-call.js';

const second = 1000;

/** A prompt part in requests of an organisation. */
function namePart(part: string, organisation = 'guild'): CrashTrait {
	return formatPartTrait(part, organisation);
}

const [first, crashing, other] = ['first', 'crashing', 'other'].map(part => namePart(part));

/** A request with parts, different from all others. */
function nameRequest(name: number | string, ...parts: CrashTrait[]): CrashTrait[] {
	return [`request-${name}` as RequestFingerprint, ...parts];
}

let serverCount = 0;

/** Crashes one more server that runs these requests. */
function crashServer(records: CrashRecords, requests: CrashTrait[][], now: number, weight = 1): void {
	const server = `i-${serverCount++}` as BackendServerId;
	for (const trait of requests.flat()) {
		records.recordCrash(server, trait, weight, now);
	}
}

function answer(records: CrashRecords, request: CrashTrait[], now: number): void {
	for (const trait of request) {
		records.recordAnswer(trait, now);
	}
}

function classify(records: CrashRecords, request: CrashTrait[], now: number): string {
	return classifyTraits(records, request, now).kind;
}

test('a part of different requests that crash servers is rejected after three crashes', () => {
	const records = new CrashRecords();
	const states = [0, 1, 2, 3].map(index => {
		const now = index * second;
		const state = classify(records, nameRequest(`next-${index}`, first, crashing), now);
		answer(records, nameRequest(`sound-${index}`, first), now);
		crashServer(records, [nameRequest(index, first, crashing), nameRequest(`beside-${index}`, first, other)], now);
		answer(records, nameRequest(`later-${index}`, first, other), now);
		return state;
	});
	expect(states).toEqual(['clean', 'suspect', 'isolated', 'rejected']);
	expect([[first], [other], [first, other]].map(parts => classify(records, nameRequest('sound', ...parts), 4 * second))).toEqual(['clean', 'clean', 'clean']);
});

test('a request that was beside a crashing part three times is not rejected', () => {
	const records = new CrashRecords();
	const beside = nameRequest('beside', first, other);
	for (let index = 0; index < 4; index++) {
		crashServer(records, [nameRequest(index, first, crashing), ...(index < 3 ? [beside] : [])], index * second);
	}

	expect([nameRequest('next', first, crashing), beside].map(request => classify(records, request, 4 * second))).toEqual(['rejected', 'suspect']);
});

test('a part that was at the same crashes as one request is not blamed for others', () => {
	const records = new CrashRecords();
	for (let index = 0; index < 3; index++) {
		crashServer(records, [nameRequest('repeated', crashing)], index * second);
	}

	expect([nameRequest('repeated', crashing), nameRequest('next', crashing)].map(request => classify(records, request, 3 * second))).toEqual(['rejected', 'suspect']);
	crashServer(records, [nameRequest('next', crashing)], 3 * second);
	expect(classify(records, nameRequest('third', crashing), 4 * second)).toBe('rejected');
});

test('of two parts that come together, the requests with both are rejected', () => {
	const records = new CrashRecords();
	for (let index = 0; index < 4; index++) {
		crashServer(records, [nameRequest(index, first, crashing)], index * second);
	}

	expect([[first, crashing], [first], [crashing]].map(parts => classify(records, nameRequest('next', ...parts), 4 * second))).toEqual(['rejected', 'suspect', 'suspect']);
});

test('two crashing parts at once are both rejected, and not those beside them', () => {
	const records = new CrashRecords();
	const [one, two] = ['one', 'two'].map(part => namePart(part));
	for (let index = 0; index < 6; index++) {
		crashServer(records, [nameRequest(index, first, index % 2 === 0 ? one : two), nameRequest(`beside-${index}`, first, other)], index * second);
		answer(records, nameRequest(`sound-${index}`, first, other), (index * second) + 1);
	}

	expect([[one], [two], [other], [first]].map(parts => classify(records, nameRequest('next', ...parts), 6 * second))).toEqual(['rejected', 'rejected', 'clean', 'clean']);
});

test('an answered part is rejected only after more crashes', () => {
	const records = new CrashRecords();
	answer(records, nameRequest('sound', crashing), 0);
	const states = [1, 2, 3, 4, 5].map(index => {
		crashServer(records, [nameRequest(index, crashing)], index * second);
		return classify(records, nameRequest('next', crashing), index * second);
	});
	expect(states).toEqual(['suspect', 'suspect', 'isolated', 'isolated', 'rejected']);
});

// Guards against an organisation that states parts of another's prompts on requests that crash servers.
test('crashes of one organisation do not reject the requests of another with the same part', () => {
	const records = new CrashRecords();
	const [owner, attacker] = ['owner', 'attacker'].map(organisation => namePart('system', organisation));
	for (let index = 0; index < 9; index++) {
		crashServer(records, [nameRequest(index, attacker), ...(index % 2 === 0 ? [nameRequest(`beside-${index}`, owner)] : [])], index * second);
	}

	expect(classify(records, nameRequest('next', attacker), 9 * second)).toBe('rejected');
	expect(classify(records, nameRequest('next', owner), 9 * second)).not.toBe('rejected');
	answer(records, nameRequest('sound', owner), 9 * second);
	expect(classify(records, nameRequest('next', owner), 10 * second)).toBe('clean');
});

test('a part that crashes servers for two organisations is rejected for a third, unless its requests were answered', () => {
	const records = new CrashRecords();
	const [one, two, third] = ['one', 'two', 'three'].map(organisation => namePart('system', organisation));
	for (let index = 0; index < 4; index++) {
		crashServer(records, [nameRequest(index, index < 3 ? one : two)], index * second);
	}

	expect([one, two, third].map(part => classify(records, nameRequest('next', part), 4 * second))).toEqual(['rejected', 'rejected', 'rejected']);
	answer(records, nameRequest('sound', third), 4 * second);
	expect(classify(records, nameRequest('next', third), 5 * second)).toBe('clean');
});

test('a rejected part is tried again after a time that doubles with each crash', () => {
	const records = new CrashRecords();
	const findTrial = (now: number) => {
		const state = classifyTraits(records, nameRequest('next', crashing), now);
		return state.kind === 'rejected' ? state.rejectedFor : 0;
	};

	const delays = [0, 1, 2, 3, 4].map(index => {
		crashServer(records, [nameRequest(index, crashing)], index * second);
		return findTrial(index * second);
	});
	expect(delays).toEqual([0, 0, 60_000, 120_000, 240_000]);
	expect(classify(records, nameRequest('next', crashing), (4 * second) + 240_000)).toBe('isolated');
	answer(records, nameRequest('tried', crashing), 250_000);
	expect(classify(records, nameRequest('next', crashing), 250_000)).toBe('clean');
});

test('crashes that another node reports late do not count after an answer', () => {
	const records = new CrashRecords();
	crashServer(records, [nameRequest(0, other)], 0);
	answer(records, nameRequest('sound', other), second);
	records.merge(other, [{server: 'i-late' as BackendServerId, age: 500, weight: 1}], second);
	expect(classify(records, nameRequest('next', other), second)).toBe('clean');
});

// Guards against a server error that clears the crashes of a request, which then may crash three servers again.
test('an error answer of a server does not clear a request', async () => {
	const call = new ScriptedCall({route: plannedRoutes.repeatable});
	await call.settle();
	call.findOpen()!.fail();
	await call.pass(50);
	call.findOpen()!.speak();
	await call.pass(50);
	expect([call.outcome?.status, call.placer.answered]).toEqual([200, [false, true]]);
});

// Guards against judgements that grow with all crashes: the node that schedules would stall when a whole fleet loses its servers.
test('after the crash of all of 150 servers, a thousand requests are judged within a second', () => {
	const records = new CrashRecords();
	for (let server = 0; server < 150; server++) {
		crashServer(records, Array.from({length: 10}, (_, index) => nameRequest(`${server}-${index}`, first, namePart(`subject-${(server + index) % 40}`))), server, 0.6);
	}

	const began = performance.now();
	for (let index = 0; index < 1000; index++) {
		classify(records, nameRequest(`next-${index}`, first, namePart(`subject-${index % 40}`)), second);
	}

	expect(performance.now() - began).toBeLessThan(1000);
});
