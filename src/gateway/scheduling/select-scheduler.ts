/** Selects the scheduling node of a service by rendezvous hashing. Pure. */
import {findFirstByRendezvous, type ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';

/** Minimum share of the cores of the largest node that a scheduling node has: it handles every request of the fleet. */
const largeNodeShare = 0.75;

/** Selects one of the large nodes; undefined if there are no nodes. */
export function selectScheduler(service: ServiceName, nodes: Peer[]): Peer | undefined {
	const maxCores = Math.max(...nodes.map(node => node.cores));
	const large = nodes.filter(node => node.cores >= maxCores * largeNodeShare);
	return findFirstByRendezvous(service, large, node => node.name);
}
