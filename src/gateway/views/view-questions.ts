/**
 * Questions for one part of the view, put to nodes that are ahead until this one has caught up.
 *
 * A node that is silent is not waited for: another one is asked beside it, on a connection of its own, and whichever
 * is heard first ends the other questions. An answer that comes slowly is progress, and nothing more is asked.
 */
import {waitFor, type BoxId, type Clock} from '../../common/index.js';
import type {Peer, PeerView} from '../peers/peer-beat.js';
import type {FreshQuestion} from '../peers/peer-rpc.js';

/** Least time between two questions, in milliseconds: changes that follow each other closely come together, and a few such pauses on the way through the fleet stay within the bound for a change. */
const defaultPause = 100;

/**
 * Silence of a question after which another one is put, in milliseconds.
 *
 * It doubles with each one that is under way: on a link on which answers queue, questions that are put again make the queue
 * longer. Two nodes that are asked in vain one after the other cost 300 ms.
 */
const firstSilence = 100;
const silenceGrowth = 2;

/** Silence between two parts of an answer after which another question is put, in milliseconds: a segment that is lost is sent again after 200 ms. */
const partSilence = 250;

/** Silence after which a question is given up, in milliseconds: longer than the answers to a hundred others take on a link of 14 Mbit/s to make way for the first part. */
const longestSilence = 2000;

/** Questions under way at most: more would share a narrow link among themselves. */
const mostUnderWay = 4;

/** Questions under way to one node at most: its connection may be silent, and the next one too seldom; else the node is. */
const mostForNode = 2;

/** How one part of the view is asked for. */
export type ViewQuestionParts = {
	clock: Clock;
	/** Whether a node with this view knows more of the part than this one. */
	isAhead: (view: PeerView) => boolean;
	/** Asks a node, and takes what it answers. */
	ask: (peer: Peer, question: ViewQuestion) => Promise<void>;
	/** Called once for a question that has been silent for so many milliseconds that another one is put. */
	onSilent: (node: BoxId, silentFor: number) => void;
};

/** How one question is put. */
export type ViewQuestion = Omit<FreshQuestion<unknown>, 'call'>;

/** `silentAt`: when another one is put unless a part of the answer comes before. */
type OpenQuestion = {node: BoxId; heardAt: number; silentAt: number; wasSilent: boolean; stop: AbortController};

/** A node that is ahead; `isAsked`: since it was last heard. */
type AheadNode = {peer: Peer; view: PeerView; isAsked: boolean};

/** Questions for one part of the view. */
export class ViewQuestions {
	readonly #parts: ViewQuestionParts;
	/** In the order in which they were last heard or asked. */
	readonly #ahead = new Map<BoxId, AheadNode>();
	readonly #open = new Set<OpenQuestion>();
	#pause = defaultPause;
	#askedAt = -Infinity;
	#turn = new AbortController();
	#isCatchingUp = false;

	constructor(parts: ViewQuestionParts) {
		this.#parts = parts;
	}

	/** Nodes that are asked at the moment. */
	get asked(): BoxId[] {
		return [...this.#open].map(question => question.node);
	}

	/** Takes a heartbeat: when its node is ahead, this one catches up; `pause` is the least time between two questions, in milliseconds. */
	hear(peer: Peer, view: PeerView, pause = defaultPause): void {
		this.#ahead.delete(peer.name);
		if (!this.#parts.isAhead(view)) {
			return;
		}

		this.#ahead.set(peer.name, {peer, view, isAsked: false});
		this.#pause = pause;
		if (this.#isCatchingUp) {
			this.#turn.abort();
		} else {
			void this.#catchUp();
		}
	}

	async #catchUp(): Promise<void> {
		this.#isCatchingUp = true;
		while (this.#isBehind()) {
			const next = this.#chooseNext();
			const delay = this.#findDelay();
			if (next !== undefined && delay <= 0) {
				void this.#ask(next);
			} else if (next === undefined && this.#open.size === 0) {
				break;
			} else {
				await this.#waitForTurn(delay > 0 ? delay : longestSilence);
				this.#noticeSilence();
			}
		}

		this.#isCatchingUp = false;
		this.#endQuestions();
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
	#chooseNext(): AheadNode | undefined {
		if (this.#open.size >= mostUnderWay) {
			return undefined;
		}

		const known = [...this.#ahead.values()].filter(node => this.#countOpen(node) < mostForNode);
		return known.findLast(node => !node.isAsked) ?? (this.#open.size === 0 ? undefined : known[0]);
	}

	#countOpen({peer}: AheadNode): number {
		return [...this.#open].filter(question => question.node === peer.name).length;
	}

	/** Time until the next question, or until those under way are silent, in milliseconds. */
	#findDelay(): number {
		const silentAt = [...this.#open].map(question => question.silentAt);
		return Math.max(...silentAt, this.#askedAt + this.#pause) - this.#now();
	}

	/** Waits, until a question ends or a node that is ahead is heard at the latest. */
	async #waitForTurn(delay: number): Promise<void> {
		this.#turn = new AbortController();
		await waitFor(this.#parts.clock, delay, this.#turn.signal);
	}

	async #ask(node: AheadNode): Promise<void> {
		const {peer} = node;
		const now = this.#now();
		const question = {
			node: peer.name, heardAt: now, silentAt: now + (firstSilence * (silenceGrowth ** this.#open.size)), wasSilent: false, stop: new AbortController(),
		};
		node.isAsked = true;
		this.#ahead.delete(peer.name);
		this.#ahead.set(peer.name, node);
		this.#askedAt = now;
		this.#open.add(question);
		await this.#parts.ask(peer, {
			longestSilence,
			signal: question.stop.signal,
			onHeard: () => {
				this.#endQuestions(question);
				question.heardAt = this.#now();
				question.silentAt = question.heardAt + partSilence;
			},
		});
		this.#open.delete(question);
		this.#turn.abort();
	}

	/** Ends all but one: two answers that come side by side take twice as long on a narrow link. */
	#endQuestions(kept?: OpenQuestion): void {
		for (const question of this.#open) {
			if (question !== kept) {
				question.stop.abort();
			}
		}
	}

	#noticeSilence(): void {
		const now = this.#now();
		for (const question of this.#open) {
			if (question.silentAt <= now && !question.wasSilent) {
				question.wasSilent = true;
				this.#parts.onSilent(question.node, Math.round(now - question.heardAt));
			}
		}
	}

	#now(): number {
		return this.#parts.clock.readMonotonic();
	}
}
