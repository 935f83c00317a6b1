// Reachability of servers from one node, judged from its attempts.
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {BackendServerId} from '../src/common/index.js';
import {ServerLinks, type LinkFailure} from '../src/routing/index.js';

const servers = ['i-0', 'i-1', 'i-2', 'i-3'] as BackendServerId[];

function createLinks(...failures: Array<[server: number, kind: LinkFailure, at: number]>): ServerLinks {
	const links = new ServerLinks();
	for (const [server, kind, at] of failures) {
		links.recordFailure(servers[server], kind, servers.length, at);
	}

	return links;
}

test('one failed server does not isolate a node', () => {
	const links = createLinks([0, 'connect', 0], [0, 'connect', 100]);
	expect([links.isolatedSince, links.isCut(servers[0]), links.isCut(servers[1])]).toEqual([undefined, true, false]);
});

test('failures at two servers raise suspicion, failures at four isolate a node since the first', () => {
	const links = createLinks([0, 'silent', 10], [1, 'connect', 30]);
	expect([links.isSuspicious(servers.length, 30), links.isolatedSince]).toEqual([true, undefined]);
	links.recordFailure(servers[2], 'broken', servers.length, 40);
	links.recordFailure(servers[3], 'connect', servers.length, 50);
	expect([links.isSuspicious(servers.length, 50), links.isolatedSince, links.isCut(servers[3])]).toEqual([false, 10, true]);
});

// Guards against servers that crash one after another making a node look isolated.
test('an answer of another server ends a suspicion', () => {
	const links = createLinks([0, 'broken', 10], [1, 'connect', 30]);
	links.recordAnswer(servers[2], true, 40);
	expect(links.isSuspicious(servers.length, 40)).toBe(false);
});

test('a silent server is avoided only once another node has reached it', () => {
	const links = createLinks([0, 'silent', 0]);
	expect([links.isCut(servers[0]), links.computeProbeDelay(0)]).toEqual([false, undefined]);
	links.markAvoided(servers[0], 10);
	expect([links.isCut(servers[0]), links.computeProbeDelay(0)]).toEqual([true, 250]);
	links.recordAnswer(servers[0], false, 20);
	expect(links.isCut(servers[0])).toBe(false);
});

test('the only server isolates a node', () => {
	const links = new ServerLinks();
	links.recordFailure(servers[0], 'connect', 1, 5);
	expect(links.isolatedSince).toBe(5);
});

// Guards against a node that is cut from some servers taking itself for isolated at each of their failed probes.
test('servers that have failed since before the last answer are no evidence', () => {
	const links = createLinks([0, 'connect', 0]);
	links.recordAnswer(servers[2], true, 10);
	links.recordFailure(servers[0], 'connect', servers.length, 20);
	links.recordFailure(servers[1], 'connect', servers.length, 30);
	expect(links.isolatedSince).toBeUndefined();
	links.recordFailure(servers[2], 'connect', servers.length, 40);
	links.recordFailure(servers[3], 'connect', servers.length, 50);
	expect(links.isolatedSince).toBe(30);
});

test('answers on open connections do not disprove that new ones are refused', () => {
	const links = createLinks([0, 'connect', 0]);
	links.recordAnswer(servers[0], false, 10);
	links.recordFailure(servers[1], 'connect', servers.length, 20);
	links.recordAnswer(servers[1], false, 30);
	links.recordFailure(servers[2], 'connect', servers.length, 35);
	links.recordFailure(servers[3], 'connect', servers.length, 35);
	expect(links.isolatedSince).toBe(0);
	links.recordAnswer(servers[2], true, 40);
	expect([links.isolatedSince, links.isCut(servers[0]), links.isCut(servers[2])]).toEqual([undefined, true, false]);
});

test('failures long ago are no evidence', () => {
	const links = createLinks([0, 'connect', 0], [1, 'connect', 6000]);
	expect(links.isolatedSince).toBeUndefined();
});

test('avoided links are probed less often the longer they have failed, and at once after a recovery', () => {
	const links = createLinks([0, 'connect', 0], [0, 'connect', 400], [1, 'connect', 500]);
	expect([links.listDue(749), links.listDue(750), links.listDue(800)]).toEqual([[], [servers[1]], [servers[0], servers[1]]]);
	links.expectRecovery();
	expect([links.listDue(500), links.computeProbeDelay(500)]).toEqual([[servers[0], servers[1]], 0]);
});

test('links to servers that are gone are forgotten', () => {
	const links = createLinks([0, 'connect', 0], [1, 'connect', 1]);
	links.prune(server => server === servers[1]);
	expect(links.describe(9, 11)).toEqual([{
		server: servers[1], failure: 'connect', isAvoided: true, failures: 1, age: 10,
	}]);
	links.prune(() => false);
	expect(links.isolatedSince).toBeUndefined();
});

/** Time between two attempts of the model at one server, in milliseconds. */
const attemptInterval = 100;

/** Time after the last change by which the judgement is right, in milliseconds. */
const settleTime = 2000;

type Change = {at: number; server: number | undefined; isReachable: boolean};

/** Runs attempts against links that change, and probes as the node does; evidence arrives late by up to `delay` milliseconds. */
function runModel(changes: Change[], delay: number, check: (now: number, reachable: boolean[], links: ServerLinks) => void): void {
	const links = new ServerLinks();
	const reachable = servers.map(() => true);
	const pending: Array<{server: BackendServerId; at: number; record: () => void}> = [];
	const end = Math.max(0, ...changes.map(({at}) => at)) + settleTime;
	for (let now = 0; now <= end; now += attemptInterval / 2) {
		for (const change of changes) {
			if (change.at > now - (attemptInterval / 2) && change.at <= now) {
				reachable.fill(change.isReachable, change.server ?? 0, change.server === undefined ? servers.length : change.server + 1);
			}
		}

		for (const {record} of pending.filter(({at}) => at <= now)) {
			record();
		}

		pending.splice(0, pending.length, ...pending.filter(({at}) => at > now));
		const due = new Set(links.listDue(now).filter(server => !pending.some(probe => probe.server === server)));
		for (const [index, server] of servers.entries()) {
			const isAttempted = links.isCut(server) ? due.has(server) || links.isolatedSince !== undefined : (now + index) % attemptInterval < attemptInterval / 2;
			if (isAttempted) {
				const at = now + ((now + index) % Math.max(1, delay));
				const isAnswered = reachable[index];
				pending.push({
					server,
					at,
					record() {
						if (isAnswered) {
							links.recordAnswer(server, true, at);
						} else {
							links.recordFailure(server, 'connect', servers.length, at);
						}
					},
				});
			}
		}

		check(now, reachable, links);
	}
}

const arbitraryChange: fc.Arbitrary<Change> = fc.record({at: fc.integer({min: 0, max: 4000}), server: fc.option(fc.nat(servers.length - 1), {nil: undefined}), isReachable: fc.boolean()});

test('the judgement is right two seconds after the last change', () => {
	fc.assert(fc.property(fc.array(arbitraryChange, {maxLength: 8}), fc.nat(200), (changes, delay) => {
		let last: [boolean[], boolean[], boolean] | undefined;
		runModel(changes, delay, (_now, reachable, links) => {
			last = [[...reachable], servers.map(server => links.isCut(server)), links.isolatedSince !== undefined];
		});
		const [reachable, cut, isIsolated] = last!;
		expect(isIsolated && reachable.includes(true)).toBe(false);
		expect(cut).toEqual(reachable.map(isReachable => !isReachable));
	}), {numRuns: 10_000, seed: 66});
}, 60_000);
