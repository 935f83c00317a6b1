/**
 * Which other nodes live, by the signs of life that are heard of them. Pure.
 *
 * Times are monotonic milliseconds.
 */
import type {BoxId, Logger} from '../../common/index.js';
import type {
	Peer, PeerInfo, GossipEntry, PeerStatus,
} from './heartbeat.js';

/** Time between heartbeats, in milliseconds. */
export const heartbeatInterval = 250;

/** Silence after which a node of a small fleet is left out, in milliseconds: above the oldest sign, 1,190, of six simulated nodes that lost every tenth datagram. */
const baseSilenceLimit = 1300;

/** Fleet up to which that limit holds; beyond it, each fourfold size adds one beat, since a beat reaches about four times as many nodes as knew a sign before. */
const smallFleetSize = 4;
const gossipGrowthFactor = 4;

/** Silence after which a node is forgotten, in milliseconds. */
const forgetAfter = 60_000;

/** Nodes named in one log line. */
const maxNodesLogged = 12;

/** How long the list of live nodes is kept, in milliseconds: it is asked for several times a request, and silence is judged in beats. */
const liveListCacheTime = 50;

/** Time between two questions for the same description, in milliseconds. */
const descriptionRequestInterval = 200;

/** Another node as this one knows it; `learnedAt` is when its present life was described. */
export type KnownPeer = {
	peer: Peer;
	discoveredAt: number;
	lastSeenAt: number;
	isLive: boolean;
};

/** A life that was heard of and not described yet. */
type UndescribedLife = {requestedAt: number; entry: GossipEntry; lastSeenAt: number};

/** The lives of other nodes. */
export class PeerTable {
	readonly #logger: Logger;
	readonly #selfName: () => BoxId;
	readonly #peersByName = new Map<BoxId, KnownPeer>();
	/** Nodes by their present life: looked up for each sign, some two thousand times a second in a fleet of 200. */
	readonly #peersByLife = new Map<string, KnownPeer>();
	/** Names by all lives that are remembered, earlier ones too. */
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

	/** Counts what has changed: who lives, who takes calls, who reaches the source. */
	get revision(): number {
		return this.#revision;
	}

	/** How many nodes are remembered, live or not. */
	get size(): number {
		return this.#peersByName.size;
	}

	/** Calls back when a node is taken for dead or has begun a new life. */
	addLostListener(listener: (peer: Peer) => void): void {
		this.#lostListeners.add(listener);
	}

	/** Calls back when a node was found, or tells something new of itself. */
	addChangeListener(listener: () => void): void {
		this.#changeListeners.add(listener);
	}

	/** Live nodes; the list is kept for a moment. */
	list(now: number): KnownPeer[] {
		if (this.#liveCache === undefined || now - this.#liveCache.listedAt > liveListCacheTime) {
			const limit = this.#computeSilenceLimit();
			this.#liveCache = {listedAt: now, peers: [...this.#peersByName.values()].filter(known => now - known.lastSeenAt <= limit)};
		}

		return this.#liveCache.peers;
	}

	/** The list of live nodes is made anew, and so is what others have worked out from it. */
	incrementRevision(): void {
		this.#liveCache = undefined;
		this.#revision++;
	}

	/** All that are remembered. */
	listKnown(): KnownPeer[] {
		return [...this.#peersByName.values()];
	}

	/** A live node by its name. */
	findLive(name: BoxId, now: number): KnownPeer | undefined {
		const known = this.#peersByName.get(name);
		return known !== undefined && now - known.lastSeenAt <= this.#computeSilenceLimit() ? known : undefined;
	}

	/** A node by its present life. */
	findByLife(life: string): KnownPeer | undefined {
		return this.#peersByLife.get(life);
	}

	/** Takes signs of life; those of this node itself tell nothing. */
	recordEntries(entries: GossipEntry[], ownLife: string, now: number): void {
		const limit = this.#computeSilenceLimit();
		for (const entry of entries) {
			if (entry.life !== ownLife) {
				this.#recordEntry(entry, now, limit);
			}
		}
	}

	/** Takes what a node tells of itself; returns the life before, when there was one. Of two lives under one name, the one heard last is the present one. */
	addDescription(info: PeerInfo, now: number): Peer | undefined {
		const undescribed = this.#undescribed.get(info.life);
		this.#undescribed.delete(info.life);
		if (undescribed === undefined || info.name === this.#selfName()) {
			return undefined;
		}

		const {entry: entry, lastSeenAt: lastSeenAt} = undescribed;
		const before = this.#peersByName.get(info.name);
		if (before !== undefined && before.lastSeenAt >= lastSeenAt) {
			return undefined;
		}

		this.#namesByLife.set(info.life, info.name);

		if (before !== undefined) {
			this.#markLost(before, 'started again', now);
			this.#peersByLife.delete(before.peer.life);
		}

		const {isReady, isSourceReachable, hearsSource} = entry;
		const known = {
			peer: {
				...info, isReady, isSourceReachable, hearsSource,
			},
			discoveredAt: now, lastSeenAt: lastSeenAt, isLive: true,
		};
		this.#peersByName.set(info.name, known);
		this.#peersByLife.set(info.life, known);
		this.incrementRevision();
		this.#discovered.push(info.name);
		this.#logger.debug({
			event: 'node_found', node: info.name, zone: info.availabilityZone, address: info.peerAddress,
		}, 'another node is live');
		this.#notifyChange();
		return before?.peer;
	}

	/** Lives to be described, each asked for once in a while. */
	takeDescriptionRequests(now: number): string[] {
		const due = [...this.#undescribed].filter(([, undescribed]) => now - undescribed.requestedAt >= descriptionRequestInterval);
		for (const [, undescribed] of due) {
			undescribed.requestedAt = now;
		}

		return due.map(([life]) => life);
	}

	/** Notices who has fallen silent; returns those that are forgotten for it. */
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

		// A life stays known for as long as its node, so that late signs of an earlier life are not taken for a new one.
		for (const [life, name] of this.#namesByLife) {
			if (!this.#peersByName.has(name)) {
				this.#namesByLife.delete(life);
			}
		}

		return forgotten;
	}

	/** One line for all that were found since the last beat: a fleet of 195 that starts has 38,000 pairs. */
	logDiscovered(): void {
		if (this.#discovered.length > 0) {
			this.#logger.info({event: 'nodes_found', count: this.#discovered.length, nodes: this.#discovered.slice(0, maxNodesLogged)}, 'other nodes are live');
			this.#discovered = [];
		}
	}

	/** After standing still itself, a node must not take all others for dead: it has heard nobody, but for those whose heartbeats waited for it. */
	correctForOwnPause(gap: number, now: number): void {
		this.#logger.warn({event: 'own_gap', gap: Math.round(gap)}, 'this process stood still');
		for (const known of this.#peersByName.values()) {
			known.lastSeenAt = known.isLive ? Math.min(now, known.lastSeenAt + gap) : known.lastSeenAt;
		}

		this.incrementRevision();
	}

	/** A sign of life takes longer to reach everyone in a large fleet. */
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
			this.#logger.info({event: 'node_back', node: known.peer.name}, 'another node is heard again');
		}
	}

	/**
	 * A late sign of an earlier life tells nothing new, unless the later life has fallen silent: a node that stood still
	 * tells of lives that are over as if it had just heard them, and such a one may have been taken for the later life.
	 */
	#recordUndescribed(entry: GossipEntry, seenAt: number, now: number, limit: number): void {
		const name = this.#namesByLife.get(entry.life);
		const later = name === undefined ? undefined : this.#peersByName.get(name);
		if (later !== undefined && now - later.lastSeenAt <= limit) {
			return;
		}

		const undescribed = this.#undescribed.get(entry.life);
		if (now - seenAt <= limit && (undescribed === undefined || undescribed.lastSeenAt < seenAt)) {
			this.#undescribed.set(entry.life, {requestedAt: undescribed?.requestedAt ?? -Infinity, entry: entry, lastSeenAt: seenAt});
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
		}, 'another node is taken for gone');
		for (const listener of this.#lostListeners) {
			listener(known.peer);
		}
	}
}
