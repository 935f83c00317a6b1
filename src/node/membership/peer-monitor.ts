/**
 * Failure detection by pings.
 *
 * Each node pings the peers that rendezvous hashing assigns to it and those whose pools it would take over, never all.
 * A peer that misses several pings is suspected unless another node reaches it.
 */
import {
	Child, orderByRendezvous, waitFor, type Clock, type Incarnation, type Logger,
} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {Member, Members} from './members.js';
import {IndirectProbe} from './indirect-probe.js';

/** Number of peers that each node pings, besides those whose pools it would take over. */
export const watchedPeerCount = 3;

/** Time between pings, in milliseconds. */
export const pingInterval = 500;

const pingTimeout = 400;

/** Consecutive missed pings tolerated before an indirect probe. */
const maxMissedPings = 2;

/** Dependencies of the monitor. */
export type PeerMonitorParts = {
	clock: Clock;
	logger: Logger;
	self: Incarnation;
	/** Lists the incarnations whose pools this node would take over. */
	listHolders: () => Incarnation[];
};

/** Pings peers and records which of them do not answer. */
export class PeerMonitor extends Child {
	override readonly name = 'peer-monitor';
	readonly #members: Members;
	readonly #clients: NodeClients;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #self: Incarnation;
	readonly #listHolders: () => Incarnation[];
	#order: {version: number; others: Member[]} = {version: -1, others: []};
	readonly #missed = new Map<Incarnation, number>();
	readonly #indirectProbe: IndirectProbe;

	constructor(members: Members, clients: NodeClients, parts: PeerMonitorParts) {
		super();
		this.#members = members;
		this.#clients = clients;
		this.#clock = parts.clock;
		this.#logger = parts.logger;
		this.#self = parts.self;
		this.#listHolders = parts.listHolders;
		this.#indirectProbe = new IndirectProbe(members, clients, parts.self);
	}

	override async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			this.#members.prune();
			await Promise.all(this.#choosePeers().map(async peer => this.#check(peer)));
			await waitFor(this.#clock, pingInterval, signal);
		}
	}

	#choosePeers(): Member[] {
		const holders = new Set(this.#listHolders());
		const others = this.#orderOthers();
		return [...others.slice(0, watchedPeerCount), ...others.slice(watchedPeerCount).filter(member => holders.has(member.incarnation))];
	}

	/** All other nodes in rendezvous order, computed once per change of the members. */
	#orderOthers(): Member[] {
		if (this.#order.version !== this.#members.version) {
			const others = this.#members.listAll().filter(member => member.incarnation !== this.#self);
			this.#order = {version: this.#members.version, others: orderByRendezvous(this.#self, others, member => member.incarnation)};
		}

		return this.#order.others;
	}

	async #check(peer: Member): Promise<void> {
		const answer = await this.#clients.ask(peer.nodeUrl, pingTimeout, async (client, signal) => client.ping.query(undefined, {signal}));
		if (answer?.incarnation === peer.incarnation) {
			this.#missed.delete(peer.incarnation);
			this.#members.recordReachability(peer.incarnation, true);
			return;
		}

		const missed = (this.#missed.get(peer.incarnation) ?? 0) + 1;
		this.#missed.set(peer.incarnation, missed);
		// Another incarnation at the address proves the replacement; a missing answer may be a network fault of this node.
		const isReplaced = answer !== undefined;
		if (isReplaced || (missed > maxMissedPings && await this.#indirectProbe.probe(peer) !== 'reached')) {
			this.#logger.warn({event: 'peer_suspected', box: peer.box, missed}, 'a node does not answer');
			this.#members.recordReachability(peer.incarnation, false);
		}
	}
}
