/** Keeps the fleet state in step with its source: lists once, then follows changes. */
import {
	Child, waitFor, type Clock, type Logger,
} from '../common/index.js';
import type {
	Changes, ItemSource, Listing, SourceFailure,
} from './fleet-source.js';
import type {FleetState} from './fleet-state.js';

/** How long one call waits for changes, in milliseconds: a silent source is noticed about this late, and each call has a price. */
export const followWait = 5000;

/** First pause after a failure and the longest, in milliseconds: short against the two seconds in which a change must be in force. */
const firstPause = 100;
const longestPause = 800;

/** Time in which changes are gathered before they are followed on, in milliseconds: each answer has a price, and a rollout changes several servers a second. A tenth of the bounds within which a change must hold. */
const gatherTime = 300;

/** Pause between looks at whether this node is to follow the source, in milliseconds: one heartbeat. */
const idlePause = 250;

/** What a follower does with what it reads. */
export type FollowedItems<Item> = {
	name: string;
	source: ItemSource<Item>;
	state: FleetState;
	/** Whether this node asks the source itself; else other nodes tell it what changes. */
	asksSource: () => boolean;
	onList: (listing: Listing<Item>) => void;
	onChanges: (changes: Changes<Item>) => void;
};

/** Follows one kind of item until it is stopped. */
export class Follower<Item> extends Child {
	override readonly name: string;
	readonly #items: FollowedItems<Item>;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #random: () => number;
	#isReachable = true;
	/** When the source answered last, by the monotonic clock, and the calls without an answer since. */
	#answeredAt: number;
	#unanswered = 0;

	constructor(items: FollowedItems<Item>, parts: {clock: Clock; logger: Logger; random: () => number}) {
		super();
		this.name = `follower of ${items.name}`;
		this.#items = items;
		this.#clock = parts.clock;
		this.#logger = parts.logger;
		this.#random = parts.random;
		this.#answeredAt = parts.clock.readMonotonic();
	}

	override async run(signal: AbortSignal): Promise<void> {
		let revision: number | undefined;
		let pause = firstPause;
		while (!signal.aborted) {
			if (!this.#items.asksSource()) {
				// Other nodes tell what changes; the revision is too old when it is this node's turn again.
				revision = undefined;
				await waitFor(this.#clock, idlePause, signal);
				continue;
			}

			const failure = revision === undefined
				? await this.#list(signal)
				: await this.#follow(revision, signal);
			if (typeof failure === 'number') {
				revision = failure;
				pause = firstPause;
				this.#noteAnswer();
				continue;
			}

			if (signal.aborted) {
				return;
			}

			if (failure.kind === 'history_lost') {
				this.#logger.warn({event: 'history_lost', items: this.#items.name, revision}, 'the source has forgotten this revision; listing again');
				revision = undefined;
				continue;
			}

			this.#noteFailure(failure);
			await waitFor(this.#clock, pause * (0.5 + this.#random()), signal);
			pause = Math.min(longestPause, pause * 2);
		}
	}

	/** Returns the revision listed, or why there is none. */
	async #list(signal: AbortSignal): Promise<number | SourceFailure> {
		const listed = await this.#items.source.list(signal);
		return listed.caseOf<number | SourceFailure>({
			Left: failure => failure,
			Right: listing => {
				this.#items.state.noteReturn();
				this.#items.onList(listing);
				return listing.revision;
			},
		});
	}

	async #follow(revision: number, signal: AbortSignal): Promise<number | SourceFailure> {
		const followed = await this.#items.source.follow(revision, followWait, signal);
		if (followed.isLeft()) {
			return followed.extract();
		}

		const changes = followed.extract() as Changes<Item>;
		this.#items.state.noteReturn();
		this.#items.onChanges(changes);
		if (changes.changes.length > 0) {
			await waitFor(this.#clock, gatherTime, signal);
		}

		return changes.revision;
	}

	#noteFailure(failure: SourceFailure): void {
		this.#items.state.noteOutage();
		this.#unanswered++;
		if (this.#isReachable) {
			this.#isReachable = false;
			this.#logger.warn({
				event: 'source_lost', items: this.#items.name, reason: failure.message, sinceAnswer: this.#findSilence(),
			}, 'the source does not answer; what was read last stays in force');
		}
	}

	#noteAnswer(): void {
		if (!this.#isReachable) {
			this.#isReachable = true;
			this.#logger.info({
				event: 'source_back', items: this.#items.name, sinceAnswer: this.#findSilence(), unanswered: this.#unanswered,
			}, 'the source answers again');
		}

		this.#answeredAt = this.#clock.readMonotonic();
		this.#unanswered = 0;
	}

	/** Milliseconds since the source answered last. */
	#findSilence(): number {
		return Math.round(this.#clock.readMonotonic() - this.#answeredAt);
	}
}
