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

test('selects one of the large nodes as scheduling node', () => {
	const nodes = Array.from({length: 60}, (_, index) => createNode(`n${index}`, index % 10 === 0 ? 1.35 : 0.3));
	expect(selectScheduler(service, nodes)?.cores).toBe(1.35);
});

test('selects different scheduling nodes for different services among nodes of similar size', () => {
	const nodes = Array.from({length: 30}, (_, index) => createNode(`n${index}`, index % 2 === 0 ? 1 : 0.9));
	const chosen = new Set(Array.from({length: 40}, (_, index) => selectScheduler(`service-${index}` as ServiceName, nodes)?.name));
	expect(chosen.size).toBeGreaterThan(15);
});

test('all nodes select the same successor when the scheduling node is gone', () => {
	const nodes = Array.from({length: 12}, (_, index) => createNode(`n${index}`, 1));
	const remaining = nodes.filter(node => node !== selectScheduler(service, nodes));
	expect(selectScheduler(service, [...remaining].reverse())).toBe(selectScheduler(service, remaining));
	expect(selectScheduler(service, remaining)).not.toBe(selectScheduler(service, nodes));
});

test('selects no scheduling node without nodes', () => {
	expect(selectScheduler(service, [])).toBeUndefined();
});

// Guards against several nodes each granting a server's whole request limit: four nodes sent 92 requests in 4 s at a limit of 10 per second.
test('only one node is preferred among nodes that mark each other as slow', () => {
	const nodes = Array.from({length: 4}, (_, index) => createNode(`n${index}`, 1));
	const selectors = nodes.map(self => {
		const peers: Partial<Peers> = {revision: 0, listReady: () => nodes, isSlow: name => name !== self.name};
		return new SchedulerSelector(new VirtualClock(), peers as Peers, () => self);
	});
	expect(selectors.filter((choice, index) => choice.select(service) === nodes[index]).length).toBe(4);
	expect(selectors.filter(choice => choice.isPreferred(service)).length).toBe(1);
});
