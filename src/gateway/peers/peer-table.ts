/** Table of the other nodes and failure detection by heartbeat timeout. Pure; times are monotonic milliseconds. */
import type {BoxId, Logger} from '../../common/index.js';
import type {
	Peer, PeerInfo, GossipEntry, PeerStatus,
} from './heartbeat.js';

/** Time between heartbeats, in milliseconds. */
export const heartbeatInterval = 250;

/** Heartbeat timeout in a small fleet, in milliseconds: above the oldest entry, 1,190, of six simulated nodes that lost every tenth datagram. */
const baseSilenceLimit = 1300;

/** Fleet size up to which that timeout applies; each fourfold size adds one interval, as gossip reaches about four times as many nodes per interval. */
const smallFleetSize = 4;
const gossipGrowthFactor = 4;

/** Time without heartbeats after which a node is removed from the table, in milliseconds. */
const forgetAfter = 60_000;

/** Maximum number of node names in one log line. */
const maxNodesLogged = 12;

/** Lifetime of the cached list of live nodes, in milliseconds: every request reads it several times, and nodes time out only at intervals. */
const liveListCacheTime = 50;

/** Minimum time between two requests for the same description, in milliseconds. */
const descriptionRequestInterval = 200;

/** Another node as known here; `discoveredAt` is when the description of its current process arrived. */
export type KnownPeer = {
	peer: Peer;
	discoveredAt: number;
	lastSeenAt: number;
	isLive: boolean;
};

/** A process that appeared in heartbeats and whose description has not arrived yet. */
type UndescribedLife = {requestedAt: number; entry: GossipEntry; lastSeenAt: number};

/** The other nodes. */
export class PeerTable {
	readonly #logger: Logger;
	readonly #selfName: () => BoxId;
	readonly #peersByName = new Map<BoxId, KnownPeer>();
	/** Nodes by the `life` of their current process: looked up for each entry, about two thousand times a second in a fleet of 200. */
	readonly #peersByLife = new Map<string, KnownPeer>();
	/** Node names by `life`, including earlier processes of the same node. */
	readonly #namesByLife = new Map<string, BoxId>();
	readonly #undescribed = new Map<string, UndescribedLife>();
	readonly #lostListeners = new Set<(peer: Peer) => void>();
	readonly #changeListeners = new Set<() => void>();
	#liveCache: {listedAt: number; peers: KnownPeer[]} | undefined;
	#revision = 0;
	#discovered: BoxId[] = [];

	constructor(logger: Logger, selfName: () => BoxId) {
		this.#logger = logger;
		this.#selfName = selfName;
	}

	/** Incremented when a node becomes live, is lost or changes its status. */
	get revision(): number {
		return this.#revision;
	}

	/** Number of nodes in the table, live or not. */
	get size(): number {
		return this.#peersByName.size;
	}

	/** Adds a listener that is called when a node times out or restarts. */
	addLostListener(listener: (peer: Peer) => void): void {
		this.#lostListeners.add(listener);
	}

	/** Adds a listener that is called when a node is discovered or changes its status. */
	addChangeListener(listener: () => void): void {
		this.#changeListeners.add(listener);
	}

	/** Lists the live nodes; the list is cached briefly. */
	list(now: number): KnownPeer[] {
		if (this.#liveCache === undefined || now - this.#liveCache.listedAt > liveListCacheTime) {
			const limit = this.#computeSilenceLimit();
			this.#liveCache = {listedAt: now, peers: [...this.#peersByName.values()].filter(known => now - known.lastSeenAt <= limit)};
		}

		return this.#liveCache.peers;
	}

	/** Invalidates the list of live nodes and what callers derived from it. */
	incrementRevision(): void {
		this.#liveCache = undefined;
		this.#revision++;
	}

	/** Lists all nodes in the table, live or not. */
	listKnown(): KnownPeer[] {
		return [...this.#peersByName.values()];
	}

	/** Finds a live node by name. */
	findLive(name: BoxId, now: number): KnownPeer | undefined {
		const known = this.#peersByName.get(name);
		return known !== undefined && now - known.lastSeenAt <= this.#computeSilenceLimit() ? known : undefined;
	}

	/** Finds a node by the `life` of its current process. */
	findByLife(life: string): KnownPeer | undefined {
		return this.#peersByLife.get(life);
	}

	/** Records received entries, except those of this node itself. */
	recordEntries(entries: GossipEntry[], ownLife: string, now: number): void {
		const limit = this.#computeSilenceLimit();
		for (const entry of entries) {
			if (entry.life !== ownLife) {
				this.#recordEntry(entry, now, limit);
			}
		}
	}

	/** Adds a requested description; returns the earlier process of that node, if any. Of two processes under one name, the one seen last is current. */
	addDescription(info: PeerInfo, now: number): Peer | undefined {
		const undescribed = this.#undescribed.get(info.life);
		this.#undescribed.delete(info.life);
		if (undescribed === undefined || info.name === this.#selfName()) {
			return undefined;
		}

		const {entry, lastSeenAt} = undescribed;
		const before = this.#peersByName.get(info.name);
		if (before !== undefined && before.lastSeenAt >= lastSeenAt) {
			return undefined;
		}

		this.#namesByLife.set(info.life, info.name);

		if (before !== undefined) {
			this.#markLost(before, 'restarted', now);
			this.#peersByLife.delete(before.peer.life);
		}

		const {isReady, isSourceReachable, hearsSource} = entry;
		const known = {
			peer: {
				...info, isReady, isSourceReachable, hearsSource,
			},
			discoveredAt: now, lastSeenAt, isLive: true,
		};
		this.#peersByName.set(info.name, known);
		this.#peersByLife.set(info.life, known);
		this.incrementRevision();
		this.#discovered.push(info.name);
		this.#logger.debug({
			event: 'node_found', node: info.name, zone: info.availabilityZone, address: info.peerAddress,
		}, 'discovered another node');
		this.#notifyChange();
		return before?.peer;
	}

	/** Takes the process ids whose descriptions are due to be requested. */
	takeDescriptionRequests(now: number): string[] {
		const due = [...this.#undescribed].filter(([, undescribed]) => now - undescribed.requestedAt >= descriptionRequestInterval);
		for (const [, undescribed] of due) {
			undescribed.requestedAt = now;
		}

		return due.map(([life]) => life);
	}

	/** Marks nodes lost after the heartbeat timeout; returns those that are removed from the table. */
	expireSilent(now: number): Peer[] {
		const forgotten: Peer[] = [];
		const limit = this.#computeSilenceLimit();
		for (const [name, known] of this.#peersByName) {
			if (known.isLive && now - known.lastSeenAt > limit) {
				this.#markLost(known, 'silent', now);
			}

			if (now - known.lastSeenAt > forgetAfter) {
				this.#peersByName.delete(name);
				this.#peersByLife.delete(known.peer.life);
				forgotten.push(known.peer);
			}
		}

		for (const [life, undescribed] of this.#undescribed) {
			if (now - undescribed.lastSeenAt > limit) {
				this.#undescribed.delete(life);
			}
		}

		// Ids of earlier processes are kept as long as their node: late entries must not look like a new process.
		for (const [life, name] of this.#namesByLife) {
			if (!this.#peersByName.has(name)) {
				this.#namesByLife.delete(life);
			}
		}

		return forgotten;
	}

	/** Logs one line for all nodes discovered since the last interval: a starting fleet of 195 nodes has 38,000 pairs. */
	logDiscovered(): void {
		if (this.#discovered.length > 0) {
			this.#logger.info({event: 'nodes_found', count: this.#discovered.length, nodes: this.#discovered.slice(0, maxNodesLogged)}, 'discovered other nodes');
			this.#discovered = [];
		}
	}

	/** Extends the timeouts by a pause of this process: it received no heartbeats meanwhile, except those queued in its socket. */
	correctForOwnPause(gap: number, now: number): void {
		this.#logger.warn({event: 'own_gap', gap: Math.round(gap)}, 'this process was paused');
		for (const known of this.#peersByName.values()) {
			known.lastSeenAt = known.isLive ? Math.min(now, known.lastSeenAt + gap) : known.lastSeenAt;
		}

		this.incrementRevision();
	}

	/** Gossip takes longer to reach all nodes of a large fleet. */
	#computeSilenceLimit(): number {
		const size = Math.max(1, (this.#peersByName.size + 1) / smallFleetSize);
		return baseSilenceLimit + (heartbeatInterval * Math.log(size) / Math.log(gossipGrowthFactor));
	}

	#recordEntry(entry: GossipEntry, now: number, limit: number): void {
		const seenAt = now - entry.age;
		const known = this.#peersByLife.get(entry.life);
		if (known === undefined) {
			this.#recordUndescribed(entry, seenAt, now, limit);
			return;
		}

		if (seenAt <= known.lastSeenAt) {
			return;
		}

		known.lastSeenAt = seenAt;
		this.#updateStatus(known, entry);
		if (!known.isLive && now - seenAt <= limit) {
			known.isLive = true;
			this.incrementRevision();
			this.#logger.info({event: 'node_back', node: known.peer.name}, 'another node is live again');
		}
	}

	/**
	 * Ignores late entries of an earlier process unless the later one has timed out: a node that was paused reports ended
	 * processes as just seen, so the process recorded as the later one may in fact be the ended one.
	 */
	#recordUndescribed(entry: GossipEntry, seenAt: number, now: number, limit: number): void {
		const name = this.#namesByLife.get(entry.life);
		const later = name === undefined ? undefined : this.#peersByName.get(name);
		if (later !== undefined && now - later.lastSeenAt <= limit) {
			return;
		}

		const undescribed = this.#undescribed.get(entry.life);
		if (now - seenAt <= limit && (undescribed === undefined || undescribed.lastSeenAt < seenAt)) {
			this.#undescribed.set(entry.life, {requestedAt: undescribed?.requestedAt ?? -Infinity, entry, lastSeenAt: seenAt});
		}
	}

	#updateStatus(known: KnownPeer, {isReady, isSourceReachable, hearsSource}: PeerStatus): void {
		const {peer} = known;
		if (peer.isReady !== isReady || peer.isSourceReachable !== isSourceReachable || peer.hearsSource !== hearsSource) {
			known.peer = {
				...peer, isReady, isSourceReachable, hearsSource,
			};
			this.incrementRevision();
			this.#notifyChange();
		}
	}

	#notifyChange(): void {
		for (const listener of this.#changeListeners) {
			listener();
		}
	}

	#markLost(known: KnownPeer, reason: string, now: number): void {
		known.isLive = false;
		this.incrementRevision();
		this.#logger.warn({
			event: 'node_lost', node: known.peer.name, reason, silentFor: Math.round(now - known.lastSeenAt),
		}, 'another node is lost');
		for (const listener of this.#lostListeners) {
			listener(known.peer);
		}
	}
}
