import {expect, test} from '@jest/globals';
import {
	VirtualClock, type AvailabilityZone, type BoxId, type ServiceName,
} from '../src/common/index.js';
import {DeciderChoice} from '../src/gateway/deciding/decider-choice.js';
import {chooseDecider} from '../src/gateway/deciding/deciders.js';
import type {Peer} from '../src/gateway/peers/peer-beat.js';
import type {Peers} from '../src/gateway/peers/peers.js';

const service = 'model' as ServiceName;

function createNode(name: string, cores: number): Peer {
	return {
		name: name as BoxId,
		life: name,
		availabilityZone: 'a' as AvailabilityZone,
		callerAddress: '',
		peerAddress: '',
		beatAddress: '',
		cores,
		isReady: true,
		isSourceReachable: true,
		hearsSource: false,
	};
}

test('one of the large nodes decides, whichever are small', () => {
	const nodes = Array.from({length: 60}, (_, index) => createNode(`n${index}`, index % 10 === 0 ? 1.35 : 0.3));
	expect(chooseDecider(service, nodes)?.cores).toBe(1.35);
});

test('nodes of about one size all may decide, each service by its own', () => {
	const nodes = Array.from({length: 30}, (_, index) => createNode(`n${index}`, index % 2 === 0 ? 1 : 0.9));
	const chosen = new Set(Array.from({length: 40}, (_, index) => chooseDecider(`service-${index}` as ServiceName, nodes)?.name));
	expect(chosen.size).toBeGreaterThan(15);
});

test('when the deciding node is gone, all others agree on the next', () => {
	const nodes = Array.from({length: 12}, (_, index) => createNode(`n${index}`, 1));
	const left = nodes.filter(node => node !== chooseDecider(service, nodes));
	expect(chooseDecider(service, [...left].reverse())).toBe(chooseDecider(service, left));
	expect(chooseDecider(service, left)).not.toBe(chooseDecider(service, nodes));
});

test('without nodes nobody decides', () => {
	expect(chooseDecider(service, [])).toBeUndefined();
});

// Each of four nodes granted a server's whole limit: 92 requests in 4 s at ten a second.
test('of nodes that pass each other over as slow one is the first', () => {
	const nodes = Array.from({length: 4}, (_, index) => createNode(`n${index}`, 1));
	const choices = nodes.map(self => {
		const peers: Partial<Peers> = {revision: 0, listReady: () => nodes, isSlow: name => name !== self.name};
		return new DeciderChoice(new VirtualClock(), peers as Peers, () => self);
	});
	expect(choices.filter((choice, index) => choice.choose(service) === nodes[index]).length).toBe(4);
	expect(choices.filter(choice => choice.isFirst(service)).length).toBe(1);
});
