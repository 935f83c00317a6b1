/**
 * The ledger of a pool: how many tokens of each backend server are held, by
 * which grant, and until about when.
 *
 * Pure state. Invariants: `hold` is asked only where there is room, nothing is
 * negative, and an idle ledger holds zero.
 */
import type {
	BackendServerId, GrantId, Incarnation, OrganisationId,
} from '../../common/index.js';
import type {Grant} from './messages.js';

/** A backend server as the dispatcher sees it. */
export type ServerState = {
	id: BackendServerId;
	url: string;
	availabilityZone: string;
	/** Tokens it can hold. */
	capacity: number;
	/** Prompt tokens it reads a second. */
	prefillRate: number;
	/** Milliseconds between two tokens of an answer. */
	tokenInterval: number;
	/** False once any source says that it is leaving or cannot be reached. */
	open: boolean;
};

/** A grant that is out. */
export type HeldGrant = {
	grant: Grant;
	/** Monotonic time of the grant, in milliseconds. */
	since: number;
};

/** What one backend server holds. */
type ServerAccount = {
	tokens: number;
	grants: Map<GrantId, HeldGrant>;
};

/** What one organisation holds in the pool. */
export type OrganisationAccount = {
	tokens: number;
	running: number;
};

const emptyAccount: ServerAccount = {tokens: 0, grants: new Map()};
const emptyOrganisation: OrganisationAccount = {tokens: 0, running: 0};

/** Counts what is held on each backend server. */
export class Ledger {
	#open: ServerState[] = [];
	readonly #servers = new Map<BackendServerId, ServerState>();
	readonly #accounts = new Map<BackendServerId, ServerAccount>();
	readonly #organisations = new Map<OrganisationId, OrganisationAccount>();
	readonly #grants = new Map<GrantId, HeldGrant>();
	#heldTokens = 0;
	#openCapacity = 0;

	/** Number of grants out. */
	get grantCount(): number {
		return this.#grants.size;
	}

	/** Share of the open memory that is free, from 0 to 1. */
	get freeShare(): number {
		return this.#openCapacity === 0 ? 0 : Math.max(0, 1 - (this.#heldTokens / this.#openCapacity));
	}

	/** Replaces the set of backend servers. Grants on a server that is no longer listed stay until released. */
	setServers(servers: Iterable<ServerState>): void {
		this.#servers.clear();
		for (const server of servers) {
			this.#servers.set(server.id, server);
		}

		this.#open = [...this.#servers.values()].filter(server => server.open);
		this.#openCapacity = this.#open.reduce((sum, server) => sum + server.capacity, 0);
	}

	/** Lists the backend servers that take new work. */
	listOpen(): readonly ServerState[] {
		return this.#open;
	}

	/** Tokens free on a backend server; negative after grants adopted past its capacity. */
	countFree(id: BackendServerId): number {
		const capacity = this.#servers.get(id)?.capacity ?? 0;
		return capacity - this.countHeld(id);
	}

	/** Tokens free on the open backend server that has the most. */
	findLargestFree(): number {
		let largest = 0;
		for (const server of this.#open) {
			largest = Math.max(largest, server.capacity - this.countHeld(server.id));
		}

		return largest;
	}

	/** Tokens held on a backend server. */
	countHeld(id: BackendServerId): number {
		return this.#readAccount(id).tokens;
	}

	/** What an organisation holds. */
	readOrganisation(id: OrganisationId): Readonly<OrganisationAccount> {
		return this.#organisations.get(id) ?? emptyOrganisation;
	}

	/** Records a grant. A grant already recorded is not counted twice. */
	hold(grant: Grant, now: number): void {
		if (this.#grants.has(grant.grantId)) {
			return;
		}

		const held = {grant, since: now};
		this.#grants.set(grant.grantId, held);
		this.#count(held, 1);
	}

	/** Gives back a grant's tokens; returns it, or `undefined` if it was not out. */
	release(grantId: GrantId): HeldGrant | undefined {
		const held = this.#grants.get(grantId);
		if (held === undefined) {
			return undefined;
		}

		this.#grants.delete(grantId);
		this.#count(held, -1);
		return held;
	}

	/** Lists the grants of an entry, or all. */
	listGrants(entry?: Incarnation): HeldGrant[] {
		const all = [...this.#grants.values()];
		return entry === undefined ? all : all.filter(held => held.grant.entry === entry);
	}

	/** Lists the grants on a backend server. */
	listServerGrants(id: BackendServerId): HeldGrant[] {
		return [...this.#readAccount(id).grants.values()];
	}

	#readAccount(id: BackendServerId): ServerAccount {
		return this.#accounts.get(id) ?? emptyAccount;
	}

	#count(held: HeldGrant, sign: 1 | -1): void {
		const {grant} = held;
		this.#heldTokens += sign * grant.tokens;
		this.#countServer(held, sign);
		const account = this.#organisations.get(grant.organisation) ?? {tokens: 0, running: 0};
		account.tokens += sign * grant.tokens;
		account.running += sign;
		if (account.running === 0) {
			this.#organisations.delete(grant.organisation);
		} else {
			this.#organisations.set(grant.organisation, account);
		}
	}

	#countServer(held: HeldGrant, sign: 1 | -1): void {
		const {grant} = held;
		const account = this.#accounts.get(grant.backendServer) ?? {tokens: 0, grants: new Map<GrantId, HeldGrant>()};
		account.tokens += sign * grant.tokens;
		if (sign === 1) {
			account.grants.set(grant.grantId, held);
		} else {
			account.grants.delete(grant.grantId);
		}

		if (account.grants.size === 0) {
			this.#accounts.delete(grant.backendServer);
		} else {
			this.#accounts.set(grant.backendServer, account);
		}
	}
}
