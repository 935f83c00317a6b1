/** What other nodes see of a node that this one cannot reach: silence may be this node's own, or that of one path. */
import {orderByRendezvous, type Incarnation} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {Member, Members} from './members.js';

/** Time for an opinion, in milliseconds: the asked node pings within 400. */
const probeTimeout = 1000;

/** Nodes asked for a second opinion. */
const proberCount = 2;

/** What others say of a node: one reaches it, those that answer do not, nobody answers though others are registered, or there is nobody else. */
export type PeerReachability = 'reached' | 'unreached' | 'unknown' | 'alone';

/** Asks others about a node. */
export class IndirectProbe {
	readonly #members: Members;
	readonly #clients: NodeClients;
	readonly #self: Incarnation;

	constructor(members: Members, clients: NodeClients, self: Incarnation) {
		this.#members = members;
		this.#clients = clients;
		this.#self = self;
	}

	/** Whether others reach a node. A node that nobody answers is cut off itself, and knows nothing of anyone. */
	async probe(peer: Member): Promise<PeerReachability> {
		const isOther = (member: Member) => member.incarnation !== this.#self && member.incarnation !== peer.incarnation;
		const others = this.#members.listReady().filter(member => isOther(member));
		const probers = orderByRendezvous(peer.incarnation, others, member => member.incarnation).slice(0, proberCount);
		const answers = await Promise.all(probers.map(async member =>
			this.#clients.ask(member.nodeUrl, probeTimeout, async (client, signal) => client.probe.query({url: peer.nodeUrl}, {signal}))));
		const received = answers.filter(answer => answer !== undefined);
		if (received.some(answer => answer.isReachable)) {
			return 'reached';
		}

		if (received.length > 0) {
			return 'unreached';
		}

		return this.#members.listAll().some(member => isOther(member)) ? 'unknown' : 'alone';
	}
}
