/** Indirect probes: asks other nodes whether they reach a node, since this node or a single path may be at fault. */
import {orderByRendezvous, type Incarnation} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {Member, Members} from './members.js';

/** Timeout of an indirect probe, in milliseconds: the probing node pings within 400. */
const probeTimeout = 1000;

/** Number of nodes asked to probe. */
const proberCount = 2;

/** Whether other nodes reach a node: one does; none that answered does; none answered; or no other node is registered. */
export type PeerReachability = 'reached' | 'unreached' | 'unknown' | 'alone';

/** Asks other nodes to probe a node. */
export class IndirectProbe {
	readonly #members: Members;
	readonly #clients: NodeClients;
	readonly #self: Incarnation;

	constructor(members: Members, clients: NodeClients, self: Incarnation) {
		this.#members = members;
		this.#clients = clients;
		this.#self = self;
	}

	/** Probes a node through others. If no other node answers, this node may itself be partitioned and the result is unknown. */
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
