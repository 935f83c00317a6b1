/** Log lines about changes of the backend servers. */
import type {Logger} from '../common/index.js';
import type {BackendServer} from './model.js';
import {formatPosition} from './source-position.js';

/** Dependencies of the log. */
export type ServerLogParts = {
	logger: Logger;
	/** Reads the revision up to which changes are known; 0 before the first list. */
	readRevision: () => number;
};

/** A list or changes that are ignored. */
export type IgnoredServers = {part: 'list' | 'changes'; count: number; revision: number};

/** Logs what happens to servers; `origin` says from where the node knows it. */
export class ServerLog {
	readonly #parts: ServerLogParts;

	constructor(parts: ServerLogParts) {
		this.#parts = parts;
	}

	/** Logs that a server was added or is leaving. */
	logChange({id, service, address, isLeaving}: BackendServer, origin: string): void {
		// A node's first list adds all servers at once; a single log line gives their number instead.
		const level = this.#parts.readRevision() === 0 ? 'debug' : 'info';
		this.#parts.logger[level]({
			event: isLeaving ? 'server_leaving' : 'server_added', server: id, service, address, origin,
		}, 'a backend server changed');
	}

	/** Logs that a server may be gone, for the reason in `message`. */
	logDoubtful({id, service}: BackendServer, origin: string, message: string): void {
		this.#parts.logger.info({
			event: 'server_doubtful', server: id, service, origin,
		}, message);
	}

	/** Logs that a server was removed, for the reason in `message`. */
	logGone({id, service}: BackendServer, origin: string, message: string): void {
		this.#parts.logger.info({
			event: 'server_gone', server: id, service, origin,
		}, message);
	}

	/** Logs that a new incarnation replaced the previous one. */
	logRestart(previous: BackendServer, server: BackendServer, origin: string): void {
		this.#parts.logger.info({
			event: 'server_restarted', server: server.id, before: previous.id, service: server.service, address: server.address, isLeaving: server.isLeaving, origin,
		}, 'a backend server has restarted; requests of its previous incarnation are lost');
	}

	/** Logs that a foreign entry replaced that of a server. */
	logOverwritten({id, service}: BackendServer, origin: string): void {
		this.#parts.logger.warn({
			event: 'server_overwritten', server: id, service, origin,
		}, 'another writer replaced the entry of a backend server; it gets no new requests until its own entry is back');
	}

	/** Logs that an entry was ignored. */
	logPassedOver({id}: BackendServer, changedAt: number, origin: string): void {
		this.#parts.logger.info({
			event: 'server_passed_over', server: id, changedAt: formatPosition(changedAt), serversRevision: this.#formatRevision(), origin,
		}, 'ignored an entry that is older than the known state');
	}

	/** Logs that a list or changes were ignored. */
	logIgnored({part, count, revision}: IgnoredServers, origin: string): void {
		this.#parts.logger.info({
			event: 'servers_ignored', part, count, revision: formatPosition(revision), serversRevision: this.#formatRevision(), origin,
		}, 'ignored backend servers of a revision that is older than the known one');
	}

	/** Logs that the servers are known for the first time. */
	logKnown(servers: number, revision: number, origin: string): void {
		this.#parts.logger.info({
			event: 'servers_known', servers, revision: formatPosition(revision), origin,
		}, 'received the backend servers for the first time');
	}

	/** Logs that the source was restored from a copy. */
	logRestored(revision: number, origin: string): void {
		this.#parts.logger.warn({
			event: 'source_restored', from: this.#formatRevision(), to: formatPosition(revision), origin,
		}, 'the source was restored from a copy; entries that it has lost are kept for a while');
	}

	#formatRevision(): number | string {
		return formatPosition(this.#parts.readRevision());
	}
}
