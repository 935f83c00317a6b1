// Nodes that use up their granted shares of a server's limit while the scheduling node changes.
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {CallWire} from '../platform/index.js';
import type {BackendServerId} from '../src/common/index.js';
import {ServerLimits} from '../src/planning/index.js';
import {createPlanRequest, createPlanner, shortOptions} from './helpers/planning.js';

const server = 'i-000' as BackendServerId;
const nodeCount = 6;

/** Share of the limit that the other nodes grant together as a fallback for the scheduling node. */
const fallbackShare = 0.3;

/** Length of a step and of a window, in milliseconds. */
const step = 20;
const windowLength = 4000;

/** A phase: the share of the limit that each node grants, and its duration in milliseconds. */
type Phase = {shares: number[]; duration: number};

/** Runs phases; returns the times of granted requests. */
function runPhases(rate: number, phases: Phase[]): number[] {
	const nodes = Array.from({length: nodeCount}, () => new ServerLimits());
	for (const node of nodes) {
		node.update({server, requestsPerSecond: rate, age: 0}, 0);
	}

	const granted: number[] = [];
	let now = 0;
	for (const {shares, duration} of phases) {
		for (const end = now + duration; now < end; now += step) {
			for (const [index, share] of shares.entries()) {
				const tokens = share > 0 ? Math.floor(nodes[index].countTokens(server, share, now)) : 0;
				for (let taken = 0; taken < tokens; taken++) {
					nodes[index].take(server, share, now);
					granted.push(now);
				}
			}
		}
	}

	return granted;
}

function findBusiest(granted: number[]): number {
	let [first, busiest] = [0, 0];
	for (const [last, at] of granted.entries()) {
		while (granted[first] < at - windowLength) {
			first++;
		}

		busiest = Math.max(busiest, last - first + 1);
	}

	return busiest;
}

function computeAllowed(rate: number): number {
	return (rate * windowLength / 1000 * 1.5) + 5;
}

/** Shares when one node decides for all. */
function decideAlone(scheduler: number): number[] {
	return Array.from({length: nodeCount}, (_, index) => index === scheduler ? 1 : 0);
}

/** Shares when one node decides and all others grant as a fallback. */
function grantFallback(scheduler: number): number[] {
	return Array.from({length: nodeCount}, (_, index) => index === scheduler ? 1 : fallbackShare / nodeCount);
}

/** Shares when the fleet is partitioned and each part has a scheduling node. */
function partition(scheduler: number, part: number): number[] {
	const shares = decideAlone(scheduler).map(share => share * part / nodeCount);
	shares[(scheduler + 1) % nodeCount] = (nodeCount - part) / nodeCount;
	return shares;
}

const phases = fc.array(fc.record({
	shares: fc.oneof(
		fc.nat(nodeCount - 1).map(scheduler => decideAlone(scheduler)),
		fc.nat(nodeCount - 1).map(scheduler => grantFallback(scheduler)),
		fc.tuple(fc.nat(nodeCount - 1), fc.integer({min: 1, max: nodeCount - 1})).map(([scheduler, part]) => partition(scheduler, part)),
	),
	duration: fc.oneof(fc.integer({min: 1500, max: 8000}), fc.constant(60_000)),
}), {minLength: 1, maxLength: 8});

test('grants of all nodes together stay within a limit while the scheduling node changes', () => {
	fc.assert(fc.property(fc.constantFrom(0, 0.1, 0.5, 1, 3, 10, 200), phases, (rate, drawn) => {
		expect(findBusiest(runPhases(rate, drawn))).toBeLessThanOrEqual(computeAllowed(rate));
	}), {seed: 46, numRuns: 200});
});

test.each([0.5, 1, 10, 200])('the scheduling node grants at least nine tenths of a limit of %d a second', rate => {
	const seconds = 20;
	const granted = runPhases(rate, [{shares: decideAlone(0), duration: seconds * 1000}]);
	expect(granted.length).toBeGreaterThanOrEqual(rate * seconds * 0.9);
});

test('an older report does not change a limit, and reordered answers do not lift it', () => {
	const limits = new ServerLimits();
	expect(limits.update({server, requestsPerSecond: 2, age: 0}, 1000)).toBe(true);
	expect(limits.update({server, requestsPerSecond: 9, age: 500}, 1200)).toBe(false);
	expect(limits.update({server, age: 0}, 1300)).toBe(false);
	expect(limits.findRate(server)).toBe(2);
	expect(limits.update({server, age: 0}, 1600)).toBe(true);
	expect(limits.findRate(server)).toBeUndefined();
	expect(limits.update({server, requestsPerSecond: 2, age: 700}, 1700)).toBe(false);
});

test('rejected requests get increasing retry delays, the first one until a token is free', () => {
	const planner = createPlanner(1);
	planner.limits.update({server, requestsPerSecond: 2, age: 0}, 0);
	const decide = (patience: number) => planner.decide(createPlanRequest(500, {...shortOptions, patience}), 0);
	expect(decide(4000).unsafeCoerce()).toMatchObject({kind: 'wait', reason: 'limit'});
	const returns = [decide(800), decide(800), decide(800)].map(decided => decided.swap().unsafeCoerce().retryAfterSeconds);
	expect(returns).toEqual([1, 1.5, 2]);
});

test('a request that has waited longer is sent before a new one', () => {
	const planner = createPlanner(1);
	planner.limits.update({server, requestsPerSecond: 1, age: 0}, 0);
	const first = createPlanRequest(500, {...shortOptions, patience: 8000});
	expect(planner.decide(first, 0).unsafeCoerce().kind).toBe('wait');
	expect(planner.decide({...first, waited: 900}, 900).unsafeCoerce().kind).toBe('wait');
	expect(planner.decide(createPlanRequest(500, {...shortOptions, patience: 8000}), 1000).unsafeCoerce().kind).toBe('wait');
	expect(planner.decide({...first, waited: 1010}, 1010).unsafeCoerce().kind).toBe('plan');
});

test.each([
	['2', 2],
	['0', 0],
	['0.25', 0.25],
	[' 12.5 ', 12.5],
	['-1', undefined],
	['1e9', undefined],
	['', undefined],
	['none', undefined],
	['1, 2', undefined],
	['Infinity', undefined],
])('parses a server limit of "%s" as %p', (text, rate) => {
	expect(new CallWire().readResponseHead(200, {'server-limit': text}).requestLimit).toBe(rate);
});

test('an answer of another server at the same address declares no limit', () => {
	expect(new CallWire().readResponseHead(421, {'server-limit': '2'}).requestLimit).toBeUndefined();
});
