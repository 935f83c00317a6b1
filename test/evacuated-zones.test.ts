// Which availability zones a node takes for evacuated, and how the set reaches every node.
import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	createLogger, createSilentLogger, VirtualClock, type AvailabilityZone, type BackendServerId, type ServiceName,
} from '../src/common/index.js';
import {parseGatewaySettings} from '../src/gateway/index.js';
import {
	decodeHeartbeat, encodeHeartbeat, type Heartbeat, type PeerView,
} from '../src/gateway/peers/heartbeat.js';
import {
	createPosition, FleetState, lostEvacuationRetention, ZoneEvacuations, type Change, type ZoneEvacuation,
} from '../src/routing/index.js';
import {LogCapture} from './helpers/logs.js';
import {createPeer} from './helpers/peers.js';
import {
	createModelServer, createRoutedConfig, createRoutes, ViewFleet,
} from './helpers/viewing-fleet.js';

const testTimeout = 60_000;

/** Time within which every node must know a change, in milliseconds. */
const spreadBound = 2000;

const zone = 'zone-0' as AvailabilityZone;
const model = 'model' as ServiceName;

function createItem(position: number, name = 'north'): ZoneEvacuation {
	return {zone: name as AvailabilityZone, position};
}

function createWrite(position: number, name = 'north'): Change<ZoneEvacuation> {
	return {name, item: createItem(position, name), revision: position};
}

function createRemoval(position: number, name = 'north'): Change<ZoneEvacuation> {
	return {name, item: undefined, revision: position};
}

function createEvacuations(clock = new VirtualClock()) {
	const log = new LogCapture();
	const changes: string[] = [];
	const evacuations: ZoneEvacuations = new ZoneEvacuations({
		clock,
		logger: createLogger('info', log),
		onChange() {
			changes.push(evacuations.list().map(known => known.zone).join(','));
		},
	});
	const listZones = () => evacuations.list().map(known => String(known.zone)).sort();
	return {
		clock, log, changes, evacuations, listZones,
	};
}

test('a zone is evacuated from the write of its entry to its removal', () => {
	const {evacuations, listZones, log, changes} = createEvacuations();
	expect(evacuations.isKnown).toBe(false);
	evacuations.applyList({items: [], revision: 10}, 'source');
	expect(evacuations.isKnown).toBe(true);
	evacuations.applyChanges({changes: [createWrite(11), createWrite(12, 'south')], revision: 12}, 'source');
	expect(listZones()).toEqual(['north', 'south']);
	evacuations.applyChanges({changes: [createRemoval(11)], revision: 13}, 'source');
	expect(listZones()).toEqual(['south']);
	expect(changes).toEqual(['', 'north,south', 'south']);
	expect(log.listEvents('zone_evacuated').map(line => [line.zone, line.position, line.origin])).toEqual([['north', 11, 'source'], ['south', 12, 'source']]);
	expect(log.listEvents('zone_returned').map(line => line.zone)).toEqual(['north']);
});

// Guards against an operator's evacuation that is ignored because of what its spec holds.
test('an entry that cannot be decoded evacuates its zone as well', () => {
	const {evacuations, listZones} = createEvacuations();
	evacuations.applyList({items: [], foreign: ['north'], revision: 10}, 'source');
	evacuations.applyChanges({
		changes: [{
			name: 'south', item: undefined, isForeign: true, revision: 11,
		}], revision: 11,
	}, 'source');
	expect(listZones()).toEqual(['north', 'south']);
});

// Guards against late answers that end an evacuation or bring back one that has ended.
test('only a later position changes the set', () => {
	const {evacuations, listZones} = createEvacuations();
	evacuations.applyList({items: [createItem(9)], revision: 20}, 'source');
	evacuations.applyList({items: [], revision: 19}, 'source');
	evacuations.applySnapshot({revision: 20, zones: []}, 'node b');
	evacuations.applyChanges({changes: [createRemoval(9)], revision: 19}, 'source');
	evacuations.applyChanges({changes: [createWrite(15, 'south'), createRemoval(8)], revision: 21}, 'source');
	expect(listZones()).toEqual(['north']);
	// The removal of an earlier write does not end the evacuation that was written again.
	evacuations.applyChanges({changes: [createWrite(25), createRemoval(9)], revision: 26}, 'source');
	expect(listZones()).toEqual(['north']);
	evacuations.applySnapshot({revision: 27, zones: []}, 'node b');
	expect(listZones()).toEqual([]);
});

// A list has the position of its first page; later pages may hold later writes.
test('an earlier set does not end an evacuation that was written after it', () => {
	const {evacuations, listZones} = createEvacuations();
	evacuations.applyList({items: [createItem(25)], revision: 20}, 'source');
	evacuations.applySnapshot({revision: 22, zones: []}, 'node b');
	expect(listZones()).toEqual(['north']);
	evacuations.applySnapshot({revision: 26, zones: []}, 'node b');
	expect(listZones()).toEqual([]);
});

type Step = {node: number; how: 'list' | 'follow' | 'hear' | 'write' | 'remove'; zone: string; from: number};

const arbitraryStep: fc.Arbitrary<Step> = fc.record({
	node: fc.nat(2), how: fc.constantFrom('list', 'follow', 'follow', 'hear', 'write', 'remove'), zone: fc.constantFrom('north', 'south', 'west'), from: fc.nat(2),
});

// Guards against orders of lists, changes and heartbeats after which a node holds zones that were never evacuated together.
test('in any order of messages a node holds the set of the position that it knows', () => {
	fc.assert(fc.property(fc.array(arbitraryStep, {maxLength: 60, size: 'max'}), steps => {
		const entries = new Map<string, ZoneEvacuation>();
		const events: Array<Change<ZoneEvacuation> & {at: number}> = [];
		const history: string[] = [''];
		const formatZones = (zones: Iterable<string>) => [...zones].sort().join(',');
		const nodes = [0, 1, 2].map(() => ({...createEvacuations(), followed: 0}));
		for (const {node: index, how, zone: name, from} of steps) {
			const node = nodes[index];
			const revision = history.length - 1;
			const entry = entries.get(name);
			if (how === 'write' || (how === 'remove' && entry !== undefined)) {
				const item = how === 'write' ? createItem(revision + 1, name) : undefined;
				events.push({
					name, item, revision: item?.position ?? entry?.position, at: revision + 1,
				});
				entries.delete(name);
				if (item !== undefined) {
					entries.set(name, item);
				}

				history.push(formatZones(entries.keys()));
			} else if (how === 'list' || (how === 'follow' && node.followed === 0)) {
				node.evacuations.applyList({items: [...entries.values()], revision}, 'source');
				node.followed = revision;
			} else if (how === 'follow') {
				node.evacuations.applyChanges({changes: events.filter(event => event.at > node.followed), revision}, 'source');
				node.followed = revision;
			} else if (how === 'hear' && nodes[from].evacuations.isKnown) {
				node.evacuations.applySnapshot(nodes[from].evacuations.takeSnapshot()!, 'node');
			}

			for (const {evacuations, listZones} of nodes.filter(each => each.evacuations.isKnown)) {
				expect(formatZones(listZones())).toBe(history[evacuations.takeSnapshot()!.revision]);
			}
		}
	}), {seed: 20_261_203, numRuns: 300});
});

test('an evacuation that a restored source has lost is kept for five seconds, or on when it is written again', () => {
	const {evacuations, clock, listZones, changes} = createEvacuations();
	const restored = (revision: number) => createPosition(1, revision);
	evacuations.applyList({items: [createItem(30), createItem(31, 'south')], revision: 40}, 'source');
	evacuations.applyList({items: [], revision: restored(20)}, 'source');
	clock.advance(lostEvacuationRetention - 1);
	expect(listZones()).toEqual(['north', 'south']);
	evacuations.applySnapshot({revision: restored(21), zones: []}, 'node b');
	evacuations.applyChanges({changes: [createWrite(restored(22))], revision: restored(22)}, 'source');
	expect(listZones()).toEqual(['north', 'south']);
	clock.advance(1);
	expect(listZones()).toEqual(['north']);
	expect(changes.at(-1)).toBe('north');
	clock.advance(lostEvacuationRetention);
	expect(listZones()).toEqual(['north']);
});

test('an ended evacuation that a restored source still has is in force until its removal is written again', () => {
	const {evacuations, clock, listZones} = createEvacuations();
	evacuations.applyList({items: [createItem(10)], revision: 20}, 'source');
	evacuations.applyChanges({changes: [createRemoval(10)], revision: 21}, 'source');
	evacuations.applyList({items: [createItem(createPosition(1, 10))], revision: createPosition(1, 15)}, 'source');
	clock.advance(lostEvacuationRetention * 2);
	expect(listZones()).toEqual(['north']);
	evacuations.applyChanges({changes: [createRemoval(createPosition(1, 10))], revision: createPosition(1, 16)}, 'source');
	expect(listZones()).toEqual([]);
});

test('a node takes the age of an evacuation and the time for which it is kept from another', () => {
	const first = createEvacuations();
	first.evacuations.applyList({items: [createItem(30)], revision: 40}, 'source');
	first.clock.advance(300);
	first.evacuations.applyList({items: [], revision: createPosition(1, 5)}, 'source');
	first.clock.advance(1000);
	const second = createEvacuations();
	second.evacuations.applySnapshot(first.evacuations.takeSnapshot()!, 'node a');
	expect(second.evacuations.list()).toEqual([{
		zone: 'north', position: 30, age: 1300, origin: 'node a', keptFor: 4000,
	}]);
	second.clock.advance(4000);
	expect(second.listZones()).toEqual([]);
});

test('servers of evacuated zones are left out, and a node is usable once it knows the evacuations', () => {
	const state = new FleetState(new VirtualClock(), createSilentLogger(), {followsEvacuations: true});
	const id = 'i-1' as BackendServerId;
	state.applyConfig(createRoutedConfig(1, createRoutes(1)), 'source');
	state.applyServerList({items: [createModelServer(1), {...createModelServer(2), availabilityZone: 'zone-1' as AvailabilityZone}], revision: 1}, 'source');
	expect(state.isUsable).toBe(false);
	expect(state.resolveCall('host0.example', '/lohu0/', undefined, 0).extract()).toMatchObject({kind: 'node_not_ready'});
	state.evacuations!.applyList({items: [], revision: 1}, 'source');
	expect(state.isUsable).toBe(true);
	expect(state.findUsableServer(id)?.id).toBe(id);
	let notified = 0;
	state.addListener(() => {
		notified++;
	});
	state.evacuations!.applyChanges({changes: [createWrite(2, zone)], revision: 2}, 'source');
	expect([notified, state.usableServers, state.listServers(model).map(server => server.id)]).toEqual([1, 1, ['i-2']]);
	expect([state.findUsableServer(id), state.findEvacuatedZone(id), state.hasServer(id)]).toEqual([undefined, zone, true]);
	expect(state.listEvacuatedZones(model)).toEqual([zone]);
});

test('without the settings section nothing is followed or sent, and the node is usable', () => {
	const state = new FleetState(new VirtualClock(), createSilentLogger());
	state.applyConfig(createRoutedConfig(1, createRoutes(1)), 'source');
	state.applyServerList({items: [createModelServer(1)], revision: 1}, 'source');
	expect([state.isUsable, state.evacuations, state.followedKinds]).toEqual([true, undefined, ['configuration', 'servers']]);
	const heartbeat = createHeartbeat({});
	expect(Buffer.from(encodeHeartbeat(heartbeat)).toString()).not.toContain('evacuations');
	expect(decodeHeartbeat(encodeHeartbeat(heartbeat))).toEqual(heartbeat);
});

function createHeartbeat(changes: Partial<PeerView>): Heartbeat {
	const {life} = createPeer('a');
	return {
		from: {
			life, age: 0, isReady: true, isSourceReachable: true, hearsSource: true,
		},
		view: {
			configVersion: 1, serversRevision: 1, serversDigest: 'x', sourceAges: {configuration: 250, servers: 30}, ...changes,
		},
		others: [],
		described: [],
		wanted: [],
	};
}

test('a heartbeat carries the evacuated zones and the age of the last answer about them', () => {
	const heartbeat = createHeartbeat({
		sourceAges: {configuration: 250, servers: 30, evacuations: 40},
		evacuations: {
			revision: createPosition(2, 7), zones: [{zone, position: 5, age: 300}, {
				zone: 'ö' as AvailabilityZone, position: 6, age: 1, keptFor: 20,
			}],
		},
	});
	expect(decodeHeartbeat(encodeHeartbeat(heartbeat))).toEqual(heartbeat);
});

// A build that encodes the field differently must not make this one take its nodes for lost.
test('a heartbeat with evacuations in another form is decoded without them', () => {
	const heartbeat = createHeartbeat({evacuations: {revision: 7, zones: []}});
	const text = Buffer.from(encodeHeartbeat(heartbeat)).toString().replace('"evacuations":[7,null,[]]', '"evacuations":{"later":1},"unknown":2');
	expect(text).toContain('unknown');
	expect(decodeHeartbeat(Buffer.from(text))).toEqual(createHeartbeat({}));
});

// Guards against a set that does not fit in a datagram, which would silence a node.
test('a snapshot is bounded in size', () => {
	const {evacuations} = createEvacuations();
	evacuations.applyList({items: Array.from({length: 3000}, (_, index) => createItem(index, `zone-${index}`)), revision: 3000}, 'source');
	const view = {evacuations: evacuations.takeSnapshot()!};
	expect(encodeHeartbeat(createHeartbeat(view)).length).toBeLessThan(6000);
	expect(view.evacuations.zones[0].zone).toBe('zone-0');
});

test('the settings section has a default and rejects a time of zero', () => {
	const text = (section: string) => `box = "a"\nregion = "r"\navailability_zone = "z"\nheartbeat_port = 1\nmetrics_port = 2
[listen]\ncallers = "1.1.1.1:1"\nready = "1.1.1.1:2"\naddresses = "1.1.1.1:3"\npeers = "1.1.1.1:4"
[store]\naddress = "1.1.1.1:5"\n[stop]\ngrace_seconds = 4\n[retry]\nratio = 0.2\nslack = 1\nwindow_seconds = 10\n${section}`;
	expect(parseGatewaySettings(text('')).unsafeCoerce().evacuations).toBeUndefined();
	expect(parseGatewaySettings(text('[evacuations]')).unsafeCoerce().evacuations).toEqual({apply_within_ms: 5000});
	expect(parseGatewaySettings(text('[evacuations]\napply_within_ms = 0')).isLeft()).toBe(true);
});

/** Creates a fleet whose nodes know a server in each zone and no evacuation. */
async function createFleet(nodes: number, lossShare = 0): Promise<ViewFleet> {
	const fleet = new ViewFleet({nodes, lossShare, followsEvacuations: true});
	for (const {state} of fleet.nodes) {
		state.evacuations!.applyList({items: [], revision: 1}, 'source');
	}

	await fleet.settle(createRoutedConfig(1, createRoutes(3)), [createModelServer(0)]);
	return fleet;
}

test.each([[82, 0.03], [200, 0.03]])('all of %d nodes know an evacuation and its end within two seconds when %d of the datagrams are lost', async (nodes, lossShare) => {
	const fleet = await createFleet(nodes, lossShare);
	fleet.updateFollowers(state => {
		state.evacuations!.applyChanges({changes: [createWrite(2, zone)], revision: 2}, 'source');
	}, 1);
	const evacuated = await fleet.measure(state => state.evacuations!.has(zone), spreadBound);
	fleet.updateFollowers(state => {
		state.evacuations!.applyChanges({changes: [createRemoval(2, zone)], revision: 3}, 'source');
	}, 1);
	const returned = await fleet.measure(state => !state.evacuations!.has(zone), spreadBound);
	expect(Math.max(evacuated, returned)).toBeLessThan(spreadBound);
}, testTimeout);

test('a node that starts during an evacuation learns it from others while the source is down', async () => {
	const fleet = new ViewFleet({nodes: 20, followsEvacuations: true});
	const last = fleet.nodes.at(-1)!.state;
	for (const {state} of fleet.nodes.slice(0, -1)) {
		state.evacuations!.applyList({items: [createItem(1, zone)], revision: 1}, 'source');
		state.recordOutage('evacuations');
	}

	await fleet.settle(createRoutedConfig(1, createRoutes(3)), [createModelServer(0)]);
	expect([last.isUsable, last.listServers(model)]).toEqual([true, []]);
	expect(last.evacuations!.list()[0].origin).toMatch(/^node n\d+$/);
}, testTimeout);
