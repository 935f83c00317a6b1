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
export type AddressSource = {
	callerUrl: string;
	availabilityZone: string;
	incarnation: Incarnation;
};

/** Addresses in one answer. */
const mostAddresses = 8;

/**
 * Orders the addresses: those of the caller's availability zone first, and within
 * a zone turned by a random number, so that callers do not all pick the same.
 */
export function listAddresses(sources: AddressSource[], zone: AvailabilityZone, {second, random}: {second: number; random: () => number}): AddressEntry[] {
	const near = turnList(sources.filter(source => source.availabilityZone === zone), random());
	const far = turnList(sources.filter(source => source.availabilityZone !== zone), random());
	return [...near, ...far].slice(0, mostAddresses).map(source => ({
		url: source.callerUrl,
		availabilityZone: source.availabilityZone,
		incarnation: formatAddressToken(source.incarnation, second),
	}));
}

function turnList<Item>(items: Item[], turn: number): Item[] {
	const start = Math.floor(turn * items.length);
	return [...items.slice(start), ...items.slice(0, start)];
}
