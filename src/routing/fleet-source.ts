/** Where a gateway's configuration and backend servers come from. */
import type {Either} from 'purify-ts';
import type {BackendServer, RoutingConfig} from './model.js';

/** Why a source did not answer. */
export type SourceFailure = {
	/**
	 * - `unreachable`: no answer, or a refusal; ask again later.
	 * - `history_lost`: the revision asked from is too old; list again.
	 */
	kind: 'unreachable' | 'history_lost';
	message: string;
};

/** Everything of one kind at one revision. */
export type Listing<Item> = {
	items: Item[];
	revision: number;
	/** Names under which somebody else has written: nothing to use stands there. */
	foreign?: string[];
};

/** A change of one item; `item` is undefined for one that is gone, or where another writer's entry stands now. */
export type Change<Item> = {
	name: string;
	item: Item | undefined;
	/** Revision of the entry, where the source tells it. */
	revision?: number;
	/** Whether an entry of another writer stands there, which names nothing to use. */
	isForeign?: boolean;
};

/** Changes since a revision, oldest first. */
export type Changes<Item> = {changes: Array<Change<Item>>; revision: number};

/** A call that waits for changes; times in milliseconds. */
export type FollowCall = {
	/** Revision after which changes count. */
	revision: number;
	/** How long the source waits for a change. */
	wait: number;
};

/** How a call is made. It has no time limit of its own: whoever calls waits for a slow answer, and knows when nobody wants it any more. */
export type SourceCall = {
	/** Fires when nobody wants the answer. */
	signal: AbortSignal;
	/** Whether calls before it have no answer: their connections may be silent, so that it takes another one. */
	isOnNewConnection: boolean;
	/** Called with each part of the answer. */
	onData: () => void;
};

/** One kind of item that can be listed and followed. */
export abstract class ItemSource<Item> {
	/** Reads everything. */
	abstract list(call: SourceCall): Promise<Either<SourceFailure, Listing<Item>>>;

	/** Waits for changes; comes back empty when there are none in time, with a failure when it was broken off or refused. */
	abstract follow(follow: FollowCall, call: SourceCall): Promise<Either<SourceFailure, Changes<Item>>>;
}

/** A node's registration: enough for other nodes to reach it. */
export type NodeRegistration = {name: string; peerAddress: string};

/** Everything a gateway reads from, and the one thing it writes to, outside of itself. */
export abstract class FleetSource {
	abstract readonly configurations: ItemSource<RoutingConfig>;
	abstract readonly servers: ItemSource<BackendServer>;

	/** Registers a node, replacing what stands under its name. */
	abstract register(node: NodeRegistration, call: SourceCall): Promise<Either<SourceFailure, void>>;

	/** Lists the registered nodes; some may be gone. */
	abstract listNodes(call: SourceCall): Promise<Either<SourceFailure, NodeRegistration[]>>;

	/** Closes all connections. */
	abstract close(): Promise<void>;
}
