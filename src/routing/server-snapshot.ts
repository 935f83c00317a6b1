/** Snapshots of the backend servers, as nodes send them to each other. Pure. */
import type {KnownServer} from './known-servers.js';
import type {BackendServer} from './model.js';

/**
 * A server in a snapshot; times in milliseconds.
 *
 * `forgetIn` is the time until its removal, if its entry disappeared in an outage; `doubtfulFor` is the time for which it gets no new requests.
 */
export type SnapshotServer = BackendServer & {isOverwritten?: boolean; forgetIn?: number; doubtfulFor?: number};

/** All servers at a revision, as nodes send them to each other. */
export type ServersSnapshot = {revision: number; items: SnapshotServer[]};

/** Describes a server for another node; `coldFor` is the time for which it is still cold, 0 for a warm one. */
export function describeServer({server, isOverwritten, forgetAt, doubtfulUntil}: KnownServer, coldFor: number, now: number): SnapshotServer {
	return {
		...server,
		...(isOverwritten && {isOverwritten}),
		...(forgetAt !== undefined && {forgetIn: forgetAt - now}),
		...(doubtfulUntil !== undefined && {doubtfulFor: doubtfulUntil - now}),
		...(coldFor > 0 && {coldFor}),
	};
}

/** Drops the state of a server from a snapshot's item, so that its entry remains. */
export function dropSnapshotState({forgetIn, doubtfulFor, isOverwritten, ...server}: SnapshotServer): BackendServer {
	return server;
}

/** Sets the state of a server to that of another node's snapshot; a doubt that the snapshot lacks remains. */
export function applySnapshotState(known: KnownServer, {forgetIn, doubtfulFor, isOverwritten = false}: SnapshotServer, now: number): void {
	known.isOverwritten = isOverwritten;
	known.forgetAt = forgetIn === undefined ? undefined : now + forgetIn;
	known.doubtfulUntil = doubtfulFor === undefined ? known.doubtfulUntil : now + doubtfulFor;
}
