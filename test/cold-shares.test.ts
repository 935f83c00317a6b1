// How many requests reach one cold server when several nodes grant its rate at the same time.
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	VirtualClock, type BackendServerId, type BoxId, type ServiceName,
} from '../src/common/index.js';
import {ColdShares} from '../src/gateway/scheduling/index.js';
import {ColdLimits, type ColdAllowance} from '../src/planning/index.js';

const server = 'i-1' as BackendServerId;
const service = 'model' as ServiceName;
const nodeCount = 12;

/** Length of a step of the simulation, in milliseconds. */
const step = 10;

/** Time for which the nodes run before the server appears, in milliseconds. */
const warmUp = 5000;

/** Time between a grant and the arrival at the server, in milliseconds: a plan waits up to 60 ms, and the request is in transit. */
const maxSendDelay = 65;

type Node = {name: BoxId; limits: ColdLimits; shares: ColdShares};

/** How each node finds its scheduling node during a phase, by index: of node 0, of node 1, or itself alone. */
type Selection = 'first' | 'second' | 'alone';

/** A phase: selections, whether nodes 0 and 1 take themselves for the scheduling node, and its duration in milliseconds. */
type Phase = {selections: Selection[]; preferred: [boolean, boolean]; duration: number};

function createNodes(clock: VirtualClock, allowance: ColdAllowance): Node[] {
	const names = Array.from({length: nodeCount}, (_, index) => `edge-${index}` as BoxId);
	return names.map(name => {
		const limits = new ColdLimits();
		limits.enable(allowance);
		const shares = new ColdShares({
			clock, allowance, self: () => name, listKnown: () => names.filter(other => other !== name), countSeen: () => nodeCount, countKnown: () => nodeCount,
		});
		return {name, limits, shares};
	});
}

/** Runs phases with a server that is cold all the time; returns the times at which requests reach it. `demand` in requests per second of the fleet. */
function run({phases, rate, demand, delays, allowance}: {phases: Phase[]; rate: number; demand: number; delays: number[]; allowance: ColdAllowance}): number[] {
	const clock = new VirtualClock();
	const nodes = createNodes(clock, allowance);
	const arrivals: number[] = [];
	let asks = 0;
	let due = 0;
	const selected = nodes.map(() => ({decider: 0, since: -warmUp}));
	const ask = (phase: Phase) => {
		const asking = asks++ % nodeCount;
		const selection = phase.selections[asking];
		const decidingIndex = selection === 'alone' ? asking : (selection === 'first' ? 0 : 1);
		const decider = nodes[decidingIndex];
		const now = clock.readMonotonic();
		if (selection !== 'alone') {
			const {decider: previous, since} = selected[asking];
			selected[asking] = {decider: decidingIndex, since: previous === decidingIndex ? since : now};
			decider.shares.recordAsk(service, nodes[asking].name, now - selected[asking].since);
		}

		const isPreferred = selection !== 'alone' && decidingIndex < 2 && phase.preferred[decidingIndex];
		const share = decider.shares.findShare(service, isPreferred)(server);
		if (now >= warmUp && decider.limits.countTokens(server, share, now) >= 1) {
			decider.limits.take(server, now);
			arrivals.push(now + delays[arrivals.length % delays.length]);
		}
	};

	const first: Phase = {selections: decideTogether, preferred: [true, false], duration: warmUp};
	for (const phase of [first, ...phases]) {
		for (const end = clock.readMonotonic() + phase.duration; clock.readMonotonic() < end;) {
			if (clock.readMonotonic() === warmUp) {
				for (const {limits} of nodes) {
					limits.update(server, 60_000, rate, warmUp);
				}
			}

			for (due += demand * step / 1000; due >= 1; due--) {
				ask(phase);
			}

			clock.advance(step);
		}
	}

	return arrivals.sort((left, right) => left - right);
}

const decideTogether = Array.from({length: nodeCount}, (): Selection => 'first');

function countBusiestSecond(arrivals: number[]): number {
	let first = 0;
	return Math.max(0, ...arrivals.map((at, last) => {
		while (arrivals[first] < at - 1000) {
			first++;
		}

		return last - first + 1;
	}));
}

const selections = fc.oneof(
	fc.constant(decideTogether),
	fc.array(fc.constantFrom<Selection>('first', 'second', 'alone'), {minLength: nodeCount, maxLength: nodeCount}),
	fc.integer({min: 0, max: nodeCount}).map(part => decideTogether.map((_, index): Selection => index < part ? 'first' : 'second')),
	fc.constant(decideTogether.map((): Selection => 'alone')),
);

const phases = fc.array(fc.record({
	selections, preferred: fc.tuple(fc.boolean(), fc.boolean()), duration: fc.constantFrom(300, 1000, 2500, 6000),
}), {minLength: 1, maxLength: 7});

// Guards against nodes that each keep a token for a cold server: as many requests as there are nodes would come on top of its rate.
test('in no second does a cold server get more requests than allowed, with one scheduling node, several, a change of it or none', () => {
	const allowance = {overage: 1.5, slack: 5};
	fc.assert(fc.property(fc.record({
		phases, rate: fc.constantFrom(1, 5, 17, 60), demand: fc.constantFrom(20, 100, 400), delays: fc.array(fc.integer({min: 0, max: maxSendDelay}), {minLength: 1, maxLength: 7}),
	}), drawn => {
		expect(countBusiestSecond(run({...drawn, allowance}))).toBeLessThanOrEqual((drawn.rate * allowance.overage) + allowance.slack);
	}), {seed: 17, numRuns: 300});
});

test.each([[1, 5], [1, 0], [1.2, 1], [1.5, 2], [2, 10]])('the bound is kept with an overage of %d and a slack of %d', (overage, slack) => {
	const allowance = {overage, slack};
	fc.assert(fc.property(phases, drawn => {
		const arrivals = run({
			phases: drawn, rate: 17, demand: 200, delays: [0], allowance,
		});
		expect(countBusiestSecond(arrivals)).toBeLessThanOrEqual((17 * overage) + slack);
	}), {seed: 18, numRuns: 30});
});

test('a scheduling node that sees the fleet uses at least 0.8 of the cold rate in each second', () => {
	const arrivals = run({
		phases: [{selections: decideTogether, preferred: [true, false], duration: 10_000}], rate: 17, demand: 100, delays: [0], allowance: {overage: 1.5, slack: 5},
	});
	const perSecond = Array.from({length: 9}, (_, second) => arrivals.filter(at => at >= warmUp + (second * 1000) && at < warmUp + ((second + 1) * 1000)).length);
	expect(Math.min(...perSecond)).toBeGreaterThanOrEqual(17 * 0.8);
});

test('nodes that start together grant nothing until they can know each other', () => {
	const clock = new VirtualClock();
	const nodes = createNodes(clock, {overage: 1.5, slack: 5});
	const sumShares = () => nodes.reduce((sum, {shares}) => sum + shares.findShare(service, true)(server), 0);
	expect(sumShares()).toBe(0);
	clock.advance(1400);
	expect(sumShares()).toBe(0);
});
