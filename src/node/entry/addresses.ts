/** Selects the entry addresses returned by `/v1/addresses`. Pure. */
import {formatAddressToken, type AvailabilityZone, type Incarnation} from '../../common/index.js';

/** One address in the response. */
export type AddressEntry = {
	url: string;
	availabilityZone: string;
	/** Address token; a caller builds a run key from it as `TOKEN.UUID`. */
	incarnation: string;
};

/** Response body of `/v1/addresses`. */
export type AddressResponse = {
	addresses: AddressEntry[];
	/** Seconds for which a caller may cache the response. */
	lifetimeSeconds: number;
};

/** The fields of a node from which its address entry is built. */
export type AddressableNode = {
	callerUrl: string;
	availabilityZone: string;
	incarnation: Incarnation;
};

/** Maximum number of addresses in one response. */
const maxAddresses = 8;

/**
 * Orders the addresses: those in the caller's availability zone first, the rest after them.
 * Both groups are rotated by a random offset, so that callers spread over the nodes.
 */
export function listAddresses(nodes: AddressableNode[], zone: AvailabilityZone, {second, random}: {second: number; random: () => number}): AddressEntry[] {
	const sameZone = rotateList(nodes.filter(node => node.availabilityZone === zone), random());
	const otherZones = rotateList(nodes.filter(node => node.availabilityZone !== zone), random());
	return [...sameZone, ...otherZones].slice(0, maxAddresses).map(node => ({
		url: node.callerUrl,
		availabilityZone: node.availabilityZone,
		incarnation: formatAddressToken(node.incarnation, second),
	}));
}

function rotateList<Item>(items: Item[], fraction: number): Item[] {
	const start = Math.floor(fraction * items.length);
	return [...items.slice(start), ...items.slice(0, start)];
}
