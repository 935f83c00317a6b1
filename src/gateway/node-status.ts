/**
 * How a node stands, for operators: who decides, who lives, which versions, what runs where.
 *
 * It reads what is in memory and asks nobody, is bounded in size, and is made anew a few
 * times a second at most: who asks for it in a loop must not hold up those who are served.
 */
import type {AvailabilityZone, BoxId, Clock} from '../common/index.js';
import {followedKinds, type FleetState, type FollowedKind} from '../routing/index.js';
import type {ServiceWork, FleetPlacer} from './scheduling/index.js';
import type {Peer, Peers, PeerView} from './peers/index.js';

/** Path of the page, on the metrics listener. */
export const statusPath = '/status';

/** How long one reading is told, in milliseconds. */
const cacheTime = 250;

/** Most nodes, services and servers of all services that are told one by one: some hundred kilobytes. */
const maxNodes = 400;
const maxServices = 64;
const maxServers = 512;

/** Another node, or this one. */
export type NodeSummary = {
	name: BoxId;
	life: string;
	availabilityZone: AvailabilityZone;
	isReady: boolean;
	isSourceReachable: boolean;
	/** What it told last. */
	configVersion?: number;
	serversRevision?: number;
};

/** How a node stands. `omitted` counts what did not fit. */
export type NodeStatus = {
	node: NodeSummary;
	phase: 'starting' | 'ready' | 'stopping';
	isWatcher: boolean;
	isSourceOut: boolean;
	/** Milliseconds since the source was heard: by this node where it follows it, and by any node it knows of. */
	sources: Array<{items: FollowedKind; heardHere?: number; heardByAny?: number}>;
	/** Calls in progress at this node. */
	calls: number;
	servers: {usable: number; foreign: number};
	services: ServiceWork[];
	nodes: {live: number; known: number; listed: NodeSummary[]};
	omitted: {services: number; nodes: number};
};

/** What is read. */
export type StatusParts = {
	clock: Clock;
	state: FleetState;
	peers: Peers;
	placer: FleetPlacer;
	self: () => Peer;
	isStopping: () => boolean;
	isWatcher: () => boolean;
	countCalls: () => number;
};

/** Reads how this node stands. */
export class StatusReader {
	readonly #parts: StatusParts;
	/** The view that each box told last; a box that starts again takes its own place. */
	readonly #views = new Map<BoxId, PeerView>();
	#text = '';
	#readAt = -Infinity;

	constructor(parts: StatusParts) {
		this.#parts = parts;
	}

	/** Notes how new the view of another node is. */
	recordView({name}: Peer, view: PeerView): void {
		this.#views.set(name, view);
	}

	/** How the node stands, as JSON. */
	formatText(): string {
		const now = this.#parts.clock.readMonotonic();
		if (now - this.#readAt >= cacheTime) {
			this.#text = JSON.stringify(this.#read());
			this.#readAt = now;
		}

		return this.#text;
	}

	#read(): NodeStatus {
		const {
			state, peers, isStopping, isWatcher, countCalls,
		} = this.#parts;
		const live = peers.listLive();
		const services = state.table?.config.services ?? [];
		this.#pruneViews(new Set(live.map(peer => peer.name)));
		return {
			node: this.#describeSelf(),
			phase: isStopping() ? 'stopping' : (state.isUsable ? 'ready' : 'starting'),
			isWatcher: isWatcher(),
			isSourceOut: state.hasSourceOutage,
			sources: followedKinds.map(items => ({
				items, heardHere: isWatcher() ? state.sourceAgeTracker.measureLocalAge(items) : undefined, heardByAny: state.sourceAgeTracker.measureFleetAge(items),
			})),
			calls: countCalls(),
			servers: {usable: state.usableServers, foreign: state.foreignCount},
			services: this.#describeServices(services.slice(0, maxServices).map(service => service.name)),
			nodes: {live: live.length + 1, known: peers.countKnown() + 1, listed: live.slice(0, maxNodes).map(peer => describePeer(peer, this.#views.get(peer.name)))},
			omitted: {services: Math.max(0, services.length - maxServices), nodes: Math.max(0, live.length - maxNodes)},
		};
	}

	#describeSelf(): NodeSummary {
		const {configVersion, serversRevision} = this.#parts.state;
		return describePeer(this.#parts.self(), {configVersion, serversRevision});
	}

	#describeServices(names: Array<ServiceWork['service']>): ServiceWork[] {
		let remaining = maxServers;
		return names.map(name => {
			const described = this.#parts.placer.describe(name, remaining);
			remaining -= described.servers.length;
			return described;
		});
	}

	#pruneViews(live: ReadonlySet<BoxId>): void {
		for (const name of this.#views.keys()) {
			if (!live.has(name)) {
				this.#views.delete(name);
			}
		}
	}
}

function describePeer(peer: Peer, view: Pick<PeerView, 'configVersion' | 'serversRevision'> | undefined): NodeSummary {
	const {
		name, life, availabilityZone, isReady, isSourceReachable,
	} = peer;
	return {
		name, life, availabilityZone, isReady, isSourceReachable, configVersion: view?.configVersion, serversRevision: view?.serversRevision,
	};
}
