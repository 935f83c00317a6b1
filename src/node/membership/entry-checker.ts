/** What is known of an entry that a dispatcher does not hear: whether it is gone, or only the path to it. */
import type {Incarnation, PoolId} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {Grant} from '../dispatch/index.js';
import type {Member, Members} from './members.js';
import type {IndirectProbe} from './indirect-probe.js';

/** Time for an entry to say which grants it holds, in milliseconds. */
const listTimeout = 1000;

/** What became of an entry. */
export type EntryState =
	/** It answers, and holds these grants: only its heartbeats are lost. */
	| {kind: 'reachable'; grants: Grant[]}
	/** It does not answer here, and another node reaches it, or this node reaches nobody. */
	| {kind: 'unreachable'}
	/** The platform has dropped it, or others don't reach it either. */
	| {kind: 'gone'};

/** Looks after entries. */
export class EntryChecker {
	readonly #members: Members;
	readonly #clients: NodeClients;
	readonly #indirectProbe: IndirectProbe;

	constructor(members: Members, clients: NodeClients, indirectProbe: IndirectProbe) {
		this.#members = members;
		this.#clients = clients;
		this.#indirectProbe = indirectProbe;
	}

	/** Looks after the entry of an incarnation. */
	async check(entry: Incarnation, pool: PoolId): Promise<EntryState> {
		const member = this.#members.listAll().find(({incarnation}) => incarnation === entry);
		return member === undefined ? {kind: 'gone'} : this.#checkMember(member, pool);
	}

	/** Looks after all registered entries. */
	async checkAll(pool: PoolId): Promise<EntryState[]> {
		return Promise.all(this.#members.listAll().map(async member => this.#checkMember(member, pool)));
	}

	async #checkMember(member: Member, pool: PoolId): Promise<EntryState> {
		const grants = await this.#clients.ask(member.nodeUrl, listTimeout, async (client, signal) => client.listGrants.query({pool}, {signal}));
		if (grants !== undefined) {
			return {kind: 'reachable', grants};
		}

		const reachability = await this.#indirectProbe.probe(member);
		const isGone = reachability === 'unreached' || reachability === 'alone' || this.#members.isDropped(member.incarnation);
		return {kind: isGone ? 'gone' : 'unreachable'};
	}
}
