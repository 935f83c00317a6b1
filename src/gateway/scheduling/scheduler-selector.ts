/** Which node this one asks for the places of a service, kept while nothing changes. */
import type {Clock, ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {Peers} from '../peers/peers.js';
import {selectScheduler} from './select-scheduler.js';

/** How long a choice holds while nothing changes, in milliseconds: silence and slowness end without a sign. */
const selectionCacheTime = 50;

/** `first` is the node that would decide if none were slow. */
type Selection = {revision: number; isReady: boolean; selectedAt: number; node: Peer; preferred: Peer};

/** The deciding nodes as this node sees them. It is asked several times a request, and orders a fleet of hundreds for it. */
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

	/** The node that decides once the present one is gone; undefined when there is no other. */
	selectNext(service: ServiceName): Peer | undefined {
		const current = this.select(service).name;
		return selectScheduler(service, this.#peers.listReady().filter(peer => peer.name !== current));
	}

	/** Every node finds the same one among the live nodes, unless one was slow to it lately. */
	select(service: ServiceName): Peer {
		return this.#findSelection(service).node;
	}

	/** Whether this node decides as far as all live nodes agree. Slow nodes pass each other over, and several may decide at a time. */
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
			revision, isReady: self.isReady, selectedAt: now, node, preferred: preferred,
		};
		this.#selections.set(service, selection);
		return selection;
	}
}
