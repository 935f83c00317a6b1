/**
 * Fetches one part of the view from peers that are ahead, until this node has caught up.
 *
 * Requests are hedged: when one stalls, another is sent on a connection of its own, and the first to receive data
 * cancels the rest. An answer that arrives slowly is progress and is not hedged.
 */
import {waitFor, type BoxId, type Clock} from '../../common/index.js';
import type {Peer, PeerView} from '../peers/heartbeat.js';
import type {SingleCall} from '../peers/peer-rpc.js';

/** Minimum time between two requests, in milliseconds: batches changes in quick succession, and a few hops through the fleet still meet the time limit for a change. */
const defaultMinInterval = 100;

/**
 * Time without data after which a request is hedged, in milliseconds.
 *
 * Doubles with each pending request, since on a congested link repeated requests lengthen the queue of answers.
 * Two unresponsive peers in a row cost 300 ms.
 */
const firstHedgeDelay = 100;
const hedgeDelayGrowth = 2;

/** Time without data after the start of an answer after which the request is hedged, in milliseconds: TCP retransmits a lost segment after 200 ms. */
const streamStallDelay = 250;

/** Time without data after which a request is aborted, in milliseconds: longer than the answers to a hundred other nodes can delay the first data on a link of 14 Mbit/s. */
const requestIdleTimeout = 2000;

/** Maximum number of pending requests: more would compete for a slow link. */
const maxPending = 4;

/** Maximum number of pending requests to one peer: a second one gets round a broken connection; if that stalls too, the peer itself is at fault. */
const maxPendingPerNode = 2;

/** Dependencies of a view fetcher. */
export type ViewFetcherParts = {
	clock: Clock;
	/** Whether a peer with this view has a newer version of the part. */
	isAhead: (view: PeerView) => boolean;
	/** Requests the part from a peer and applies the answer. */
	ask: (peer: Peer, request: ViewRequest) => Promise<void>;
	/** Called once for each request that stalls, with the time without data in milliseconds. */
	onStalled: (node: BoxId, silentFor: number) => void;
};

/** Options of one request. */
export type ViewRequest = Omit<SingleCall<unknown>, 'call'>;

/** A request without a complete answer; it counts as stalled from `stallsAt` on unless data arrives before. */
type PendingRequest = {node: BoxId; progressAt: number; stallsAt: number; wasStalled: boolean; controller: AbortController};

/** A peer that is ahead; `wasRequested` since its last heartbeat. */
type AheadPeer = {peer: Peer; view: PeerView; wasRequested: boolean};

/** Keeps one part of the view up to date with the peers that are ahead. */
export class ViewFetcher {
	readonly #parts: ViewFetcherParts;
	/** In the order of the last heartbeat or request. */
	readonly #ahead = new Map<BoxId, AheadPeer>();
	readonly #pending = new Set<PendingRequest>();
	#minInterval = defaultMinInterval;
	#lastRequestAt = -Infinity;
	#wakeUp = new AbortController();
	#isCatchingUp = false;

	constructor(parts: ViewFetcherParts) {
		this.#parts = parts;
	}

	/** Peers with a pending request, once per request. */
	get pendingNodes(): BoxId[] {
		return [...this.#pending].map(request => request.node);
	}

	/** Handles a heartbeat: starts to catch up when the peer is ahead. `minInterval` is the minimum time between two requests, in milliseconds. */
	observe(peer: Peer, view: PeerView, minInterval = defaultMinInterval): void {
		this.#ahead.delete(peer.name);
		if (!this.#parts.isAhead(view)) {
			return;
		}

		this.#ahead.set(peer.name, {peer, view, wasRequested: false});
		this.#minInterval = minInterval;
		if (this.#isCatchingUp) {
			this.#wakeUp.abort();
		} else {
			void this.#catchUp();
		}
	}

	async #catchUp(): Promise<void> {
		this.#isCatchingUp = true;
		while (this.#isBehind()) {
			const next = this.#chooseNextPeer();
			const delay = this.#computeDelay();
			if (next !== undefined && delay <= 0) {
				void this.#sendRequest(next);
			} else if (next === undefined && this.#pending.size === 0) {
				break;
			} else {
				await this.#waitForWakeUp(delay > 0 ? delay : requestIdleTimeout);
				this.#detectStalls();
			}
		}

		this.#isCatchingUp = false;
		this.#abortOthers();
	}

	/** Whether a peer is ahead; removes those that no longer are. */
	#isBehind(): boolean {
		for (const [name, {view}] of this.#ahead) {
			if (!this.#parts.isAhead(view)) {
				this.#ahead.delete(name);
			}
		}

		return this.#ahead.size > 0;
	}

	/** Picks the peer with the latest heartbeat that has had no request since, otherwise a stalled one again; undefined when no further request may be sent. */
	#chooseNextPeer(): AheadPeer | undefined {
		if (this.#pending.size >= maxPending) {
			return undefined;
		}

		const available = [...this.#ahead.values()].filter(candidate => this.#countPending(candidate) < maxPendingPerNode);
		return available.findLast(candidate => !candidate.wasRequested) ?? (this.#pending.size === 0 ? undefined : available[0]);
	}

	#countPending({peer}: AheadPeer): number {
		return [...this.#pending].filter(request => request.node === peer.name).length;
	}

	/** Time until the next request may be sent and all pending ones have stalled, in milliseconds. */
	#computeDelay(): number {
		const stallTimes = [...this.#pending].map(request => request.stallsAt);
		return Math.max(...stallTimes, this.#lastRequestAt + this.#minInterval) - this.#now();
	}

	/** Waits; a request that ends or a heartbeat of a peer that is ahead ends the wait early. */
	async #waitForWakeUp(delay: number): Promise<void> {
		this.#wakeUp = new AbortController();
		await waitFor(this.#parts.clock, delay, this.#wakeUp.signal);
	}

	async #sendRequest(candidate: AheadPeer): Promise<void> {
		const {peer} = candidate;
		const now = this.#now();
		const request = {
			node: peer.name, progressAt: now, stallsAt: now + (firstHedgeDelay * (hedgeDelayGrowth ** this.#pending.size)), wasStalled: false, controller: new AbortController(),
		};
		candidate.wasRequested = true;
		this.#ahead.delete(peer.name);
		this.#ahead.set(peer.name, candidate);
		this.#lastRequestAt = now;
		this.#pending.add(request);
		await this.#parts.ask(peer, {
			longestSilence: requestIdleTimeout,
			signal: request.controller.signal,
			onData: () => {
				this.#abortOthers(request);
				request.progressAt = this.#now();
				request.stallsAt = request.progressAt + streamStallDelay;
			},
		});
		this.#pending.delete(request);
		this.#wakeUp.abort();
	}

	/** Aborts all requests but one: two answers in parallel take twice as long on a slow link. */
	#abortOthers(except?: PendingRequest): void {
		for (const request of this.#pending) {
			if (request !== except) {
				request.controller.abort();
			}
		}
	}

	#detectStalls(): void {
		const now = this.#now();
		for (const request of this.#pending) {
			if (request.stallsAt <= now && !request.wasStalled) {
				request.wasStalled = true;
				this.#parts.onStalled(request.node, Math.round(now - request.progressAt));
			}
		}
	}

	#now(): number {
		return this.#parts.clock.readMonotonic();
	}
}
