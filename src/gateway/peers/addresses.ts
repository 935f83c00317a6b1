/** Which addresses callers are told to use. Pure. */
import type {AvailabilityZone} from '../../common/index.js';
import type {Peer} from './peer-beat.js';

/** Addresses given at least, where there are so many: one may have just died. */
const leastAddresses = 2;

/** Addresses in one answer. */
const mostAddresses = 64;

/** Addresses of nodes in the caller's zone, with others where the zone has too few. */
export function listCallerAddresses(nodes: Peer[], zone: AvailabilityZone): string[] {
	const near = nodes.filter(node => node.availabilityZone === zone);
	const chosen = near.length >= leastAddresses ? near : nodes;
	return chosen.slice(0, mostAddresses).map(node => node.callerAddress);
}
