/** What other nodes see of a node that this one cannot reach: silence may be this node's own, or that of one path. */
import {orderByRendezvous, type Incarnation} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {Member, Members} from './members.js';

/** Time for an opinion, in milliseconds: the asked node pings within 400. */
const probeTimeout = 1000;

/** Nodes asked for a second opinion. */
const secondOpinions = 2;

/** What others say of a node: one reaches it, those that answer do not, nobody answers though others are registered, or there is nobody else. */
export type Opinion = 'reached' | 'unreached' | 'unknown' | 'alone';

/** Asks others about a node. */
export class SecondOpinion {
	readonly #members: Members;
	readonly #clients: NodeClients;
	readonly #self: Incarnation;

	constructor(members: Members, clients: NodeClients, self: Incarnation) {
		this.#members = members;
		this.#clients = clients;
		this.#self = self;
	}

	/** Whether others reach a node. A node that nobody answers is cut off itself, and knows nothing of anyone. */
	async ask(peer: Member): Promise<Opinion> {
		const isOther = (member: Member) => member.incarnation !== this.#self && member.incarnation !== peer.incarnation;
		const others = this.#members.listReady().filter(member => isOther(member));
		const asked = orderByRendezvous(peer.incarnation, others, member => member.incarnation).slice(0, secondOpinions);
		const answers = await Promise.all(asked.map(async member =>
			this.#clients.ask(member.nodeUrl, probeTimeout, async (client, signal) => client.probe.query({url: peer.nodeUrl}, {signal}))));
		const heard = answers.filter(answer => answer !== undefined);
		if (heard.some(answer => answer.isReachable)) {
			return 'reached';
		}

		if (heard.length > 0) {
			return 'unreached';
		}

		return this.#members.listAll().some(member => isOther(member)) ? 'unknown' : 'alone';
	}
}
