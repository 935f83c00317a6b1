import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {RequestId} from '../src/common/index.js';
import {
	computePassTime, computePrefillTime, PrefillQueue, type PlanRequest,
} from '../src/planning/index.js';
import {
	createPlanRequest, createPlanner, engine, planNow, shortOptions,
} from './helpers/planning.js';

test('queued prompts are considered by deadline', () => {
	const queue = new PrefillQueue();
	const [later, sooner, own] = [createPlanRequest(100_000, {objective: 2000}), createPlanRequest(100_000, {objective: 1000}), createPlanRequest(100_000, {objective: 3000})];
	for (const request of [later, sooner, own]) {
		queue.join(request, 0);
	}

	const ahead = queue.listAhead(own.requestId, engine, 16, 100);
	expect(ahead.map(request => request.requestId)).toEqual([sooner.requestId, later.requestId]);
	expect(ahead.map(request => request.objective)).toEqual([900, 1900]);
});

test('where not all prompts can be in time, those with the least value for their prefill time are moved behind', () => {
	const queue = new PrefillQueue();
	const largePrompt = createPlanRequest(700_000, {objective: 3000});
	const others = Array.from({length: 3}, () => createPlanRequest(150_000, {objective: 3200}));
	for (const request of [largePrompt, ...others]) {
		queue.join(request, 0);
	}

	expect(queue.listAhead(others[0].requestId, engine, 16, 0)).toEqual([]);
	expect(queue.listAhead(largePrompt.requestId, engine, 16, 0)).toHaveLength(3);
});

test('a request that does not ask again leaves the queue', () => {
	const queue = new PrefillQueue();
	const [abandoned, own] = [createPlanRequest(50_000, {objective: 1000}), createPlanRequest(50_000)];
	queue.join(abandoned, 0);
	queue.join(own, 700);
	queue.prune(700);
	expect(queue.listAhead(own.requestId, engine, 16, 700)).toEqual([]);
});

test('a prefill is split until decoding requests are not paused for too long', () => {
	const planner = createPlanner();
	for (let index = 0; index < 120; index++) {
		planNow(planner, createPlanRequest(2000, shortOptions));
	}

	const plan = planNow(planner, createPlanRequest(60_000, {objective: 1500, longestPause: 600}), 2000);
	const pass = computePassTime(engine, 11, 11 * 2000);
	expect(pass + computePrefillTime(engine, 60_000, plan.helpers.length + 1)).toBeLessThan(shortOptions.longestPause);
});

test('a prefill that exceeds accepted pauses uses the servers with the lowest loss, and waits when the loss is higher than its value', () => {
	const planner = createPlanner(6);
	const writers = Array.from({length: 12}, () => planNow(planner, createPlanRequest(2000, shortOptions)));
	const busy = new Set(writers.map(plan => plan.server));
	const reading = planNow(planner, createPlanRequest(250_000), 2000);
	const readers = [reading.server, ...reading.helpers.map(helper => helper.server)];
	expect(readers.filter(server => !busy.has(server))).toHaveLength(6 - busy.size);
	const saturated = createPlanner(1);
	for (let index = 0; index < 11; index++) {
		planNow(saturated, createPlanRequest(20_000, {...shortOptions, objective: 3000}));
	}

	expect(saturated.decide(createPlanRequest(60_000), 2000).unsafeCoerce()).toMatchObject({kind: 'wait', reason: 'writers'});
});

test('a prompt that can only be late uses few servers while others that can be in time keep arriving', () => {
	const planner = createPlanner();
	for (let index = 0; index < 12; index++) {
		const plan = planNow(planner, createPlanRequest(150_000, {requestId: `early-${index}` as RequestId}), index * 700);
		planner.recordEvent({planId: plan.planId, kind: 'ended'}, (index * 700) + 600);
	}

	const late = planNow(planner, createPlanRequest(500_000, {objective: 200, patience: 12_000}), 8500);
	expect(late.helpers.length).toBeLessThan(11);
});

test('a started or retried request is prefilled late where others would be rejected', () => {
	const decideLate = (changes: Partial<PlanRequest>) => {
		const planner = createPlanner();
		for (let index = 0; index < 60; index++) {
			const plan = planNow(planner, createPlanRequest(60_000), index * 150);
			planner.recordEvent({planId: plan.planId, kind: 'ended'}, (index * 150) + 140);
		}

		return planner.decide(createPlanRequest(650_000, {objective: -100, patience: 7000, ...changes}), 9100).isRight();
	};

	expect([decideLate({}), decideLate({hasTried: true}), decideLate({hasBegun: true})]).toEqual([false, true, true]);
});

test('a large prompt waits during a burst if its caller has three times the prefill time left, and is placed after the burst', () => {
	const planner = createPlanner();
	for (let index = 0; index < 60; index++) {
		const plan = planNow(planner, createPlanRequest(60_000), index * 150);
		planner.recordEvent({planId: plan.planId, kind: 'ended'}, (index * 150) + 140);
	}

	const largePrompt = (waited: number) => createPlanRequest(650_000, {
		requestId: 'giant' as RequestId, waited, objective: -100 - waited, patience: 14_000 - waited,
	});
	expect(planner.decide(largePrompt(0), 9100).unsafeCoerce().kind).toBe('wait');
	expect(planner.decide(largePrompt(5000), 14_100).unsafeCoerce().kind).toBe('plan');
});

test('a prompt never waits while free servers could serve it in time without loss', () => {
	fc.assert(fc.property(fc.integer({min: 24_000, max: 400_000}), fc.integer({min: 12, max: 40}), (tokens, count) => {
		const planner = createPlanner(count);
		return planner.decide(createPlanRequest(tokens), 0).unsafeCoerce().kind === 'plan';
	}), {seed: 7, numRuns: 200});
});

test('a prompt rejected at once could not have been served in time by all servers together', () => {
	fc.assert(fc.property(fc.integer({min: 1000, max: 900_000}), fc.integer({min: 1, max: 18}), fc.integer({min: 100, max: 12_000}), (tokens, count, objective) => {
		const planner = createPlanner(count);
		const request = createPlanRequest(tokens, {objective, patience: objective * 2});
		const least = computePrefillTime(engine, tokens, Math.min(16, count));
		return planner.decide(request, 0).caseOf({Left: () => least + computePassTime(engine, 1, 0) > objective * 0.9, Right: () => true});
	}), {seed: 7, numRuns: 300});
});
