import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import type {ServiceName} from '../src/common/index.js';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createTextAnswer} from './helpers/platform-standins.js';

/** For tests that wait until a silence has been noticed, in milliseconds. */
const outageTimeout = 30_000;

/** Nodes of a fleet: more than follow the store. */
const fleetSize = 5;

/** How long the store is silent, in milliseconds: longer than a watch of calm times and its limit. */
const outageTime = 7500;

/** Time within which a change must be in force at every node, in milliseconds. */
const changeBound = 2000;

let fleet: GatewayFleet;

beforeEach(async () => {
	fleet = new GatewayFleet();
	await fleet.start({nodes: fleetSize, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await waitUntil(() => fleet.gateways.filter(gateway => gateway.isWatcher).length === 3 && fleet.store.waitingWatches > 0);
});

afterEach(async () => {
	await fleet.stop();
});

function areAllAt(version: number): boolean {
	return fleet.gateways.every(gateway => gateway.state.configVersion === version);
}

// A store was silent for nine seconds. The watches that its three followers sent into the silence, at 31 to 33 s,
// were never answered, and each was waited for as long as one in calm times. The store was back at 34 s and
// took six configurations from 35.1 s on; the followers asked it again at 37.8 s (no call of any node between in
// the store's record), and until then all nodes refused what the first of them had added.
test('a change made when a silent store is back is in force at every node within two seconds', async () => {
	fleet.store.trouble = 'silent';
	await pause(outageTime);
	fleet.store.trouble = 'none';
	fleet.store.put('config', 'main', createConfig(2));
	await waitUntil(() => areAllAt(2), changeBound);
	const answer = await fleet.call({path: '/once/'});
	expect(answer.status).toBe(200);
}, outageTimeout);

test('a change made when all connections to the store have just fallen silent is in force within three seconds', async () => {
	fleet.store.silenceConnections();
	fleet.store.put('config', 'main', createConfig(2));
	fleet.putServer(0, 'app', 'draining');
	await waitUntil(() => areAllAt(2) && fleet.gateways.every(gateway => gateway.state.listServers('app' as ServiceName).length === 0), 3000);
	expect(areAllAt(2)).toBe(true);
}, outageTimeout);

test('changes are in force within three seconds each when all connections to the store fall silent twice in a row', async () => {
	for (const version of [2, 3]) {
		fleet.store.silenceConnections();
		fleet.store.put('config', 'main', createConfig(version));
		await waitUntil(() => areAllAt(version), 3000);
	}

	expect(areAllAt(3)).toBe(true);
}, outageTimeout);

// The servers were watched for five seconds at a time, the configuration for 1.5 s, and whoever found the store silent told the
// other watch of its node. When only the watches of the servers fell silent, at all three followers, nobody found it: a
// leaving server was used for 5.4 s more (a watch of 5,000 ms given up 400 ms late), of the two seconds allowed.
test('a leaving server is known within three seconds when the watches of the servers alone fall silent at all followers', async () => {
	fleet.store.silenceWatches('servers');
	fleet.putServer(0, 'app', 'draining');
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.listServers('app' as ServiceName).length === 0), 3000);
	expect(fleet.gateways.every(gateway => gateway.isReady)).toBe(true);
}, outageTimeout);

test('nodes register though all connections to the store fall silent before they do', async () => {
	const late = new GatewayFleet();
	await late.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	late.store.silenceConnections();
	await waitUntil(() => late.store.listNames('cresshook-nodes').includes('edge-0'), 6000);
	expect(late.store.listNames('cresshook-nodes')).toEqual(['edge-0']);
	await late.stop();
}, outageTimeout);

// Of the changes that a store tells, those of entries that are gone bear the revision of their last write, which is long known.
// A follower that left out what it knew left them out: servers that had ended stayed in use at every node (12 of 11 after a run,
// `server_added` and never `server_gone`).
test('a server whose entry is gone is forgotten by every node', async () => {
	await fleet.addRunner('app', createTextAnswer('also'));
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.listServers('app' as ServiceName).length === 2));
	fleet.store.remove('servers', 'i-0');
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.listServers('app' as ServiceName).length === 1), 3000);
	expect(fleet.gateways.map(gateway => gateway.state.usableServers)).toEqual(fleet.gateways.map(() => 1));
}, outageTimeout);
