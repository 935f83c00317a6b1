/** Which node this one asks for the places of a service, kept while nothing changes. */
import type {Clock, ServiceName} from '../../common/index.js';
import type {Peer} from '../peers/peer-beat.js';
import type {Peers} from '../peers/peers.js';
import {chooseDecider} from './deciders.js';

/** How long a choice holds while nothing changes, in milliseconds: silence and slowness end without a sign. */
const chosenFor = 50;

/** `first` is the node that would decide if none were slow. */
type Choice = {revision: number; isReady: boolean; at: number; node: Peer; first: Peer};

/** The deciding nodes as this node sees them. It is asked several times a request, and orders a fleet of hundreds for it. */
export class DeciderChoice {
	readonly #clock: Clock;
	readonly #peers: Peers;
	readonly #self: () => Peer;
	readonly #choices = new Map<ServiceName, Choice>();

	constructor(clock: Clock, peers: Peers, self: () => Peer) {
		this.#clock = clock;
		this.#peers = peers;
		this.#self = self;
	}

	/** The node that decides once the present one is gone; undefined when there is no other. */
	findNext(service: ServiceName): Peer | undefined {
		const present = this.choose(service).name;
		return chooseDecider(service, this.#peers.listReady().filter(peer => peer.name !== present));
	}

	/** Every node finds the same one among the live nodes, unless one was slow to it lately. */
	choose(service: ServiceName): Peer {
		return this.#find(service).node;
	}

	/** Whether this node decides as far as all live nodes agree. Slow nodes pass each other over, and several may decide at a time. */
	isFirst(service: ServiceName): boolean {
		return this.#find(service).first.name === this.#self().name;
	}

	#find(service: ServiceName): Choice {
		const {revision} = this.#peers;
		const self = this.#self();
		const now = this.#clock.readMonotonic();
		const choice = this.#choices.get(service);
		if (choice?.revision === revision && choice.isReady === self.isReady && now - choice.at < chosenFor) {
			return choice;
		}

		const ready = this.#peers.listReady();
		const first = chooseDecider(service, ready) ?? self;
		const node = this.#peers.isSlow(first.name) ? chooseDecider(service, ready.filter(peer => !this.#peers.isSlow(peer.name))) ?? self : first;
		const found = {
			revision, isReady: self.isReady, at: now, node, first,
		};
		this.#choices.set(service, found);
		return found;
	}
}
