/** Which entry addresses callers are told to use. Pure. */
import {formatAddressToken, type AvailabilityZone, type Incarnation} from '../../common/index.js';

/** One address of an answer. */
export type AddressEntry = {
	url: string;
	availabilityZone: string;
	/** Token from which run keys are made: `TOKEN.UUID`. */
	incarnation: string;
};

/** Answer of `/v1/addresses`. */
export type AddressAnswer = {
	addresses: AddressEntry[];
	/** Seconds for which the answer may be kept. */
	lifetimeSeconds: number;
};

/** A node as far as addresses need it. */
export type AddressableNode = {
	callerUrl: string;
	availabilityZone: string;
	incarnation: Incarnation;
};

/** Addresses in one answer. */
const maxAddresses = 8;

/**
 * Orders the addresses: those of the caller's availability zone first, and within
 * a zone turned by a random number, so that callers do not all pick the same.
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
