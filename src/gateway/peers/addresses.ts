/** Which addresses callers are told to use. Pure. */
import type {AvailabilityZone} from '../../common/index.js';
import type {Peer} from './heartbeat.js';

/** Addresses given at least, where there are so many: one may have just died. */
const minAddresses = 2;

/** Addresses in one answer. */
const maxAddresses = 64;

/** Addresses of nodes in the caller's zone, with others where the zone has too few. */
export function listCallerAddresses(nodes: Peer[], zone: AvailabilityZone): string[] {
	const sameZone = nodes.filter(node => node.availabilityZone === zone);
	const chosen = sameZone.length >= minAddresses ? sameZone : nodes;
	return chosen.slice(0, maxAddresses).map(node => node.callerAddress);
}
