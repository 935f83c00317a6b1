/**
 * Questions for one part of the view, put to nodes that are ahead until this one has caught up.
 *
 * A node that is silent is not waited for: another one is asked beside it, on a connection of its own, and whichever
 * is heard first ends the other questions. An answer that comes slowly is progress, and nothing more is asked.
 */
import {waitFor, type BoxId, type Clock} from '../../common/index.js';
import type {Peer, PeerView} from '../peers/heartbeat.js';
import type {SingleCall} from '../peers/peer-rpc.js';

/** Least time between two questions, in milliseconds: changes that follow each other closely come together, and a few such pauses on the way through the fleet stay within the bound for a change. */
const defaultMinInterval = 100;

/**
 * Silence of a question after which another one is put, in milliseconds.
 *
 * It doubles with each one that is under way: on a link on which answers queue, questions that are put again make the queue
 * longer. Two nodes that are asked in vain one after the other cost 300 ms.
 */
const firstHedgeDelay = 100;
const hedgeDelayGrowth = 2;

/** Silence between two parts of an answer after which another question is put, in milliseconds: a segment that is lost is sent again after 200 ms. */
const streamStallDelay = 250;

/** Silence after which a question is given up, in milliseconds: longer than the answers to a hundred others take on a link of 14 Mbit/s to make way for the first part. */
const requestIdleTimeout = 2000;

/** Questions under way at most: more would share a narrow link among themselves. */
const maxPending = 4;

/** Questions under way to one node at most: its connection may be silent, and the next one too seldom; else the node is. */
const maxPendingPerNode = 2;

/** How one part of the view is asked for. */
export type ViewFetcherParts = {
	clock: Clock;
	/** Whether a node with this view knows more of the part than this one. */
	isAhead: (view: PeerView) => boolean;
	/** Asks a node, and takes what it answers. */
	ask: (peer: Peer, question: ViewRequest) => Promise<void>;
	/** Called once for a question that has been silent for so many milliseconds that another one is put. */
	onStalled: (node: BoxId, silentFor: number) => void;
};

/** How one question is put. */
export type ViewRequest = Omit<SingleCall<unknown>, 'call'>;

/** `silentAt`: when another one is put unless a part of the answer comes before. */
type PendingRequest = {node: BoxId; progressAt: number; stallsAt: number; wasStalled: boolean; controller: AbortController};

/** A node that is ahead; `isAsked`: since it was last heard. */
type AheadPeer = {peer: Peer; view: PeerView; wasRequested: boolean};

/** Questions for one part of the view. */
export class ViewFetcher {
	readonly #parts: ViewFetcherParts;
	/** In the order in which they were last heard or asked. */
	readonly #ahead = new Map<BoxId, AheadPeer>();
	readonly #pending = new Set<PendingRequest>();
	#minInterval = defaultMinInterval;
	#lastRequestAt = -Infinity;
	#wakeUp = new AbortController();
	#isCatchingUp = false;

	constructor(parts: ViewFetcherParts) {
		this.#parts = parts;
	}

	/** Nodes that are asked at the moment. */
	get pendingNodes(): BoxId[] {
		return [...this.#pending].map(question => question.node);
	}

	/** Takes a heartbeat: when its node is ahead, this one catches up; `pause` is the least time between two questions, in milliseconds. */
	observe(peer: Peer, view: PeerView, pause = defaultMinInterval): void {
		this.#ahead.delete(peer.name);
		if (!this.#parts.isAhead(view)) {
			return;
		}

		this.#ahead.set(peer.name, {peer, view, wasRequested: false});
		this.#minInterval = pause;
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

	/** Whether a node is ahead; forgets those that are not any more. */
	#isBehind(): boolean {
		for (const [name, {view}] of this.#ahead) {
			if (!this.#parts.isAhead(view)) {
				this.#ahead.delete(name);
			}
		}

		return this.#ahead.size > 0;
	}

	/** Whom to ask next: whoever was heard last and was not asked since, or once more who is silent; undefined when it is enough. */
	#chooseNextPeer(): AheadPeer | undefined {
		if (this.#pending.size >= maxPending) {
			return undefined;
		}

		const known = [...this.#ahead.values()].filter(node => this.#countPending(node) < maxPendingPerNode);
		return known.findLast(node => !node.wasRequested) ?? (this.#pending.size === 0 ? undefined : known[0]);
	}

	#countPending({peer}: AheadPeer): number {
		return [...this.#pending].filter(question => question.node === peer.name).length;
	}

	/** Time until the next question, or until those under way are silent, in milliseconds. */
	#computeDelay(): number {
		const silentAt = [...this.#pending].map(question => question.stallsAt);
		return Math.max(...silentAt, this.#lastRequestAt + this.#minInterval) - this.#now();
	}

	/** Waits, until a question ends or a node that is ahead is heard at the latest. */
	async #waitForWakeUp(delay: number): Promise<void> {
		this.#wakeUp = new AbortController();
		await waitFor(this.#parts.clock, delay, this.#wakeUp.signal);
	}

	async #sendRequest(node: AheadPeer): Promise<void> {
		const {peer} = node;
		const now = this.#now();
		const question = {
			node: peer.name, progressAt: now, stallsAt: now + (firstHedgeDelay * (hedgeDelayGrowth ** this.#pending.size)), wasStalled: false, controller: new AbortController(),
		};
		node.wasRequested = true;
		this.#ahead.delete(peer.name);
		this.#ahead.set(peer.name, node);
		this.#lastRequestAt = now;
		this.#pending.add(question);
		await this.#parts.ask(peer, {
			longestSilence: requestIdleTimeout,
			signal: question.controller.signal,
			onData: () => {
				this.#abortOthers(question);
				question.progressAt = this.#now();
				question.stallsAt = question.progressAt + streamStallDelay;
			},
		});
		this.#pending.delete(question);
		this.#wakeUp.abort();
	}

	/** Ends all but one: two answers that come side by side take twice as long on a narrow link. */
	#abortOthers(except?: PendingRequest): void {
		for (const question of this.#pending) {
			if (question !== except) {
				question.controller.abort();
			}
		}
	}

	#detectStalls(): void {
		const now = this.#now();
		for (const question of this.#pending) {
			if (question.stallsAt <= now && !question.wasStalled) {
				question.wasStalled = true;
				this.#parts.onStalled(question.node, Math.round(now - question.progressAt));
			}
		}
	}

	#now(): number {
		return this.#parts.clock.readMonotonic();
	}
}
