import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {RequestId} from '../src/common/index.js';
import {
	computePassTime, computePrefillTime, PrefillQueue, type PlanRequest,
} from '../src/planning/index.js';
import {
	createPlanRequest, createPlanner, engine, planNow, shortOptions,
} from './helpers/planning.js';

test('those in line are thought of by when they are due', () => {
	const line = new PrefillQueue();
	const [later, sooner, own] = [createPlanRequest(100_000, {objective: 2000}), createPlanRequest(100_000, {objective: 1000}), createPlanRequest(100_000, {objective: 3000})];
	for (const request of [later, sooner, own]) {
		line.join(request, 0);
	}

	const ahead = line.listAhead(own.requestId, engine, 16, 100);
	expect(ahead.map(request => request.requestId)).toEqual([sooner.requestId, later.requestId]);
	expect(ahead.map(request => request.objective)).toEqual([900, 1900]);
});

test('where not all can be in time, those that bring least for their reading go behind', () => {
	const line = new PrefillQueue();
	const giant = createPlanRequest(700_000, {objective: 3000});
	const others = Array.from({length: 3}, () => createPlanRequest(150_000, {objective: 3200}));
	for (const request of [giant, ...others]) {
		line.join(request, 0);
	}

	expect(line.listAhead(others[0].requestId, engine, 16, 0)).toEqual([]);
	expect(line.listAhead(giant.requestId, engine, 16, 0)).toHaveLength(3);
});

test('a request that does not ask again has left the line', () => {
	const line = new PrefillQueue();
	const [gone, own] = [createPlanRequest(50_000, {objective: 1000}), createPlanRequest(50_000)];
	line.join(gone, 0);
	line.join(own, 700);
	line.prune(700);
	expect(line.listAhead(own.requestId, engine, 16, 700)).toEqual([]);
});

test('a read is divided so far that those who write beside it are not paused too long', () => {
	const planner = createPlanner();
	for (let index = 0; index < 120; index++) {
		planNow(planner, createPlanRequest(2000, shortOptions));
	}

	const plan = planNow(planner, createPlanRequest(60_000, {objective: 1500, longestPause: 600}), 2000);
	const pass = computePassTime(engine, 11, 11 * 2000);
	expect(pass + computePrefillTime(engine, 60_000, plan.helpers.length + 1)).toBeLessThan(shortOptions.longestPause);
});

test('a read that would pause writers too long goes where they lose least, and waits when they lose more than it brings', () => {
	const planner = createPlanner(6);
	const writers = Array.from({length: 12}, () => planNow(planner, createPlanRequest(2000, shortOptions)));
	const busy = new Set(writers.map(plan => plan.server));
	const reading = planNow(planner, createPlanRequest(250_000), 2000);
	const readers = [reading.server, ...reading.helpers.map(helper => helper.server)];
	expect(readers.filter(server => !busy.has(server))).toHaveLength(6 - busy.size);
	const crowded = createPlanner(1);
	for (let index = 0; index < 11; index++) {
		planNow(crowded, createPlanRequest(20_000, {...shortOptions, objective: 3000}));
	}

	expect(crowded.decide(createPlanRequest(60_000), 2000).unsafeCoerce()).toMatchObject({kind: 'wait', reason: 'writers'});
});

test('a prompt that can only be late takes few servers while others that can be in time keep coming', () => {
	const planner = createPlanner();
	for (let index = 0; index < 12; index++) {
		const plan = planNow(planner, createPlanRequest(150_000, {requestId: `early-${index}` as RequestId}), index * 700);
		planner.recordEvent({planId: plan.planId, kind: 'ended'}, (index * 700) + 600);
	}

	const late = planNow(planner, createPlanRequest(500_000, {objective: 200, patience: 12_000}), 8500);
	expect(late.helpers.length).toBeLessThan(11);
});

test('who has begun or come back is read late where others would be refused', () => {
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

test('a giant that is too dear in a burst waits while its caller bears three times its reading, and is read when the burst is over', () => {
	const planner = createPlanner();
	for (let index = 0; index < 60; index++) {
		const plan = planNow(planner, createPlanRequest(60_000), index * 150);
		planner.recordEvent({planId: plan.planId, kind: 'ended'}, (index * 150) + 140);
	}

	const giant = (waited: number) => createPlanRequest(650_000, {
		requestId: 'giant' as RequestId, waited, objective: -100 - waited, patience: 14_000 - waited,
	});
	expect(planner.decide(giant(0), 9100).unsafeCoerce().kind).toBe('wait');
	expect(planner.decide(giant(5000), 14_100).unsafeCoerce().kind).toBe('plan');
});

test('nobody waits while servers that could serve it in time at no harm are free', () => {
	fc.assert(fc.property(fc.integer({min: 24_000, max: 400_000}), fc.integer({min: 12, max: 40}), (tokens, count) => {
		const planner = createPlanner(count);
		return planner.decide(createPlanRequest(tokens), 0).unsafeCoerce().kind === 'plan';
	}), {seed: 7, numRuns: 200});
});

test('what is refused at once could not have been served in time by all servers together', () => {
	fc.assert(fc.property(fc.integer({min: 1000, max: 900_000}), fc.integer({min: 1, max: 18}), fc.integer({min: 100, max: 12_000}), (tokens, count, objective) => {
		const planner = createPlanner(count);
		const request = createPlanRequest(tokens, {objective, patience: objective * 2});
		const least = computePrefillTime(engine, tokens, Math.min(16, count));
		return planner.decide(request, 0).caseOf({Left: () => least + computePassTime(engine, 1, 0) > objective * 0.9, Right: () => true});
	}), {seed: 7, numRuns: 300});
});
