// Guards against servers that count as free while a long prefill there takes longer than predicted: the next prompts of a burst
// were placed on them and waited for its end.
import {expect, test} from '@jest/globals';
import type {Plan, ServerLoad} from '../src/planning/index.js';
import {ActivePlans} from '../src/planning/active-plans.js';
import {
	createPlanRequest, createPlanner, createServers, engine, planNow,
} from './helpers/planning.js';

const promptTokens = 190_000;

/** Adds a prompt that one server prefills, and returns the load of that server and the predicted end. */
function addPrefill(): {plans: ActivePlans; plan: Plan; load: ServerLoad; end: number} {
	const plans = new ActivePlans();
	plans.setServers(createServers(1));
	const plan = planNow(createPlanner(1), createPlanRequest(promptTokens, {patience: 60_000}));
	plans.add(plan, {engine, isLong: true, isDecidedHere: true}, 0);
	const load = [...plans.loads.values()][0];
	return {
		plans, plan, load, end: load.findLongPrefillEnd(0),
	};
}

test('an overdue prefill occupies its server for a time that grows with its delay', () => {
	const {load, end} = addPrefill();
	const remaining = [100, 500, 1000].map(overdue => load.findLongPrefillEnd(end + overdue) - (end + overdue));
	expect(remaining[0]).toBeGreaterThan(0);
	expect(remaining[1]).toBeGreaterThan(remaining[0]);
	expect(remaining[2]).toBeGreaterThan(remaining[1]);
});

test('the first event frees the server of an overdue prefill', () => {
	const {plans, plan, load, end} = addPrefill();
	plans.recordStart(plan.planId, end + 500);
	expect(load.findLongPrefillEnd(end + 500)).toBe(end + 500);
	expect(load.computePendingPrefill(end + 500)).toBe(0);
});

test('a prefill whose first event is never reported frees its server after twice its time', () => {
	const {load, end} = addPrefill();
	expect(load.findLongPrefillEnd(end * 2)).toBe(end * 2);
});
