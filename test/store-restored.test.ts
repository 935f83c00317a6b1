// A store that comes back from a copy: what was written since is gone, and revisions are given out again.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import type {ServiceName} from '../src/common/index.js';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createTextAnswer, type StoreCopy} from './helpers/platform-standins.js';

const testTimeout = 30_000;

/** Number of nodes: more than there are watchers. */
const fleetSize = 5;

/** Time within which a change must be in force at every node, in milliseconds. */
const changeBound = 2000;

/** Time that the nodes get to read the store after its return, in milliseconds. */
const readTime = 2500;

/** Number of changes of the configuration that the store loses. */
const lostChanges = 20;

const app = 'app' as ServiceName;

let fleet: GatewayFleet;
let copy: StoreCopy;
let version: number;

beforeEach(async () => {
	fleet = new GatewayFleet();
	version = 1;
	fleet.store.era = 1;
	await fleet.start({nodes: fleetSize, runners: [0, 1, 2].map(() => ({service: 'app', behaviour: createTextAnswer('yes')}))});
	await waitUntil(() => fleet.gateways.filter(gateway => gateway.isWatcher).length === 3 && fleet.store.listNames('cresshook-nodes').length >= 3);
	copy = fleet.store.copy();
});

afterEach(async () => {
	await fleet.stop();
});

function putConfigs(count: number): void {
	for (let index = 0; index < count; index++) {
		fleet.store.put('config', 'main', createConfig(++version));
	}
}

function listUsable(node: number): string[] {
	return fleet.gateways[node].state.listServers(app).map(server => server.name).sort();
}

function areUsableEverywhere(names: string[]): boolean {
	return fleet.gateways.every((_, node) => listUsable(node).join(',') === names.join(','));
}

/** Loses some changes of the configuration, of which the operator writes the last one again. */
async function loseChanges(): Promise<void> {
	putConfigs(lostChanges);
	await pause(readTime);
	fleet.store.restore(copy);
	fleet.store.put('config', 'main', createConfig(version));
}

// Guards against lists and changes that are ignored until the restored store has given out all revisions again.
test('a leaving server is known at every node within two seconds after the store came back from a copy', async () => {
	await loseChanges();
	await pause(readTime);
	fleet.putServer(0, 'app', 'draining');
	await waitUntil(() => areUsableEverywhere(['i-1', 'i-2']), changeBound);
	expect(areUsableEverywhere(['i-1', 'i-2'])).toBe(true);
}, testTimeout);

test('a leaving server is known when the restored store has given out the known revisions again before it is read', async () => {
	putConfigs(lostChanges);
	// The long polls for servers learn the revision at the end of their wait.
	await pause(readTime);
	fleet.store.restore(copy, true);
	fleet.putServer(0, 'app', 'draining');
	putConfigs(lostChanges + 10);
	await waitUntil(() => areUsableEverywhere(['i-1', 'i-2']), changeBound + 1000);
	expect(areUsableEverywhere(['i-1', 'i-2'])).toBe(true);
}, testTimeout);

test('a leaving server stays out of use when the copy has it as ready', async () => {
	fleet.putServer(0, 'app', 'draining');
	await waitUntil(() => areUsableEverywhere(['i-1', 'i-2']));
	await loseChanges();
	for (let passed = 0; passed < readTime; passed += 50) {
		expect(areUsableEverywhere(['i-1', 'i-2'])).toBe(true);
		await pause(50);
	}
}, testTimeout);

test('a server that has gone stays out of use when the copy still has its entry, until its writer would have removed it', async () => {
	fleet.store.remove('servers', 'i-0');
	await waitUntil(() => areUsableEverywhere(['i-1', 'i-2']));
	await loseChanges();
	for (let passed = 0; passed < readTime; passed += 50) {
		expect(areUsableEverywhere(['i-1', 'i-2'])).toBe(true);
		await pause(50);
	}

	await waitUntil(() => areUsableEverywhere(['i-0', 'i-1', 'i-2']), 5000);
}, testTimeout);

test('a server that the copy lacks stays in use while it can register again', async () => {
	await fleet.addRunner('app', createTextAnswer('new'));
	await waitUntil(() => areUsableEverywhere(['i-0', 'i-1', 'i-2', 'i-3']));
	await loseChanges();
	for (let passed = 0; passed < 1500; passed += 50) {
		expect(areUsableEverywhere(['i-0', 'i-1', 'i-2', 'i-3'])).toBe(true);
		await pause(50);
	}

	await waitUntil(() => areUsableEverywhere(['i-0', 'i-1', 'i-2']), 5000);
	fleet.putServer(3, 'app', 'ready');
	await waitUntil(() => areUsableEverywhere(['i-0', 'i-1', 'i-2', 'i-3']), changeBound);
}, testTimeout);

test('changes are known after each of three returns of the store', async () => {
	for (const [index, left] of [['i-1', 'i-2'], ['i-2'], []].entries()) {
		await loseChanges();
		await pause(500);
		fleet.putServer(index, 'app', 'draining');
		await waitUntil(() => areUsableEverywhere(left), changeBound);
	}

	expect(areUsableEverywhere([])).toBe(true);
}, testTimeout);

test('a node whose registration the store has lost registers again', async () => {
	const early = {...copy, objects: new Map([...copy.objects].filter(([kind]) => kind !== 'cresshook-nodes'))};
	const names = fleet.store.listNames('cresshook-nodes');
	fleet.store.restore(early);
	await waitUntil(() => names.every(name => fleet.store.listNames('cresshook-nodes').includes(name)), 6000);
	expect(fleet.store.listNames('cresshook-nodes')).toEqual(expect.arrayContaining(names));
}, testTimeout);
