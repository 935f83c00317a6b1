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
const byteValues = 256;
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

/** The head as on the wire; source ages in milliseconds, of the configuration and of the servers. */
type Head = {
	from: [string, number];
	view: [number, number, string];
	ages: Array<number | undefined>;
	/** Absent from nodes that do not follow evacuations. Another build may use another form, which must not invalidate the heartbeat. */
	evacuations: unknown;
	described: PeerInfo[];
	wanted: string[];
};

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
	let entries = '';
	for (const entry of others) {
		const packed = encodeEntry(entry);
		entries += entry.life.padEnd(lifeBytes).slice(0, lifeBytes) + String.fromCodePoint(Math.floor(packed / byteValues), packed % byteValues);
	}

	return Buffer.concat([head, Buffer.from(entries, 'latin1')]);
}

/** Decodes a heartbeat; throws on a malformed datagram. */
export function decodeHeartbeat(message: Uint8Array): Heartbeat {
	const bytes = Buffer.from(message.buffer, message.byteOffset, message.byteLength);
	const headLength = bytes.indexOf(lineFeed);
	const entriesLength = bytes.length - headLength - 1;
	if (headLength === -1 || entriesLength % entryBytes !== 0) {
		throw new TypeError(`expected a heartbeat with a head and entries of ${entryBytes} bytes, got ${bytes.length} bytes with a head of ${headLength}`);
	}

	const head = readHead(JSON.parse(bytes.toString('utf8', 0, headLength)));
	const [configVersion, serversRevision, serversDigest] = head.view;
	const [configuration, servers] = head.ages;
	const evacuations = head.evacuations === undefined ? undefined : evacuationsSchema.safeParse(head.evacuations).data;
	const entries = bytes.toString('latin1', headLength + 1);
	const others: GossipEntry[] = [];
	for (let start = 0; start < entries.length; start += entryBytes) {
		const packed = (entries.charCodeAt(start + lifeBytes) * byteValues) + entries.charCodeAt(start + lifeBytes + 1); // eslint-disable-line unicorn/prefer-code-point -- each character is one byte
		others.push(decodeEntry(entries.slice(start, start + lifeBytes).trimEnd(), packed));
	}

	return {
		from: decodeEntry(...head.from),
		view: {
			configVersion, serversRevision, serversDigest, sourceAges: {configuration, servers, ...decodeEvacuationsAge(evacuations)}, ...decodeEvacuations(evacuations),
		},
		others,
		described: head.described,
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

/**
 * Checks the head of a heartbeat; throws when it is malformed.
 *
 * Checked by hand: a node receives twelve heartbeats a second, and a schema took more time than the rest of their decoding.
 */
function readHead(value: unknown): Head {
	const {
		from, view, ages = [undefined, undefined], evacuations, described = [], wanted = [],
	} = (value ?? {}) as Head;
	if (!isTuple(from, isLife, isCount) || !isTuple(view, isNumber, isNumber, isString) || !isTuple(ages, isAge, isAge) || !isList(wanted, isString)) {
		throw new TypeError('expected the head of a heartbeat with the sender, its view, source ages and requested process ids');
	}

	return {
		from, view, ages: ages.map(age => age ?? undefined), evacuations, described: readDescriptions(described), wanted,
	};
}

/** Few heartbeats describe nodes. */
function readDescriptions(described: unknown): PeerInfo[] {
	return Array.isArray(described) && described.length === 0 ? [] : infoSchema.array().parse(described) as PeerInfo[];
}

function isTuple(value: unknown, ...checks: Array<(item: unknown) => boolean>): boolean {
	return Array.isArray(value) && value.length === checks.length && checks.every((check, index) => check(value[index]));
}

function isList(value: unknown, check: (item: unknown) => boolean): boolean {
	return Array.isArray(value) && value.every(item => check(item));
}

function isLife(value: unknown): boolean {
	return isString(value) && (value as string).length > 0 && (value as string).length <= lifeBytes;
}

function isCount(value: unknown): boolean {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isAge(value: unknown): boolean {
	return (value ?? undefined) === undefined || isNumber(value);
}

function isNumber(value: unknown): boolean {
	return Number.isFinite(value);
}

function isString(value: unknown): boolean {
	return typeof value === 'string';
}

function encodeEntry(entry: GossipEntry): number {
	const flags = (entry.isReady ? readyFlag : 0) + (entry.isSourceReachable ? reachableFlag : 0) + (entry.hearsSource ? sourceHeardFlag : 0);
	return (Math.min(maxAgeUnits, Math.max(0, Math.round(entry.age / ageUnit))) * flagCombinations) + flags;
}

function decodeEntry(life: string, packed: number): GossipEntry {
	return {
		life,
		age: Math.floor(packed / flagCombinations) * ageUnit,
		isReady: hasFlag(packed, readyFlag),
		isSourceReachable: hasFlag(packed, reachableFlag),
		hearsSource: hasFlag(packed, sourceHeardFlag),
	};
}

function hasFlag(packed: number, flag: number): boolean {
	return Math.floor(packed / flag) % 2 === 1;
}
