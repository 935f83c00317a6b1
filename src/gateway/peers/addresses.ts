/** Selects the node addresses that are returned to callers. Pure. */
import type {AvailabilityZone} from '../../common/index.js';
import type {Peer} from './heartbeat.js';

/** Minimum number of addresses in one answer, if that many nodes exist: one of them may have just died. */
const minAddresses = 2;

/** Maximum number of addresses in one answer. */
const maxAddresses = 64;

/** Lists addresses of nodes in the caller's zone, or of all nodes when the zone has too few. */
export function listCallerAddresses(nodes: Peer[], zone: AvailabilityZone): string[] {
	const sameZone = nodes.filter(node => node.availabilityZone === zone);
	const chosen = sameZone.length >= minAddresses ? sameZone : nodes;
	return chosen.slice(0, maxAddresses).map(node => node.callerAddress);
}
