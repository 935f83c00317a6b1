/**
 * The ledger of a pool: how many tokens of each backend server are held, and by which grant.
 *
 * Pure state. Invariants: no backend server holds more than its capacity through
 * `hold`, nothing is negative, and an idle ledger holds zero.
 */
import type {BackendServerId, GrantId, Incarnation} from '../../common/index.js';
import type {Grant} from './messages.js';

/** A backend server as the dispatcher sees it. */
export type ServerState = {
	id: BackendServerId;
	url: string;
	availabilityZone: string;
	/** Tokens it can hold. */
	capacity: number;
	/** False once any source says that it is leaving or cannot be reached. */
	open: boolean;
};

type HeldGrant = {
	grant: Grant;
	/** Monotonic time of the grant, in milliseconds. */
	since: number;
};

/** Counts what is held on each backend server. */
export class Ledger {
	readonly #servers = new Map<BackendServerId, ServerState>();
	readonly #held = new Map<BackendServerId, number>();
	readonly #grants = new Map<GrantId, HeldGrant>();

	/** Replaces the set of backend servers. Grants on a server that is no longer listed stay until released. */
	setServers(servers: Iterable<ServerState>): void {
		this.#servers.clear();
		for (const server of servers) {
			this.#servers.set(server.id, server);
		}
	}

	/** Lists the backend servers that take new work. */
	listOpen(): ServerState[] {
		return [...this.#servers.values()].filter(server => server.open);
	}

	/** Tokens free on a backend server; negative after grants adopted past its capacity. */
	countFree(id: BackendServerId): number {
		const capacity = this.#servers.get(id)?.capacity ?? 0;
		return capacity - this.countHeld(id);
	}

	/** Tokens held on a backend server. */
	countHeld(id: BackendServerId): number {
		return this.#held.get(id) ?? 0;
	}

	/** Number of grants out. */
	get grantCount(): number {
		return this.#grants.size;
	}

	/** Records a grant. A grant already recorded is not counted twice. */
	hold(grant: Grant, now: number): void {
		if (this.#grants.has(grant.grantId)) {
			return;
		}

		this.#grants.set(grant.grantId, {grant, since: now});
		this.#held.set(grant.backendServer, this.countHeld(grant.backendServer) + grant.tokens);
	}

	/** Gives back a grant's tokens; returns it, or `undefined` if it was not out. */
	release(grantId: GrantId): Grant | undefined {
		const held = this.#grants.get(grantId);
		if (held === undefined) {
			return undefined;
		}

		const {grant} = held;
		this.#grants.delete(grantId);
		const left = this.countHeld(grant.backendServer) - grant.tokens;
		if (left === 0) {
			this.#held.delete(grant.backendServer);
		} else {
			this.#held.set(grant.backendServer, left);
		}

		return grant;
	}

	/** Lists the grants of an entry, or all. */
	listGrants(entry?: Incarnation): HeldGrant[] {
		const all = [...this.#grants.values()];
		return entry === undefined ? all : all.filter(held => held.grant.entry === entry);
	}
}
