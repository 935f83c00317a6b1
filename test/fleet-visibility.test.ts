/*
 * Guards against overload after a power failure of all nodes. For a second after their restart each node decided alone, saw all servers as
 * free, and ordered them like every other node: of 680 prompts that 77 nodes placed, 480 went to the same six of 60 servers, 488 sends were
 * answered by 503, and their retries used up the budget for 75 prompts that were never served.
 */
import {expect, test} from '@jest/globals';
import type {AvailabilityZone, BackendServerId} from '../src/common/index.js';
import type {FleetVisibility} from '../src/planning/index.js';
import {
	drawDay, measureRouted, replayRouted, workloads,
} from '../src/replay/routed/index.js';
import {
	createPlanRequest, createPlanner, createServers, engine, expectPlan, planNow, shortOptions,
} from './helpers/planning.js';

const limited: FleetVisibility = {seen: 1, known: 4};
const full: FleetVisibility = {seen: 77, known: 77};

function countByServer(servers: BackendServerId[]): number[] {
	const counts = new Map<BackendServerId, number>();
	for (const server of servers) {
		counts.set(server, (counts.get(server) ?? 0) + 1);
	}

	return [...counts.values()].sort((left, right) => right - left);
}

test('nodes that decide alone spread short prompts over the servers', () => {
	const servers = Array.from({length: 77}, () => createPlanner(60)).flatMap(planner =>
		Array.from({length: 4}, () => expectPlan(planner.decide(createPlanRequest(5000, shortOptions), 0, limited).unsafeCoerce()).server));
	const counts = countByServer(servers);
	expect(counts.length).toBeGreaterThanOrEqual(38);
	expect(counts[0]).toBeLessThanOrEqual(20);
});

test('nodes that decide alone spread plain requests over the servers', () => {
	const servers = Array.from({length: 77}, () => planWithLimitedView(createPlanner(3), 0));
	const counts = countByServer(servers);
	expect(counts).toHaveLength(3);
	expect(counts[0]).toBeLessThanOrEqual(40);
});

function planWithLimitedView(planner: ReturnType<typeof createPlanner>, promptTokens: number): BackendServerId {
	return expectPlan(planner.decide(createPlanRequest(promptTokens, shortOptions), 0, limited).unsafeCoerce()).server;
}

test('a node that decides alone considers its own placements', () => {
	const planner = createPlanner(6);
	const servers = Array.from({length: 8}, () => planWithLimitedView(planner, 5000));
	expect(countByServer(servers)[0]).toBeLessThanOrEqual(2);
});

test('a prompt that needs several servers waits until its node sees the fleet, for at most a second', () => {
	const planner = createPlanner(60);
	const largePrompt = createPlanRequest(190_000);
	const first = planner.decide(largePrompt, 0, limited).unsafeCoerce();
	expect(first).toMatchObject({kind: 'wait', reason: 'sight'});
	const decision = planner.decide({...largePrompt, waited: 300, objective: 2700}, 300, full).unsafeCoerce();
	expect(decision.kind).toBe('plan');
	const isolated = createPlanner(60);
	isolated.decide(createPlanRequest(190_000), 0, limited);
	expect(isolated.decide(createPlanRequest(190_000), 1000, limited).unsafeCoerce().kind).toBe('plan');
});

test('a long prompt that one server prefills in time is placed at once', () => {
	expect(createPlanner(60).decide(createPlanRequest(45_000, {objective: 1500}), 0, limited).unsafeCoerce().kind).toBe('plan');
});

test('a node that sees half of the fleet decides like one that sees all of it', () => {
	const half = {seen: 2, known: 4};
	const request = createPlanRequest(5000, shortOptions);
	const plans = [half, full].map(visibility => expectPlan(createPlanner(60).decide(request, 0, visibility).unsafeCoerce()));
	expect(plans[0].server).toBe(plans[1].server);
	expect(planNow(createPlanner(60), request).server).toBe(plans[1].server);
});

test('a single server is used whatever the visibility', () => {
	expect(planWithLimitedView(createPlanner(1), 5000)).toBe('i-000');
	expect(expectPlan(createPlanner(1).decide(createPlanRequest(45_000), 0, limited).unsafeCoerce()).server).toBe('i-000');
});

test('a node that decides alone prefers its own zone among equal servers', () => {
	const planner = createPlanner(60);
	planner.setServers(createServers(60).map((server, index) => ({...server, availabilityZone: ['a', 'b', 'c'][index % 3] as AvailabilityZone})), engine);
	const {server} = expectPlan(planner.decide(createPlanRequest(5000, {...shortOptions, availabilityZone: 'b' as AvailabilityZone}), 0, limited).unsafeCoerce());
	expect(Number(server.slice(2)) % 3).toBe(1);
});

test('days with a restart of all nodes, which decide alone for a second, earn a share of at least 0.84 of the requested value', () => {
	const workload = workloads.find(({name}) => name === 'joint')!;
	const shares = ['a', 'b', 'c', 'd', 'e', 'f'].map(seed => {
		const day = drawDay(workload, seed);
		return measureRouted(workload, day, replayRouted(workload, day)).brought;
	});
	expect(shares.reduce((sum, share) => sum + share, 0) / shares.length).toBeGreaterThan(0.84);
});
