/**
 * The backend servers known to a node. Pure except for the clock.
 *
 * A server has a name and, after each start, a new incarnation; requests are placed at an incarnation. Of two entries of
 * a name the one of the later revision counts, regardless of its origin.
 *
 * An incarnation that is leaving stays so for the rest of its life, whether its entry or the server itself said it: its
 * entry may be late, lost or written again meanwhile.
 */
import type {
	BackendServerId, BackendServerName, Clock, Logger, ServiceName,
} from '../common/index.js';
import type {ColdServers} from './cold-servers.js';
import type {Change, Listing} from './fleet-source.js';
import {IncarnationSet} from './incarnation-set.js';
import {
	dropColdTime, formatServers, isUsable, KnownServers,
} from './known-servers.js';
import type {BackendServer} from './model.js';
import {dropSupersededRemovals, isRefresh} from './server-changes.js';
import {ServerExpiry} from './server-expiry.js';
import {ServerLog} from './server-log.js';
import {
	applySnapshotState, describeServer, dropSnapshotState, type ServersSnapshot, type SnapshotServer,
} from './server-snapshot.js';
import {readEra} from './source-position.js';

/** How long a leaving incarnation is remembered, in milliseconds: far longer than it runs. Ids are not reused, so this only bounds memory. */
const leavingRetention = 600_000;

/** Dependencies of a view. */
export type ServerViewParts = {
	/** Receives the remaining cold time of each entry. */
	coldServers: ColdServers;
	clock: Clock;
	logger: Logger;
	onChange: () => void;
	/** Called with the previous incarnation when a server has restarted. */
	onRestart: (previous: BackendServer) => void;
};

/**
 * Backend servers by name.
 *
 * Revisions are positions in the history of the source, so that those of a source that was restored from a copy are later than all before.
 */
export class ServerView {
	readonly #parts: ServerViewParts;
	readonly #servers: KnownServers;
	readonly #expiry: ServerExpiry;
	readonly #log: ServerLog;
	readonly #foreignNames = new Set<string>();
	readonly #leaving: IncarnationSet;
	#revision = 0;

	constructor(parts: ServerViewParts) {
		const {clock, logger, onChange} = parts;
		this.#parts = parts;
		this.#servers = new KnownServers(parts);
		this.#log = new ServerLog({logger, readRevision: () => this.#revision});
		this.#expiry = new ServerExpiry({
			servers: this.#servers, clock, log: this.#log, onChange,
		});
		this.#leaving = new IncarnationSet(clock, leavingRetention);
	}

	/** Revision up to which changes are known. */
	get revision(): number {
		return this.#revision;
	}

	/** Number of known servers, including those that accept no new requests. */
	get size(): number {
		return this.#servers.size;
	}

	/** Number of servers that accept new requests. */
	get usableCount(): number {
		this.#expiry.updateExpired();
		return [...this.#servers].filter(known => isUsable(known)).length;
	}

	/** Number of foreign entries among those of servers. */
	get foreignCount(): number {
		return this.#foreignNames.size;
	}

	/** Formats the known servers as a string that is equal for equal views. */
	formatServers(): string {
		return formatServers(this.#servers);
	}

	/** Applies a complete list. */
	applyList(listing: Listing<BackendServer>, origin: string): void {
		if (listing.revision < this.#revision) {
			this.#log.logIgnored({part: 'list', count: listing.items.length, revision: listing.revision}, origin);
			return;
		}

		const isRestored = this.#checkRestored(listing.revision, origin);
		const listed = new Set<string>([...listing.items.map(server => server.name), ...listing.foreign ?? []]);
		this.#foreignNames.clear();
		for (const name of listing.foreign ?? []) {
			this.#applyForeignEntry(name, listing.revision, origin);
		}

		for (const server of listing.items) {
			this.#applyEntry(server, origin, isRestored);
		}

		for (const {server} of this.#servers) {
			if (!listed.has(server.name)) {
				this.#expiry.applyRemoval(server.name, undefined, origin);
			}
		}

		this.#setRevision(listing.revision, origin);
		this.#parts.onChange();
	}

	/** Applies changes up to a revision. */
	applyChanges(changes: Array<Change<BackendServer>>, revision: number, origin: string): void {
		if (revision < this.#revision) {
			if (changes.length > 0) {
				this.#log.logIgnored({part: 'changes', count: changes.length, revision}, origin);
			}

			return;
		}

		const isNotable = changes.some(({item}) => !this.#isRefresh(item));
		for (const change of dropSupersededRemovals(changes)) {
			this.#applyChange(change, revision, origin);
		}

		this.#revision = revision;
		if (isNotable) {
			this.#parts.onChange();
		}
	}

	/** Records that the source does not answer: servers whose entries disappear from now on may still be running. */
	recordOutage(): void {
		this.#expiry.recordOutage();
	}

	/** Records that the source answers again; after a long silence (`wasSilent`) servers whose entries disappeared may still be running, even if no call failed. */
	recordRecovery(wasSilent: boolean): void {
		this.#expiry.recordRecovery(wasSilent);
	}

	/** Lists the servers of a service that accept new requests. */
	list(service: ServiceName): BackendServer[] {
		this.#expiry.updateExpired();
		return [...this.#servers]
			.filter(known => known.server.service === service && isUsable(known))
			.map(known => known.server);
	}

	/** Finds an incarnation that accepts new requests. */
	findUsableIncarnation(id: BackendServerId): BackendServer | undefined {
		this.#expiry.updateExpired();
		const known = this.#servers.findIncarnation(id);
		return known !== undefined && isUsable(known) ? known.server : undefined;
	}

	/** Finds a current incarnation, including one that accepts no new requests. */
	findServer(id: BackendServerId): BackendServer | undefined {
		return this.#servers.findIncarnation(id)?.server;
	}

	/** Whether an incarnation is current, including one that accepts no new requests. */
	hasIncarnation(id: BackendServerId): boolean {
		return this.#servers.findIncarnation(id) !== undefined;
	}

	/** Marks an incarnation as leaving for the rest of its life, also one that is not known yet; returns whether that is new. */
	markLeaving(id: BackendServerId, origin: string): boolean {
		if (!this.#leaving.add(id)) {
			return false;
		}

		const known = this.#servers.findIncarnation(id);
		if (known !== undefined) {
			known.server = {...known.server, isLeaving: true};
			this.#log.logChange(known.server, origin);
			this.#parts.onChange();
		}

		return true;
	}

	/** Lists the current incarnations of a service that are leaving although their entries do not say so: other nodes cannot know it from the source. */
	listLeavingUnannounced(service: ServiceName): BackendServerId[] {
		return this.#leaving.list().filter(id => {
			const known = this.#servers.findIncarnation(id);
			return known?.server.service === service && !known.isLeavingByEntry;
		});
	}

	/** Returns all servers for a node that knows an earlier revision; undefined when it is up to date. */
	takeSnapshot(known: number): ServersSnapshot | undefined {
		if (known >= this.#revision) {
			return undefined;
		}

		const {clock, coldServers} = this.#parts;
		const now = clock.readMonotonic();
		const items = [...this.#servers].map(each => describeServer(each, coldServers.computeColdLeft(each.server.id), now));
		return {revision: this.#revision, items};
	}

	/** Applies another node's snapshot if it is of a later revision; servers that it lacks are removed. */
	applySnapshot({revision, items}: ServersSnapshot, origin: string): void {
		if (revision <= this.#revision) {
			return;
		}

		const isRestored = this.#checkRestored(revision, origin);
		const listed = new Set(items.map(server => server.name));
		const isNotable = items.length === 0 || this.#servers.size !== items.length || items.some(item => !this.#isRefresh(item));
		for (const item of items) {
			this.#applySnapshotItem(item, origin, isRestored);
		}

		for (const {server} of this.#servers) {
			if (!listed.has(server.name) && server.entryRevision <= revision) {
				this.#expiry.remove(server, origin, 'another node reports that a backend server is gone');
			}
		}

		this.#setRevision(revision, origin);
		if (isNotable) {
			this.#parts.onChange();
		}
	}

	/** Detects that the source was restored from a copy: servers whose entries it has lost may still be running, and register again. */
	#checkRestored(revision: number, origin: string): boolean {
		if (this.#revision === 0 || readEra(revision) === readEra(this.#revision)) {
			return false;
		}

		this.#expiry.startGrace();
		this.#log.logRestored(revision, origin);
		return true;
	}

	#applySnapshotItem(item: SnapshotServer, origin: string, isRestored: boolean): void {
		const server = dropSnapshotState(item);
		if (!this.#applyEntry(server, origin, isRestored)) {
			return;
		}

		// The other node may know more than the entry says.
		this.#parts.coldServers.applyReport(server.id, server.service, server.coldFor ?? 0);
		applySnapshotState(this.#servers.get(server.name)!, item, this.#parts.clock.readMonotonic());
	}

	#applyChange(change: Change<BackendServer>, revision: number, origin: string): void {
		const {name, item, revision: changedAt = revision} = change;
		if (change.isForeign) {
			this.#applyForeignEntry(name, changedAt, origin);
			return;
		}

		this.#foreignNames.delete(name);
		if (item === undefined) {
			this.#expiry.applyRemoval(name as BackendServerName, change.revision, origin);
		} else if (changedAt > this.#revision) {
			this.#applyEntry(item, origin);
		} else {
			// Another node's snapshot was newer; the entry must not bring back a server removed by it.
			this.#log.logPassedOver(item, changedAt, origin);
		}
	}

	/** Records a foreign entry; a known server of that name gets no new requests. */
	#applyForeignEntry(name: string, changedAt: number, origin: string): void {
		this.#foreignNames.add(name);
		const known = this.#servers.get(name as BackendServerName);
		if (known !== undefined && !known.isOverwritten && changedAt >= known.server.entryRevision) {
			known.isOverwritten = true;
			this.#log.logOverwritten(known.server, origin);
		}
	}

	/** Applies an entry; false when it is ignored, being older than the known one or foreign. `isRestored` for an entry of the copy from which the source was restored. */
	#applyEntry(server: BackendServer, origin: string, isRestored = false): boolean {
		const known = this.#servers.get(server.name);
		const previous = known?.server;
		if (previous !== undefined && server.entryRevision < previous.entryRevision) {
			return false;
		}

		const isSameIncarnation = previous?.id === server.id;
		if (isRestored && previous !== undefined && !isSameIncarnation && this.#servers.isGone(server.id)) {
			// The copy is from before the restart of the server.
			return false;
		}

		if (isSameIncarnation && previous.service !== server.service) {
			// A server never changes its service, so another writer wrote this entry.
			this.#applyForeignEntry(server.name, server.entryRevision, origin);
			return false;
		}

		if (server.isLeaving) {
			this.#leaving.add(server.id);
		}

		this.#applyCold(server, previous);
		const isLeaving = this.#leaving.has(server.id);
		const doubtfulUntil = this.#expiry.findDoubt(server, known, isRestored);
		this.#servers.put({
			server: {...dropColdTime(server), isLeaving}, isOverwritten: false, isLeavingByEntry: server.isLeaving, doubtfulUntil,
		});
		if (doubtfulUntil !== undefined) {
			this.#log.logDoubtful(server, origin, 'the restored source still has the entry of a backend server that has gone');
			return true;
		}

		this.#servers.clearGone(server.id);
		if (previous !== undefined && !isSameIncarnation) {
			this.#log.logRestart(previous, server, origin);
			this.#parts.onRestart(previous);
		} else if (previous?.isLeaving !== isLeaving || known?.isOverwritten === true) {
			this.#log.logChange({...server, isLeaving}, origin);
		}

		return true;
	}

	#applyCold(server: BackendServer, previous: BackendServer | undefined): void {
		const isSameIncarnation = previous?.id === server.id;
		this.#parts.coldServers.applyEntry({
			server,
			isNew: !isSameIncarnation && !this.#servers.isGone(server.id),
			isFirstView: this.#revision === 0,
			isRepeated: isSameIncarnation && previous.entryRevision === server.entryRevision,
		});
	}

	#isRefresh(item: SnapshotServer | undefined): boolean {
		return item !== undefined && isRefresh(item, this.#servers.get(item.name), this.#parts.coldServers);
	}

	#setRevision(revision: number, origin: string): void {
		if (this.#revision === 0) {
			this.#log.logKnown(this.#servers.size, revision, origin);
		}

		this.#revision = revision;
	}
}
