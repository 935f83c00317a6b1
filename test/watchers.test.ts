import {expect, test} from '@jest/globals';
import type {AvailabilityZone, BoxId} from '../src/common/index.js';
import type {Peer} from '../src/gateway/peers/heartbeat.js';
import {chooseWatchers} from '../src/gateway/views/watchers.js';

function createNodes(count: number, isCutOff: (index: number) => boolean = () => false): Peer[] {
	return Array.from({length: count}, (_, index) => ({
		name: `n${index}` as BoxId,
		life: `life-${index}`,
		availabilityZone: 'a' as AvailabilityZone,
		callerAddress: '',
		peerAddress: '',
		beatAddress: '',
		cores: 1,
		isReady: true,
		isSourceReachable: !isCutOff(index),
		hearsSource: false,
	}));
}

test('a fleet of any size has three watchers', () => {
	expect([1, 2, 3, 60, 400].map(count => chooseWatchers(createNodes(count)).length)).toEqual([1, 2, 3, 3, 3]);
});

test('the choice does not depend on the order of the nodes', () => {
	const nodes = createNodes(60);
	const names = (list: Peer[]) => list.map(node => node.name);
	expect(names(chooseWatchers([...nodes].reverse()))).toEqual(names(chooseWatchers(nodes)));
});

/** Creates nodes of which some cannot reach the source and some are connected to it. */
function createProbed({unreachable, connected = []}: {unreachable: Peer[]; connected?: Peer[]}): Peer[] {
	const names = (list: Peer[]) => new Set(list.map(node => node.name));
	const [unreachableNames, connectedNames] = [names(unreachable), names(connected)];
	return createNodes(60).map(node => ({...node, isSourceReachable: !unreachableNames.has(node.name), hearsSource: connectedNames.has(node.name)}));
}

test('each watcher that cannot reach the source is backed up by one node that can', () => {
	const first = chooseWatchers(createNodes(60));
	const chosen = chooseWatchers(createProbed({unreachable: first.slice(0, 2)}));
	expect(chosen).toHaveLength(5);
	expect(chosen.filter(node => node.isSourceReachable)).toHaveLength(3);
});

test('while no node is connected, twice as many nodes probe the source as have failed to, at most 24 at once', () => {
	let probed: Peer[] = chooseWatchers(createNodes(60));
	const counts: number[] = [];
	for (let round = 0; round < 5; round++) {
		const next = chooseWatchers(createProbed({unreachable: probed})).slice(3);
		counts.push(next.length);
		probed = [...probed, ...next];
	}

	expect(counts).toEqual([6, 18, 24, 9, 0]);
});

test('once enough nodes are connected the others stop, and the first in order resume when they can', () => {
	const first = chooseWatchers(createNodes(60));
	const next = chooseWatchers(createProbed({unreachable: first})).slice(3);
	expect(chooseWatchers(createProbed({unreachable: first, connected: next.slice(0, 1)}))).toHaveLength(6);
	expect(chooseWatchers(createProbed({unreachable: first, connected: next.slice(0, 5)})).map(node => node.name)).toEqual([...first, ...next.slice(0, 3)].map(node => node.name));
	expect(chooseWatchers(createProbed({unreachable: first.slice(0, 1), connected: next.slice(0, 3)}))).toHaveLength(4);
	expect(chooseWatchers(createProbed({unreachable: [], connected: next.slice(0, 3)}))).toHaveLength(3);
});

test('while no node can reach the source only the regular watchers keep querying it', () => {
	expect(chooseWatchers(createNodes(60, () => true))).toHaveLength(3);
});
