/**
 * Gossip membership: detects which other nodes are live from heartbeats.
 *
 * Each heartbeat goes to a few random nodes, mostly in the same zone, and carries the liveness of all others, so a change
 * reaches the whole fleet in a logarithmic number of intervals. `PeerSocket` does the network I/O.
 */
import type {
	AvailabilityZone, BoxId, Clock, Logger,
} from '../../common/index.js';
import type {LiveNode} from '../../planning/index.js';
import type {
	Peer, Heartbeat, PeerInfo, PeerView,
} from './heartbeat.js';
import {PeerTable, type KnownPeer} from './peer-table.js';

export {heartbeatInterval} from './peer-table.js';

/** Number of nodes that each heartbeat is sent to, mostly in the same zone. */
const fanout = 3;

/** Number of nodes that an early heartbeat is sent to: with three targets each, one node in twenty gets none and waits for a later interval. */
const earlyFanout = 6;

/**
 * Average number of heartbeats per interval that a zone sends to other zones: traffic between zones is billed.
 *
 * With 195 nodes in five zones this is 0.25 MB a second between zones; one for each node is 2.0 MB. Neither led to
 * nodes wrongly marked lost in simulations with a datagram loss of 3 %.
 */
const crossZoneHeartbeats = 8;

/** Maximum number of entries in one heartbeat: a datagram of about four kilobytes. Passing on only a part of the nodes delays failure detection. */
const maxEntries = 500;

/** Maximum number of descriptions in one heartbeat: a datagram of about three kilobytes. */
const maxDescriptions = 12;

/** Gap between heartbeats from which on this process is considered to have been paused, in milliseconds. */
const ownPauseThreshold = 700;

/** Time between two heartbeats to an address that does not answer, in milliseconds. */
const candidateInterval = 1000;

/** A heartbeat and the addresses to send it to. */
export type OutgoingHeartbeat = {heartbeat: Heartbeat; addresses: string[]};

/** Dependencies of `Peers`. */
export type PeersParts = {
	clock: Clock;
	logger: Logger;
	self: () => Peer;
	view: () => PeerView;
	/** Uniform random numbers from 0 up to 1. */
	random: () => number;
};

/** The other nodes of the fleet. */
export class Peers {
	readonly #parts: PeersParts;
	readonly #table: PeerTable;
	readonly #candidates = new Map<string, number>();
	readonly #slowUntil = new Map<BoxId, number>();
	readonly #viewListeners = new Set<(peer: Peer, view: PeerView) => void>();
	#lastHeartbeatAt: number;

	constructor(parts: PeersParts) {
		this.#parts = parts;
		this.#table = new PeerTable(parts.logger, () => parts.self().name);
		this.#lastHeartbeatAt = parts.clock.readMonotonic();
	}

	/** Adds a listener that is called when a node times out or restarts. */
	addLostListener(listener: (peer: Peer) => void): void {
		this.#table.addLostListener(listener);
	}

	/** Adds a listener that is called when a node is discovered or changes its status; such changes should be propagated early. */
	addChangeListener(listener: () => void): void {
		this.#table.addChangeListener(listener);
	}

	/** Adds a listener that is called for each heartbeat received from a known node. */
	addViewListener(listener: (peer: Peer, view: PeerView) => void): void {
		this.#viewListeners.add(listener);
	}

	/** Adds a heartbeat address that may belong to a node. */
	addCandidate(address: string): void {
		if (!this.#candidates.has(address)) {
			this.#candidates.set(address, -Infinity);
		}
	}

	/** Incremented when a node becomes live, is lost, changes its status or is marked slow. */
	get revision(): number {
		return this.#table.revision;
	}

	/** Lists the other live nodes. */
	listLive(): Peer[] {
		return this.#table.list(this.#parts.clock.readMonotonic()).map(known => known.peer);
	}

	/** Lists the other live nodes with the time since the discovery of their current process, in milliseconds. */
	listLiveAges(): LiveNode[] {
		const now = this.#parts.clock.readMonotonic();
		return this.#table.list(now).map(({peer, discoveredAt}) => ({life: peer.life, observedFor: now - discoveredAt}));
	}

	/** Lists live nodes whose current process was discovered within the last `age` milliseconds. */
	listDiscoveredWithin(age: number): Peer[] {
		const now = this.#parts.clock.readMonotonic();
		return this.#table.list(now).filter(({discoveredAt}) => now - discoveredAt <= age).map(({peer}) => peer);
	}

	/** Counts the other live nodes. */
	countLive(): number {
		return this.#table.list(this.#parts.clock.readMonotonic()).length;
	}

	/** Counts other nodes seen within the last minute, live or not. */
	countKnown(): number {
		return this.#table.size;
	}

	/** Finds a live node by name. */
	findLive(name: BoxId): Peer | undefined {
		return this.#table.findLive(name, this.#parts.clock.readMonotonic())?.peer;
	}

	/** Lists other nodes seen within the last minute, live or not. */
	listKnown(): Peer[] {
		return this.#table.listKnown().map(known => known.peer);
	}

	/** Lists live nodes that accept calls, including this one if it does. */
	listReady(): Peer[] {
		return [this.#parts.self(), ...this.listLive()].filter(peer => peer.isReady);
	}

	/** Marks a node as slow to respond for a duration in milliseconds. */
	markSlow(name: BoxId, duration: number): void {
		this.#slowUntil.set(name, this.#parts.clock.readMonotonic() + duration);
		this.#table.incrementRevision();
	}

	/** Whether a node is marked as slow. */
	isSlow(name: BoxId): boolean {
		return (this.#slowUntil.get(name) ?? 0) > this.#parts.clock.readMonotonic();
	}

	/** Processes a heartbeat; returns immediate replies with requested descriptions and requests for missing ones. */
	accept(heartbeat: Heartbeat, address: string): OutgoingHeartbeat[] {
		const now = this.#parts.clock.readMonotonic();
		this.#table.recordEntries([heartbeat.from, ...heartbeat.others], this.#parts.self().life, now);
		for (const info of heartbeat.described) {
			this.#addDescription(info, now);
		}

		const sender = this.#table.findByLife(heartbeat.from.life);
		if (sender !== undefined) {
			for (const listener of this.#viewListeners) {
				listener(sender.peer, heartbeat.view);
			}
		}

		const wanted = this.#table.takeDescriptionRequests(now);
		const described = this.#describe(heartbeat.wanted);
		const answers = [];
		while (wanted.length > 0 || described.length > 0) {
			const answer = {...this.#createHeartbeat(now, []), wanted: wanted.splice(0), described: described.splice(0, maxDescriptions)};
			answers.push({heartbeat: answer, addresses: [address]});
		}

		return answers;
	}

	/** Creates the heartbeats of one interval and expires silent nodes; a heartbeat with changes goes to more nodes. */
	createHeartbeats(hasChanges = false): OutgoingHeartbeat[] {
		const now = this.#parts.clock.readMonotonic();
		if (now - this.#lastHeartbeatAt > ownPauseThreshold) {
			this.#table.correctForOwnPause(now - this.#lastHeartbeatAt, now);
		}

		this.#lastHeartbeatAt = now;
		this.#table.logDiscovered();
		for (const forgotten of this.#table.expireSilent(now)) {
			this.#candidates.delete(forgotten.beatAddress);
		}

		const live = this.#table.list(now);
		const heartbeat = this.#createHeartbeat(now, live);
		const candidates = this.#takeDueCandidates(now, live);
		return [
			{heartbeat, addresses: this.#selectTargets(live, hasChanges ? earlyFanout : fanout)},
			{heartbeat: {...heartbeat, described: [this.#describeSelf()]}, addresses: candidates},
		].filter(outgoing => outgoing.addresses.length > 0);
	}

	/** Adds a description and drops the candidate address of the earlier process of a restarted node. */
	#addDescription(info: PeerInfo, now: number): void {
		const before = this.#table.addDescription(info, now);
		if (before !== undefined) {
			this.#candidates.delete(before.beatAddress);
		}

		if (this.#table.findByLife(info.life) !== undefined) {
			this.#candidates.set(info.beatAddress, now);
		}
	}

	#createHeartbeat(now: number, live: KnownPeer[]): Heartbeat {
		const {self, view} = this.#parts;
		const {
			life, isReady, isSourceReachable, hearsSource,
		} = self();
		return {
			from: {
				life, age: 0, isReady, isSourceReachable, hearsSource,
			},
			view: view(),
			others: this.#sample(live, maxEntries).map(({peer, lastSeenAt}) => ({
				life: peer.life, age: now - lastSeenAt, isReady: peer.isReady, isSourceReachable: peer.isSourceReachable, hearsSource: peer.hearsSource,
			})),
			described: [],
			wanted: [],
		};
	}

	#describeSelf(): PeerInfo {
		return pickInfo(this.#parts.self());
	}

	#describe(wanted: string[]): PeerInfo[] {
		const known = wanted.map(life => life === this.#parts.self().life ? this.#parts.self() : this.#table.findByLife(life)?.peer);
		return known.flatMap(peer => peer === undefined ? [] : [pickInfo(peer)]);
	}

	/** Selects random nodes of the own zone, sometimes one of another zone, and fills up from other zones when the own one has too few. */
	#selectTargets(live: KnownPeer[], count: number): string[] {
		const zone: AvailabilityZone = this.#parts.self().availabilityZone;
		const sameZone = live.filter(({peer}) => peer.availabilityZone === zone);
		const crossZoneFanout = this.#parts.random() * (sameZone.length + 1) < crossZoneHeartbeats ? 1 : 0;
		const localTargets = this.#sample(sameZone, count - crossZoneFanout);
		const crossZoneTargets = this.#sample(live.filter(({peer}) => peer.availabilityZone !== zone), count - localTargets.length);
		return [...localTargets, ...crossZoneTargets].map(({peer}) => peer.beatAddress);
	}

	#sample<Item>(items: Item[], count: number): Item[] {
		if (items.length <= count) {
			return items;
		}

		const remaining = [...items];
		return Array.from({length: count}, () => remaining.splice(Math.floor(this.#parts.random() * remaining.length), 1)[0]);
	}

	/** Takes the addresses to retry: those of lost nodes and those that never answered, once a second each. */
	#takeDueCandidates(now: number, live: KnownPeer[]): string[] {
		const liveAddresses = new Set(live.map(({peer}) => peer.beatAddress));
		liveAddresses.add(this.#parts.self().beatAddress);
		const due = [...this.#candidates].filter(([address, triedAt]) => !liveAddresses.has(address) && now - triedAt >= candidateInterval).map(([address]) => address);
		for (const address of due) {
			this.#candidates.set(address, now);
		}

		return due;
	}
}

function pickInfo({
	name, life, availabilityZone, callerAddress, peerAddress, beatAddress, cores,
}: PeerInfo): PeerInfo {
	return {
		name, life, availabilityZone, callerAddress, peerAddress, beatAddress, cores,
	};
}
