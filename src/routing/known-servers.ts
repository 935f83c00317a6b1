/** The current backend servers by name and by incarnation, and the incarnations that are gone. Pure except for the clock. */
import type {BackendServerId, BackendServerName, Clock} from '../common/index.js';
import type {ColdServers} from './cold-servers.js';
import {IncarnationSet} from './incarnation-set.js';
import type {BackendServer} from './model.js';

/** How long an incarnation that is gone is remembered, in milliseconds: a restored source is some seconds old. */
const goneRetention = 60_000;

/** A server and the state of its entry. */
export type KnownServer = {
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

/** Dependencies of the known servers. */
export type KnownServersParts = {coldServers: ColdServers; clock: Clock};

/** Known servers; there is one incarnation of each name. */
export class KnownServers {
	readonly #coldServers: ColdServers;
	readonly #byName = new Map<BackendServerName, KnownServer>();
	readonly #byIncarnation = new Map<BackendServerId, KnownServer>();
	/** Incarnations whose entry was removed or replaced. */
	readonly #gone: IncarnationSet;

	constructor({coldServers, clock}: KnownServersParts) {
		this.#coldServers = coldServers;
		this.#gone = new IncarnationSet(clock, goneRetention);
	}

	get size(): number {
		return this.#byName.size;
	}

	/** Iterates over the servers themselves, not over a copy: those that are removed meanwhile are left out. */
	[Symbol.iterator](): Iterator<KnownServer> {
		return this.#byName.values();
	}

	get(name: BackendServerName): KnownServer | undefined {
		return this.#byName.get(name);
	}

	findIncarnation(id: BackendServerId): KnownServer | undefined {
		return this.#byIncarnation.get(id);
	}

	/** Adds a server, or replaces the one of its name; the previous incarnation is gone then. */
	put(known: KnownServer): void {
		const {name, id} = known.server;
		const previous = this.#byName.get(name);
		if (previous !== undefined && previous.server.id !== id) {
			this.#recordGone(previous.server.id);
		}

		this.#byName.set(name, known);
		this.#byIncarnation.set(id, known);
	}

	/** Removes a server. */
	remove({name, id}: BackendServer): void {
		this.#byName.delete(name);
		this.#recordGone(id);
	}

	/** Whether an incarnation has been removed or replaced. */
	isGone(id: BackendServerId): boolean {
		return this.#gone.has(id);
	}

	/** Stops regarding an incarnation as gone: its entry is known to be its own again. */
	clearGone(id: BackendServerId): void {
		this.#gone.delete(id);
	}

	#recordGone(id: BackendServerId): void {
		this.#byIncarnation.delete(id);
		this.#coldServers.remove(id);
		this.#gone.add(id);
	}
}

/** Drops the time for which a server is cold from its entry: it counts from when the entry was received, so it is kept as a deadline instead. */
export function dropColdTime({coldFor, ...server}: BackendServer): BackendServer {
	return server;
}

/** Whether a server accepts new requests. */
export function isUsable({server, isOverwritten, doubtfulUntil}: KnownServer): boolean {
	return !server.isLeaving && !isOverwritten && doubtfulUntil === undefined;
}

/** Formats servers as a string that is equal for equal servers in equal states. */
export function formatServers(servers: Iterable<KnownServer>): string {
	return [...servers].map(known => `${known.server.id}${formatState(known)}`).sort().join(',');
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
