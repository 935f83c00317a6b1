/**
 * Heartbeats between gateway nodes: what they tell, and their form on the wire.
 *
 * A heartbeat goes out several times a second and names every live node, so it carries
 * only the life of each, a few letters. What a life stands for is told when it is asked for.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {AvailabilityZone, BoxId} from '../common/index.js';

/** What a node tells of itself once: it holds as long as its process. */
export type PeerInfo = {
	name: BoxId;
	/** Random for each life of the process. */
	life: string;
	availabilityZone: AvailabilityZone;
	/** `IP:PORT` for callers. */
	callerAddress: string;
	/** `IP:PORT` for other nodes' calls. */
	peerAddress: string;
	/** `IP:PORT` for heartbeats. */
	beatAddress: string;
	/** Cores that its process gets. */
	cores: number;
};

/** What changes while a process lives. */
export type PeerStatus = {
	/** Whether it takes calls; false while it starts or leaves. */
	isReady: boolean;
	/** Whether its own source answers. */
	isSourceReachable: boolean;
};

/** How new the view of a node is. */
export type PeerView = {
	configVersion: number;
	/** Revision up to which it knows the servers. */
	serversRevision: number;
	/** Sums up the servers it knows; equal views have equal digests. */
	serversDigest: string;
};

/** A node as others know it. */
export type Peer = PeerInfo & PeerStatus;

/** A sign of life of a node. */
export type PeerSign = PeerStatus & {
	life: string;
	/** Milliseconds since the node itself gave the sign. */
	age: number;
};

/** A heartbeat. */
export type PeerBeat = {
	from: PeerSign;
	view: PeerView;
	others: PeerSign[];
	/** Nodes described in full, because the receiver asked or may not know them. */
	described: PeerInfo[];
	/** Lives that the sender would like to have described. */
	wanted: string[];
};

/** A sign on the wire is its life and one number: its age in hundredths of a second times four, plus the flags. */
const signLength = 2;
const ageUnit = 10;
const flagCount = 4;
const readyFlag = 1;
const reachableFlag = 2;

const infoSchema = z.object({
	name: z.string(),
	life: z.string(),
	availabilityZone: z.string(),
	callerAddress: z.string(),
	peerAddress: z.string(),
	beatAddress: z.string(),
	cores: z.number(),
});

const beatSchema = z.object({
	from: z.array(z.unknown()).length(signLength),
	view: z.tuple([z.number(), z.number(), z.string()]),
	others: z.array(z.unknown()),
	described: z.array(infoSchema).default([]),
	wanted: z.array(z.string()).default([]),
});

/** Writes a heartbeat: the signs of others stand one after the other, so that the fleet fits into a datagram. */
export function encodeBeat(beat: PeerBeat): Uint8Array {
	const {view} = beat;
	return Buffer.from(JSON.stringify({
		from: formatSign(beat.from),
		view: [view.configVersion, view.serversRevision, view.serversDigest],
		others: beat.others.flatMap(sign => formatSign(sign)),
		described: beat.described.length === 0 ? undefined : beat.described,
		wanted: beat.wanted.length === 0 ? undefined : beat.wanted,
	}));
}

/** Reads a heartbeat; throws when it is none. */
export function decodeBeat(message: unknown): PeerBeat {
	const beat = beatSchema.parse(message);
	const [configVersion, serversRevision, serversDigest] = beat.view;
	const others = [];
	for (let start = 0; start < beat.others.length; start += signLength) {
		others.push(parseSign(beat.others[start], beat.others[start + 1]));
	}

	return {
		from: parseSign(beat.from[0], beat.from[1]),
		view: {configVersion, serversRevision, serversDigest},
		others,
		described: beat.described as PeerInfo[],
		wanted: beat.wanted,
	};
}

function formatSign(sign: PeerSign): [string, number] {
	const flags = (sign.isReady ? readyFlag : 0) + (sign.isSourceReachable ? reachableFlag : 0);
	return [sign.life, (Math.round(sign.age / ageUnit) * flagCount) + flags];
}

/** Checked by hand: a fleet of sixty hears some seven hundred signs a second. */
function parseSign(life: unknown, number: unknown): PeerSign {
	if (typeof life !== 'string' || typeof number !== 'number' || !Number.isInteger(number) || number < 0) {
		throw new TypeError(`a sign of life is expected as letters and a whole number, not ${String(life)} and ${String(number)}`);
	}

	const flags = number % flagCount;
	return {
		life, age: Math.floor(number / flagCount) * ageUnit, isReady: flags % reachableFlag === readyFlag, isSourceReachable: flags >= reachableFlag,
	};
}
