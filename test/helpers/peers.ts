/** Nodes as described in heartbeats, for tests. */
import type {AvailabilityZone, BoxId} from '../../src/common/index.js';
import type {Peer} from '../../src/gateway/peers/heartbeat.js';

/** Creates a ready node with one core. */
export function createPeer(name: string, changes: Partial<Peer> = {}): Peer {
	return {
		name: name as BoxId,
		life: `${name}:1`,
		availabilityZone: 'a' as AvailabilityZone,
		callerAddress: `${name}:1`,
		peerAddress: `${name}:2`,
		beatAddress: `${name}:3`,
		cores: 1,
		isReady: true,
		isSourceReachable: true,
		hearsSource: false,
		...changes,
	};
}
