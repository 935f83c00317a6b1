/** Keeps the fleet state in step with its source: lists once, then follows changes. */
import {
	Child, joinSignals, waitFor, type Clock, type Logger,
} from '../common/index.js';
import type {Changes, ItemSource, Listing} from './fleet-source.js';
import type {FleetState} from './fleet-state.js';
import type {FollowedKind} from './source-ages.js';
import {SourceCalls} from './source-calls.js';
import type {SourceHealth} from './source-health.js';

/** How often a follower asks. */
export type FollowPace = {
	/** How long a call waits for changes, in milliseconds. */
	wait: number;
	/** Time until a source without an answer is asked again, in milliseconds. */
	pause: number;
};

/**
 * How the source is followed, servers and configuration alike.
 *
 * A connection that falls silent without a reset is noticed after its wait, and a change must be in force two seconds
 * after it was made. Each call has a price: with a shorter wait more go out.
 */
export const followPace: FollowPace = {wait: 1500, pause: 600};

/** Time beyond its wait after which an answer is late, in milliseconds: others are asked beside it, and it still counts when it comes. */
const lateAfter = 250;

/**
 * Least share of its wait that the first call after a change waits.
 *
 * A change ends the calls of all followers at once. With a drawn first wait they come apart again, so that of those that
 * fall silent together one is noticed soon.
 */
const leastWaitShare = 0.25;

/** Silence of a call after which it counts as unanswered, in milliseconds, unless the source is known to be slower: other nodes may be served, and a change must be known in two seconds. */
const silentAfter = 150;

/** The same for a node that knows too little to serve, in milliseconds: no other node is told by it, and callers are held meanwhile. */
const firstSilentAfter = 1200;

/** How long a call waits for changes that shows whether the source answers, in milliseconds. */
const checkWait = 10;

/** Time in which changes are gathered before they are followed on, in milliseconds: each answer has a price, and a rollout changes several servers a second. A tenth of the bounds within which a change must hold. */
const gatherTime = 300;

/** How much longer than a wait the time between two answers of a source that is well may be, in milliseconds: in a longer one entries may have lapsed because nobody took their heartbeats. */
const calmDelay = lateAfter + gatherTime;

/** Pause between looks at whether this node is to follow the source, in milliseconds, unless it is told so before: one heartbeat. */
const idlePause = 250;

/** What a follower does with what it reads. */
export type FollowedItems<Item> = {
	name: FollowedKind;
	source: ItemSource<Item>;
	state: FleetState;
	pace: FollowPace;
	/** Shared by all followers of the source. */
	health: SourceHealth;
	/** Whether this node asks the source itself; else other nodes tell it what changes. */
	asksSource: () => boolean;
	onList: (listing: Listing<Item>) => void;
	onChanges: (changes: Changes<Item>) => void;
};

/** The revision to go on from, and whether to pause before that. */
type Reading = {revision: number; wantsPause: boolean};

/** Follows one kind of item until it is stopped. */
export class Follower<Item> extends Child {
	override readonly name: string;
	readonly #items: FollowedItems<Item>;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #lists: SourceCalls<Listing<Item>>;
	readonly #changes: SourceCalls<Changes<Item>>;
	readonly #random: () => number;
	/** Whether others have had the same answer at the same moment. */
	#isInStep = true;
	#isReachable = true;
	/** When the source answered last, by the monotonic clock, and the calls without an answer since. */
	#answeredAt: number;
	#unanswered = 0;
	/** Whether other nodes have followed the source since it answered this one. */
	#wasIdle = false;

	constructor(items: FollowedItems<Item>, parts: {clock: Clock; logger: Logger; random: () => number}) {
		super();
		this.name = `follower of ${items.name}`;
		this.#items = items;
		this.#clock = parts.clock;
		this.#logger = parts.logger;
		const {clock, random} = parts;
		this.#random = random;
		this.#lists = new SourceCalls({clock, random, health: items.health});
		this.#changes = new SourceCalls({clock, random, health: items.health});
		this.#answeredAt = parts.clock.readMonotonic();
	}

	override async run(signal: AbortSignal): Promise<void> {
		let revision: number | undefined;
		while (!signal.aborted) {
			if (!this.#items.asksSource()) {
				// Other nodes tell what changes; the revision is too old when it is this node's turn again.
				revision = undefined;
				this.#changes.end();
				await this.#waitForTurn(signal);
				this.#answeredAt = this.#clock.readMonotonic();
				this.#wasIdle = true;
				continue;
			}

			const reading = revision === undefined
				? await this.#list(signal)
				: await this.#follow(revision, signal);
			revision = reading?.revision;
			if (reading?.wantsPause) {
				await waitFor(this.#clock, gatherTime, signal);
			}
		}
	}

	async #waitForTurn(signal: AbortSignal): Promise<void> {
		const turn = new AbortController();
		const removeListener = this.#items.health.addTurnListener(() => {
			turn.abort();
		});
		const either = joinSignals([signal, turn.signal]);
		await waitFor(this.#clock, idlePause, either.signal);
		either.release();
		removeListener();
	}

	/** Undefined when this node is no longer to ask. */
	async #list(signal: AbortSignal): Promise<Reading | undefined> {
		// Without a list this node serves nobody.
		const listed = await this.#lists.next({
			...this.#createQuestion(),
			// Connections that have been at rest since an earlier turn may have fallen silent meanwhile.
			call: async (_attempt, call) => this.#items.source.list({...call, isRepeated: true}),
			findWait: () => 0,
			firstPause: this.#items.pace.pause,
		}, signal);
		this.#lists.end();
		return listed === undefined
			? undefined
			: this.#noteAnswer(listed.result).caseOf<Reading | undefined>({
				Left: () => undefined,
				Right: listing => {
					this.#items.onList(listing);
					this.#isInStep = true;
					return {revision: listing.revision, wantsPause: false};
				},
			});
	}

	/** Undefined when the items are to be listed again, or this node is no longer to ask. */
	async #follow(revision: number, signal: AbortSignal): Promise<Reading | undefined> {
		const {source, pace} = this.#items;
		const firstWait = pace.wait * (this.#isInStep ? leastWaitShare + ((1 - leastWaitShare) * this.#random()) : 1);
		const findWait = (attempt: number) => attempt === 0 ? firstWait : checkWait;
		const followed = await this.#changes.next({
			...this.#createQuestion(revision),
			call: async (attempt, call) => source.follow({revision, wait: findWait(attempt)}, call),
			findWait,
			firstPause: firstWait + lateAfter,
		}, signal);
		return followed === undefined
			? undefined
			: this.#noteAnswer(followed.result).caseOf<Reading | undefined>({
				Left: () => {
					this.#changes.end();
					this.#logger.warn({event: 'history_lost', items: this.#items.name, revision}, 'the source has forgotten this revision; listing again');
					return undefined;
				},
				Right: changes => this.#takeChanges(changes, {revision, wasRepeated: followed.attempt > 0}),
			});
	}

	/** A call that went out earlier and is answered later holds changes that are known; an entry that is gone bears the revision of its last write. */
	#takeChanges(changes: Changes<Item>, {revision, wasRepeated}: {revision: number; wasRepeated: boolean}): Reading {
		const unknown = changes.changes.filter(({item, revision: changedAt}) => item === undefined || changedAt === undefined || changedAt > revision);
		if (changes.revision >= revision) {
			this.#items.onChanges({changes: unknown, revision: changes.revision});
		}

		this.#isInStep = unknown.length > 0;
		// A source that cuts every call that waits would else be asked without a pause, some hundred times a second.
		const wantsPause = !this.#changes.isAsking && (wasRepeated || unknown.length > 0);
		return {revision: Math.max(revision, changes.revision), wantsPause};
	}

	#createQuestion(revision?: number) {
		return {
			pause: this.#items.pace.pause,
			silentAfter: this.#items.state.isUsable ? silentAfter : firstSilentAfter,
			onDoubt: (reason: string) => {
				this.#logger.info({
					event: 'source_checked', items: this.#items.name, revision, reason, sinceAnswer: this.#findSilence(),
				}, 'a call was lost or is late; the source is asked again beside it');
			},
			onUnanswered: (reason: string) => {
				this.#noteUnanswered(reason);
			},
			goesOn: () => this.#items.asksSource(),
		};
	}

	#noteUnanswered(reason: string): void {
		this.#items.state.noteOutage(this.#items.name);
		this.#unanswered++;
		if (this.#isReachable) {
			this.#isReachable = false;
			this.#logger.warn({
				event: 'source_lost', items: this.#items.name, reason, sinceAnswer: this.#findSilence(),
			}, 'the source does not answer; what was read last stays in force');
		}
	}

	#noteAnswer<Answer>(answer: Answer): Answer {
		// A node whose turn it is after others cannot know what lapsed while they had no answer.
		this.#items.state.noteReturn(this.#items.name, this.#wasIdle || this.#findSilence() > this.#items.pace.wait + calmDelay);
		this.#wasIdle = false;
		if (!this.#isReachable) {
			this.#isReachable = true;
			this.#logger.info({
				event: 'source_back', items: this.#items.name, sinceAnswer: this.#findSilence(), unanswered: this.#unanswered,
			}, 'the source answers again');
		}

		this.#answeredAt = this.#clock.readMonotonic();
		this.#unanswered = 0;
		this.#items.state.sourceHeard.noteAnswer(this.#items.name);
		return answer;
	}

	/** Milliseconds since the source answered last. */
	#findSilence(): number {
		return Math.round(this.#clock.readMonotonic() - this.#answeredAt);
	}
}
