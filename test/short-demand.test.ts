// Guards against long prefills that stall nearly all servers during a burst of short prompts: nothing waits when they start, and
// all short prompts of the next second are late.
import {expect, test} from '@jest/globals';
import {
	estimateOverflowLoss, PrefillDemand, ShortDemand, findBestOption, ServerLoad, type PlanRequest,
} from '../src/planning/index.js';
import {ActivePlans} from '../src/planning/active-plans.js';
import {
	createPlanner, createPlanRequest, createServers, engine, planNow, shortOptions,
} from './helpers/planning.js';

const burst = {interval: 33, time: 2000};

function createDemand(): ShortDemand {
	const demand = new ShortDemand();
	for (let at = 0; at < burst.time; at += burst.interval) {
		demand.add(createPlanRequest(5000, {...shortOptions, outputTokens: 1800}), at);
	}

	return demand;
}

function createLoads(count: number): ServerLoad[] {
	return createServers(count).map(server => new ServerLoad(server));
}

/** Servers that decode the answers of the burst. */
function createBusyLoads(): ServerLoad[] {
	const planner = createPlanner(9);
	const plans = new ActivePlans();
	plans.setServers(createServers(9));
	for (let index = 0; index < 45; index++) {
		const plan = planNow(planner, createPlanRequest(1000, {longestPause: undefined, objective: 300, patience: 10_000}));
		plans.add({...plan, server: createServers(9)[index % 9].id}, {engine, isLong: false, isDecidedHere: true}, 0);
	}

	return [...plans.loads.values()];
}

/** Number of servers for a prompt that is late already; undefined when none is worth it. */
function countServers(request: PlanRequest, demand: ShortDemand, loads = createBusyLoads()): number | undefined {
	const available = loads.map(load => ({load, freeIn: 0}));
	return findBestOption(available, {
		request, engine, demand: new PrefillDemand(), waitingLoss: 0, overrun: 0.15, shortForecast: demand.summarise(engine, burst.time), now: burst.time,
	})?.servers.length;
}

test('a late prompt leaves servers to a burst of short prompts', () => {
	const late = createPlanRequest(276_000, {objective: -1000, patience: 1300});
	expect(countServers(late, new ShortDemand())).toBe(8);
	expect(countServers(late, createDemand())).toBeUndefined();
});

// Guards against a forecast that outlasts its burst: a prompt was rejected beside idle servers.
test('a late prompt is prefilled by servers that are idle after a burst', () => {
	expect(countServers(createPlanRequest(276_000, {objective: -1000, patience: 1300}), createDemand(), createLoads(9))).toBe(8);
});

test('a prefill that is shorter than the objective of short prompts costs them nothing', () => {
	const forecast = createDemand().summarise(engine, burst.time)!;
	expect(estimateOverflowLoss(forecast, [], engine, 300)).toBe(0);
	expect(estimateOverflowLoss(forecast, [], engine, 1300)).toBeCloseTo(30.5 * 7500, -4);
	expect(estimateOverflowLoss(forecast, createLoads(9), engine, 1300)).toBe(0);
});

test('the demand of a burst is forgotten after two seconds', () => {
	expect(createDemand().summarise(engine, 2 * burst.time)).toBeUndefined();
});

test('a request that asks again is counted once', () => {
	const demand = new ShortDemand();
	demand.add(createPlanRequest(5000, {...shortOptions, waited: 50}), 0);
	expect(demand.summarise(engine, 0)).toBeUndefined();
});

// Guards against callers that wait for seconds and are rejected in the end, when a burst begins meanwhile.
test('a prompt that has waited for most of its time is prefilled in a burst that turns others away', () => {
	const late = createPlanRequest(276_000, {objective: -1000, patience: 1300});
	expect(countServers(late, createDemand())).toBeUndefined();
	expect(countServers({...late, waited: 9000}, createDemand())).toBeGreaterThan(0);
});
