/** Which node decides for a service. Pure. */
import {findRendezvous, type ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/peer-beat.js';

/** A node with at least this share of the cores of the largest one is large enough: every request of the fleet asks the deciding node. */
const largeShare = 0.75;

/** The first of the large nodes in the order of the service; undefined when there is none at all. */
export function chooseDecider(service: ServiceName, nodes: Peer[]): Peer | undefined {
	const most = Math.max(...nodes.map(node => node.cores));
	const large = nodes.filter(node => node.cores >= most * largeShare);
	return findRendezvous(service, large, node => node.name);
}
