/**
 * Which other nodes live, by the signs of life that are heard of them. Pure.
 *
 * Times are monotonic milliseconds.
 */
import type {BoxId, Logger} from '../../common/index.js';
import type {
	Peer, PeerInfo, PeerSign, PeerStatus,
} from './peer-beat.js';

/** Time between heartbeats, in milliseconds. */
export const heartbeatEvery = 250;

/** Silence after which a node of a small fleet is left out, in milliseconds: above the oldest sign, 1,190, of six simulated nodes that lost every tenth datagram. */
const silenceLimit = 1300;

/** Fleet up to which that limit holds; beyond it, each fourfold size adds one beat, since a beat reaches about four times as many nodes as knew a sign before. */
const smallFleet = 4;
const spreadFactor = 4;

/** Silence after which a node is forgotten, in milliseconds. */
const forgetAfter = 60_000;

/** Nodes named in one log line. */
const mostNamed = 12;

/** How long the list of live nodes is kept, in milliseconds: it is asked for several times a request, and silence is judged in beats. */
const listFor = 50;

/** Time between two questions for the same description, in milliseconds. */
const askEvery = 200;

/** Another node as this one knows it; `learnedAt` is when its present life was described. */
export type KnownPeer = {
	peer: Peer;
	learnedAt: number;
	heardAt: number;
	isLive: boolean;
};

/** A life that was heard of and not described yet. */
type UnknownLife = {askedAt: number; sign: PeerSign; heardAt: number};

/** The lives of other nodes. */
export class PeerLives {
	readonly #logger: Logger;
	readonly #selfName: () => BoxId;
	readonly #known = new Map<BoxId, KnownPeer>();
	/** Nodes by their present life: looked up for each sign, some two thousand times a second in a fleet of 200. */
	readonly #lives = new Map<string, KnownPeer>();
	/** Names by all lives that are remembered, earlier ones too. */
	readonly #names = new Map<string, BoxId>();
	readonly #unknown = new Map<string, UnknownLife>();
	readonly #lostListeners = new Set<(peer: Peer) => void>();
	readonly #changeListeners = new Set<() => void>();
	#live: {at: number; peers: KnownPeer[]} | undefined;
	#revision = 0;
	#found: BoxId[] = [];

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
		return this.#known.size;
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
		if (this.#live === undefined || now - this.#live.at > listFor) {
			const limit = this.#findSilenceLimit();
			this.#live = {at: now, peers: [...this.#known.values()].filter(known => now - known.heardAt <= limit)};
		}

		return this.#live.peers;
	}

	/** The list of live nodes is made anew, and so is what others have worked out from it. */
	noteRevision(): void {
		this.#live = undefined;
		this.#revision++;
	}

	/** All that are remembered. */
	listKnown(): KnownPeer[] {
		return [...this.#known.values()];
	}

	/** A live node by its name. */
	findLive(name: BoxId, now: number): KnownPeer | undefined {
		const known = this.#known.get(name);
		return known !== undefined && now - known.heardAt <= this.#findSilenceLimit() ? known : undefined;
	}

	/** A node by its present life. */
	findByLife(life: string): KnownPeer | undefined {
		return this.#lives.get(life);
	}

	/** Takes signs of life; those of this node itself tell nothing. */
	hear(signs: PeerSign[], ownLife: string, now: number): void {
		const limit = this.#findSilenceLimit();
		for (const sign of signs) {
			if (sign.life !== ownLife) {
				this.#hear(sign, now, limit);
			}
		}
	}

	/** Takes what a node tells of itself; returns the life before, when there was one. Of two lives under one name, the one heard last is the present one. */
	learn(info: PeerInfo, now: number): Peer | undefined {
		const unknown = this.#unknown.get(info.life);
		this.#unknown.delete(info.life);
		if (unknown === undefined || info.name === this.#selfName()) {
			return undefined;
		}

		const {sign, heardAt} = unknown;
		const before = this.#known.get(info.name);
		if (before !== undefined && before.heardAt >= heardAt) {
			return undefined;
		}

		this.#names.set(info.life, info.name);

		if (before !== undefined) {
			this.#lose(before, 'started again', now);
			this.#lives.delete(before.peer.life);
		}

		const {isReady, isSourceReachable, hearsSource} = sign;
		const known = {
			peer: {
				...info, isReady, isSourceReachable, hearsSource,
			},
			learnedAt: now, heardAt, isLive: true,
		};
		this.#known.set(info.name, known);
		this.#lives.set(info.life, known);
		this.noteRevision();
		this.#found.push(info.name);
		this.#logger.debug({
			event: 'node_found', node: info.name, zone: info.availabilityZone, address: info.peerAddress,
		}, 'another node is live');
		this.#notifyChange();
		return before?.peer;
	}

	/** Lives to be described, each asked for once in a while. */
	takeWanted(now: number): string[] {
		const due = [...this.#unknown].filter(([, unknown]) => now - unknown.askedAt >= askEvery);
		for (const [, unknown] of due) {
			unknown.askedAt = now;
		}

		return due.map(([life]) => life);
	}

	/** Notices who has fallen silent; returns those that are forgotten for it. */
	noticeSilence(now: number): Peer[] {
		const forgotten: Peer[] = [];
		const limit = this.#findSilenceLimit();
		for (const [name, known] of this.#known) {
			if (known.isLive && now - known.heardAt > limit) {
				this.#lose(known, 'silent', now);
			}

			if (now - known.heardAt > forgetAfter) {
				this.#known.delete(name);
				this.#lives.delete(known.peer.life);
				forgotten.push(known.peer);
			}
		}

		for (const [life, unknown] of this.#unknown) {
			if (now - unknown.heardAt > limit) {
				this.#unknown.delete(life);
			}
		}

		// A life stays known for as long as its node, so that late signs of an earlier life are not taken for a new one.
		for (const [life, name] of this.#names) {
			if (!this.#known.has(name)) {
				this.#names.delete(life);
			}
		}

		return forgotten;
	}

	/** One line for all that were found since the last beat: a fleet of 195 that starts has 38,000 pairs. */
	logFound(): void {
		if (this.#found.length > 0) {
			this.#logger.info({event: 'nodes_found', count: this.#found.length, nodes: this.#found.slice(0, mostNamed)}, 'other nodes are live');
			this.#found = [];
		}
	}

	/** After standing still itself, a node must not take all others for dead: it has heard nobody, but for those whose heartbeats waited for it. */
	forgiveGap(gap: number, now: number): void {
		this.#logger.warn({event: 'own_gap', gap: Math.round(gap)}, 'this process stood still');
		for (const known of this.#known.values()) {
			known.heardAt = known.isLive ? Math.min(now, known.heardAt + gap) : known.heardAt;
		}

		this.noteRevision();
	}

	/** A sign of life takes longer to reach everyone in a large fleet. */
	#findSilenceLimit(): number {
		const size = Math.max(1, (this.#known.size + 1) / smallFleet);
		return silenceLimit + (heartbeatEvery * Math.log(size) / Math.log(spreadFactor));
	}

	#hear(sign: PeerSign, now: number, limit: number): void {
		const heardAt = now - sign.age;
		const known = this.#lives.get(sign.life);
		if (known === undefined) {
			this.#hearUnknown(sign, heardAt, now, limit);
			return;
		}

		if (heardAt <= known.heardAt) {
			return;
		}

		known.heardAt = heardAt;
		this.#takeStatus(known, sign);
		if (!known.isLive && now - heardAt <= limit) {
			known.isLive = true;
			this.noteRevision();
			this.#logger.info({event: 'node_back', node: known.peer.name}, 'another node is heard again');
		}
	}

	/**
	 * A late sign of an earlier life tells nothing new, unless the later life has fallen silent: a node that stood still
	 * tells of lives that are over as if it had just heard them, and such a one may have been taken for the later life.
	 */
	#hearUnknown(sign: PeerSign, heardAt: number, now: number, limit: number): void {
		const name = this.#names.get(sign.life);
		const later = name === undefined ? undefined : this.#known.get(name);
		if (later !== undefined && now - later.heardAt <= limit) {
			return;
		}

		const unknown = this.#unknown.get(sign.life);
		if (now - heardAt <= limit && (unknown === undefined || unknown.heardAt < heardAt)) {
			this.#unknown.set(sign.life, {askedAt: unknown?.askedAt ?? -Infinity, sign, heardAt});
		}
	}

	#takeStatus(known: KnownPeer, {isReady, isSourceReachable, hearsSource}: PeerStatus): void {
		const {peer} = known;
		if (peer.isReady !== isReady || peer.isSourceReachable !== isSourceReachable || peer.hearsSource !== hearsSource) {
			known.peer = {
				...peer, isReady, isSourceReachable, hearsSource,
			};
			this.noteRevision();
			this.#notifyChange();
		}
	}

	#notifyChange(): void {
		for (const listener of this.#changeListeners) {
			listener();
		}
	}

	#lose(known: KnownPeer, reason: string, now: number): void {
		known.isLive = false;
		this.noteRevision();
		this.#logger.warn({
			event: 'node_lost', node: known.peer.name, reason, silentFor: Math.round(now - known.heardAt),
		}, 'another node is taken for gone');
		for (const listener of this.#lostListeners) {
			listener(known.peer);
		}
	}
}
