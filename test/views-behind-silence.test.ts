// Guards against waiting for broken connections. All connections between nodes became unresponsive, without a reset, five
// seconds before a configuration changed. New connections and heartbeats worked, so every node looked alive. Nodes that
// reused a connection waited for 4 s (`config_missed`, `servers_missed` in the logs), the second request met another
// broken connection, and no third was sent before the first timed out: the last nodes had the version after 4.0 and 4.2 s.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import type {ServiceName} from '../src/common/index.js';
import type {FleetState} from '../src/routing/index.js';
import {LinkedFleet, type LinkOptions} from './helpers/linked-nodes.js';
import {createModelServer, createRoutedConfig, createRoutes} from './helpers/viewing-fleet.js';

/** Timeout of a test with idle times between changes, in milliseconds. */
const testTimeout = 60_000;

const nodeCount = 9;
const followers = 3;

/** Number of changes before the measured one, so that nodes have open connections to each other. */
const warmUpChanges = 8;

/** Time for which connections are idle before a change, in milliseconds. */
const idleTime = 1000;

/** Bytes per millisecond of a link of 14 Mbit/s, the slowest of the supported boxes. */
const narrowLinkBytesPerMs = 1750;

const servers = Array.from({length: 60}, (_, index) => createModelServer(index));

let fleet: LinkedFleet;

beforeEach(() => {
	fleet = new LinkedFleet();
});

afterEach(async () => {
	await fleet.stop();
});

async function sleep(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

function hasVersion(version: number): (state: FleetState) => boolean {
	return state => state.configVersion >= version;
}

function hasRemovals(count: number): (state: FleetState) => boolean {
	return state => state.listServers('model' as ServiceName).length <= servers.length - count;
}

/** Applies a new version and the leaving of a server at the watchers. */
function applyChange(version: number, routes: number): void {
	const config = createRoutedConfig(version, createRoutes(routes, `-${version}`));
	const leaving = {...createModelServer(version, true), entryRevision: version};
	for (const {state} of fleet.nodes.slice(0, followers)) {
		state.applyConfig(config, 'source');
		state.applyServerChanges([{name: leaving.name, item: leaving, revision: version}], version, 'source');
	}
}

/** Starts a fleet whose nodes have exchanged several changes. */
async function startFleet(routes: number, options?: LinkOptions): Promise<void> {
	await fleet.start(nodeCount, options);
	fleet.applyToAll(createRoutedConfig(1, createRoutes(routes)), servers);
	for (let version = 2; version < warmUpChanges + 2; version++) {
		applyChange(version, routes);
		await fleet.measure(state => hasVersion(version)(state) && hasRemovals(version - 1)(state));
	}

	await sleep(idleTime);
}

async function measureChange(version: number, routes: number): Promise<{server: number; config: number}> {
	applyChange(version, routes);
	const [server, config] = await Promise.all([fleet.measure(hasRemovals(version - 1)), fleet.measure(hasVersion(version))]);
	return {server, config};
}

function expectInTime({server, config}: {server: number; config: number}): void {
	expect(server).toBeLessThanOrEqual(500);
	expect(config).toBeLessThanOrEqual(1000);
}

test.each([
	[1, 250],
	[Infinity, 250],
	[Infinity, 2000],
	[Infinity, 10_000],
])('%d idle connections to each node became unresponsive: a change of one of %d routes and a leaving server are known in time', async (connections, routes) => {
	await startFleet(routes, {rate: narrowLinkBytesPerMs});
	fleet.loseConnections(connections);
	await sleep(idleTime);
	expectInTime(await measureChange(warmUpChanges + 2, routes));
}, testTimeout);

test('connections that become unresponsive during requests, three times in a row, delay neither change', async () => {
	await startFleet(250);
	const stalling = stallDuringRequests(fleet);
	expectInTime(await measureChange(warmUpChanges + 2, 250));
	await stalling;
}, testTimeout);

/** Stalls all connections three times while a change spreads: those of the first requests and of the hedged ones. */
async function stallDuringRequests(nodes: LinkedFleet): Promise<void> {
	for (const pause of [5, 35, 70]) {
		await sleep(pause);
		nodes.loseConnections();
	}
}

test('a slow transfer counts as progress: ten thousand routes reach eight new nodes over a link of 2.8 Mbit/s, nearly without duplicates', async () => {
	const wholeBytes = 165_000;
	await fleet.start(nodeCount, {rate: narrowLinkBytesPerMs / 5});
	const {state} = fleet.nodes[0];
	state.applyServerList({items: servers, revision: 1}, 'source');
	state.applyConfig(createRoutedConfig(1, createRoutes(10_000)), 'source');
	const taken = await fleet.measure(hasVersion(1));
	const carried = fleet.nodes.reduce((sum, {link}) => sum + link.answerBytes, 0);
	expect(taken).toBeLessThanOrEqual(6000);
	expect(carried).toBeLessThanOrEqual(1.3 * (nodeCount - 1) * wholeBytes);
}, testTimeout);
