/**
 * Status of a node for operators: scheduling nodes, live nodes, versions and the work on each server.
 *
 * It is read from memory without calls to other nodes, bounded in size and cached, so that
 * polling it cannot slow down the serving of calls.
 */
import type {AvailabilityZone, BoxId, Clock} from '../common/index.js';
import type {
	EvacuatedZone, FailedLinkReport, FleetState, FollowedKind,
} from '../routing/index.js';
import type {LinkMonitor} from './links/index.js';
import type {ServiceWork, FleetPlacer} from './scheduling/index.js';
import type {Peer, Peers, PeerView} from './peers/index.js';

/** Path of the status on the metrics listener. */
export const statusPath = '/status';

/** Time for which a status is cached, in milliseconds. */
const cacheTime = 250;

/** Maximum number of nodes, of services, and of servers over all services that are listed: a few hundred kilobytes. */
const maxNodes = 400;
const maxServices = 64;
const maxServers = 512;

/** Status of one node, this or another. */
export type NodeSummary = {
	name: BoxId;
	life: string;
	availabilityZone: AvailabilityZone;
	isReady: boolean;
	isSourceReachable: boolean;
	/** Versions from its last heartbeat. */
	configVersion?: number;
	serversRevision?: number;
};

/** Status of a node; `omitted` counts entries over the maximum. */
export type NodeStatus = {
	node: NodeSummary;
	phase: 'starting' | 'ready' | 'stopping';
	isWatcher: boolean;
	isSourceOut: boolean;
	/** Milliseconds since the source last answered: this node, if it watches it, and any node in the fleet. */
	sources: Array<{items: FollowedKind; heardHere?: number; heardByAny?: number}>;
	/** Calls in progress at this node. */
	calls: number;
	servers: {usable: number; foreign: number};
	/** Links of this node to servers: for how long it has reached none, in milliseconds, and those that have failed. */
	links: {isolatedFor?: number; failed: FailedLinkReport[]};
	/** Evacuated zones; undefined where they are not followed, or not known yet. */
	evacuations?: EvacuatedZone[];
	services: ServiceWork[];
	nodes: {live: number; known: number; listed: NodeSummary[]};
	omitted: {services: number; nodes: number};
};

/** Dependencies of the status reader. */
export type StatusParts = {
	clock: Clock;
	state: FleetState;
	peers: Peers;
	placer: FleetPlacer;
	self: () => Peer;
	isStopping: () => boolean;
	isWatcher: () => boolean;
	countCalls: () => number;
	monitor: LinkMonitor;
};

/** Builds and caches the status of this node. */
export class StatusReader {
	readonly #parts: StatusParts;
	/** Last announced view by box; a restarted box replaces its own entry. */
	readonly #views = new Map<BoxId, PeerView>();
	#text = '';
	#readAt = -Infinity;

	constructor(parts: StatusParts) {
		this.#parts = parts;
	}

	/** Records the view that another node announces. */
	recordView({name}: Peer, view: PeerView): void {
		this.#views.set(name, view);
	}

	/** Status of the node as JSON. */
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
			state, peers, isStopping, isWatcher, countCalls, monitor,
		} = this.#parts;
		const live = peers.listLive();
		const services = state.table?.config.services ?? [];
		this.#pruneViews(new Set(live.map(peer => peer.name)));
		return {
			node: this.#describeSelf(),
			phase: isStopping() ? 'stopping' : (state.isUsable ? 'ready' : 'starting'),
			isWatcher: isWatcher(),
			isSourceOut: state.hasSourceOutage,
			sources: state.followedKinds.map(items => ({
				items, heardHere: isWatcher() ? state.sourceAgeTracker.measureLocalAge(items) : undefined, heardByAny: state.sourceAgeTracker.measureFleetAge(items),
			})),
			calls: countCalls(),
			servers: {usable: state.usableServers, foreign: state.foreignCount},
			links: {isolatedFor: monitor.measureIsolation(), failed: monitor.describe(maxServers)},
			evacuations: state.evacuations?.isKnown === true ? state.evacuations.list() : undefined,
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
