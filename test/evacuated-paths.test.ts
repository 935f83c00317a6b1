// Every path by which a request, or a part of one, reaches a server: none leads into a zone that the node knows to be evacuated.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {
	createLogger, VirtualClock, type AvailabilityZone, type BackendServerId, type ServiceName,
} from '../src/common/index.js';
import {ServerProbe} from '../src/gateway/calls/server-probe.js';
import type {NodeStatus} from '../src/gateway/index.js';
import {runCommand} from './helpers/commands.js';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {pause} from './helpers/pause.js';
import {plannedRoutes, type PlannedCallSpec} from './helpers/planned-calls.js';
import {PlannedFleet, type PlannedFleetOptions, type PlannedStep} from './helpers/planned-fleet.js';
import {createTextAnswer} from './helpers/platform-standins.js';
import {ScriptedCall, streamLength, type ScriptedCallOptions} from './helpers/scripted-call.js';

const testTimeout = 30_000;

/** Time within which every node must act on a change, in milliseconds. */
const applyBound = 2000;

const seed = 20_261_203;
const runs = 60;

const app = 'app' as ServiceName;

let fleet: GatewayFleet;
const logs: LogCapture[] = [];

beforeEach(() => {
	fleet = new GatewayFleet();
	fleet.evacuateWithin = 5000;
	logs.push(new LogCapture(), new LogCapture(), new LogCapture());
	fleet.loggers.push(...logs.map(log => createLogger('debug', log)));
});

afterEach(async () => {
	await fleet.stop();
	logs.length = 0;
});

function listServers(call: ScriptedCall): string[] {
	return call.sends.map(send => send.server);
}

/** Lets the newest send answer to its end. */
async function complete(call: ScriptedCall): Promise<void> {
	for (let event = 0; event <= streamLength; event++) {
		call.findOpen()?.speak();
		await call.settle();
	}
}

// The scheduling node of these calls does not know of the evacuation.

test.each([['stream', plannedRoutes.stream], ['once', plannedRoutes.once]])('a first try of kind %s avoids an evacuated server of its plan, without a retry of the budget', async (_, route) => {
	const call = new ScriptedCall({route, retries: 0});
	call.evacuate('i-0');
	await call.settle();
	await complete(call);
	expect([listServers(call), call.outcome?.status, call.outcome?.sends]).toEqual([['i-1'], 200, 1]);
});

test('a plan granted before an evacuation is not sent at its start', async () => {
	const call = new ScriptedCall({startIn: 200});
	await call.pass(100);
	call.evacuate('i-0');
	await call.pass(400);
	await complete(call);
	expect([listServers(call), call.outcome?.status]).toEqual([['i-1'], 200]);
});

test('a plan whose zone is evacuated while memory is reserved is not sent, and its memory is released', async () => {
	const call = new ScriptedCall({needsMemory: true});
	await call.settle();
	call.evacuate('i-0');
	await call.pass(100);
	await complete(call);
	expect([listServers(call), call.outcome?.status, call.leases]).toEqual([['i-1'], 200, 0]);
});

const breaks: Array<[string, ScriptedCallOptions, (call: ScriptedCall) => void, boolean]> = [
	['the next server after a decline', {}, call => {
		call.findOpen()!.decline();
	}, false],
	['a retry after an error answer', {route: plannedRoutes.repeatable}, call => {
		call.findOpen()!.fail();
	}, false],
	['a resumed stream', {}, call => {
		call.findOpen()!.breakOff();
	}, true],
	['an attempt after the restart of a server', {}, call => {
		call.restart('i-0');
	}, true],
];

test.each(breaks)('%s is not at an evacuated server', async (_name, options, end, hasBegun) => {
	const call = new ScriptedCall(options);
	await call.settle();
	if (hasBegun) {
		call.findOpen()!.speak();
		await call.settle();
	}

	call.evacuate('i-1');
	end(call);
	await call.pass(200);
	await complete(call);
	expect([listServers(call), call.outcome?.status]).toEqual([['i-0', 'i-2'], 200]);
});

test('a hedge beside a silent server is not at an evacuated server', async () => {
	const call = new ScriptedCall();
	await call.settle();
	call.evacuate('i-1');
	await call.pass(1900);
	await complete(call);
	expect([listServers(call), call.outcome?.status]).toEqual([['i-0', 'i-2'], 200]);
});

test('a request that runs in a zone completes there during its evacuation', async () => {
	const call = new ScriptedCall();
	await call.settle();
	call.findOpen()!.speak();
	call.evacuate('i-0');
	await complete(call);
	expect([listServers(call), call.sink.events, call.outcome?.status]).toEqual([['i-0'], [1, 2, 3, 4], 200]);
});

test('with all servers evacuated a request is rejected as not run, with a retry delay', async () => {
	const call = new ScriptedCall({route: plannedRoutes.once});
	for (const {id} of call.servers) {
		call.evacuate(id);
	}

	await call.settle();
	expect([listServers(call), call.outcome?.failure?.kind, call.outcome?.status]).toEqual([[], 'no_backend_server', 503]);
});

test('a server of an evacuated zone is not probed', async () => {
	// The address would refuse a connection, which counts as an end.
	const probe = new ServerProbe({clock: new VirtualClock(), findServer: () => undefined, isLive: () => true});
	expect(await probe.hasEnded('i-0' as BackendServerId)).toBe(false);
});

const arbitraryTime = fc.integer({min: 0, max: 4000});

const arbitraryCall: fc.Arbitrary<PlannedCallSpec> = fc.record({
	at: arbitraryTime,
	node: fc.nat(2),
	route: fc.constantFrom('stream', 'stream', 'longStream', 'repeatable', 'once'),
	promptTokens: fc.oneof({weight: 2, arbitrary: fc.integer({min: 100, max: 6000})}, {weight: 1, arbitrary: fc.integer({min: 30_000, max: 600_000})}),
	events: fc.integer({min: 1, max: 60}),
});

const arbitraryStep: fc.Arbitrary<PlannedStep> = fc.oneof(
	{
		weight: 3,
		arbitrary: fc.record({
			at: arbitraryTime, kind: fc.constant('evacuate' as const), zone: fc.nat(2), time: fc.integer({min: 50, max: 3000}),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			at: arbitraryTime, kind: fc.constant('delay' as const), time: fc.integer({min: 100, max: 2000}), by: fc.constantFrom(40, 80, 150),
		}),
	},
	{
		weight: 1,
		arbitrary: fc.record({
			at: arbitraryTime, kind: fc.constant('stall' as const), server: fc.nat(9), time: fc.integer({min: 500, max: 4000}),
		}),
	},
	{weight: 1, arbitrary: fc.record({at: arbitraryTime, kind: fc.constant('drain' as const), server: fc.nat(9)})},
);

const arbitraryFleet: fc.Arbitrary<PlannedFleetOptions> = fc.record({
	modelServers: fc.integer({min: 2, max: 8}),
	plainServers: fc.integer({min: 1, max: 3}),
	nodes: fc.integer({min: 1, max: 3}),
	slowdown: fc.constantFrom(1, 1.3),
	// The scheduling node, the first one, may know of an evacuation later than the others.
	viewDelays: fc.array(fc.constantFrom(0, 20, 300), {minLength: 1, maxLength: 3}),
	calls: fc.array(arbitraryCall, {minLength: 5, maxLength: 40, size: 'max'}),
	steps: fc.array(arbitraryStep, {minLength: 1, maxLength: 12, size: 'max'}),
	zones: fc.integer({min: 2, max: 3}),
});

/** Prompts that need the memory of two servers, which are planned while the scheduling node does not know of the evacuation yet. */
const arbitraryLongFleet: fc.Arbitrary<PlannedFleetOptions> = fc.record({
	modelServers: fc.integer({min: 4, max: 8}),
	plainServers: fc.constant(1),
	nodes: fc.constant(2),
	slowdown: fc.constant(1),
	viewDelays: fc.constant([600, 0]),
	calls: fc.array(fc.record({
		at: fc.integer({min: 0, max: 2000}), node: fc.constant(1), route: fc.constant('longStream' as const), promptTokens: fc.integer({min: 330_000, max: 600_000}), events: fc.constant(10),
	}), {minLength: 3, maxLength: 8, size: 'max'}),
	steps: fc.array(fc.record({
		at: fc.integer({min: 0, max: 2000}), kind: fc.constant('evacuate' as const), zone: fc.nat(2), time: fc.constant(1500),
	}), {minLength: 2, maxLength: 4, size: 'max'}),
	zones: fc.constant(3),
});

// Covers the planner of the scheduling node, that of a node whose scheduling node is silent, hedges, long prompts with helpers and reservations, and requests in progress.
test('evacuations send nothing into a zone that the node knows to be evacuated, and abort no started answer', async () => {
	await fc.assert(fc.asyncProperty(fc.oneof({weight: 2, arbitrary: arbitraryFleet}, {weight: 1, arbitrary: arbitraryLongFleet}), async options => {
		const planned = new PlannedFleet(options);
		await planned.run();
		expect(planned.violations).toEqual([]);
	}), {seed, numRuns: runs});
}, 120_000);

async function startFleet(nodes: number): Promise<void> {
	await fleet.start({nodes: 0, runners: [0, 1].map(index => ({service: 'app', behaviour: createTextAnswer(`from ${index}`)}))});
	fleet.putServer(1, 'app', 'ready', undefined, 'south');
	await fleet.startTogether(nodes);
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes && gateway.state.listServers(app).length === 2));
}

function areServersUsable(count: number): boolean {
	return fleet.gateways.every(gateway => gateway.state.listServers(app).length === count);
}

function findStatusAddress(node: number): string {
	return `${fleet.settings[node].listen.callers.split(':')[0]}:${fleet.settings[node].metrics_port}`;
}

async function readStatus(node: number): Promise<NodeStatus> {
	const json = await runCommand('status', findStatusAddress(node), '--json');
	return JSON.parse(json.out) as NodeStatus;
}

async function callAll(): Promise<string[]> {
	const answers = await Promise.all(Array.from({length: 12}, async (_, index) => fleet.call({path: '/again/'}, index % fleet.gateways.length)));
	return [...new Set(answers.map(answer => `${answer.status} ${answer.status === 200 ? answer.body : String(answer.headers['retry-after'])}`))].sort();
}

test('nodes stop to use an evacuated zone within two seconds, reject at once when all are evacuated, and use it again', async () => {
	await startFleet(3);
	fleet.store.put('evacuations', 'south', {});
	await waitUntil(() => areServersUsable(1), applyBound);
	expect(await callAll()).toEqual(['200 from 0']);
	fleet.store.put('evacuations', 'north', {note: 'any spec'});
	await waitUntil(() => areServersUsable(0), applyBound);
	const rejectedAt = Date.now();
	expect(await callAll()).toEqual(['503 2']);
	expect(Date.now() - rejectedAt).toBeLessThan(500);
	await pause(300);
	const status = await readStatus(0);
	expect(status.evacuations).toEqual([
		{
			zone: 'south', position: expect.any(Number), age: expect.any(Number), origin: expect.stringMatching(/^source$|^node edge-/),
		},
		expect.objectContaining({zone: 'north'}),
	]);
	expect([status.servers.usable, status.sources.map(source => source.items)]).toEqual([0, ['configuration', 'servers', 'evacuations']]);
	const text = await runCommand('status', findStatusAddress(0));
	expect(text.out).toMatch(/zone south is being evacuated: known for \d+ ms/);
	fleet.store.remove('evacuations', 'south');
	fleet.store.remove('evacuations', 'north');
	await waitUntil(() => areServersUsable(2), applyBound);
	expect(logs.map(log => [log.listEvents('zone_evacuated').length, log.listEvents('zone_returned').length])).toEqual([[2, 2], [2, 2], [2, 2]]);
	const answers = await callAll();
	expect(answers.every(answer => answer.startsWith('200'))).toBe(true);
}, testTimeout);

test('a node that starts while the source is silent takes the evacuations from others, and is not ready before', async () => {
	await startFleet(2);
	fleet.store.put('evacuations', 'south', {});
	await waitUntil(() => areServersUsable(1), applyBound);
	fleet.store.trouble = 'silent';
	const started = await fleet.addJoiningGateway();
	expect(started.isReady).toBe(false);
	await waitUntil(() => started.isReady);
	expect(started.state.listServers(app).map(server => String(server.availabilityZone))).toEqual(['north']);
}, testTimeout);

test('of two evacuations that a restored store has lost the one written again stays at every node, and the other ends', async () => {
	fleet.store.era = 1;
	await startFleet(3);
	const copy = fleet.store.copy();
	fleet.store.put('evacuations', 'south', {});
	fleet.store.put('evacuations', 'north', {});
	await waitUntil(() => areServersUsable(0), applyBound);
	fleet.store.restore(copy);
	fleet.store.put('evacuations', 'north', {});
	await pause(3000);
	expect(areServersUsable(0)).toBe(true);
	await waitUntil(() => areServersUsable(1), 6000);
	await pause(1000);
	expect(fleet.gateways.map(gateway => gateway.state.listServers(app).map(server => String(server.availabilityZone)))).toEqual([['south'], ['south'], ['south']]);
}, testTimeout);

// Guards against calls to a source that does not serve the kind, each of which has a price.
test('without the settings section the source is not asked for evacuations', async () => {
	fleet.evacuateWithin = undefined;
	await startFleet(1);
	fleet.store.put('evacuations', 'south', {});
	await pause(500);
	expect(fleet.store.calls.filter(call => call.includes('evacuations'))).toEqual([]);
	expect(areServersUsable(2)).toBe(true);
}, testTimeout);

// Guards against a scheduling node that is bypassed as one that knows no server, and against a request that is then sent into the zone.
test('a node that does not know of an evacuation yet learns it from the refusal of its scheduling node', async () => {
	await startFleet(2);
	const {services} = await readStatus(0);
	const {name} = services.find(({service}) => service === app)!.decider;
	const scheduler = fleet.settings.findIndex(({box}) => box === name);
	const gateway = fleet.gateways[scheduler];
	const evacuations = gateway.state.evacuations!;
	// Only its decisions tell of the evacuation, as if its heartbeats were late.
	const [takeSnapshot, decide] = [evacuations.takeSnapshot.bind(evacuations), gateway.decide.bind(gateway)];
	evacuations.takeSnapshot = () => undefined;
	gateway.decide = request => {
		evacuations.takeSnapshot = takeSnapshot;
		const answer = decide(request);
		evacuations.takeSnapshot = () => undefined;
		return answer;
	};

	evacuations.applySnapshot({
		revision: 1000, zones: ['north', 'south'].map(zone => ({zone: zone as AvailabilityZone, position: 999, age: 0})),
	}, 'test');
	const answer = await fleet.call({path: '/again/'}, 1 - scheduler);
	expect([answer.status, fleet.runners.flatMap(runner => runner.receivedRequests)]).toEqual([503, []]);
	expect(logs.flatMap(log => log.listEvents('decider_passed_over'))).toEqual([]);
}, testTimeout);
