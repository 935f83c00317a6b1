import {expect, test} from '@jest/globals';
import type {AvailabilityZone, BoxId} from '../src/common/index.js';
import type {Peer} from '../src/gateway/peers/peer-beat.js';
import {chooseWatchers} from '../src/gateway/views/watchers.js';

function createNodes(count: number, cutOff: (index: number) => boolean = () => false): Peer[] {
	return Array.from({length: count}, (_, index) => ({
		name: `n${index}` as BoxId,
		life: `life-${index}`,
		availabilityZone: 'a' as AvailabilityZone,
		callerAddress: '',
		peerAddress: '',
		beatAddress: '',
		cores: 1,
		isReady: true,
		isSourceReachable: !cutOff(index),
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

test('for each that cannot reach the source one follows that can', () => {
	const first = chooseWatchers(createNodes(60)).map(node => node.name);
	const nodes = createNodes(60).map(node => ({...node, isSourceReachable: !first.slice(0, 2).includes(node.name)}));
	const chosen = chooseWatchers(nodes);
	expect(chosen).toHaveLength(5);
	expect(chosen.filter(node => node.isSourceReachable)).toHaveLength(3);
});

test('while the source is away for all, no more than the first ones ask it', () => {
	expect(chooseWatchers(createNodes(60, () => true))).toHaveLength(3);
});
