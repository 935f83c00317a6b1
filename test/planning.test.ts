import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {
	AvailabilityZone, BackendServerId, BoxId, IdSource, PlanId, RequestId, ServiceName,
} from '../src/common/index.js';
import {
	computePassTime, computeReadTime, LongQueue, Planner, ServerHealth, type Decision, type Plan, type PlanRequest,
} from '../src/planning/index.js';
import type {BackendServer, EngineFigures} from '../src/routing/index.js';

const engine: EngineFigures = {
	slots: 11,
	memoryTokens: 315_000,
	stepTime: 0.85,
	stepTimePerWriter: 0.006,
	stepTimePerThousandContext: 0.002_85,
	readRate: 177,
	timePerMillionPairs: 0.184,
	stepsPerPass: 51,
};

function createIds(): IdSource {
	let count = 0;
	return {createUuid: () => `plan-${++count}`};
}

function createServers(count: number): BackendServer[] {
	return Array.from({length: count}, (_, index) => ({
		id: `i-${String(index).padStart(3, '0')}` as BackendServerId,
		service: 'model' as ServiceName,
		address: `10.0.0.${index}:80`,
		availabilityZone: 'a' as AvailabilityZone,
		slots: 11,
		isLeaving: false,
	}));
}

function createPlanner(count = 18): Planner {
	const planner = new Planner({ids: createIds(), engine});
	planner.setServers(createServers(count), engine);
	return planner;
}

let requestCount = 0;

function ask(promptTokens: number, changes: Partial<PlanRequest> = {}): PlanRequest {
	return {
		requestId: `r-${++requestCount}` as RequestId,
		service: 'model' as ServiceName,
		node: 'edge-1' as BoxId,
		promptTokens,
		outputTokens: 1600,
		waited: 0,
		objective: 3000,
		patience: 15_000,
		longestPause: 1000,
		excluded: [],
		...changes,
	};
}

const short = {objective: 300, patience: 10_000, longestPause: 250};

function expectPlan(decision: Decision): Plan {
	if (decision.kind !== 'plan') {
		throw new Error(`expected a plan, got a wait for ${decision.reason}`);
	}

	return decision.plan;
}

function planNow(planner: Planner, request: PlanRequest, now = 0): Plan {
	return expectPlan(planner.decide(request, now).unsafeCoerce());
}

test('a read grows with the square of its prompt and is divided evenly', () => {
	expect(computeReadTime(engine, 154_000)).toBeCloseTo(3052, 0);
	expect(computeReadTime(engine, 154_000, 4)).toBeCloseTo(763, 0);
	expect(computePassTime(engine, 0, 0)).toBeCloseTo(43.35, 2);
});

test('a long prompt is read by as many servers as its objective needs', () => {
	const plan = planNow(createPlanner(), ask(154_000));
	expect(plan.helpers.length).toBeGreaterThanOrEqual(3);
	expect(plan.expectedFirst).toBeLessThan(3000 * 0.25);
	expect(plan.startIn).toBe(0);
});

test('short prompts keep off the servers where long ones are read', () => {
	const planner = createPlanner();
	const long = planNow(planner, ask(154_000));
	const readers = new Set([long.server, ...long.helpers.map(helper => helper.server)]);
	for (let index = 0; index < 40; index++) {
		expect(readers.has(planNow(planner, ask(5000, short)).server)).toBe(false);
	}
});

test('a second long prompt waits in line rather than being planned far ahead', () => {
	const planner = createPlanner(4);
	planNow(planner, ask(154_000));
	const decision = planner.decide(ask(154_000), 1).unsafeCoerce();
	expect(decision.kind).toBe('wait');
	const later = ask(154_000, {waited: 3000, objective: 0, patience: 12_000});
	expect(planner.decide(later, 4000).unsafeCoerce().kind).toBe('plan');
});

test('a prompt above one server\'s memory sets the rest aside on its helpers', () => {
	const plan = planNow(createPlanner(), ask(500_000));
	const held = plan.helpers.reduce((sum, helper) => sum + helper.heldTokens, 0);
	expect(plan.ownTokens).toBeLessThanOrEqual(315_000);
	expect(plan.ownTokens + held).toBeGreaterThanOrEqual(501_600);
});

test('a prompt that cannot be read in its time is refused with a time to come back, after part of its time', () => {
	const planner = createPlanner(1);
	const early = planner.decide(ask(300_000, {patience: 2000}), 0).unsafeCoerce();
	expect(early.kind).toBe('wait');
	const failure = planner.decide(ask(300_000, {waited: 2000, patience: 2000}), 2000).swap().unsafeCoerce();
	expect(failure.kind).toBe('overloaded');
	expect(failure.retryAfterSeconds).toBeGreaterThan(0);
});

test('no server means a refusal at once', () => {
	const failure = createPlanner(0).decide(ask(5000, short), 0).swap().unsafeCoerce();
	expect(failure.kind).toBe('no_backend_server');
});

test('an excluded server is not chosen', () => {
	const planner = createPlanner(2);
	for (let index = 0; index < 5; index++) {
		expect(planNow(planner, ask(5000, {...short, excluded: ['i-001' as BackendServerId]})).server).toBe('i-000');
	}
});

test('a server that was not reached is left alone for a while and then tried again', () => {
	const planner = createPlanner(2);
	const plan = planNow(planner, ask(5000, short));
	planner.note({
		planId: plan.planId, kind: 'failed', server: plan.server, trouble: 'unreached',
	}, 0);
	planner.note({planId: plan.planId, kind: 'ended'}, 0);
	const others = [1, 2, 3].map(now => planNow(planner, ask(5000, short), now).server);
	expect(others).not.toContain(plan.server);
	const later = [1, 2, 3, 4, 5, 6].map(index => planNow(planner, ask(5000, short), 1100 + index).server);
	expect(later).toContain(plan.server);
});

test('a server that failed is not preferred for a request whose objective has passed', () => {
	const planner = createPlanner(4);
	const plan = planNow(planner, ask(5000, short));
	planner.note({
		planId: plan.planId, kind: 'failed', server: plan.server, trouble: 'spoiled',
	}, 0);
	planner.note({planId: plan.planId, kind: 'ended'}, 0);
	const late = planNow(planner, ask(5000, {...short, objective: -1500, patience: 3000}), 1);
	expect(late.server).not.toBe(plan.server);
	expect(late.expectedFirst).toBeGreaterThan(0);
});

test('one failed answer takes nobody out, many do while others are better', () => {
	const health = new ServerHealth();
	expect(health.recordTrouble('spoiled', 0)).toBe(false);
	expect([health.isResting(1), health.isDoubtful]).toEqual([false, false]);
	for (let index = 0; index < 4; index++) {
		health.recordTrouble('spoiled', index);
	}

	expect(health.isDoubtful).toBe(true);
	for (let index = 0; index < 5; index++) {
		health.recordSuccess();
	}

	expect(health.isDoubtful).toBe(false);
});

test('a server that stays silent is left alone longer each time, to a bound', () => {
	const health = new ServerHealth();
	let now = 0;
	const rests = Array.from({length: 6}, () => {
		const from = now;
		health.recordTrouble('silent', now);
		while (health.isResting(now)) {
			now += 100;
		}

		return now - from;
	});
	expect(rests).toEqual([1000, 2000, 4000, 8000, 8000, 8000]);
});

test('plans that their node does not carry out are forgotten, young ones are not', () => {
	const planner = createPlanner();
	const kept = planNow(planner, ask(5000, short), 0);
	planNow(planner, ask(5000, short), 0);
	planNow(planner, ask(5000, short), 900);
	expect(planner.reconcile('edge-1' as BoxId, new Set([kept.planId]), 1000)).toBe(1);
	expect(planner.planCount).toBe(2);
});

test('the plans of a dead node are forgotten, and those whose time is over', () => {
	const planner = createPlanner();
	planNow(planner, ask(5000, {...short, node: 'edge-2' as BoxId}), 0);
	planNow(planner, ask(5000, {...short, patience: 500}), 0);
	planner.forgetNode('edge-2' as BoxId);
	expect(planner.planCount).toBe(1);
	planner.prune(2000);
	expect(planner.planCount).toBe(0);
});

test('in line the shorter read goes first, and a long one\'s turn comes with time', () => {
	const queue = new LongQueue();
	const giant = ask(400_000);
	const busy = {startIn: 500, readEndsIn: 900};
	expect(queue.join(giant, {...busy, readTime: 400}, 0)).toBe(0);
	expect(queue.join(ask(50_000), {...busy, readTime: 30}, 10)).toBe(0);
	expect(queue.join(giant, {...busy, readTime: 400}, 20)).toBeGreaterThan(0);
	expect(queue.join(ask(50_000), {...busy, readTime: 30}, 3000)).toBeGreaterThan(0);
});

test('a read that ends before the first in line can begin goes ahead', () => {
	const queue = new LongQueue();
	queue.join(ask(100_000), {readTime: 10, startIn: 800, readEndsIn: 1200}, 0);
	const other = ask(200_000);
	expect(queue.join(other, {readTime: 500, startIn: 0, readEndsIn: 700}, 1)).toBe(0);
	expect(queue.join(other, {readTime: 500, startIn: 0, readEndsIn: 900}, 2)).toBeGreaterThan(0);
});

const tokensArbitrary = fc.oneof(fc.integer({min: 100, max: 24_000}), fc.integer({min: 24_000, max: 700_000}));

test('whatever is asked for, the memory that plans hold on a server never passes what it has', () => {
	fc.assert(fc.property(fc.array(tokensArbitrary, {maxLength: 60}), fc.integer({min: 1, max: 18}), (prompts, count) => {
		const planner = createPlanner(count);
		const held = new Map<BackendServerId, number>();
		for (const [index, tokens] of prompts.entries()) {
			planner.decide(ask(tokens, tokens < 24_000 ? short : {}), index * 5).ifRight(decision => {
				if (decision.kind === 'plan' && tokens >= 24_000) {
					const {plan} = decision;
					held.set(plan.server, (held.get(plan.server) ?? 0) + plan.ownTokens);
					for (const helper of plan.helpers) {
						held.set(helper.server, (held.get(helper.server) ?? 0) + helper.heldTokens);
					}
				}
			});
		}

		return [...held.values()].every(tokens => tokens <= engine.memoryTokens);
	}), {seed: 7, numRuns: 150});
});

test('when every plan has ended, a planner decides as a new one does', () => {
	fc.assert(fc.property(fc.array(tokensArbitrary, {maxLength: 40}), prompts => {
		const used = createPlanner();
		const plans: PlanId[] = [];
		for (const tokens of prompts) {
			used.decide(ask(tokens, tokens < 24_000 ? short : {}), 0).ifRight(decision => {
				if (decision.kind === 'plan') {
					plans.push(decision.plan.planId);
				}
			});
		}

		for (const planId of plans) {
			used.note({planId, kind: 'ended'}, 0);
		}

		const request = ask(5000, short);
		const later = 60_000;
		const fresh = planNow(createPlanner(), request, later);
		const again = planNow(used, request, later);
		return used.planCount === 1 && again.server === fresh.server && again.expectedFirst === fresh.expectedFirst;
	}), {seed: 7, numRuns: 100});
});

test('a pause shorter than all before does not leave short requests counted for ever', () => {
	const planner = createPlanner();
	const first = planNow(planner, ask(20_000, short));
	const second = planNow(planner, ask(20_000, {...short, longestPause: 60}));
	for (const plan of [first, second]) {
		planner.note({planId: plan.planId, kind: 'ended'}, 0);
	}

	const later = planNow(planner, ask(1000, {...short, longestPause: 60}), 60_000);
	const fresh = createPlanner();
	fresh.decide(ask(1000, {...short, longestPause: 60}), 60_000);
	expect([planner.planCount, planner.shortCount]).toEqual([1, fresh.shortCount]);
	expect(later.server).toBeDefined();
});

test('the same asks give the same decisions', () => {
	fc.assert(fc.property(fc.array(tokensArbitrary, {maxLength: 30}), prompts => {
		const [left, right] = [createPlanner(), createPlanner()];
		return prompts.every((tokens, index) => {
			const request = ask(tokens, tokens < 24_000 ? short : {});
			const decisions = [left, right].map(planner => JSON.stringify(planner.decide(request, index * 10).extract()));
			return decisions[0] === decisions[1];
		});
	}), {seed: 7, numRuns: 100});
});
