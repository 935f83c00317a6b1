// Shares between organisations while room is scarce, and the times at which rejected callers come back.
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {quantile} from 'simple-statistics';
import {
	createLogger, type OrganisationId, type RequestFingerprint, type RequestId,
} from '../src/common/index.js';
import {
	computeCost, DecayingShares, maxOrganisations, maxReportedOrganisations, Planner, PrefillQueue, ReturnSchedule, ShareGate, type PlanRequest, type RoomForecast,
} from '../src/planning/index.js';
import {decodePlanUpdate, encodePlanUpdate, type PlanUpdate} from '../src/gateway/peers/plan-update.js';
import {parseGatewaySettings} from '../src/gateway/gateway-settings.js';
import {
	drawDay, replayRouted, workloads, type RoutedRecord, type Workload,
} from '../src/replay/routed/index.js';
import {LimitQueue} from '../src/planning/limit-queue.js';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, type ServerBehaviour} from './helpers/platform-standins.js';
import {
	createIds, createPlanRequest, createServers, engine, shortOptions,
} from './helpers/planning.js';

const memory = 3000;

const answerOk: ServerBehaviour = (request, response) => {
	response.writeHead(200, {...createAnswerHeaders(request), 'content-length': '2'});
	response.end('ok');
};

const names = ['a', 'b', 'c', 'd', 'e', 'large'].map(name => name as OrganisationId);
const quick = workloads.find(workload => workload.name === 'quick')!;

/** Six organisations of equal load for 15 s; the last one sends `factor` times as much in the middle third. Room for about 0.7 of a factor of 4. */
function createWorkload(factor: number, changes: Partial<Workload> = {}): Workload {
	const flows = names.map(organisation => ({
		...quick.flows[0], name: organisation, organisation, perSecond: 11.5,
	}));
	const calm = flows.map(() => 1);
	return {
		...quick, name: 'shares', flows, phases: [calm, calm.with(-1, factor), calm], phaseLength: 5000, losses: 0, hasRestart: false, ...changes,
	};
}

function replay(workload: Workload): RoutedRecord[] {
	return ['1', '2', '3', '4'].flatMap(seed => replayRouted(workload, drawDay(workload, seed)));
}

let burstRecords: {before: RoutedRecord[]; withShares: RoutedRecord[]} | undefined;

/** Days with the burst, without shares and with them. */
function replayBurst(): {before: RoutedRecord[]; withShares: RoutedRecord[]} {
	burstRecords ??= {before: replay(createWorkload(4)), withShares: replay(createWorkload(4, {sharesMemory: memory}))};
	return burstRecords;
}

/** Times to the first event of the organisations without a burst, during it. */
function listOthersFirst(records: RoutedRecord[]): number[] {
	return records
		.filter(({request: {at, flow}}) => at >= 5000 && at < 10_000 && flow.organisation !== 'large')
		.map(({outcome, firstAfter}) => outcome === 'whole' ? firstAfter : Infinity);
}

function countWhole(records: RoutedRecord[]): number {
	return records.filter(({outcome}) => outcome === 'whole').length;
}

test('a burst of one organisation raises the first-event times of the others to at most 1.2 of their times without it', () => {
	const calm = listOthersFirst(replay(createWorkload(1)));
	const [before, withShares] = Object.values(replayBurst()).map(records => listOthersFirst(records));
	expect(quantile(before, 0.5)).toBeGreaterThan(2 * quantile(calm, 0.5));
	for (const share of [0.5, 0.9, 0.95]) {
		expect(quantile(withShares, share)).toBeLessThanOrEqual(1.2 * quantile(calm, share));
	}
});

test('the room that others leave goes to the organisation with the burst', () => {
	const {before, withShares} = replayBurst();
	const countInTime = (records: RoutedRecord[]) => records.filter(({outcome, firstAfter, request}) => outcome === 'whole' && firstAfter <= request.flow.objective).length;
	const ofLarge = (records: RoutedRecord[]) => records.filter(({request}) => request.flow.organisation === 'large');
	expect(countInTime(withShares)).toBeGreaterThan(1.2 * countInTime(before));
	expect(countInTime(ofLarge(withShares))).toBeGreaterThan(countInTime(ofLarge(before)));
	expect(countWhole(withShares)).toBeGreaterThan(0.8 * countWhole(before));
});

test('with room for all no decision differs from those without shares', () => {
	const [without, withShares] = [undefined, memory].map(sharesMemory => replay(createWorkload(1.2, {sharesMemory, servers: 40})));
	expect(withShares).toEqual(without.map(record => ({...record, request: expect.anything()})));
});

test('requests without organisation and priority are placed as before while room is scarce', () => {
	const flows = createWorkload(4).flows.map(flow => ({...flow, organisation: undefined}));
	const placed = [undefined, memory].map(sharesMemory => countWhole(replay(createWorkload(4, {flows, sharesMemory}))));
	expect(placed[1]).toBe(placed[0]);
});

test('a more urgent kind is served in time at least as often as a less urgent one of the same organisation, and neither starves', () => {
	const flows = [1, 0].map(priority => ({
		...quick.flows[0], name: `priority-${priority}`, organisation: names[0], priority, perSecond: 54,
	}));
	const records = replay(createWorkload(1, {flows, phases: [[1, 1], [1, 1]], sharesMemory: memory}));
	const [lessUrgent, urgent] = flows.map(flow => {
		const own = records.filter(({request}) => request.flow === flow);
		return own.filter(({outcome, firstAfter}) => outcome === 'whole' && firstAfter <= flow.objective).length / own.length;
	});
	expect(urgent).toBeGreaterThan(0.9);
	expect(urgent).toBeGreaterThanOrEqual(lessUrgent - 0.05);
	expect(lessUrgent).toBeGreaterThan(0.2);
});

test('the usage of an organisation above its share ends as the memory does, and idleness earns no credit', () => {
	const shares = new DecayingShares(memory);
	const [a, b, large] = [names[0], names[1], names[5]];
	for (let now = 0; now < 5000; now += 50) {
		for (const [organisation, cost] of [[a, 10], [b, 10], [large, 40]] as const) {
			shares.recordDemand(organisation, cost, now);
			shares.recordUse(organisation, cost, now);
		}
	}

	// Usages 10, 10 and 40, of which 51 count as room: the fair level is 31.
	expect(shares.computeRatio(large, 5000)).toBeCloseTo(40 / 31, 1);
	expect(shares.computeRatio(a, 5000)).toBeLessThan(1);
	const newcomer = names[2];
	shares.recordUse(newcomer, 0, 5000);
	expect(shares.computeRatio(newcomer, 5050)).toBeGreaterThan(shares.computeRatio(a, 5050));
	for (let now = 5000; now < 20_000; now += 50) {
		shares.recordUse(a, 10, now);
		shares.recordUse(b, 10, now);
	}

	expect(shares.computeRatio(large, 20_000)).toBeLessThan(0.1);
});

test('weights divide the room unequally', () => {
	const shares = new DecayingShares(memory, new Map([[names[5], 4]]));
	for (let now = 0; now < 3000; now += 50) {
		shares.recordUse(names[0], 10, now);
		shares.recordUse(names[5], 40, now);
	}

	expect(shares.computeRatio(names[5], 3000)).toBeCloseTo(shares.computeRatio(names[0], 3000), 1);
	expect(shares.computeRatio(names[5], 3000)).toBeLessThan(1);
});

test('a bounded number of organisations is remembered, and those that send nothing are dropped', () => {
	const shares = new DecayingShares(memory);
	for (let index = 0; index < 2 * maxOrganisations; index++) {
		shares.recordUse(`organisation-${index}` as OrganisationId, 10 + index, index);
	}

	expect(shares.size).toBe(maxOrganisations);
	expect(shares.describe(600)).toHaveLength(maxReportedOrganisations);
	shares.recordUse(names[0], 10, 60_000);
	expect(shares.size).toBe(1);
});

test('a new scheduling node knows the usage of the earlier one but for the last second, and an old report lowers nothing', () => {
	const [earlier, later] = [new DecayingShares(memory), new DecayingShares(memory)];
	for (let now = 0; now < 5000; now += 50) {
		earlier.recordUse(names[0], 10, now);
		earlier.recordUse(names[5], 40, now);
	}

	const update: PlanUpdate = {
		service: 'model', node: 'edge-1', notes: [], usage: earlier.describe(4000),
	} as unknown as PlanUpdate;
	later.merge(decodePlanUpdate(encodePlanUpdate(update)).usage!, 4000);
	later.merge([{
		organisation: names[5], used: 1, asked: 1, age: 0,
	}], 5000);
	// One second of its share of the placed cost, which is 1 ms of a server in each millisecond.
	const missed = earlier.computeRatio(names[5], 5000) - later.computeRatio(names[5], 5000);
	expect(Math.abs(missed)).toBeLessThan(0.35);
	expect(later.computeRatio(names[5], 5000)).toBeGreaterThan(1);
	const tooMany = Array.from({length: maxReportedOrganisations + 1}, (_, index) => ({
		organisation: `organisation-${index}`, used: 1, asked: 1, age: 0,
	}));
	expect(() => decodePlanUpdate(encodePlanUpdate({...update, usage: tooMany} as unknown as PlanUpdate))).toThrow();
});

test('a less urgent request waits while a more urgent one could not be in time', () => {
	const gate = new ShareGate(memory);
	const [urgent, other] = [0, 1].map(priority => createPlanRequest(5000, {...shortOptions, priority}));
	const room = {
		finish: 400, idleFinish: 80, servers: 10, countFreeSlots: () => 0,
	};
	expect(gate.decide(other, room, engine, 0)).toEqual({kind: 'placed'});
	expect(gate.decide(urgent, room, engine, 10)).toEqual({kind: 'placed'});
	expect(gate.decide(other, room, engine, 20)).toMatchObject({kind: 'wait'});
	expect(gate.decide(urgent, room, engine, 30)).toEqual({kind: 'placed'});
});

test('prompts of organisations above their share are moved behind first where not all can be in time', () => {
	const [low, high] = [600, 500].map(objective => createPlanRequest(150_000, {objective}));
	const queue = new PrefillQueue();
	queue.join(high, 0, 1);
	queue.join(low, 0, 0);
	expect(queue.listAhead(low.requestId, engine, 1, 0)).toEqual([]);
	expect(queue.listAhead(high.requestId, engine, 1, 0)).toHaveLength(1);
});

test('requests that wait for a declared limit go by rank, then by arrival', () => {
	const queue = new LimitQueue();
	const [first, second, third] = ['x', 'y', 'z'].map(id => id as RequestId);
	queue.join(first, 0, 2);
	queue.join(second, 0, 0);
	queue.join(third, 0, 2);
	expect([first, second, third].map((id, index) => queue.countAhead(id, 10, [2, 0, 2][index]))).toEqual([1, 0, 2]);
});

test('a kind of which none was placed for too long goes before all others', () => {
	const gate = new ShareGate(memory);
	const [lessUrgent, urgent] = [1, 0].map(priority => createPlanRequest(0, {priority}));
	gate.recordHeld(lessUrgent, 0);
	expect(gate.computeRank(lessUrgent, 1000)).toBeGreaterThan(gate.computeRank(urgent, 1000));
	expect(gate.computeRank(lessUrgent, 1600)).toBeLessThanOrEqual(gate.computeRank(urgent, 1600));
	gate.recordPlaced(lessUrgent, undefined, 1600);
	expect(gate.computeRank(lessUrgent, 1600)).toBeGreaterThan(gate.computeRank(urgent, 1600));
});

test('rejected callers get distinct times, and one that comes back sooner keeps its own', () => {
	const schedule = new ReturnSchedule();
	const callers = Array.from({length: 50}, (_, index) => `caller-${index}` as RequestFingerprint);
	const times = callers.map(caller => schedule.assign(caller, {delay: 200, interval: 12}, 0));
	expect(new Set(times.map(time => Math.round(time))).size).toBe(50);
	expect(times[49] - times[0]).toBeCloseTo(49 * 12, 5);
	expect(schedule.assign(callers[49], {delay: 0, interval: 12}, 300)).toBeCloseTo(times[49] - 300, 5);
	expect(schedule.isDue(callers[49], 300)).toBe(false);
	expect(schedule.isDue(callers[49], times[49])).toBe(true);
});

test('a caller that comes back at its time goes before new requests of its rank, and is no new demand', () => {
	const gate = new ShareGate(memory);
	const back = createPlanRequest(5000, {...shortOptions, organisation: names[0], fingerprint: 'back' as RequestFingerprint});
	const early = createPlanRequest(5000, {...shortOptions, organisation: names[0], fingerprint: 'early' as RequestFingerprint});
	const retryIn = gate.scheduleReturn(back, 500, {servers: 10, engine}, 0);
	gate.scheduleReturn(early, 900, {servers: 10, engine}, 0);
	gate.recordArrival(back, engine, retryIn);
	expect(gate.shares.describe(retryIn)).toEqual([]);
	const fresh = createPlanRequest(5000, {...shortOptions, organisation: names[0], fingerprint: 'fresh' as RequestFingerprint});
	expect(gate.computeRank(back, retryIn)).toBeLessThan(gate.computeRank(fresh, retryIn));
	expect(gate.computeRank(early, retryIn)).toBe(gate.computeRank(fresh, retryIn));
});

test('the planner spreads the retry delays of prompts that cannot be served', () => {
	const planner = new Planner({ids: createIds(), engine, sharesMemory: memory});
	planner.setServers(createServers(2), engine);
	const delays = Array.from({length: 20}, (_, index) => {
		const request = createPlanRequest(300_000, {objective: 100, patience: 200, fingerprint: `caller-${index}` as RequestFingerprint});
		return planner.decide(request, 0).swap().unsafeCoerce().retryAfterSeconds!;
	});
	expect(new Set(delays).size).toBe(20);
});

/** Timeout in milliseconds of tests that run for some seconds in real time over real sockets. */
const fleetTestTimeout = 30_000;

test('with the setting, decisions are logged with the share used, and a new scheduling node knows the usage', async () => {
	const fleet = new GatewayFleet();
	const logs = [new LogCapture(), new LogCapture()];
	fleet.loggers.push(...logs.map(log => createLogger('info', log)));
	fleet.sharesMemorySeconds = 60;
	try {
		await fleet.start({nodes: 2, runners: [{service: 'app', behaviour: answerOk}]});
		fleet.store.put('config', 'main', createConfig(2, {tenants: [{name: 'guild', apiKeys: ['secret-key']}, {name: 'club', apiKeys: ['club-key']}]}));
		await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === 2 && gateway.state.configVersion === 2));
		const club = {path: '/again/', headers: {authorization: 'Bearer club-key'}};
		await fleet.call(club);
		await Promise.all(Array.from({length: 20}, async () => fleet.call({path: '/again/'})));
		const first = logs.findIndex(log => log.listEvents('placed').length > 0);
		expect(logs[first].listEvents('placed').at(-1)).toMatchObject({organisation: 'guild', isScarce: false});
		await waitUntil(() => logs[first].listEvents('placed').length === 21);
		await pause(1500);
		await fleet.gateways[first].stop();
		await fleet.call(club, 1 - first);
		const [taken] = logs[1 - first].listEvents('placed');
		// Alone, or taken for a newcomer, the club would be at 0.9 of its share or above.
		expect(taken).toMatchObject({organisation: 'club', isScarce: false});
		expect(taken.shareUsed).toBeLessThan(0.5);
	} finally {
		await fleet.stop();
	}
}, fleetTestTimeout);

test('the settings state how long usage is remembered', () => {
	const parse = (text: string) => parseGatewaySettings(text).swap().unsafeCoerce().map(({key}) => key);
	expect(parse('[organisation_shares]\nmemory_seconds = 3')).not.toContain('organisation_shares.memory_seconds');
	expect(parse('[organisation_shares]\nmemory_seconds = 0')).toContain('organisation_shares.memory_seconds');
});

function forecast(room: {free: number}): RoomForecast {
	return {
		finish: room.free > 0 ? 60 : 500, idleFinish: 60, servers: 1, countFreeSlots: () => room.free,
	};
}

/**
 * Requests that arrive in each step at a server with room for `slots` of them, and that ask until they are placed or rejected.
 *
 * Returns when each organisation was served, and the most room that was left in a step while a request waited.
 */
function serveSteadily(loads: number[], slots: number): {servedAt: number[][]; unused: number} {
	const gate = new ShareGate(memory);
	const servedAt: number[][] = loads.map(() => []);
	let waiting: Array<{request: PlanRequest; index: number; since: number}> = [];
	let unused = 0;
	for (let now = 0; now < 6000; now += 25) {
		const arrivals = loads.flatMap((load, index) => Array.from({length: load}, () => ({
			request: createPlanRequest(5000, {...shortOptions, organisation: names[index]}), index, since: now,
		})));
		for (const {request} of arrivals) {
			gate.recordArrival(request, engine, now);
		}

		const room = {free: slots};
		const asked = [...waiting, ...arrivals];
		waiting = [];
		for (const entry of asked) {
			const waited = now - entry.since;
			const request = {...entry.request, waited, objective: entry.request.objective - waited};
			const decision = gate.decide(request, forecast(room), engine, now);
			if (decision.kind === 'placed') {
				gate.recordPlaced(request, engine, now);
				servedAt[entry.index].push(now);
				room.free--;
			} else if (decision.kind === 'wait') {
				waiting.push(entry);
			}
		}

		unused = Math.max(unused, waiting.length > 0 ? room.free : 0);
	}

	return {servedAt, unused};
}

test('whatever the loads, every organisation with demand is served in bounded time, and no room is left unused while a request waits', () => {
	fc.assert(fc.property(fc.array(fc.integer({min: 1, max: 12}), {minLength: 2, maxLength: 6}), fc.integer({min: 1, max: 8}), (loads, slots) => {
		const {servedAt, unused} = serveSteadily(loads, slots);
		expect(unused).toBeLessThanOrEqual(0);
		for (const times of servedAt) {
			const gaps = [...times, 6000].map((at, index) => at - (times[index - 1] ?? 0));
			expect(Math.max(...gaps)).toBeLessThan(2000);
		}
	}), {seed: 7, numRuns: 20});
});

test('the cost of a request grows with its prompt and its answer, and a plain request costs 1', () => {
	expect(computeCost({promptTokens: 0, outputTokens: 0}, undefined)).toBe(1);
	const short = computeCost({promptTokens: 5000, outputTokens: 1000}, engine);
	expect(computeCost({promptTokens: 5000, outputTokens: 2000}, engine)).toBeGreaterThan(short);
	expect(computeCost({promptTokens: 200_000, outputTokens: 1000}, engine)).toBeGreaterThan(10 * short);
});
