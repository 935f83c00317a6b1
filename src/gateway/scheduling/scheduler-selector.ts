/** Selects and caches the node that schedules the requests of a service; logs and the status page call it `decider`. */
import type {Clock, ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import {selectScheduler} from './select-scheduler.js';

/** Lifetime of a cached selection, in milliseconds: timeouts and the end of slowness do not change the revision of the peers. */
const selectionCacheTime = 50;

/** `preferred` is the node that would be selected if none were slow. */
type Selection = {revision: number; isReady: boolean; selectedAt: number; node: Peer; preferred: Peer};

/** Scheduling nodes of all services as selected by this node. Cached, as each request reads them several times and a fleet has hundreds of nodes. */
export class SchedulerSelector {
	readonly #clock: Clock;
	readonly #peers: Peers;
	readonly #self: () => Peer;
	readonly #selections = new Map<ServiceName, Selection>();

	constructor(clock: Clock, peers: Peers, self: () => Peer) {
		this.#clock = clock;
		this.#peers = peers;
		this.#self = self;
	}

	/** Selects the node that takes over if the current one fails; undefined if there is no other. */
	selectNext(service: ServiceName): Peer | undefined {
		const current = this.select(service).name;
		return selectScheduler(service, this.#peers.listReady().filter(peer => peer.name !== current));
	}

	/** Selects the scheduling node. All nodes select the same one unless they mark different nodes as slow. */
	select(service: ServiceName): Peer {
		return this.#findSelection(service).node;
	}

	/** Selects the scheduling node, also while it is slow. */
	selectPreferred(service: ServiceName): Peer {
		return this.#findSelection(service).preferred;
	}

	/** Whether this node is the scheduling node when slowness is ignored. Nodes that mark each other as slow may each select themselves; only one is preferred. */
	isPreferred(service: ServiceName): boolean {
		return this.#findSelection(service).preferred.name === this.#self().name;
	}

	#findSelection(service: ServiceName): Selection {
		const {revision} = this.#peers;
		const self = this.#self();
		const now = this.#clock.readMonotonic();
		const cached = this.#selections.get(service);
		if (cached?.revision === revision && cached.isReady === self.isReady && now - cached.selectedAt < selectionCacheTime) {
			return cached;
		}

		const ready = this.#peers.listReady();
		const preferred = selectScheduler(service, ready) ?? self;
		const node = this.#peers.isSlow(preferred.name) ? selectScheduler(service, ready.filter(peer => !this.#peers.isSlow(peer.name))) ?? self : preferred;
		const selection = {
			revision, isReady: self.isReady, selectedAt: now, node, preferred,
		};
		this.#selections.set(service, selection);
		return selection;
	}
}
