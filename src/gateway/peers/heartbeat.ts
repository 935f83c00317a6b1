/**
 * Heartbeats between gateway nodes: what they tell, and their form on the wire.
 *
 * A heartbeat goes out several times a second and names every live node, so it carries
 * only the life of each, a few letters. What a life stands for is told when it is asked for.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {AvailabilityZone, BoxId} from '../../common/index.js';
import type {SourceAges} from '../../routing/index.js';

/** What a node tells of itself once: it holds as long as its process. */
export type PeerInfo = {
	name: BoxId;
	/** Random for each life of the process; six letters at most. */
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
	/** Whether its own source answers, as far as it has tried. */
	isSourceReachable: boolean;
	/** Whether it follows the source and has had its answers of late. */
	hearsSource: boolean;
};

/** How new the view of a node is. */
export type PeerView = {
	configVersion: number;
	/** Revision up to which it knows the servers. */
	serversRevision: number;
	/** Sums up the servers it knows; equal views have equal digests. */
	serversDigest: string;
	/** When any node that it knows of has heard the source. */
	sourceAges: SourceAges;
};

/** A node as others know it. */
export type Peer = PeerInfo & PeerStatus;

/** A sign of life of a node. */
export type GossipEntry = PeerStatus & {
	life: string;
	/** Milliseconds since the node itself gave the sign. */
	age: number;
};

/** A heartbeat. */
export type Heartbeat = {
	from: GossipEntry;
	view: PeerView;
	others: GossipEntry[];
	/** Nodes described in full, because the receiver asked or may not know them. */
	described: PeerInfo[];
	/** Lives that the sender would like to have described. */
	wanted: string[];
};

/**
 * On the wire a heartbeat is a head in JSON, a line feed, and the signs of others one after the other.
 *
 * A sign is a life and one number: its age in hundredths of a second times eight, plus the flags. As JSON the signs of
 * 194 others took 2.9 kB and most of the time of reading a heartbeat.
 */
const lineFeed = 0x0A;
const lifeBytes = 6;
const entryBytes = lifeBytes + 2;
const ageUnit = 10;
const maxAgeUnits = 0x1F_FF;
const flagCombinations = 8;
const readyFlag = 1;
const reachableFlag = 2;
const sourceHeardFlag = 4;

const infoSchema = z.object({
	name: z.string(),
	life: z.string(),
	availabilityZone: z.string(),
	callerAddress: z.string(),
	peerAddress: z.string(),
	beatAddress: z.string(),
	cores: z.number(),
});

const headSchema = z.object({
	from: z.tuple([z.string().min(1).max(lifeBytes), z.int().min(0)]),
	view: z.tuple([z.number(), z.number(), z.string()]),
	// Configuration, then servers.
	ages: z.tuple([z.number().nullable(), z.number().nullable()]).default([null, null]),
	described: z.array(infoSchema).default([]),
	wanted: z.array(z.string()).default([]),
});

/** Writes a heartbeat. */
export function encodeHeartbeat(heartbeat: Heartbeat): Uint8Array {
	const {view, others} = heartbeat;
	const head = Buffer.from(`${JSON.stringify({
		from: [heartbeat.from.life, encodeEntry(heartbeat.from)],
		view: [view.configVersion, view.serversRevision, view.serversDigest],
		ages: [view.sourceAges.configuration ?? null, view.sourceAges.servers ?? null],
		described: heartbeat.described.length === 0 ? undefined : heartbeat.described,
		wanted: heartbeat.wanted.length === 0 ? undefined : heartbeat.wanted,
	})}\n`);
	const message = Buffer.alloc(head.length + (others.length * entryBytes));
	head.copy(message);
	for (const [index, entry] of others.entries()) {
		const start = head.length + (index * entryBytes);
		message.write(entry.life.padEnd(lifeBytes), start, lifeBytes, 'latin1');
		message.writeUInt16BE(encodeEntry(entry), start + lifeBytes);
	}

	return message;
}

/** Reads a heartbeat; throws when it is none. */
export function decodeHeartbeat(message: Uint8Array): Heartbeat {
	const bytes = Buffer.from(message.buffer, message.byteOffset, message.byteLength);
	const headLength = bytes.indexOf(lineFeed);
	const entriesLength = bytes.length - headLength - 1;
	if (headLength === -1 || entriesLength % entryBytes !== 0) {
		throw new TypeError(`a heartbeat is expected as a head and signs of ${entryBytes} bytes, not ${bytes.length} bytes with a head of ${headLength}`);
	}

	const head = headSchema.parse(JSON.parse(bytes.toString('utf8', 0, headLength)));
	const [configVersion, serversRevision, serversDigest] = head.view;
	const [configuration, servers] = head.ages.map(age => age ?? undefined);
	const others: GossipEntry[] = [];
	for (let start = headLength + 1; start < bytes.length; start += entryBytes) {
		others.push(decodeEntry(bytes.toString('latin1', start, start + lifeBytes).trimEnd(), bytes.readUInt16BE(start + lifeBytes)));
	}

	return {
		from: decodeEntry(...head.from),
		view: {
			configVersion, serversRevision, serversDigest, sourceAges: {configuration, servers},
		},
		others,
		described: head.described as PeerInfo[],
		wanted: head.wanted,
	};
}

function encodeEntry(entry: GossipEntry): number {
	const flags = (entry.isReady ? readyFlag : 0) + (entry.isSourceReachable ? reachableFlag : 0) + (entry.hearsSource ? sourceHeardFlag : 0);
	return (Math.min(maxAgeUnits, Math.max(0, Math.round(entry.age / ageUnit))) * flagCombinations) + flags;
}

function decodeEntry(life: string, packed: number): GossipEntry {
	const flags = packed % flagCombinations;
	const hasFlag = (flag: number) => Math.floor(flags / flag) % 2 === 1;
	return {
		life, age: Math.floor(packed / flagCombinations) * ageUnit, isReady: hasFlag(readyFlag), isSourceReachable: hasFlag(reachableFlag), hearsSource: hasFlag(sourceHeardFlag),
	};
}
