import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {
	AvailabilityZone, BackendServerId, BoxId, PlanId, RequestId,
} from '../src/common/index.js';
import {
	computePassTime, computePrefillTime, Planner, ServerHealth, type Plan,
} from '../src/planning/index.js';
import {
	createPlanRequest, createIds, createPlanner, createServers, engine, planNow, shortOptions,
} from './helpers/planning.js';

test('prefill time grows with the square of the prompt and is divided evenly', () => {
	expect(computePrefillTime(engine, 154_000)).toBeCloseTo(3052, 0);
	expect(computePrefillTime(engine, 154_000, 4)).toBeCloseTo(763, 0);
	expect(computePassTime(engine, 0, 0)).toBeCloseTo(43.35, 2);
});

test('a long prompt is prefilled by as many servers as its objective needs', () => {
	const plan = planNow(createPlanner(), createPlanRequest(154_000));
	expect(plan.helpers.length).toBeGreaterThanOrEqual(3);
	expect(plan.expectedFirst).toBeLessThan(3000 * 0.25);
	expect(plan.startIn).toBe(0);
});

test('short prompts avoid the servers that prefill long ones while others are faster', () => {
	const planner = createPlanner();
	const long = planNow(planner, createPlanRequest(154_000));
	const readers = new Set([long.server, ...long.helpers.map(helper => helper.server)]);
	const partTime = computePrefillTime(engine, 154_000, readers.size);
	const asSoon = (18 - readers.size) * Math.floor(partTime / computePrefillTime(engine, 5000));
	expect(asSoon).toBeGreaterThanOrEqual(12);
	for (let index = 0; index < asSoon; index++) {
		expect(readers.has(planNow(planner, createPlanRequest(5000, shortOptions)).server)).toBe(false);
	}
});

test('a second long prompt waits in the queue instead of being planned far ahead', () => {
	const planner = createPlanner(4);
	planNow(planner, createPlanRequest(154_000));
	const decision = planner.decide(createPlanRequest(154_000), 1).unsafeCoerce();
	expect(decision.kind).toBe('wait');
	const later = createPlanRequest(154_000, {waited: 3000, objective: 0, patience: 12_000});
	expect(planner.decide(later, 4000).unsafeCoerce().kind).toBe('plan');
});

test('a prompt larger than one server\'s memory reserves the rest on its helpers', () => {
	const plan = planNow(createPlanner(), createPlanRequest(500_000));
	const held = plan.helpers.reduce((sum, helper) => sum + helper.heldTokens, 0);
	expect(plan.ownTokens).toBeLessThanOrEqual(315_000);
	expect(plan.ownTokens + held).toBeGreaterThanOrEqual(501_600);
});

test('a prompt that cannot be prefilled in time is rejected at once with a retry delay', () => {
	const failure = createPlanner(1).decide(createPlanRequest(300_000, {objective: 2000, patience: 2000}), 0).swap().unsafeCoerce();
	expect(failure.kind).toBe('overloaded');
	expect(failure.retryAfterSeconds).toBeGreaterThan(0);
});

test('a request is rejected at once without any server', () => {
	const failure = createPlanner(0).decide(createPlanRequest(5000, shortOptions), 0).swap().unsafeCoerce();
	expect(failure.kind).toBe('no_backend_server');
});

test('of equal servers one in the zone of the node is used, and a better one in another zone nevertheless', () => {
	const planner = createPlanner(0);
	const zones = ['a', 'b', 'c'] as AvailabilityZone[];
	planner.setServers(createServers(9).map((server, index) => ({...server, availabilityZone: zones[index % zones.length]})), engine);
	const zoneOf = (server: BackendServerId) => zones[Number(server.slice(2)) % zones.length];
	for (let index = 0; index < 45; index++) {
		planNow(planner, createPlanRequest(1000, shortOptions));
	}

	const taken = zones.map(availabilityZone => zoneOf(planNow(planner, createPlanRequest(1000, {...shortOptions, availabilityZone}), 1000).server));
	expect(taken).toEqual(zones);
	const crowd = Array.from({length: 12}, () => zoneOf(planNow(planner, createPlanRequest(6000, {...shortOptions, availabilityZone: zones[0]}), 1000).server));
	expect(new Set(crowd).size).toBeGreaterThan(1);
});

test('an excluded server is not chosen', () => {
	const planner = createPlanner(2);
	for (let index = 0; index < 5; index++) {
		expect(planNow(planner, createPlanRequest(5000, {...shortOptions, excluded: ['i-001' as BackendServerId]})).server).toBe('i-000');
	}
});

test('an unreachable server is put in backoff and then tried again', () => {
	const planner = createPlanner(2);
	const plan = planNow(planner, createPlanRequest(5000, shortOptions));
	planner.recordEvent({
		planId: plan.planId, kind: 'failed', server: plan.server, trouble: 'unreached',
	}, 0);
	planner.recordEvent({planId: plan.planId, kind: 'ended'}, 0);
	const others = [1, 2, 3].map(now => planNow(planner, createPlanRequest(5000, shortOptions), now).server);
	expect(others).not.toContain(plan.server);
	const later = [1, 2, 3, 4, 5, 6].map(index => planNow(planner, createPlanRequest(5000, shortOptions), 1100 + index).server);
	expect(later).toContain(plan.server);
});

test('a server that is silent during a long prefill is not put in backoff, a silent one without a prefill is', () => {
	const planner = createPlanner(2);
	const long = planNow(planner, createPlanRequest(200_000, {requestId: 'long' as RequestId}));
	planner.recordEvent({
		planId: long.planId, kind: 'failed', server: long.server, trouble: 'silent',
	}, 500);
	planner.recordEvent({planId: long.planId, kind: 'ended'}, 500);
	const servers = (now: number) => new Set(Array.from({length: 20}, () => planNow(planner, createPlanRequest(1000, shortOptions), now).server));
	expect(servers(600).has(long.server)).toBe(true);
	planner.recordEvent({
		planId: long.planId, kind: 'failed', server: long.server, trouble: 'silent',
	}, 20_000);
	expect(servers(20_100).has(long.server)).toBe(false);
});

test('an objective counts from the first try of a caller that declares a shorter wait than others', () => {
	const planner = createPlanner();
	const fresh = {...shortOptions, route: 'chat', callerWaits: 10_000};
	for (let index = 0; index < 5; index++) {
		expect(planNow(planner, createPlanRequest(2000, fresh)).request.objective).toBe(300);
	}

	expect(planNow(planner, createPlanRequest(2000, {...fresh, callerWaits: 9980})).request.objective).toBe(300);
	expect(planNow(planner, createPlanRequest(2000, {...fresh, callerWaits: 8500})).request.objective).toBe(300 - 1500);
	expect(planNow(planner, createPlanRequest(2000, {...fresh, route: 'other', callerWaits: 8500})).request.objective).toBe(300);
});

test('a caller that waits longer than others does not make their calls look like retries', () => {
	const planner = createPlanner();
	for (let index = 0; index < 30; index++) {
		const callerWaits = index % 15 === 0 ? 30_000 : 10_000;
		const {objective} = planNow(planner, createPlanRequest(2000, {...shortOptions, route: 'chat', callerWaits}), index * 100).request;
		expect(index < 15 || objective === 300).toBe(true);
	}
});

/*
A third of the callers of a route declared a wait of 1e9 ms, and the reference was a quantile of all declared waits: the other callers
looked like retries of calls made that long ago, and their late objectives gave other requests precedence.
*/
test('callers that declare unbounded waits do not affect others of their route', () => {
	const planner = createPlanner();
	const objectives = Array.from({length: 120}, (_, index) => {
		const callerWaits = index % 3 === 0 ? 1e9 + index : 10_000 - (index % 20);
		return planNow(planner, createPlanRequest(2000, {...shortOptions, route: 'chat', callerWaits}), index * 100).request.objective;
	});
	expect(new Set(objectives.slice(10))).toEqual(new Set([300]));
	expect(planNow(planner, createPlanRequest(2000, {...shortOptions, route: 'chat', callerWaits: 8500}), 12_100).request.objective).toBe(300 - 1500);
});

test('a failed server is not preferred for a request whose objective has passed', () => {
	const planner = createPlanner(4);
	const plan = planNow(planner, createPlanRequest(5000, shortOptions));
	planner.recordEvent({
		planId: plan.planId, kind: 'failed', server: plan.server, trouble: 'spoiled',
	}, 0);
	planner.recordEvent({planId: plan.planId, kind: 'ended'}, 0);
	const late = planNow(planner, createPlanRequest(5000, {...shortOptions, objective: -1500, patience: 3000}), 1);
	expect(late.server).not.toBe(plan.server);
	expect(late.expectedFirst).toBeGreaterThan(0);
});

test('one failed answer does not make a server unreliable, several do until it recovers', () => {
	const health = new ServerHealth();
	expect(health.recordFailure('spoiled', 0)).toBe(false);
	expect([health.isBackingOff(1), health.isUnreliable(1)]).toEqual([false, false]);
	for (let index = 0; index < 4; index++) {
		health.recordFailure('spoiled', index);
	}

	expect(health.isUnreliable(4)).toBe(true);
	for (let index = 0; index < 5; index++) {
		health.recordSuccess(4);
	}

	expect(health.isUnreliable(4)).toBe(false);
});

test('the backoff of a server that stays silent grows to a maximum', () => {
	const health = new ServerHealth();
	let now = 0;
	const rests = Array.from({length: 6}, () => {
		const from = now;
		health.recordFailure('silent', now);
		while (health.isBackingOff(now)) {
			now += 100;
		}

		return now - from;
	});
	expect(rests).toEqual([1000, 2000, 4000, 8000, 8000, 8000]);
});

test('plans that their node does not run are released unless they are recent', () => {
	const planner = createPlanner();
	const kept = planNow(planner, createPlanRequest(5000, shortOptions), 0);
	planNow(planner, createPlanRequest(5000, shortOptions), 0);
	planNow(planner, createPlanRequest(5000, shortOptions), 900);
	expect(planner.reconcile('edge-1' as BoxId, new Set([kept.planId]), 1000)).toBe(1);
	expect(planner.planCount).toBe(2);
});

test('the plans of a failed node and expired plans are released', () => {
	const planner = createPlanner();
	planNow(planner, createPlanRequest(5000, {...shortOptions, node: 'edge-2' as BoxId}), 0);
	planNow(planner, createPlanRequest(5000, {...shortOptions, patience: 500}), 0);
	planner.releaseNode('edge-2' as BoxId, 0);
	expect(planner.planCount).toBe(1);
	planner.prune(2000);
	expect(planner.planCount).toBe(0);
});

test('a restarted server starts without plans or occupied memory, and events of its previous process do not affect it', () => {
	const planner = createPlanner(1);
	const [old, other] = createServers(2);
	const excluded = [other.id];
	const patientOptions = {
		objective: 30_000, patience: 60_000, longestPause: 30_000, excluded,
	};
	const waiting = createPlanRequest(270_000, patientOptions);
	const long = planNow(planner, createPlanRequest(270_000, patientOptions));
	expect(planner.decide(waiting, 20_000).unsafeCoerce()).toMatchObject({kind: 'wait', reason: 'memory'});
	planner.recordEvent({
		planId: long.planId, kind: 'failed', server: old.id, trouble: 'unreached',
	}, 20_000);
	const restarted = {...old, id: `${old.name}@2` as BackendServerId, entryRevision: 2};
	planner.setServers([restarted, other], engine);
	const next = planNow(planner, {...waiting, waited: 1}, 20_001);
	expect([next.server, next.startIn]).toEqual([restarted.id, 0]);
	planner.recordEvent({
		planId: long.planId, kind: 'failed', server: old.id, trouble: 'silent',
	}, 20_002);
	planner.recordEvent({planId: long.planId, kind: 'ended'}, 20_002);
	expect(planner.planCount).toBe(1);
	expect(planner.decide(createPlanRequest(270_000, patientOptions), 40_000).unsafeCoerce()).toMatchObject({kind: 'wait', reason: 'memory'});
});

// A server whose entry is overwritten by another writer accepts no new work until its own entry is back, while its plans continue.
// The planner used to start with an empty load then: a prompt was planned into memory that another prompt occupied, the server
// refused to reserve it, and decoding requests there were not counted. The same happened after a takeover in the meantime. Found by
// the model-based test of the planner, reduced to five steps.
test('a server that accepts new work again keeps its occupied memory, also after a takeover', () => {
	const servers = createServers(2);
	const first = createPlanner(1);
	const patientOptions = {objective: 30_000, patience: 60_000, longestPause: 30_000};
	const long = planNow(first, createPlanRequest(270_000, patientOptions));
	const createLargeRequest = () => createPlanRequest(200_000, patientOptions);
	const second = new Planner({ids: createIds(), engine});
	second.setServers(servers.slice(1), engine);
	second.adopt([long], 0);
	first.setServers([], engine);
	first.recordEvent({planId: long.planId, kind: 'started'}, 3000);
	for (const planner of [first, second]) {
		planner.setServers(servers.slice(0, 1), engine);
		const decided = planner.decide(createLargeRequest(), 20_000).unsafeCoerce();
		expect(decided).toMatchObject({kind: 'wait', reason: 'memory'});
		planner.recordEvent({planId: long.planId, kind: 'ended'}, 20_000);
		expect(planner.decide(createLargeRequest(), 20_000).unsafeCoerce().kind).toBe('plan');
	}
});

const tokensArbitrary = fc.oneof(fc.integer({min: 100, max: 24_000}), fc.integer({min: 24_000, max: 700_000}));

test('the memory that plans occupy on a server never exceeds its capacity', () => {
	fc.assert(fc.property(fc.array(tokensArbitrary, {maxLength: 60}), fc.integer({min: 1, max: 18}), (prompts, count) => {
		const planner = createPlanner(count);
		const held = new Map<BackendServerId, number>();
		for (const [index, tokens] of prompts.entries()) {
			planner.decide(createPlanRequest(tokens, tokens < 24_000 ? shortOptions : {}), index * 5).ifRight(decision => {
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

test('a planner whose plans have all ended decides like a new one', () => {
	fc.assert(fc.property(fc.array(tokensArbitrary, {maxLength: 40}), prompts => {
		const used = createPlanner();
		const plans: PlanId[] = [];
		for (const tokens of prompts) {
			used.decide(createPlanRequest(tokens, tokens < 24_000 ? shortOptions : {}), 0).ifRight(decision => {
				if (decision.kind === 'plan') {
					plans.push(decision.plan.planId);
				}
			});
		}

		for (const planId of plans) {
			used.recordEvent({planId, kind: 'ended'}, 0);
		}

		const request = createPlanRequest(5000, shortOptions);
		const later = 60_000;
		const fresh = planNow(createPlanner(), request, later);
		const again = planNow(used, request, later);
		return used.planCount === 1 && again.server === fresh.server && again.expectedFirst === fresh.expectedFirst;
	}), {seed: 7, numRuns: 100});
});

test('a pause shorter than all before does not leave short requests counted permanently', () => {
	const planner = createPlanner();
	const first = planNow(planner, createPlanRequest(20_000, shortOptions));
	const second = planNow(planner, createPlanRequest(20_000, {...shortOptions, longestPause: 60}));
	for (const plan of [first, second]) {
		planner.recordEvent({planId: plan.planId, kind: 'ended'}, 0);
	}

	const later = planNow(planner, createPlanRequest(1000, {...shortOptions, longestPause: 60}), 60_000);
	const fresh = createPlanner();
	fresh.decide(createPlanRequest(1000, {...shortOptions, longestPause: 60}), 60_000);
	expect([planner.planCount, planner.shortCount]).toEqual([1, fresh.shortCount]);
	expect(later.server).toBeDefined();
});

test('the same requests give the same decisions', () => {
	fc.assert(fc.property(fc.array(tokensArbitrary, {maxLength: 30}), prompts => {
		const [left, right] = [createPlanner(), createPlanner()];
		return prompts.every((tokens, index) => {
			const request = createPlanRequest(tokens, tokens < 24_000 ? shortOptions : {});
			const decisions = [left, right].map(planner => JSON.stringify(planner.decide(request, index * 10).extract()));
			return decisions[0] === decisions[1];
		});
	}), {seed: 7, numRuns: 100});
});

// When all connections to a server fell silent, each request waiting on one of them counted as a separate failure:
// three made the server unreliable, and it got no more requests while another server was available.
test('requests that find a server silent at the same time cause one backoff and do not make it unreliable', () => {
	const health = new ServerHealth();
	for (let index = 0; index < 8; index++) {
		health.recordFailure('silent', index);
	}

	expect([health.isBackingOff(500), health.isBackingOff(1500), health.isUnreliable(1500)]).toEqual([true, false, false]);
});

test('a server that is silent after each backoff becomes unreliable', () => {
	const health = new ServerHealth();
	for (const now of [0, 1500, 4000]) {
		health.recordFailure('silent', now);
	}

	expect(health.isUnreliable(4000)).toBe(true);
});

/** How long a request runs on the simulated servers, in milliseconds: about thirty run at once, on thirty-three slots. */
const runDuration = 1500;

/** Simulates three servers under load for `length` milliseconds, one of which fails every request until `recoversAt`; returns when it was given requests. */
function simulateFailing(recoversAt: number, length: number): number[] {
	const planner = createPlanner(3);
	const [bad] = createServers(1);
	const tried: number[] = [];
	const running: Array<{plan: Plan; endsAt: number}> = [];
	for (let now = 0; now < length; now += 50) {
		for (const {plan} of running.splice(0, running.findIndex(({endsAt}) => endsAt > now))) {
			planner.recordEvent({planId: plan.planId, kind: 'ended'}, now);
		}

		const plan = planNow(planner, createPlanRequest(2000, shortOptions), now);
		const isFailed = plan.server === bad.id && now < recoversAt;
		if (plan.server === bad.id) {
			tried.push(now);
		}

		if (isFailed) {
			planner.recordEvent({
				planId: plan.planId, kind: 'failed', server: plan.server, trouble: 'spoiled',
			}, now + 30);
			planner.recordEvent({planId: plan.planId, kind: 'ended'}, now + 30);
		} else {
			planner.recordEvent({planId: plan.planId, kind: 'started'}, now + 30);
			running.push({plan, endsAt: now + runDuration});
		}
	}

	return tried;
}

/*
A server that failed for a second never got work again while another server was available, however long it had been healthy: its failure
share changed only with its answers, and it was sent no requests (`isDoubtful` in the status, `spoiled: 0.83` a minute later).
*/
test('a recovered server gets work within half a minute', () => {
	const tried = simulateFailing(4000, 60_000);
	expect(tried.find(at => at >= 4000)).toBeLessThan(34_000);
	expect(tried.filter(at => at > 45_000).length).toBeGreaterThan(20);
});

test('a server that fails every request is tried with few requests, and less often over time', () => {
	const tried = simulateFailing(Infinity, 120_000);
	const count = (from: number, to: number) => tried.filter(at => at >= from && at < to).length;
	expect(count(0, 30_000)).toBeLessThan(20);
	expect(count(30_000, 120_000)).toBeGreaterThan(0);
	expect(count(30_000, 120_000)).toBeLessThanOrEqual(6);
});
