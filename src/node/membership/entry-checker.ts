/** Determines whether an entry node whose heartbeats are missing is gone, or only unreachable from this node. */
import type {Incarnation, PoolId} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {Grant} from '../dispatch/index.js';
import type {Member, Members} from './members.js';
import type {IndirectProbe} from './indirect-probe.js';

/** Timeout for an entry node to list its grants, in milliseconds. */
const listTimeout = 1000;

/** The state of an entry node. */
export type EntryState =
	/** It answers and holds these grants; only its heartbeats were lost. */
	| {kind: 'reachable'; grants: Grant[]}
	/** It does not answer this node, but another node reaches it, or this node reaches no other node. */
	| {kind: 'unreachable'}
	/** The platform has removed it, or other nodes cannot reach it either. */
	| {kind: 'gone'};

/** Checks the state of entry nodes. */
export class EntryChecker {
	readonly #members: Members;
	readonly #clients: NodeClients;
	readonly #indirectProbe: IndirectProbe;

	constructor(members: Members, clients: NodeClients, indirectProbe: IndirectProbe) {
		this.#members = members;
		this.#clients = clients;
		this.#indirectProbe = indirectProbe;
	}

	/** Checks the entry node with an incarnation. */
	async check(entry: Incarnation, pool: PoolId): Promise<EntryState> {
		const member = this.#members.listAll().find(({incarnation}) => incarnation === entry);
		return member === undefined ? {kind: 'gone'} : this.#checkMember(member, pool);
	}

	/** Checks all registered entry nodes. */
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
