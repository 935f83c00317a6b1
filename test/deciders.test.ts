import {expect, test} from '@jest/globals';
import {
	VirtualClock, type AvailabilityZone, type BoxId, type ServiceName,
} from '../src/common/index.js';
import {SchedulerSelector} from '../src/gateway/scheduling/scheduler-selector.js';
import {selectScheduler} from '../src/gateway/scheduling/select-scheduler.js';
import type {Peer} from '../src/gateway/peers/heartbeat.js';
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
	expect(selectScheduler(service, nodes)?.cores).toBe(1.35);
});

test('nodes of about one size all may decide, each service by its own', () => {
	const nodes = Array.from({length: 30}, (_, index) => createNode(`n${index}`, index % 2 === 0 ? 1 : 0.9));
	const chosen = new Set(Array.from({length: 40}, (_, index) => selectScheduler(`service-${index}` as ServiceName, nodes)?.name));
	expect(chosen.size).toBeGreaterThan(15);
});

test('when the deciding node is gone, all others agree on the next', () => {
	const nodes = Array.from({length: 12}, (_, index) => createNode(`n${index}`, 1));
	const remaining = nodes.filter(node => node !== selectScheduler(service, nodes));
	expect(selectScheduler(service, [...remaining].reverse())).toBe(selectScheduler(service, remaining));
	expect(selectScheduler(service, remaining)).not.toBe(selectScheduler(service, nodes));
});

test('without nodes nobody decides', () => {
	expect(selectScheduler(service, [])).toBeUndefined();
});

// Each of four nodes granted a server's whole limit: 92 requests in 4 s at ten a second.
test('of nodes that pass each other over as slow one is the first', () => {
	const nodes = Array.from({length: 4}, (_, index) => createNode(`n${index}`, 1));
	const selectors = nodes.map(self => {
		const peers: Partial<Peers> = {revision: 0, listReady: () => nodes, isSlow: name => name !== self.name};
		return new SchedulerSelector(new VirtualClock(), peers as Peers, () => self);
	});
	expect(selectors.filter((choice, index) => choice.select(service) === nodes[index]).length).toBe(4);
	expect(selectors.filter(choice => choice.isPreferred(service)).length).toBe(1);
});
