import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	createSilentLogger, VirtualClock, type AvailabilityZone, type BackendServerId, type BackendServerName, type OrganisationId, type ServiceName,
} from '../src/common/index.js';
import {
	chooseService, computeConfigChanges, FleetState, reregistrationGrace, RouteTable, type BackendServer, type Route, type RoutingConfig,
} from '../src/routing/index.js';

function createRoute(pathPrefix: string, changes: Partial<Route> = {}): Route {
	return {
		name: pathPrefix,
		host: 'shop.example',
		pathPrefix,
		kind: 'once',
		timeLimit: 1000,
		objective: 300,
		attempts: 1,
		priority: 3,
		isAnonymous: false,
		canResume: false,
		services: [{service: 'app' as ServiceName, weight: 1}],
		...changes,
	};
}

function createConfig(version: number, changes: Partial<RoutingConfig> = {}): RoutingConfig {
	return {
		version,
		routes: [createRoute('/a/')],
		services: [{name: 'app' as ServiceName, connectionLimit: 9}],
		organisations: [{name: 'guild' as OrganisationId, keys: ['key']}],
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1,
		},
		...changes,
	};
}

function createServer(id: string, isLeaving = false): BackendServer {
	return {
		id: id as BackendServerId,
		name: id as BackendServerName,
		entryRevision: 0,
		service: 'app' as ServiceName,
		address: `10.0.0.1:${id.length}`,
		availabilityZone: 'a' as AvailabilityZone,
		slots: 4,
		isLeaving,
	};
}

function createState(): {state: FleetState; clock: VirtualClock} {
	const clock = new VirtualClock();
	return {state: new FleetState(clock, createSilentLogger()), clock};
}

function listIds(state: FleetState): string[] {
	return state.listServers('app' as ServiceName).map(server => server.id);
}

test('the route with the longest prefix of the path is found, only on its host', () => {
	const table = new RouteTable(createConfig(1, {routes: [createRoute('/a/'), createRoute('/a/b/'), createRoute('/a/b/', {host: 'other.example', name: 'other'})]}));
	const found = ['/a/', '/a/x', '/a/b/x', '/a/bx', '/b/'].map(path => table.findRoute('Shop.Example:80', path)?.name);
	expect(found).toEqual(['/a/', '/a/', '/a/b/', '/a/', undefined]);
	expect(table.findRoute('other.example', '/a/b/c')?.name).toBe('other');
});

test('the lookup finds the same route as a linear search for the longest prefix', () => {
	const part = fc.constantFrom('a', 'b', 'ab', '');
	const prefix = fc.array(part, {maxLength: 3}).map(parts => ['', ...parts, ''].join('/'));
	fc.assert(fc.property(fc.array(prefix, {maxLength: 8}), fc.array(part, {maxLength: 5}), (prefixes, parts) => {
		const path = ['', ...parts].join('/');
		const table = new RouteTable(createConfig(1, {routes: prefixes.map((pathPrefix, index) => createRoute(pathPrefix, {name: String(index)}))}));
		const fitting = prefixes.filter(pathPrefix => path.startsWith(pathPrefix));
		const longest = Math.max(...fitting.map(pathPrefix => pathPrefix.length));
		const expected = prefixes.findIndex(pathPrefix => path.startsWith(pathPrefix) && pathPrefix.length === longest);
		expect(table.findRoute('shop.example', path)?.name).toBe(fitting.length === 0 ? undefined : String(expected));
	}), {seed: 11, numRuns: 500});
});

test('services are chosen by weight, one with weight zero never', () => {
	const route = createRoute('/a/', {services: [{service: 'x' as ServiceName, weight: 90}, {service: 'y' as ServiceName, weight: 10}, {service: 'z' as ServiceName, weight: 0}]});
	expect([0, 0.89, 0.9, 0.999].map(random => chooseService(route, random))).toEqual(['x', 'x', 'y', 'y']);
});

test('a call is resolved by its host, path and key', () => {
	const {state} = createState();
	const resolve = (target: string, key?: string) => state.resolveCall('shop.example', target, key, 0)
		.caseOf<string>({Left: failure => failure.kind, Right: call => call.organisation?.name ?? 'anonymous'});
	expect(resolve('/a/', 'key')).toBe('node_not_ready');
	state.applyConfig(createConfig(1, {routes: [createRoute('/a/'), createRoute('/open/', {isAnonymous: true})]}), 'test');
	expect([resolve('/a/?x=1', 'key'), resolve('/a/'), resolve('/a/', 'other'), resolve('/b/', 'key'), resolve('/open/')])
		.toEqual(['guild', 'unknown_key', 'unknown_key', 'unknown_path', 'anonymous']);
});

test('an older configuration is never applied, from the source or from a node', () => {
	const {state} = createState();
	state.applyConfig(createConfig(7), 'source');
	state.applyConfig(createConfig(5), 'source');
	state.applyConfigChanges(computeConfigChanges(undefined, createConfig(6)), 'node');
	expect(state.configVersion).toBe(7);
	state.applyConfigChanges(computeConfigChanges(undefined, createConfig(9)), 'node');
	expect(state.configVersion).toBe(9);
});

test('a server that is leaving gets no new requests, even after an older entry', () => {
	const {state} = createState();
	state.applyServerList({items: [createServer('i-1'), createServer('i-2')], revision: 3}, 'source');
	state.applyServerChanges([{name: 'i-1', item: createServer('i-1', true)}], 4, 'source');
	expect(listIds(state)).toEqual(['i-2']);
	state.applyServerChanges([{name: 'i-1', item: createServer('i-1')}], 5, 'source');
	expect(listIds(state)).toEqual(['i-2']);
	expect(state.findUsableServer('i-1' as BackendServerId)).toBeUndefined();
});

test('without an outage a server is removed at once with its entry', () => {
	const {state} = createState();
	state.applyServerList({items: [createServer('i-1')], revision: 3}, 'source');
	state.applyServerChanges([{name: 'i-1', item: undefined}], 4, 'source');
	expect(listIds(state)).toEqual([]);
});

test('a server whose entry expired in an outage is kept until servers had time to register again', () => {
	const {state, clock} = createState();
	state.applyServerList({items: [createServer('i-1'), createServer('i-2')], revision: 3}, 'source');
	state.recordOutage('servers');
	clock.advance(5000);
	state.recordRecovery('servers');
	state.applyServerList({items: [], revision: 9}, 'source');
	expect(listIds(state)).toEqual(['i-1', 'i-2']);
	state.applyServerChanges([{name: 'i-1', item: createServer('i-1')}], 10, 'source');
	clock.advance(reregistrationGrace + 1);
	expect(listIds(state)).toEqual(['i-1']);
});

test('another node\'s later snapshot is applied with its removals; an earlier one is ignored', () => {
	const {state} = createState();
	state.applyServerList({items: [createServer('i-1'), createServer('i-2')], revision: 3}, 'source');
	state.applyServers({revision: 3, items: []}, 'node');
	expect(listIds(state)).toEqual(['i-1', 'i-2']);
	state.applyServers({revision: 8, items: [createServer('i-2'), createServer('i-3')]}, 'node');
	expect(listIds(state)).toEqual(['i-2', 'i-3']);
});

test('a change older than another node\'s snapshot does not bring a server back', () => {
	const {state} = createState();
	state.applyServerList({items: [createServer('i-1')], revision: 3}, 'source');
	state.applyServers({revision: 8, items: []}, 'node');
	state.applyServerChanges([{name: 'i-1', item: createServer('i-1'), revision: 7}], 9, 'source');
	expect(listIds(state)).toEqual([]);
	state.applyServerChanges([{name: 'i-1', item: createServer('i-1'), revision: 10}], 10, 'source');
	expect(listIds(state)).toEqual(['i-1']);
});

test('a server that another node is about to remove is kept exactly as long as there', () => {
	const {state, clock} = createState();
	const other = createState();
	other.state.applyServerList({items: [createServer('i-1')], revision: 3}, 'source');
	other.state.recordOutage('servers');
	other.state.recordRecovery('servers');
	other.state.applyServerList({items: [], revision: 9}, 'source');
	state.applyServers(other.state.getServersSnapshot(0)!, 'node');
	expect(listIds(state)).toEqual(['i-1']);
	clock.advance(reregistrationGrace + 1);
	expect(listIds(state)).toEqual([]);
});

test('a node is sent only what is newer than its own state', () => {
	const {state} = createState();
	state.applyConfig(createConfig(4), 'source');
	state.applyServerList({items: [createServer('i-1')], revision: 3}, 'source');
	expect([state.getConfigChanges(4), state.getServersSnapshot(3)]).toEqual([undefined, undefined]);
	expect(state.getConfigChanges(3)?.version).toBe(4);
	expect(state.getServersSnapshot(2)?.items).toHaveLength(1);
});

test('a node counts as disconnected from the source for a while after its last failed call', () => {
	const {state, clock} = createState();
	state.applyServerList({items: [createServer('i-1')], revision: 3}, 'source');
	expect(state.isSourceReachable).toBe(true);
	state.recordOutage('servers');
	clock.advance(9000);
	expect(state.isSourceReachable).toBe(false);
	clock.advance(2000);
	expect(state.isSourceReachable).toBe(true);
});

test('a list older than the known revision is ignored', () => {
	const {state} = createState();
	state.applyServerList({items: [createServer('i-1')], revision: 9}, 'source');
	state.applyServerList({items: [], revision: 8}, 'source');
	expect(listIds(state)).toEqual(['i-1']);
});

// Guards against removing servers that have registered again: a follower that is behind gets another node's snapshot with
// the new entries, then reads the changes since its own revision. If it applies the removals and ignores the additions,
// which are older than the snapshot, all servers are lost: server_doubtful for 20 servers without a server_added,
// and no call of their service was served for 26 s.
test('a server that expired and registered again is kept, also when another node\'s snapshot has its new entry already', () => {
	const {state, clock} = createState();
	state.applyServerList({items: [createServer('i-1'), createServer('i-2')], revision: 3}, 'source');
	state.applyServers({revision: 12, items: [createServer('i-1'), createServer('i-2')]}, 'node');
	state.applyServerChanges([
		{name: 'i-1', item: undefined},
		{name: 'i-2', item: undefined},
		{name: 'i-1', item: createServer('i-1'), revision: 10},
		{name: 'i-2', item: createServer('i-2'), revision: 11},
	], 13, 'source');
	clock.advance(reregistrationGrace + 1);
	expect(listIds(state)).toEqual(['i-1', 'i-2']);
});
