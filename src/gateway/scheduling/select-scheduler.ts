/** Which node decides for a service. Pure. */
import {findFirstByRendezvous, type ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';

/** A node with at least this share of the cores of the largest one is large enough: every request of the fleet asks the deciding node. */
const largeNodeShare = 0.75;

/** The first of the large nodes in the order of the service; undefined when there is none at all. */
export function selectScheduler(service: ServiceName, nodes: Peer[]): Peer | undefined {
	const maxCores = Math.max(...nodes.map(node => node.cores));
	const large = nodes.filter(node => node.cores >= maxCores * largeNodeShare);
	return findFirstByRendezvous(service, large, node => node.name);
}
