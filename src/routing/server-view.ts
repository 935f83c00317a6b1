/**
 * The backend servers known to a node. Pure except for the clock.
 *
 * A server has a name and, after each start, a new incarnation; requests are placed at an incarnation. Of two entries of
 * a name the one of the later revision counts, regardless of its origin. A server whose entry is missing right after an
 * outage of the source is kept for a while: it may have expired only because its heartbeats could not be accepted.
 *
 * An incarnation that is leaving stays so for the rest of its life, whether its entry or the server itself said it: its
 * entry may be late, lost or written again meanwhile.
 */
import type {
	BackendServerId, BackendServerName, Clock, Logger, ServiceName,
} from '../common/index.js';
import type {ColdServers} from './cold-servers.js';
import type {Change, Listing} from './fleet-source.js';
import type {BackendServer} from './model.js';
import {IncarnationSet} from './incarnation-set.js';
import {formatPosition, readEra} from './source-position.js';

/** How long a server whose entry disappeared in an outage is kept after the source is back, in milliseconds: servers re-register within about two seconds. */
export const reregistrationGrace = 1800;

/** What an entry that only repeats a known one has in common with it. */
const refreshedKeys = ['id', 'service', 'address', 'availabilityZone', 'slots', 'isLeaving'] as const;

/** How long a leaving incarnation is remembered, in milliseconds: far longer than it runs. Ids are not reused, so this only bounds memory. */
const leavingRetention = 600_000;

/** How long an incarnation that is gone is remembered, in milliseconds: a restored source is some seconds old. */
const goneRetention = 60_000;

/** How long a restored source keeps the entry of a server that has gone, in milliseconds: a server that lives writes more often than this. */
const staleEntryLifetime = 5000;

/** A server and the state of its entry. */
type KnownServer = {
	server: BackendServer;
	/** Whether a foreign entry replaced its own: it gets no new requests, and running ones continue. */
	isOverwritten: boolean;
	/** Whether its entry says that it is leaving, and not only its answers. */
	isLeavingByEntry: boolean;
	/** When it is to be removed, by the monotonic clock; undefined while its entry exists. */
	forgetAt?: number;
	/** Until when it gets no new requests, by the monotonic clock: it was gone when the source was restored from a copy with its entry. */
	doubtfulUntil?: number;
};

/**
 * A server in a snapshot; times in milliseconds.
 *
 * `forgetIn` is the time until its removal, if its entry disappeared in an outage; `doubtfulFor` is the time for which it gets no new requests.
 */
export type SnapshotServer = BackendServer & {isOverwritten?: boolean; forgetIn?: number; doubtfulFor?: number};

/** All servers at a revision, as nodes send them to each other. */
export type ServersSnapshot = {revision: number; items: SnapshotServer[]};

/** Dependencies of a view. */
export type ServerViewParts = {
	/** Is told of each entry. */
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
	readonly #servers = new Map<BackendServerName, KnownServer>();
	readonly #incarnations = new Map<BackendServerId, KnownServer>();
	readonly #foreignNames = new Set<string>();
	readonly #leaving: IncarnationSet;
	/** Incarnations whose entry was removed or replaced. */
	readonly #gone: IncarnationSet;
	#revision = 0;
	#graceUntil = 0;
	#hasOutage = false;

	constructor(parts: ServerViewParts) {
		this.#parts = parts;
		this.#leaving = new IncarnationSet(parts.clock, leavingRetention);
		this.#gone = new IncarnationSet(parts.clock, goneRetention);
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
		this.#updateExpired();
		return [...this.#servers.values()].filter(known => isUsable(known)).length;
	}

	/** Number of foreign entries among those of servers. */
	get foreignCount(): number {
		return this.#foreignNames.size;
	}

	/** Formats the known servers as a string that is equal for equal views. */
	formatServers(): string {
		return [...this.#servers.values()].map(known => `${known.server.id}${formatState(known)}`).sort().join(',');
	}

	/** Applies a complete list. */
	applyList(listing: Listing<BackendServer>, origin: string): void {
		if (listing.revision < this.#revision) {
			this.#logIgnored('list', listing.items.length, listing.revision, origin);
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

		for (const name of this.#servers.keys()) {
			if (!listed.has(name)) {
				this.#applyRemoval(name, undefined, origin);
			}
		}

		this.#setRevision(listing.revision, origin);
		this.#parts.onChange();
	}

	/** Applies changes up to a revision. */
	applyChanges(changes: Array<Change<BackendServer>>, revision: number, origin: string): void {
		if (revision < this.#revision) {
			if (changes.length > 0) {
				this.#logIgnored('changes', changes.length, revision, origin);
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
		this.#hasOutage = true;
	}

	/** Records that the source answers again; after a long silence (`wasSilent`) servers whose entries disappeared may still be running, even if no call failed. */
	recordRecovery(wasSilent: boolean): void {
		if (this.#hasOutage || wasSilent) {
			this.#hasOutage = false;
			this.#graceUntil = this.#parts.clock.readMonotonic() + reregistrationGrace;
		}
	}

	/** Lists the servers of a service that accept new requests. */
	list(service: ServiceName): BackendServer[] {
		this.#updateExpired();
		return [...this.#servers.values()]
			.filter(known => known.server.service === service && isUsable(known))
			.map(known => known.server);
	}

	/** Finds an incarnation that accepts new requests. */
	findUsableIncarnation(id: BackendServerId): BackendServer | undefined {
		this.#updateExpired();
		const known = this.#incarnations.get(id);
		return known !== undefined && isUsable(known) ? known.server : undefined;
	}

	/** Whether an incarnation is current, including one that accepts no new requests. */
	hasIncarnation(id: BackendServerId): boolean {
		return this.#incarnations.has(id);
	}

	/** Marks an incarnation as leaving for the rest of its life, also one that is not known yet; returns whether that is new. */
	markLeaving(id: BackendServerId, origin: string): boolean {
		if (!this.#leaving.add(id)) {
			return false;
		}

		const known = this.#incarnations.get(id);
		if (known !== undefined) {
			known.server = {...known.server, isLeaving: true};
			this.#logChange(known.server, origin);
			this.#parts.onChange();
		}

		return true;
	}

	/** Lists the current incarnations of a service that are leaving although their entries do not say so: other nodes cannot know it from the source. */
	listLeavingUnannounced(service: ServiceName): BackendServerId[] {
		return this.#leaving.list().filter(id => {
			const known = this.#incarnations.get(id);
			return known?.server.service === service && !known.isLeavingByEntry;
		});
	}

	/** Returns all servers for a node that knows an earlier revision; undefined when it is up to date. */
	takeSnapshot(known: number): ServersSnapshot | undefined {
		if (known >= this.#revision) {
			return undefined;
		}

		const now = this.#parts.clock.readMonotonic();
		const items = [...this.#servers.values()].map(({server, isOverwritten, forgetAt, doubtfulUntil}) => ({
			...server,
			...(isOverwritten && {isOverwritten}),
			...(forgetAt !== undefined && {forgetIn: forgetAt - now}),
			...(doubtfulUntil !== undefined && {doubtfulFor: doubtfulUntil - now}),
			...this.#describeCold(server.id),
		}));
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

		for (const [name, {server}] of this.#servers) {
			if (!listed.has(name) && server.entryRevision <= revision) {
				this.#remove(name, origin, 'another node reports that a backend server is gone');
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

		this.#graceUntil = this.#parts.clock.readMonotonic() + reregistrationGrace;
		this.#parts.logger.warn({
			event: 'source_restored', from: formatPosition(this.#revision), to: formatPosition(revision), origin,
		}, 'the source was restored from a copy; entries that it has lost are kept for a while');
		return true;
	}

	#applySnapshotItem({forgetIn, doubtfulFor, isOverwritten = false, ...server}: SnapshotServer, origin: string, isRestored: boolean): void {
		if (!this.#applyEntry(server, origin, isRestored)) {
			return;
		}

		// The other node may know more than the entry says.
		this.#parts.coldServers.applyReport(server.id, server.service, server.coldFor ?? 0);
		const now = this.#parts.clock.readMonotonic();
		const known = this.#servers.get(server.name)!;
		known.isOverwritten = isOverwritten;
		known.forgetAt = forgetIn === undefined ? undefined : now + forgetIn;
		known.doubtfulUntil = doubtfulFor === undefined ? known.doubtfulUntil : now + doubtfulFor;
	}

	#applyChange(change: Change<BackendServer>, revision: number, origin: string): void {
		const {name, item, revision: changedAt = revision} = change;
		if (change.isForeign) {
			this.#applyForeignEntry(name, changedAt, origin);
			return;
		}

		this.#foreignNames.delete(name);
		if (item === undefined) {
			this.#applyRemoval(name as BackendServerName, change.revision, origin);
		} else if (changedAt > this.#revision) {
			this.#applyEntry(item, origin);
		} else {
			// Another node's snapshot was newer; the entry must not bring back a server removed by it.
			this.#parts.logger.info({
				event: 'server_passed_over', server: item.id, changedAt: formatPosition(changedAt), serversRevision: formatPosition(this.#revision), origin,
			}, 'ignored an entry that is older than the known state');
		}
	}

	/** Records a foreign entry; a known server of that name gets no new requests. */
	#applyForeignEntry(name: string, changedAt: number, origin: string): void {
		this.#foreignNames.add(name);
		const known = this.#servers.get(name as BackendServerName);
		if (known !== undefined && !known.isOverwritten && changedAt >= known.server.entryRevision) {
			known.isOverwritten = true;
			this.#parts.logger.warn({
				event: 'server_overwritten', server: known.server.id, service: known.server.service, origin,
			}, 'another writer replaced the entry of a backend server; it gets no new requests until its own entry is back');
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
		if (isRestored && previous !== undefined && !isSameIncarnation && this.#gone.has(server.id)) {
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
		const doubtfulUntil = this.#findDoubt(server, known, isRestored);
		this.#put({
			server: {...dropColdTime(server), isLeaving}, isOverwritten: false, isLeavingByEntry: server.isLeaving, doubtfulUntil,
		});
		if (doubtfulUntil !== undefined) {
			this.#logDoubtful(server, origin, 'the restored source still has the entry of a backend server that has gone');
			return true;
		}

		this.#gone.delete(server.id);
		if (previous !== undefined && !isSameIncarnation) {
			this.#reportRestart(previous, server, origin);
		} else if (previous?.isLeaving !== isLeaving || known?.isOverwritten === true) {
			this.#logChange({...server, isLeaving}, origin);
		}

		return true;
	}

	/** Until when a server gets no new requests because the copy of a restored source has its entry although it had gone; undefined once the entry is written again. */
	#findDoubt(server: BackendServer, known: KnownServer | undefined, isRestored: boolean): number | undefined {
		if (isRestored && this.#gone.has(server.id)) {
			return this.#parts.clock.readMonotonic() + staleEntryLifetime;
		}

		const isSameEntry = known?.server.id === server.id && known.server.entryRevision === server.entryRevision;
		return isSameEntry ? known.doubtfulUntil : undefined;
	}

	#applyCold(server: BackendServer, previous: BackendServer | undefined): void {
		const isSameIncarnation = previous?.id === server.id;
		this.#parts.coldServers.applyEntry({
			server,
			isNew: !isSameIncarnation && !this.#gone.has(server.id),
			isFirstView: this.#revision === 0,
			isRepeated: isSameIncarnation && previous.entryRevision === server.entryRevision,
		});
	}

	/** Whether an entry only repeats what is known, as those of cold servers do every 1.2 s: it needs no new plans or announcements. */
	#isRefresh(item: SnapshotServer | undefined): boolean {
		const {coldServers} = this.#parts;
		const known = item === undefined ? undefined : this.#servers.get(item.name);
		if (item === undefined || known === undefined || !coldServers.isEnabled || !isUsable(known) || known.forgetAt !== undefined) {
			return false;
		}

		const {server} = known;
		const isCold = coldServers.computeColdLeft(item.id) > 0;
		return isCold === ((item.coldFor ?? 0) > 0) && item.isOverwritten !== true && item.forgetIn === undefined && item.doubtfulFor === undefined
			&& refreshedKeys.every(key => item[key] === server[key]);
	}

	#describeCold(id: BackendServerId): {coldFor?: number} {
		const coldFor = this.#parts.coldServers.computeColdLeft(id);
		return coldFor > 0 ? {coldFor} : {};
	}

	#logDoubtful({id, service}: BackendServer, origin: string, message: string): void {
		this.#parts.logger.info({
			event: 'server_doubtful', server: id, service, origin,
		}, message);
	}

	#logChange({id, service, address, isLeaving}: BackendServer, origin: string): void {
		// A node's first list adds all servers at once; a single log line gives their number instead.
		const level = this.#revision === 0 ? 'debug' : 'info';
		this.#parts.logger[level]({
			event: isLeaving ? 'server_leaving' : 'server_added', server: id, service, address, origin,
		}, 'a backend server changed');
	}

	#logIgnored(part: 'list' | 'changes', count: number, revision: number, origin: string): void {
		this.#parts.logger.info({
			event: 'servers_ignored', part, count, revision: formatPosition(revision), serversRevision: formatPosition(this.#revision), origin,
		}, 'ignored backend servers of a revision that is older than the known one');
	}

	#reportRestart(previous: BackendServer, server: BackendServer, origin: string): void {
		this.#parts.logger.info({
			event: 'server_restarted', server: server.id, before: previous.id, service: server.service, address: server.address, isLeaving: server.isLeaving, origin,
		}, 'a backend server has restarted; requests of its previous incarnation are lost');
		this.#parts.onRestart(previous);
	}

	#put(known: KnownServer): void {
		const {name, id} = known.server;
		const previous = this.#servers.get(name);
		if (previous !== undefined && previous.server.id !== id) {
			this.#incarnations.delete(previous.server.id);
			this.#parts.coldServers.remove(previous.server.id);
			this.#gone.add(previous.server.id);
		}

		this.#servers.set(name, known);
		this.#incarnations.set(id, known);
	}

	/** Removes a server, or schedules its removal in an outage. `revision` is that of the removed entry, if known; the removal of an earlier incarnation's entry is ignored. */
	#applyRemoval(name: BackendServerName, revision: number | undefined, origin: string): void {
		const known = this.#servers.get(name);
		if (known === undefined || known.forgetAt !== undefined || (revision !== undefined && revision < known.server.entryRevision)) {
			return;
		}

		const now = this.#parts.clock.readMonotonic();
		if (!this.#hasOutage && now >= this.#graceUntil) {
			this.#remove(name, origin, 'the entry of a backend server is gone');
			return;
		}

		known.forgetAt = Math.max(this.#graceUntil, now + reregistrationGrace);
		this.#logDoubtful(known.server, origin, 'the entry of a backend server is gone');
	}

	#updateExpired(): void {
		const now = this.#parts.clock.readMonotonic();
		for (const [name, known] of this.#servers) {
			if (known.forgetAt !== undefined && known.forgetAt <= now) {
				this.#remove(name, 'grace over', 'a backend server did not register again in time');
				this.#parts.onChange();
			} else if (known.doubtfulUntil !== undefined && known.doubtfulUntil <= now) {
				known.doubtfulUntil = undefined;
				this.#gone.delete(known.server.id);
				this.#logChange(known.server, 'grace over');
				this.#parts.onChange();
			}
		}
	}

	#remove(name: BackendServerName, origin: string, message: string): void {
		const {server} = this.#servers.get(name)!;
		this.#servers.delete(name);
		this.#incarnations.delete(server.id);
		this.#parts.coldServers.remove(server.id);
		this.#gone.add(server.id);
		this.#parts.logger.info({
			event: 'server_gone', server: server.id, service: server.service, origin,
		}, message);
	}

	#setRevision(revision: number, origin: string): void {
		if (this.#revision === 0) {
			this.#parts.logger.info({
				event: 'servers_known', servers: this.#servers.size, revision: formatPosition(revision), origin,
			}, 'received the backend servers for the first time');
		}

		this.#revision = revision;
	}
}

/** The time of an entry counts from when it was received, so it is kept as a deadline instead. */
function dropColdTime({coldFor, ...server}: BackendServer): BackendServer {
	return server;
}

function isUsable({server, isOverwritten, doubtfulUntil}: KnownServer): boolean {
	return !server.isLeaving && !isOverwritten && doubtfulUntil === undefined;
}

function formatState({server, isOverwritten, doubtfulUntil}: KnownServer): string {
	if (isOverwritten) {
		return '!';
	}

	if (doubtfulUntil !== undefined) {
		return '?';
	}

	return server.isLeaving ? '-' : '+';
}

/**
 * Drops removals of items that the same list of changes adds again later.
 *
 * Another node's snapshot may already hold the added entry, which is then ignored as old, so its removal must not be
 * applied either. Otherwise all twenty servers of a service were removed after an outage, and its calls failed for 26 s.
 */
function dropSupersededRemovals<Item>(changes: Array<Change<Item>>): Array<Change<Item>> {
	const lastUpdates = new Map(changes.flatMap(({name, item}, index) => item === undefined ? [] : [[name, index]]));
	return changes.filter(({name, item, isForeign}, index) => item !== undefined || isForeign === true || index > (lastUpdates.get(name) ?? -1));
}
