/** Chooses the nodes that forward requests to servers that this node does not reach. */
import type {AvailabilityZone, BoxId, Clock} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';
import type {RelayOutcome, UnsentOutcome} from './relay-wire.js';

/** Maximum number of nodes that one request asks. */
export const maxRelays = 4;

/** Time for which a node that did not forward a request is asked last, in milliseconds. */
const avoidTime = 1000;

/** Dependencies of the choice. */
export type RelayPeersParts = {
	clock: Clock;
	listLive: () => Peer[];
	/** Uniform random numbers from 0 up to 1. */
	random: () => number;
};

/** Nodes that may forward requests. */
export class RelayPeers {
	readonly #parts: RelayPeersParts;
	readonly #avoidedUntil = new Map<BoxId, number>();

	constructor(parts: RelayPeersParts) {
		this.#parts = parts;
	}

	/** Whether there is any node that may forward requests. */
	get isAvailable(): boolean {
		return this.#parts.listLive().some(({isReady}) => isReady);
	}

	/** Lists nodes to ask in order: those that have not failed lately, and of these first those in the zone of the server. */
	list(zone: AvailabilityZone): Peer[] {
		const {clock, listLive, random} = this.#parts;
		const now = clock.readMonotonic();
		const ranked = listLive().filter(({isReady}) => isReady).map(peer => ({
			peer, isAvoided: (this.#avoidedUntil.get(peer.name) ?? 0) > now, isNear: peer.availabilityZone === zone, rank: random(),
		}));
		ranked.sort((left, right) => Number(left.isAvoided) - Number(right.isAvoided) || Number(right.isNear) - Number(left.isNear) || left.rank - right.rank);
		return ranked.slice(0, maxRelays).map(({peer}) => peer);
	}

	/** Records what became of a request that a node was to forward. */
	record(name: BoxId, outcome: RelayOutcome | UnsentOutcome): void {
		if (outcome === 'cut' || outcome === 'unconnected' || outcome === 'declined') {
			this.#avoidedUntil.set(name, this.#parts.clock.readMonotonic() + avoidTime);
		} else if (outcome === 'answered') {
			this.#avoidedUntil.delete(name);
		}
	}
}
