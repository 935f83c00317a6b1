// Guards against a new scheduling node that places long prompts before it knows what the other nodes run: two takeovers
// within four seconds put prompts of 300,000 to 400,000 tokens on servers that decoded thirty streams.
import {
	beforeEach, expect, test,
} from '@jest/globals';
import {
	createSilentLogger, VirtualClock, type AvailabilityZone, type BoxId, type PlanId, type ServiceName,
} from '../src/common/index.js';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import type {Peer} from '../src/gateway/peers/heartbeat.js';
import type {PeerClients, Peers, PeerSocket} from '../src/gateway/peers/index.js';
import {FleetPlacer} from '../src/gateway/scheduling/index.js';
import {PlanHandover} from '../src/planning/index.js';
import {FleetState} from '../src/routing/index.js';
import {
	createIds, createPlanner, createPlanRequest, createServers, engine, planNow, shortOptions,
} from './helpers/planning.js';

const service = 'model' as ServiceName;
const nodeCount = 20;
const longPrompt = 190_000;
const limits = {
	headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
};

let clock: VirtualClock;
let peers: Peer[];
let placer: FleetPlacer;

function createPeer(index: number): Peer {
	const name = `n${String(index).padStart(2, '0')}`;
	return {
		name: name as BoxId,
		life: `l${name}`,
		availabilityZone: 'a' as AvailabilityZone,
		callerAddress: '',
		peerAddress: `10.0.0.${index}:1`,
		beatAddress: `10.0.0.${index}:2`,
		cores: index === 0 ? 2 : 1,
		isReady: true,
		isSourceReachable: true,
		hearsSource: false,
	};
}

beforeEach(() => {
	clock = new VirtualClock();
	const [self, ...others] = Array.from({length: nodeCount}, (_, index) => createPeer(index));
	peers = others;
	const fakePeers: Partial<Peers> = {
		revision: 1,
		addChangeListener() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		addLostListener() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		listLive: () => peers,
		listReady: () => [self, ...peers],
		listLiveAges: () => [],
		countLive: () => peers.length,
		countKnown: () => peers.length,
		findLive: name => peers.find(peer => peer.name === name),
		isSlow: () => false,
	};
	const logger = createSilentLogger();
	const state = new FleetState(clock, logger);
	state.applyConfig({
		version: 1, routes: [], services: [{name: service, connectionLimit: 9, engine}], organisations: [], limits,
	}, 'test');
	state.applyServerList({items: createServers(18), revision: 1}, 'test');
	const socket: Partial<PeerSocket> = {sendPlanUpdate() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	const clients: Partial<PeerClients> = {};
	placer = new FleetPlacer({
		clock,
		logger,
		state,
		ids: createIds(),
		metrics: new GatewayMetrics(),
		peers: fakePeers as Peers,
		clients: clients as PeerClients,
		socket: socket as PeerSocket,
		countConfigured: () => 1,
		retries: {ratio: 0.2, slack: 100, window: 10_000},
		self: () => self,
	});
});

function decideLong() {
	return placer.decideFor(createPlanRequest(longPrompt, {waited: 1})).decision;
}

function reportPlans(peer: Peer, active: string[]): void {
	placer.applyPlanUpdate({
		service, node: peer.name, notes: [], active: active as PlanId[],
	});
}

test('a long prompt waits until nine in ten nodes have reported their plans', () => {
	expect(decideLong()).toMatchObject({kind: 'wait', reason: 'sight'});
	for (const peer of peers.slice(0, -3)) {
		reportPlans(peer, []);
	}

	expect(decideLong()).toMatchObject({kind: 'wait', reason: 'sight'});
	reportPlans(peers.at(-1)!, []);
	expect(decideLong()).toMatchObject({kind: 'plan'});
});

test('a list of plans that are unknown here is no report', () => {
	for (const peer of peers) {
		reportPlans(peer, ['unknown']);
	}

	expect(decideLong()).toMatchObject({kind: 'wait', reason: 'sight'});
});

test('plans that are handed over count as reported, and their servers as busy', () => {
	const other = createPlanner(18);
	const busy = peers.map(peer => planNow(other, createPlanRequest(5000, {...shortOptions, node: peer.name})));
	for (const [index, {life}] of peers.entries()) {
		placer.adopt({
			service, plans: [busy[index]], crashRecords: [], limits: [], history: {
				life, age: 0, known: nodeCount, requests: [], retries: [], meanWorth: 0,
			},
		});
	}

	const decision = decideLong();
	expect(decision).toMatchObject({kind: 'plan'});
	const used = new Set(busy.map(({server}) => server));
	const taken = decision?.kind === 'plan' ? [decision.plan.server, ...decision.plan.helpers.map(helper => helper.server)] : [];
	expect(taken.filter(server => used.has(server))).toEqual([]);
});

test('a long prompt waits at most a second for reports', () => {
	expect(decideLong()).toMatchObject({kind: 'wait'});
	clock.advance(1000);
	expect(decideLong()).toMatchObject({kind: 'plan'});
});

test('processes that have ended no longer count as reported', () => {
	const handover = new PlanHandover();
	handover.record('a');
	handover.record('b');
	expect(handover.countKnown([{life: 'b'}, {life: 'c'}])).toBe(1);
	expect(handover.countKnown([{life: 'a'}, {life: 'b'}])).toBe(1);
	handover.reset();
	expect(handover.countKnown([{life: 'b'}])).toBe(0);
});
