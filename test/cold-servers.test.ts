import {readFile} from 'node:fs/promises';
import {expect, test} from '@jest/globals';
import {decodeConfig} from '../platform/decode-config.js';
import {decodeServer} from '../platform/decode-server.js';
import {CallWire} from '../platform/index.js';
import {
	createLogger, VirtualClock, type BackendServerId, type PlanId, type ServiceName,
} from '../src/common/index.js';
import {listNotices} from '../src/gateway/calls/server-notice.js';
import {parseGatewaySettings} from '../src/gateway/index.js';
import {
	isColdRejection, Planner, type Decision, type PlanRequest,
} from '../src/planning/index.js';
import {describeRequest, parseLogLine, TimelineCollector} from '../src/logs/index.js';
import {FleetState, type BackendServer, type RoutingConfig} from '../src/routing/index.js';
import {createConfig} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {
	createIds, createPlanRequest, createPlanner, createServers, engine, shortOptions,
} from './helpers/planning.js';

const model = 'model' as ServiceName;
const allowance = {overage: 1.5, slack: 5};
const coldRate = 17;

const serverSpec = {
	service: 'model', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 4,
};

test('the remaining cold time of an entry and the cold starts of a service are decoded; invalid figures count as absent', () => {
	const decode = (coldRemainingMs: number) => decodeServer({metadata: {name: 'i-1', revision: 7}, spec: {...serverSpec, coldRemainingMs}}).coldFor;
	expect([2500, 0, -3].map(time => decode(time))).toEqual([2500, undefined, undefined]);
	const decodeService = (figures: Record<string, unknown>) => decodeConfig(createConfig(1, {services: [{name: 'app', ...figures}]})).services[0].coldStart;
	expect(decodeService({coldStartS: 3, coldPerS: 17})).toEqual({requestsPerSecond: 17, duration: 3000});
	expect([{}, {coldStartS: 3, coldPerS: 0}, {coldPerS: 'many'}, {coldPerS: -1}].map(figures => decodeService(figures))).toEqual([undefined, undefined, undefined, undefined]);
});

test.each([
	['an answer of the server', 200, {'cresshook-cold-remaining-ms': '1200'}, [{kind: 'cold', time: 1200}]],
	['a signed answer of a warm server', 200, {'cresshook-response-seal': 's', 'cresshook-cold-remaining-ms': '0'}, [{kind: 'cold', time: 0}]],
	['an unsigned answer of a warm server', 200, {'cresshook-cold-remaining-ms': '0'}, []],
	['an answer of another server at the address', 421, {'cresshook-cold-remaining-ms': '1200'}, []],
	['an invalid value', 200, {'cresshook-cold-remaining-ms': 'soon'}, []],
])('what %s says of its cold time', (_name, status, headers, expected) => {
	expect(listNotices(new CallWire().readResponseHead(status, headers as Record<string, string>)).filter(({kind}) => kind === 'cold')).toEqual(expected);
});

const base = `
box = "b"
region = "r"
availability_zone = "z"
heartbeat_port = 1
metrics_port = 2
[listen]
callers = "10.0.0.1:1"
ready = "10.0.0.1:2"
addresses = "10.0.0.1:3"
peers = "10.0.0.1:4"
[store]
address = "10.0.0.1:5"
[stop]
grace_seconds = 3
[retry]
ratio = 0.2
slack = 5
window_seconds = 10
`;

test('the section of cold servers is optional, and rendered once, where its bound is given', async () => {
	const template = await readFile('deploy/settings.toml.template', 'utf8');
	expect(template.match(/{{#bounds\.coldOverage}}/g)).toHaveLength(1);
	const [, section] = /\{\{#bounds\.coldOverage\}\}(?<section>.*)\{\{\/bounds\.coldOverage\}\}/su.exec(template)!;
	const rendered = section.replaceAll(/\{\{[#/][^}]*\}\}/gu, '').replace('{{bounds.coldOverage}}', '1.5').replace('{{bounds.coldSlack}}', '5').replace('{{limits.memoryMb}}', '250');
	expect(parseGatewaySettings(base + rendered).unsafeCoerce().cold_servers).toEqual(allowance);
	expect(parseGatewaySettings(base + rendered).unsafeCoerce().buffers).toEqual({memory_mb: 250, memory_share: 0.1});
	expect(parseGatewaySettings(base).unsafeCoerce().cold_servers).toBeUndefined();
});

/** Creates the state of a node that knows `i-1` and `i-2`, both warm. */
function createState({isEnabled = true} = {}): {state: FleetState; clock: VirtualClock; log: LogCapture; put: (entry: BackendServer) => void} {
	const clock = new VirtualClock();
	const log = new LogCapture();
	const state = new FleetState(clock, createLogger('info', log));
	if (isEnabled) {
		state.coldServers.enable();
	}

	const config: RoutingConfig = decodeConfig(createConfig(1, {services: [{name: 'model', coldStartS: 3, coldPerS: coldRate}, {name: 'app'}]}));
	state.applyConfig(config, 'source');
	state.applyServerList({items: [createEntry(1, 1), createEntry(2, 1)], revision: 1}, 'source');
	return {
		state, clock, log, put(entry) {
			state.applyServerChanges([{name: entry.name, item: entry, revision: entry.entryRevision}], entry.entryRevision, 'source');
		},
	};
}

function createEntry(index: number, entryRevision: number, changes: Partial<BackendServer> = {}): BackendServer {
	return {...createServers(index + 1)[index], entryRevision, ...changes};
}

function listCold({state}: {state: FleetState}): Array<[string, number]> {
	return state.coldServers.list(model).map(({server, coldFor}) => [server, coldFor]);
}

test('an entry makes a server cold until its deadline; later entries move it, and one without a time ends it', () => {
	const node = createState();
	node.put(createEntry(1, 2, {coldFor: 2500}));
	expect(listCold(node)).toEqual([['i-001', 2500]]);
	node.clock.advance(1200);
	node.put(createEntry(1, 3, {coldFor: 1400}));
	expect(listCold(node)).toEqual([['i-001', 1400]]);
	node.clock.advance(1400);
	expect(listCold(node)).toEqual([]);
	node.put(createEntry(1, 4, {coldFor: 9000}));
	node.put(createEntry(1, 5));
	expect(listCold(node)).toEqual([]);
	expect(node.log.listEvents('server_cold')).toHaveLength(2);
	expect(node.log.listEvents('server_warm').map(({origin}) => origin)).toEqual(['deadline', 'entry']);
});

// Guards against a server that is sent its full load before its first entry says that it is cold.
test('a server that appears during traffic is cold for the time of a start, also as a new incarnation, and without a rate not', () => {
	const node = createState();
	node.put(createEntry(3, 2));
	expect(listCold(node)).toEqual([['i-003', 3000]]);
	node.clock.advance(1000);
	node.put(createEntry(3, 3));
	expect(listCold(node)).toEqual([['i-003', 2000]]);
	node.put(createEntry(3, 4, {id: 'i-003@2' as BackendServerId}));
	expect(listCold(node)).toEqual([['i-003@2', 3000]]);
	node.put(createEntry(4, 5, {service: 'app' as ServiceName}));
	node.put(createEntry(5, 6, {service: 'app' as ServiceName, coldFor: 2000}));
	expect(node.state.coldServers.size).toBe(1);
});

test('the first list of a node makes servers cold only by their entries, and a repeated entry does not extend the time', () => {
	const {state, clock} = createState();
	const other = new FleetState(clock, createLogger('silent'));
	other.coldServers.enable();
	other.applyServerList({items: [createEntry(1, 5, {coldFor: 2000}), createEntry(2, 5)], revision: 5}, 'source');
	clock.advance(1000);
	other.applyServerList({items: [createEntry(1, 5, {coldFor: 2000}), createEntry(2, 5)], revision: 6}, 'source');
	expect(listCold({state: other})).toEqual([['i-001', 1000]]);
	const snapshot = structuredClone(other.getServersSnapshot(0)!);
	expect(snapshot.items.map(({coldFor}) => coldFor)).toEqual([1000, undefined]);
	clock.advance(300);
	state.applyServers(snapshot, 'node');
	expect(listCold({state})).toEqual([['i-001', 1000]]);
});

test('an answer makes a server cold within its life, a late one of its warm time does not end that, and unknown incarnations are ignored', () => {
	const {state, clock} = createState();
	const {id} = createEntry(1, 1);
	expect(state.coldServers.applyAnswer(id, model, 2000)).toBe(true);
	expect(state.coldServers.applyAnswer(id, model, 0)).toBe(false);
	clock.advance(600);
	expect(state.coldServers.computeColdLeft(id)).toBe(1400);
	expect(state.coldServers.listUnannounced(model)).toHaveLength(1);
	expect(state.coldServers.applyAnswer(id, model, 0)).toBe(true);
	expect(state.coldServers.applyReport(id, model, 200)).toBe(false);
});

// Guards against refreshing all planners and announcing the view for each of the entries that cold servers write every 1.2 s.
test('an entry that only repeats that its server is cold notifies no listener, others do', () => {
	const node = createState();
	let notified = 0;
	node.state.addListener(() => {
		notified++;
	});
	node.put(createEntry(1, 2, {coldFor: 3000}));
	expect(notified).toBe(1);
	node.put(createEntry(1, 3, {coldFor: 1800}));
	expect([notified, node.state.serversRevision]).toEqual([1, 3]);
	node.state.applyServers({revision: 4, items: [createEntry(1, 4, {coldFor: 1700}), createEntry(2, 4)]}, 'node');
	expect([notified, node.state.serversRevision]).toEqual([1, 4]);
	node.put(createEntry(1, 5, {coldFor: 600, isLeaving: true}));
	expect(notified).toBe(2);
	node.state.applyServers({revision: 6, items: [createEntry(2, 6)]}, 'node');
	expect(notified).toBe(3);
});

test('without the section no server is cold', () => {
	const node = createState({isEnabled: false});
	node.put(createEntry(1, 2, {coldFor: 2500}));
	node.put(createEntry(3, 3));
	expect(listCold(node)).toEqual([]);
	expect(node.state.getServersSnapshot(0)!.items.some(item => 'coldFor' in item)).toBe(false);
	const planner = createPlanner(1);
	planner.coldLimits.update('i-000' as BackendServerId, 60_000, 1, 0);
	expect(Array.from({length: 9}, () => planner.decide(createPlanRequest(500, shortOptions), 0).unsafeCoerce().kind)).not.toContain('wait');
});

/** Creates a planner of which the last `cold` of `count` servers are cold. */
function createColdPlanner(count: number, cold: number, {isPlain = false, coldFor = 60_000} = {}): Planner {
	const planner = new Planner({ids: createIds(), engine: isPlain ? undefined : engine});
	const servers = createServers(count);
	planner.setServers(servers, isPlain ? undefined : engine);
	planner.coldLimits.enable(allowance);
	for (const {id} of cold === 0 ? [] : servers.slice(-cold)) {
		planner.coldLimits.update(id, coldFor, coldRate, 0);
	}

	return planner;
}

/** The server of a plan, or the reason of a wait or a rejection. */
function describeDecision(planner: Planner, request: PlanRequest, now: number): string {
	return planner.decide(request, now).caseOf({
		Left: failure => isColdRejection(failure) ? 'rejected' : failure.message,
		Right: (decision: Decision) => decision.kind === 'plan' ? decision.plan.server : decision.reason,
	});
}

test('plain requests fill the warm servers first, then cold ones by their tokens, then wait or are rejected with spread delays', () => {
	const planner = createColdPlanner(2, 1, {isPlain: true});
	const ask = (now: number, changes: Partial<PlanRequest> = {}) => describeDecision(planner, createPlanRequest(0, {...shortOptions, ...changes}), now);
	expect(new Set(Array.from({length: 11}, () => ask(1000)))).toEqual(new Set(['i-000']));
	expect(Array.from({length: 3}, () => ask(1000))).toEqual(['i-001', 'i-001', 'cold']);
	expect(ask(1000, {objective: -5})).toBe('i-000');
	const allCold = createColdPlanner(1, 1, {isPlain: true});
	const delays = Array.from({length: 3}, () => allCold.decide(createPlanRequest(0, {...shortOptions, patience: 100}), 0).swap().unsafeCoerce().retryAfterSeconds!);
	expect(delays.map(delay => Math.round(delay * 1000))).toEqual([100, 118, 176]);
});

test('long prompts and their helpers use warm servers, and cold ones only when there is no warm one', () => {
	const planner = createColdPlanner(4, 3);
	const long = createPlanRequest(220_000, {objective: 8000, patience: 30_000});
	const {plan} = planner.decide(long, 1000).unsafeCoerce() as Extract<Decision, {kind: 'plan'}>;
	expect([plan.server, ...plan.helpers.map(helper => helper.server)]).toEqual(['i-000']);
	expect(createColdPlanner(4, 4).decide(long, 1000).unsafeCoerce().kind).toBe('plan');
});

test('of a declared limit and the cold limit the lower one applies', () => {
	const planner = createColdPlanner(1, 1, {isPlain: true});
	planner.limits.update({server: 'i-000' as BackendServerId, requestsPerSecond: 3, age: 0}, 0);
	const granted = Array.from({length: 200}, (_, step) => describeDecision(planner, createPlanRequest(0, {...shortOptions, patience: 1}), 1000 + (step * 10)));
	expect(granted.filter(server => server === 'i-000').length).toBeLessThanOrEqual(8);
});

/** Grants at a plain service with one server in each second, where there is always demand. */
function countGrants(planner: Planner, from: number, seconds: number): number[] {
	const ask = (at: number) => describeDecision(planner, createPlanRequest(0, {...shortOptions, patience: 1}), at);
	return Array.from({length: seconds}, (_, second) =>
		Array.from({length: 200}, (_, step) => ask(from + (second * 1000) + (step * 5))).filter(server => server === 'i-000').length);
}

test('the cold rate is used, rises over a second after the cold time, and then nothing is limited', () => {
	const grants = countGrants(createColdPlanner(1, 1, {isPlain: true, coldFor: 3000}), 0, 6);
	for (const granted of grants.slice(0, 3)) {
		expect(granted).toBeGreaterThanOrEqual(coldRate * 0.8);
		expect(granted).toBeLessThanOrEqual((coldRate * allowance.overage) + allowance.slack);
	}

	expect(grants[3]).toBeGreaterThan(coldRate * 1.5);
	expect(grants[3]).toBeLessThan(coldRate * 4);
	expect(grants[4]).toBe(200);
});

// Guards against a server that becomes cold again and gets its cold rate on top of what it has just received.
test('requests sent in the second before a server is known to be cold count for that second', () => {
	const planner = createColdPlanner(1, 0, {isPlain: true});
	for (let sent = 0; sent < 20; sent++) {
		expect(describeDecision(planner, createPlanRequest(0, shortOptions), 900 + (sent * 5))).toBe('i-000');
	}

	planner.coldLimits.update('i-000' as BackendServerId, 3000, coldRate, 1000);
	const grants = countGrants(planner, 1000, 2);
	expect(20 + grants[0]).toBeLessThanOrEqual((coldRate * allowance.overage) + allowance.slack);
	expect(grants[1]).toBeGreaterThanOrEqual(coldRate * 0.8);
});

// The load pattern: a third of the servers returns whole and cold under load that the others cannot take.
test('a third of the servers that returns cold takes its rate in each second and not more, then more in the second after', () => {
	const planner = createColdPlanner(12, 0);
	const cold = new Set(createServers(12).slice(-4).map(server => server.id));
	const servers = createServers(12);
	planner.setServers(servers.filter(server => !cold.has(server.id)), engine);
	const returnsAt = 4000;
	const answerTime = 500;
	const arrivals = new Map<string, number[]>();
	const running: Array<{planId: PlanId; endsAt: number}> = [];
	let waiting: PlanRequest[] = [];
	let [served, rejected, asked] = [0, 0, 0];
	for (let now = 0; now < 9000; now += 5) {
		if (now === returnsAt) {
			planner.setServers(servers, engine);
			for (const id of cold) {
				planner.coldLimits.update(id, 3000, coldRate, now);
			}
		}

		while (running.length > 0 && running[0].endsAt <= now) {
			planner.recordEvent({planId: running.shift()!.planId, kind: 'ended', wasAnswered: true}, now);
		}

		// 400 a second, of which eight warm servers of eleven places take 176 and four cold ones 68.
		const waited = waiting.map(request => ({
			...request, waited: request.waited + 5, objective: request.objective - 5, patience: request.patience - 5,
		}));
		waiting = [];
		for (const request of [...waited, ...Array.from({length: 2}, () => createPlanRequest(5000, {...shortOptions, patience: 1500}))]) {
			asked += request.waited === 0 ? 1 : 0;
			const decision = planner.decide(request, now).extract();
			if (!('askAgainIn' in decision) && !('plan' in decision)) {
				rejected++;
				continue;
			}

			if (decision.kind === 'wait') {
				waiting.push(request);
				continue;
			}

			const {planId, server} = decision.plan;
			served++;
			running.push({planId, endsAt: now + answerTime});
			arrivals.set(server, [...arrivals.get(server) ?? [], now]);
			planner.recordEvent({planId, kind: 'started'}, now);
		}
	}

	expect(served + rejected + waiting.length).toBe(asked);
	for (const id of cold) {
		const times = arrivals.get(id) ?? [];
		const busiest = Math.max(...times.map(start => times.filter(at => at >= start && at < start + 1000 && at < returnsAt + 3000).length));
		expect(busiest).toBeLessThanOrEqual((coldRate * allowance.overage) + allowance.slack);
		const perSecond = [0, 1, 2, 3].map(second => times.filter(at => at >= returnsAt + (second * 1000) && at < returnsAt + ((second + 1) * 1000)).length);
		expect(Math.min(...perSecond)).toBeGreaterThanOrEqual(coldRate * 0.8);
		expect(perSecond[3]).toBeGreaterThan(coldRate * 1.5);
	}
});

test('explain names the cold server as the reason of a rejection', () => {
	const common = {request: 'r-1', service: 'app', node: 'edge-1'};
	const reason = 'backend servers of app are cold and take few requests, and the others are full';
	const lines = [
		{
			event: 'waits', time: 1000, ...common, reason: 'cold', waited: 0,
		},
		{
			event: 'refused', time: 1200, ...common, reason, kind: 'overloaded', inProgress: 9,
		},
		{
			event: 'call_ended', time: 1201, ...common, outcome: 'overloaded', reason, status: 503, sends: 0, took: 201, servers: [],
		},
	];
	const collector = new TimelineCollector('r-1');
	for (const line of lines) {
		collector.add(parseLogLine(JSON.stringify(line), 'edge-1')!);
	}

	const {cause} = describeRequest(collector.finish()!);
	const wait = 'it had waited, since warm servers were full and cold ones took no more requests';
	expect(cause).toBe(`It was refused with 503 (overloaded), and ran nowhere: ${reason}; ${wait}; 9 plans of the service were in progress.`);
});
