/**
 * The ledger of a pool: the tokens held on each backend server, and the grants that hold them. Pure.
 *
 * Invariants: `hold` is called only where enough memory is free, no count is negative, and an idle ledger holds zero.
 */
import type {
	BackendServerId, GrantId, Incarnation, OrganisationId,
} from '../../common/index.js';
import type {Grant} from './messages.js';

/** Current state of a backend server. */
export type ServerState = {
	id: BackendServerId;
	url: string;
	availabilityZone: string;
	/** Memory, in tokens. */
	capacity: number;
	/** Prompt tokens prefilled per second. */
	prefillRate: number;
	/** Milliseconds between two output tokens. */
	tokenInterval: number;
	/** False once any source reports that it is leaving or unreachable. */
	open: boolean;
};

/** An outstanding grant. */
export type HeldGrant = {
	grant: Grant;
	/** Monotonic time of the grant, in milliseconds. */
	since: number;
};

/** Tokens and grants held on one backend server. */
type ServerAccount = {
	tokens: number;
	grants: Map<GrantId, HeldGrant>;
};

/** Tokens and requests held by one organisation in the pool. */
export type OrganisationAccount = {
	tokens: number;
	running: number;
};

const emptyAccount: ServerAccount = {tokens: 0, grants: new Map()};
const emptyOrganisation: OrganisationAccount = {tokens: 0, running: 0};

/** Tracks the memory held on each backend server. */
export class Ledger {
	#open: ServerState[] = [];
	readonly #servers = new Map<BackendServerId, ServerState>();
	readonly #accounts = new Map<BackendServerId, ServerAccount>();
	readonly #organisations = new Map<OrganisationId, OrganisationAccount>();
	readonly #grants = new Map<GrantId, HeldGrant>();
	#heldTokens = 0;
	#openCapacity = 0;

	/** Number of outstanding grants. */
	get grantCount(): number {
		return this.#grants.size;
	}

	/** Free share of the memory of the open servers, from 0 to 1. */
	get freeShare(): number {
		return this.#openCapacity === 0 ? 0 : Math.max(0, 1 - (this.#heldTokens / this.#openCapacity));
	}

	/** Replaces the set of backend servers. Grants on a removed server stay until they are released. */
	setServers(servers: Iterable<ServerState>): void {
		this.#servers.clear();
		for (const server of servers) {
			this.#servers.set(server.id, server);
		}

		this.#open = [...this.#servers.values()].filter(server => server.open);
		this.#openCapacity = this.#open.reduce((sum, server) => sum + server.capacity, 0);
	}

	/** Lists the backend servers that accept new work. */
	listOpen(): readonly ServerState[] {
		return this.#open;
	}

	/** Tokens free on a backend server; negative when adopted grants exceed its capacity. */
	countFree(id: BackendServerId): number {
		const capacity = this.#servers.get(id)?.capacity ?? 0;
		return capacity - this.countHeld(id);
	}

	/** Tokens free on the open backend server with the most free memory. */
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

	/** Tokens and requests held by an organisation. */
	readOrganisation(id: OrganisationId): Readonly<OrganisationAccount> {
		return this.#organisations.get(id) ?? emptyOrganisation;
	}

	/** Adds a grant; a grant that is already held is not counted twice. */
	hold(grant: Grant, now: number): void {
		if (this.#grants.has(grant.grantId)) {
			return;
		}

		const held = {grant, since: now};
		this.#grants.set(grant.grantId, held);
		this.#count(held, 1);
	}

	/** Releases the tokens of a grant; returns it, or `undefined` if it was not held. */
	release(grantId: GrantId): HeldGrant | undefined {
		const held = this.#grants.get(grantId);
		if (held === undefined) {
			return undefined;
		}

		this.#grants.delete(grantId);
		this.#count(held, -1);
		return held;
	}

	/** Lists the grants of an entry node, or all grants. */
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
