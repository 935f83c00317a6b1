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

test('three nodes follow the source, in a fleet of any size', () => {
	expect([1, 2, 3, 60, 400].map(count => chooseWatchers(createNodes(count)).length)).toEqual([1, 2, 3, 3, 3]);
});

test('every node chooses alike, whatever the order in which it knows the others', () => {
	const nodes = createNodes(60);
	const names = (list: Peer[]) => list.map(node => node.name);
	expect(names(chooseWatchers([...nodes].reverse()))).toEqual(names(chooseWatchers(nodes)));
});

/** Nodes that have tried the source: those named hear it or, all but these, do not reach it. */
function createProbed({lost: unreachable, hearing: connected = []}: {lost: Peer[]; hearing?: Peer[]}): Peer[] {
	const names = (list: Peer[]) => new Set(list.map(node => node.name));
	const [unreachableNames, connectedNames] = [names(unreachable), names(connected)];
	return createNodes(60).map(node => ({...node, isSourceReachable: !unreachableNames.has(node.name), hearsSource: connectedNames.has(node.name)}));
}

test('for each that cannot reach the source one follows that can', () => {
	const first = chooseWatchers(createNodes(60));
	const chosen = chooseWatchers(createProbed({lost: first.slice(0, 2)}));
	expect(chosen).toHaveLength(5);
	expect(chosen.filter(node => node.isSourceReachable)).toHaveLength(3);
});

test('while no node hears the source twice as many try it as have tried in vain, 24 at once at most', () => {
	let probed: Peer[] = chooseWatchers(createNodes(60));
	const counts: number[] = [];
	for (let round = 0; round < 5; round++) {
		const next = chooseWatchers(createProbed({lost: probed})).slice(3);
		counts.push(next.length);
		probed = [...probed, ...next];
	}

	expect(counts).toEqual([6, 18, 24, 9, 0]);
});

test('once enough hear the source the others stop, and those that are first in order take it back', () => {
	const first = chooseWatchers(createNodes(60));
	const next = chooseWatchers(createProbed({lost: first})).slice(3);
	expect(chooseWatchers(createProbed({lost: first, hearing: next.slice(0, 1)}))).toHaveLength(6);
	expect(chooseWatchers(createProbed({lost: first, hearing: next.slice(0, 5)})).map(node => node.name)).toEqual([...first, ...next.slice(0, 3)].map(node => node.name));
	expect(chooseWatchers(createProbed({lost: first.slice(0, 1), hearing: next.slice(0, 3)}))).toHaveLength(4);
	expect(chooseWatchers(createProbed({lost: [], hearing: next.slice(0, 3)}))).toHaveLength(3);
});

test('while the source is away for all, no more than the first ones ask it on', () => {
	expect(chooseWatchers(createNodes(60, () => true))).toHaveLength(3);
});
