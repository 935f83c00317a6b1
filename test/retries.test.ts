import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {FleetRetries, RetryWindow} from '../src/planning/index.js';

const whole = {ratio: 1, slack: 1};
const worth = 10_000;

test('retries stay within the share of ratio and slack, in every window', () => {
	const window = new RetryWindow({ratio: 0.2, slack: 20, window: 10_000});
	for (let index = 0; index < 100; index++) {
		window.addRequest(index * 10, worth);
	}

	let taken = 0;
	while (window.takeRetry(1000, {ratio: 0.7, slack: 0.7}, worth)) {
		taken++;
	}

	expect(taken).toBe(28);
	expect(window.takeRetry(9000, {ratio: 0.7, slack: 0.7}, worth)).toBe(false);
	expect(window.takeRetry(12_000, {ratio: 0.7, slack: 0.7}, worth)).toBe(true);
});

test('the last quarter of a budget is kept for requests that bring more than the mean one', () => {
	const window = new RetryWindow({ratio: 0, slack: 40, window: 10_000});
	for (const size of [5000, 5000, 5000, 45_000]) {
		window.addRequest(0, size);
	}

	let small = 0;
	while (window.takeRetry(1, whole, 5000)) {
		small++;
	}

	let large = 0;
	while (window.takeRetry(2, whole, 45_000)) {
		large++;
	}

	expect([small, large]).toEqual([30, 10]);
});

/** The fleet of a large site: calls a second, its budget, and how long it has run. */
const limits = {ratio: 0.2, slack: 460, window: 10_000};
const fleetSize = 195;
const reach = {live: fleetSize, known: fleetSize};
const perSecond = 160;

/** A decider, and the nodes that ask it, after so many milliseconds of calls. */
function serveCalls(until: number): {decider: FleetRetries; nodes: FleetRetries[]} {
	const decider = new FleetRetries(limits);
	const nodes = Array.from({length: fleetSize}, () => new FleetRetries(limits));
	for (let call = 0; call < until * perSecond / 1000; call++) {
		const at = call * 1000 / perSecond;
		decider.addDecided(at, worth);
		nodes[call % fleetSize].addOwn(at, worth);
	}

	return {decider, nodes};
}

test('a third of 150 servers die at once: of their 200 calls, on 60 of 195 nodes, each gets its retry', () => {
	const {decider, nodes} = serveCalls(20_000);
	const asked = Array.from({length: 200}, (_, index) => nodes[index % 60]);
	const granted = asked.filter(node => decider.grant(20_000, worth, reach) || node.takeAlone(20_000, worth, reach)).length;
	expect(granted).toBe(200);
	// Alone, each node has its own small part of the same budget.
	const alone = serveCalls(20_000).nodes.slice(0, 60);
	const withoutDecider = asked.filter((_, index) => alone[index % 60].takeAlone(20_000, worth, reach)).length;
	expect(withoutDecider).toBeLessThan(100);
});

test('an old decider, a new one and nodes alone never pass the budget together', () => {
	fc.assert(fc.property(fc.integer({min: 12_000, max: 20_000}), fc.integer({min: 0, max: 9000}), (changeAt, later) => {
		const {decider, nodes} = serveCalls(changeAt);
		const next = new FleetRetries(limits);
		let spent = 0;
		while (decider.grant(changeAt, worth, reach)) {
			spent++;
		}

		next.noteChange(changeAt);
		const requests = later * perSecond / 1000;
		for (let call = 0; call < requests; call++) {
			next.addDecided(changeAt + (call * 1000 / perSecond), worth);
		}

		while (next.grant(changeAt + later, worth, reach)) {
			spent++;
		}

		for (const node of nodes) {
			while (node.takeAlone(changeAt + later, worth, reach)) {
				spent++;
			}
		}

		const inWindow = perSecond * limits.window / 1000;
		return spent <= (limits.ratio * inWindow) + limits.slack;
	}), {seed: 7, numRuns: 40});
});

test('two halves of a fleet that do not hear each other have a decider each, and pass the budget in neither', () => {
	const sides = [0, 1].map(() => serveCalls(20_000).decider);
	const half = {live: 98, known: fleetSize};
	let spent = 0;
	for (const decider of sides) {
		while (decider.grant(20_000, worth, half)) {
			spent++;
		}
	}

	// Each side has counted all calls here, so only the slack is halved.
	expect(spent).toBeLessThanOrEqual((2 * 0.6 * limits.ratio * perSecond * 10) + (limits.slack * 0.51) + 2);
});

test('a node that has not decided for a while begins with the small share of a new decider', () => {
	const {decider} = serveCalls(20_000);
	decider.addDecided(30_000, worth);
	let granted = 0;
	while (decider.grant(30_000, worth, reach)) {
		granted++;
	}

	expect(granted).toBe(Math.floor((0.3 * 460) + (0.6 * 0.2)));
});
