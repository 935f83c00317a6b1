import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createSilentLogger, VirtualClock, type OrganisationId} from '../src/common/index.js';
import {formatPacked, parsePacked} from '../src/rpc/packed-text.js';
import {
	applyConfigChanges, computeConfigChanges, FleetState, reuseEqualRoutes, type ConfigChanges, type RoutingConfig,
} from '../src/routing/index.js';
import {createRoutedConfig, createRoutes} from './helpers/viewing-fleet.js';

const seed = 41;

function createState(): FleetState {
	return new FleetState(new VirtualClock(), createSilentLogger());
}

/** Copies a version, as each read of the source creates new objects. */
function copyConfig(config: RoutingConfig): RoutingConfig {
	return structuredClone(config);
}

/** Sends the changes that a node lacks from one node to another, in their wire format; false when there are none, or they do not apply. */
function sendChanges(from: FleetState, to: FleetState): boolean {
	const changes = from.getConfigChanges(to.configVersion);
	return changes !== undefined && to.applyConfigChanges(parsePacked<ConfigChanges>(formatPacked(changes)), 'node');
}

test('one changed route of two thousand is sent in under a kilobyte, all of them in a fifteenth of their text', () => {
	const [ahead, behind, started] = [createState(), createState(), createState()];
	const before = createRoutedConfig(1, createRoutes(2000));
	const after = createRoutedConfig(2, createRoutes(2000, '-changed'));
	for (const state of [ahead, behind]) {
		state.applyConfig(copyConfig(before), 'source');
	}

	ahead.applyConfig(copyConfig(after), 'source');
	expect(formatPacked(ahead.getConfigChanges(1)).text.length).toBeLessThan(1000);
	expect(formatPacked(ahead.getConfigChanges(0)).text.length).toBeLessThan(JSON.stringify(after).length / 15);
	expect([sendChanges(ahead, behind), sendChanges(ahead, started)]).toEqual([true, true]);
	expect([behind.table?.config, started.table?.config]).toEqual([after, after]);
});

test('computed changes, applied to the earlier version, give the later one', () => {
	const routes = fc.shuffledSubarray(createRoutes(12)).chain(chosen => fc.array(fc.integer({min: 0, max: 3}), {minLength: chosen.length, maxLength: chosen.length})
		.map(marks => chosen.map((route, index) => ({...route, priority: marks[index]}))));
	const organisations = fc.constantFrom<RoutingConfig['organisations']>([], [{name: 'guild' as OrganisationId, keys: ['a', 'b']}], [{name: 'guild' as OrganisationId, keys: ['a']}]);
	fc.assert(fc.property(routes, routes, organisations, organisations, (first, second, few, many) => {
		const before: RoutingConfig = {...createRoutedConfig(1, first), organisations: few};
		const after: RoutingConfig = {...createRoutedConfig(2, second), organisations: many};
		const changes = computeConfigChanges(before, reuseEqualRoutes(before, copyConfig(after)));
		const received = parsePacked<ConfigChanges>(formatPacked(changes));
		expect(applyConfigChanges(before, received)).toEqual(after);
	}), {seed, numRuns: 300});
});

test('nodes that exchange changes in any order, with missed versions, have complete and correct configurations', () => {
	const step = fc.record({from: fc.nat(4), to: fc.nat(4), isRead: fc.boolean()});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		const nodes = Array.from({length: 5}, createState);
		const versions: RoutingConfig[] = [];
		for (const {from, to, isRead} of steps) {
			if (isRead) {
				const version = versions.length + 1;
				versions.push(createRoutedConfig(version, createRoutes(20, `-${version}`).slice(version % 5)));
				nodes[from].applyConfig(copyConfig(versions[version - 1]), 'source');
			} else {
				sendChanges(nodes[from], nodes[to]);
			}
		}

		for (const node of nodes) {
			expect(node.table?.config).toEqual(versions[node.configVersion - 1]);
		}
	}), {seed, numRuns: 200});
});

test('changes from an unknown version are not applied', () => {
	const state = createState();
	state.applyConfig(createRoutedConfig(4, createRoutes(3)), 'source');
	expect(state.applyConfigChanges({from: 3, version: 9, routes: [{kind: 'kept', start: 0, count: 3}]}, 'node')).toBe(false);
	expect(state.applyConfigChanges({from: 4, version: 9, routes: [{kind: 'kept', start: 2, count: 3}]}, 'node')).toBe(false);
	expect(state.configVersion).toBe(4);
});

test('a node behind the kept versions is sent the whole configuration', () => {
	const [ahead, behind] = [createState(), createState()];
	behind.applyConfig(createRoutedConfig(1, createRoutes(3)), 'source');
	for (let version = 1; version < 40; version++) {
		ahead.applyConfig(createRoutedConfig(version, createRoutes(3, `-${version}`)), 'source');
	}

	expect(ahead.getConfigChanges(1)?.from).toBe(0);
	expect(sendChanges(ahead, behind)).toBe(true);
	expect(behind.table?.config).toEqual(ahead.table?.config);
});
