/**
 * Heartbeats between gateway nodes: their content and wire format.
 *
 * A heartbeat is sent several times a second and lists every live node, so it identifies nodes by a short process id,
 * their `life`. The full description of a node is sent on request.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {AvailabilityZone, BoxId} from '../../common/index.js';
import type {EvacuationsSnapshot, SourceAges} from '../../routing/index.js';

/** Description of a node; constant while its process runs. */
export type PeerInfo = {
	name: BoxId;
	/** Random id of the process, new after each restart; at most six characters. */
	life: string;
	availabilityZone: AvailabilityZone;
	/** `IP:PORT` at which callers connect. */
	callerAddress: string;
	/** `IP:PORT` for RPC from other nodes. */
	peerAddress: string;
	/** `IP:PORT` for heartbeats. */
	beatAddress: string;
	/** CPU cores available to its process. */
	cores: number;
};

/** State of a node that changes while its process runs. */
export type PeerStatus = {
	/** Whether it accepts calls; false during start and shutdown. */
	isReady: boolean;
	/** Whether it has a server list and its last request to the source succeeded, or failed long ago. */
	isSourceReachable: boolean;
	/** Whether it watches the source and has received answers recently. */
	hearsSource: boolean;
};

/** Versions of a node's view of the fleet. */
export type PeerView = {
	configVersion: number;
	/** Revision of its list of backend servers. */
	serversRevision: number;
	/** Digest of its list of backend servers; equal lists have equal digests. */
	serversDigest: string;
	/** Milliseconds since any node known to it received data from the source. */
	sourceAges: SourceAges;
	/** Its evacuated zones, where it follows them and knows them. */
	evacuations?: EvacuationsSnapshot;
};

/** A node as known to other nodes. */
export type Peer = PeerInfo & PeerStatus;

/** Last known liveness of one node, passed on in heartbeats of all others. */
export type GossipEntry = PeerStatus & {
	life: string;
	/** Milliseconds since the node itself sent this state. */
	age: number;
};

/** A heartbeat. */
export type Heartbeat = {
	from: GossipEntry;
	view: PeerView;
	others: GossipEntry[];
	/** Full descriptions that the receiver requested or may lack. */
	described: PeerInfo[];
	/** Process ids whose descriptions the sender requests. */
	wanted: string[];
};

/**
 * On the wire a heartbeat is a JSON head, a line feed, and fixed-size binary entries of the other nodes.
 *
 * An entry holds `life` and a 16-bit number: the age in hundredths of a second times eight, plus three flag bits. As JSON,
 * the entries of 194 nodes took 2.9 kB and most of the time to decode a heartbeat.
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

// Position, the age of the last answer of the source about evacuations, and zones with position, age and the time for which they are kept.
const evacuationsSchema = z.tuple([z.number(), z.number().nullable(), z.array(z.tuple([z.string(), z.number(), z.number(), z.number().nullable()]))]);

const headSchema = z.object({
	from: z.tuple([z.string().min(1).max(lifeBytes), z.int().min(0)]),
	view: z.tuple([z.number(), z.number(), z.string()]),
	// Source ages in milliseconds: configuration, then servers.
	ages: z.tuple([z.number().nullable(), z.number().nullable()]).default([null, null]),
	// Not sent by nodes that do not follow evacuations. Another build may use another form, which must not invalidate the heartbeat.
	evacuations: z.unknown().optional(),
	described: z.array(infoSchema).default([]),
	wanted: z.array(z.string()).default([]),
});

/** Encodes a heartbeat as a datagram. */
export function encodeHeartbeat(heartbeat: Heartbeat): Uint8Array {
	const {view, others} = heartbeat;
	const head = Buffer.from(`${JSON.stringify({
		from: [heartbeat.from.life, encodeEntry(heartbeat.from)],
		view: [view.configVersion, view.serversRevision, view.serversDigest],
		ages: [view.sourceAges.configuration ?? null, view.sourceAges.servers ?? null],
		evacuations: encodeEvacuations(view),
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

/** Decodes a heartbeat; throws on a malformed datagram. */
export function decodeHeartbeat(message: Uint8Array): Heartbeat {
	const bytes = Buffer.from(message.buffer, message.byteOffset, message.byteLength);
	const headLength = bytes.indexOf(lineFeed);
	const entriesLength = bytes.length - headLength - 1;
	if (headLength === -1 || entriesLength % entryBytes !== 0) {
		throw new TypeError(`expected a heartbeat with a head and entries of ${entryBytes} bytes, got ${bytes.length} bytes with a head of ${headLength}`);
	}

	const head = headSchema.parse(JSON.parse(bytes.toString('utf8', 0, headLength)));
	const [configVersion, serversRevision, serversDigest] = head.view;
	const [configuration, servers] = head.ages.map(age => age ?? undefined);
	const evacuations = evacuationsSchema.safeParse(head.evacuations).data;
	const others: GossipEntry[] = [];
	for (let start = headLength + 1; start < bytes.length; start += entryBytes) {
		others.push(decodeEntry(bytes.toString('latin1', start, start + lifeBytes).trimEnd(), bytes.readUInt16BE(start + lifeBytes)));
	}

	return {
		from: decodeEntry(...head.from),
		view: {
			configVersion, serversRevision, serversDigest, sourceAges: {configuration, servers, ...decodeEvacuationsAge(evacuations)}, ...decodeEvacuations(evacuations),
		},
		others,
		described: head.described as PeerInfo[],
		wanted: head.wanted,
	};
}

function encodeEvacuations({evacuations, sourceAges}: PeerView): z.infer<typeof evacuationsSchema> | undefined {
	return evacuations === undefined
		? undefined
		: [evacuations.revision, sourceAges.evacuations ?? null, evacuations.zones.map(({zone, position, age, keptFor}) => [zone, position, age, keptFor ?? null])];
}

function decodeEvacuationsAge(encoded: z.infer<typeof evacuationsSchema> | undefined): Pick<SourceAges, 'evacuations'> {
	const age = encoded?.[1] ?? undefined;
	return age === undefined ? {} : {evacuations: age};
}

function decodeEvacuations(encoded: z.infer<typeof evacuationsSchema> | undefined): Pick<PeerView, 'evacuations'> {
	if (encoded === undefined) {
		return {};
	}

	const [revision, , zones] = encoded;
	return {
		evacuations: {
			revision,
			zones: zones.map(([zone, position, age, keptFor]) => ({
				zone: zone as AvailabilityZone, position, age, ...(keptFor !== null && {keptFor}),
			})),
		},
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
