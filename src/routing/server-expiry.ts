/**
 * When backend servers without a certain entry are removed or used again. Pure except for the clock.
 *
 * A server whose entry is missing right after an outage of the source is kept for a while: it may have expired only
 * because its heartbeats could not be accepted. One that had gone and whose entry a restored source still has gets no
 * new requests until it has had the time to write its entry again.
 */
import type {BackendServerName, Clock} from '../common/index.js';
import type {KnownServer, KnownServers} from './known-servers.js';
import type {BackendServer} from './model.js';
import type {ServerLog} from './server-log.js';

/** How long a server whose entry disappeared in an outage is kept after the source is back, in milliseconds: servers re-register within about two seconds. */
export const reregistrationGrace = 1800;

/** How long a restored source keeps the entry of a server that has gone, in milliseconds: a server that lives writes more often than this. */
const staleEntryLifetime = 5000;

/** Dependencies of the expiry. */
export type ServerExpiryParts = {
	servers: KnownServers;
	clock: Clock;
	log: ServerLog;
	onChange: () => void;
};

/** Removes servers whose entries are gone, and ends doubts about others. */
export class ServerExpiry {
	readonly #parts: ServerExpiryParts;
	#graceUntil = 0;
	#hasOutage = false;

	constructor(parts: ServerExpiryParts) {
		this.#parts = parts;
	}

	/** Records that the source does not answer. */
	recordOutage(): void {
		this.#hasOutage = true;
	}

	/** Records that the source answers again, after a long silence if `wasSilent`. */
	recordRecovery(wasSilent: boolean): void {
		if (this.#hasOutage || wasSilent) {
			this.#hasOutage = false;
			this.startGrace();
		}
	}

	/** Keeps servers whose entries are missing for the grace time from now on. */
	startGrace(): void {
		this.#graceUntil = this.#parts.clock.readMonotonic() + reregistrationGrace;
	}

	/** Removes a server, or schedules its removal in an outage. `revision` is that of the removed entry, if known; the removal of an earlier incarnation's entry is ignored. */
	applyRemoval(name: BackendServerName, revision: number | undefined, origin: string): void {
		const known = this.#parts.servers.get(name);
		if (known === undefined || known.forgetAt !== undefined || (revision !== undefined && revision < known.server.entryRevision)) {
			return;
		}

		const now = this.#parts.clock.readMonotonic();
		if (!this.#hasOutage && now >= this.#graceUntil) {
			this.remove(known.server, origin, 'the entry of a backend server is gone');
			return;
		}

		known.forgetAt = Math.max(this.#graceUntil, now + reregistrationGrace);
		this.#parts.log.logDoubtful(known.server, origin, 'the entry of a backend server is gone');
	}

	/** Removes a server at once, for the reason in `message`. */
	remove(server: BackendServer, origin: string, message: string): void {
		this.#parts.servers.remove(server);
		this.#parts.log.logGone(server, origin, message);
	}

	/** Until when a server gets no new requests because the copy of a restored source has its entry although it had gone; undefined once the entry is written again. */
	findDoubt(server: BackendServer, known: KnownServer | undefined, isRestored: boolean): number | undefined {
		if (isRestored && this.#parts.servers.isGone(server.id)) {
			return this.#parts.clock.readMonotonic() + staleEntryLifetime;
		}

		const isSameEntry = known?.server.id === server.id && known.server.entryRevision === server.entryRevision;
		return isSameEntry ? known.doubtfulUntil : undefined;
	}

	/** Removes the servers whose time is over, and ends doubts whose time is over. */
	updateExpired(): void {
		const {servers, clock, log, onChange} = this.#parts;
		const now = clock.readMonotonic();
		for (const known of servers) {
			if (known.forgetAt !== undefined && known.forgetAt <= now) {
				this.remove(known.server, 'grace over', 'a backend server did not register again in time');
				onChange();
			} else if (known.doubtfulUntil !== undefined && known.doubtfulUntil <= now) {
				known.doubtfulUntil = undefined;
				servers.clearGone(known.server.id);
				log.logChange(known.server, 'grace over');
				onChange();
			}
		}
	}
}
