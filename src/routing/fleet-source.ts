/** The interface to the external store that provides the configuration and the backend servers. */
import type {Either} from 'purify-ts';
import type {BackendServer, RoutingConfig, ZoneEvacuation} from './model.js';

/** Why a call to the source failed. */
export type SourceFailure = {
	/**
	 * - `unreachable`: no answer, or an error; retry later.
	 * - `history_lost`: the requested revision is older than the source's history, or belongs to one that was replaced by a copy; list again.
	 */
	kind: 'unreachable' | 'history_lost';
	message: string;
};

/** All items of one kind at one revision; revisions are positions (`createPosition`), which rise even when the source is restored from a copy. */
export type Listing<Item> = {
	items: Item[];
	revision: number;
	/** Names of foreign entries: another writer wrote them, and they cannot be decoded as an item. */
	foreign?: string[];
};

/** A change of one item; `item` is undefined when the entry was removed or is now foreign. */
export type Change<Item> = {
	name: string;
	item: Item | undefined;
	/** Revision of the entry, if the source provides it. */
	revision?: number;
	/** Whether the entry is foreign: written by another writer, and not decodable as an item. */
	isForeign?: boolean;
};

/** Changes since a revision, oldest first. */
export type Changes<Item> = {changes: Array<Change<Item>>; revision: number};

/** Parameters of a long poll for changes; times in milliseconds. */
export type FollowCall = {
	/** Only changes after this revision are returned. */
	revision: number;
	/** How long the source may hold the call until there is a change. */
	wait: number;
};

/** Options of one call. Calls have no timeout of their own, so that a slow answer still counts; the caller aborts those that are no longer needed. */
export type SourceCall = {
	/** Aborts the call when its answer is no longer needed. */
	signal: AbortSignal;
	/** Whether to open a new connection: existing ones may be dead without a reset when earlier calls were not answered. */
	isOnNewConnection: boolean;
	/** Called for each received part of the answer. */
	onData: () => void;
};

/** One kind of item that can be listed and followed by long polling. */
export abstract class ItemSource<Item> {
	/** Reads all items. */
	abstract list(call: SourceCall): Promise<Either<SourceFailure, Listing<Item>>>;

	/** Waits for changes; returns none when the wait elapses, and a failure when the call was aborted or rejected. */
	abstract follow(follow: FollowCall, call: SourceCall): Promise<Either<SourceFailure, Changes<Item>>>;
}

/** A node's registration: what other nodes need to reach it. */
export type NodeRegistration = {name: string; peerAddress: string};

/** The external store: gateways read configurations, servers and nodes from it, and write only their own registration. */
export abstract class FleetSource {
	abstract readonly configurations: ItemSource<RoutingConfig>;
	abstract readonly servers: ItemSource<BackendServer>;
	/** Followed only where the settings ask for it. */
	abstract readonly evacuations: ItemSource<ZoneEvacuation>;

	/** Registers a node, replacing an existing entry of that name. */
	abstract register(node: NodeRegistration, call: SourceCall): Promise<Either<SourceFailure, void>>;

	/** Lists the registered nodes; some may have stopped since. */
	abstract listNodes(call: SourceCall): Promise<Either<SourceFailure, NodeRegistration[]>>;

	/** Closes all connections. */
	abstract close(): Promise<void>;
}
