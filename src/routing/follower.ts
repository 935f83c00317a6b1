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
export type FollowTiming = {
	/** How long a call waits for changes, in milliseconds. */
	wait: number;
	/** Time until a source without an answer is asked again, in milliseconds. */
	retryDelay: number;
};

/**
 * How the source is followed, servers and configuration alike.
 *
 * A connection that falls silent without a reset is noticed after its wait, and a change must be in force two seconds
 * after it was made. Each call has a price: with a shorter wait more go out.
 */
export const followTiming: FollowTiming = {wait: 1500, retryDelay: 600};

/** Time beyond its wait after which an answer is late, in milliseconds: others are asked beside it, and it still counts when it comes. */
const latenessTolerance = 250;

/**
 * Least share of its wait that the first call after a change waits.
 *
 * A change ends the calls of all followers at once. With a drawn first wait they come apart again, so that of those that
 * fall silent together one is noticed soon.
 */
const minFirstWaitRatio = 0.25;

/** Silence of a call after which it counts as unanswered, in milliseconds, unless the source is known to be slower: other nodes may be served, and a change must be known in two seconds. */
const silenceTimeout = 150;

/** The same for a node that knows too little to serve, in milliseconds: no other node is told by it, and callers are held meanwhile. */
const startupSilenceTimeout = 1200;

/** How long a call waits for changes that shows whether the source answers, in milliseconds. */
const probeWait = 10;

/** Time in which changes are gathered before they are followed on, in milliseconds: each answer has a price, and a rollout changes several servers a second. A tenth of the bounds within which a change must hold. */
const batchDelay = 300;

/** How much longer than a wait the time between two answers of a source that is well may be, in milliseconds: in a longer one entries may have lapsed because nobody took their heartbeats. */
const maxHealthyDelay = latenessTolerance + batchDelay;

/** Pause between looks at whether this node is to follow the source, in milliseconds, unless it is told so before: one heartbeat. */
const assignmentCheckInterval = 250;

/** What a follower does with what it reads. */
export type FollowedItems<Item> = {
	name: FollowedKind;
	source: ItemSource<Item>;
	state: FleetState;
	timing: FollowTiming;
	/** Shared by all followers of the source. */
	health: SourceHealth;
	/** Whether this node asks the source itself; else other nodes tell it what changes. */
	isAssigned: () => boolean;
	onList: (listing: Listing<Item>) => void;
	onChanges: (changes: Changes<Item>) => void;
};

/** The revision to go on from, and whether to pause before that. */
type ReadPosition = {revision: number; isDelayed: boolean};

/** Follows one kind of item until it is stopped. */
export class Follower<Item> extends Child {
	override readonly name: string;
	readonly #items: FollowedItems<Item>;
	readonly #clock: Clock;
	readonly #logger: Logger;
	readonly #listCalls: SourceCalls<Listing<Item>>;
	readonly #changeCalls: SourceCalls<Changes<Item>>;
	readonly #random: () => number;
	/** Whether others have had the same answer at the same moment. */
	#isInLockstep = true;
	#isReachable = true;
	/** When the source answered last, by the monotonic clock, and the calls without an answer since. */
	#lastAnswerAt: number;
	#unansweredCount = 0;
	/** Whether other nodes have followed the source since it answered this one. */
	#wasUnassigned = false;

	constructor(items: FollowedItems<Item>, parts: {clock: Clock; logger: Logger; random: () => number}) {
		super();
		this.name = `follower of ${items.name}`;
		this.#items = items;
		this.#clock = parts.clock;
		this.#logger = parts.logger;
		const {clock, random} = parts;
		this.#random = random;
		this.#listCalls = new SourceCalls({clock, random, health: items.health});
		this.#changeCalls = new SourceCalls({clock, random, health: items.health});
		this.#lastAnswerAt = parts.clock.readMonotonic();
	}

	override async run(signal: AbortSignal): Promise<void> {
		let revision: number | undefined;
		while (!signal.aborted) {
			if (!this.#items.isAssigned()) {
				// Other nodes tell what changes; the revision is too old when it is this node's turn again.
				revision = undefined;
				this.#changeCalls.cancelAll();
				await this.#waitForAssignment(signal);
				this.#lastAnswerAt = this.#clock.readMonotonic();
				this.#wasUnassigned = true;
				continue;
			}

			const position = revision === undefined
				? await this.#list(signal)
				: await this.#follow(revision, signal);
			revision = position?.revision;
			if (position?.isDelayed) {
				await waitFor(this.#clock, batchDelay, signal);
			}
		}
	}

	async #waitForAssignment(signal: AbortSignal): Promise<void> {
		const assignment = new AbortController();
		const removeListener = this.#items.health.addAssignmentListener(() => {
			assignment.abort();
		});
		const combined = joinSignals([signal, assignment.signal]);
		await waitFor(this.#clock, assignmentCheckInterval, combined.signal);
		combined.release();
		removeListener();
	}

	/** Undefined when this node is no longer to ask. */
	async #list(signal: AbortSignal): Promise<ReadPosition | undefined> {
		// Without a list this node serves nobody.
		const listed = await this.#listCalls.ask({
			...this.#createQuery(),
			// Connections that have been at rest since an earlier turn may have fallen silent meanwhile.
			call: async (_attempt, call) => this.#items.source.list({...call, isOnNewConnection: true}),
			getWait: () => 0,
			firstRetryDelay: this.#items.timing.retryDelay,
		}, signal);
		this.#listCalls.cancelAll();
		return listed === undefined
			? undefined
			: this.#recordAnswer(listed.result).caseOf<ReadPosition | undefined>({
				Left: () => undefined,
				Right: listing => {
					this.#items.onList(listing);
					this.#isInLockstep = true;
					return {revision: listing.revision, isDelayed: false};
				},
			});
	}

	/** Undefined when the items are to be listed again, or this node is no longer to ask. */
	async #follow(revision: number, signal: AbortSignal): Promise<ReadPosition | undefined> {
		const {source, timing: pace} = this.#items;
		const firstWait = pace.wait * (this.#isInLockstep ? minFirstWaitRatio + ((1 - minFirstWaitRatio) * this.#random()) : 1);
		const getWait = (attempt: number) => attempt === 0 ? firstWait : probeWait;
		const followed = await this.#changeCalls.ask({
			...this.#createQuery(revision),
			call: async (attempt, call) => source.follow({revision, wait: getWait(attempt)}, call),
			getWait: getWait,
			firstRetryDelay: firstWait + latenessTolerance,
		}, signal);
		return followed === undefined
			? undefined
			: this.#recordAnswer(followed.result).caseOf<ReadPosition | undefined>({
				Left: () => {
					this.#changeCalls.cancelAll();
					this.#logger.warn({event: 'history_lost', items: this.#items.name, revision}, 'the source has forgotten this revision; listing again');
					return undefined;
				},
				Right: changes => this.#handleChanges(changes, {revision, wasRepeated: followed.attempt > 0}),
			});
	}

	/** A call that went out earlier and is answered later holds changes that are known; an entry that is gone bears the revision of its last write. */
	#handleChanges(changes: Changes<Item>, {revision, wasRepeated}: {revision: number; wasRepeated: boolean}): ReadPosition {
		const newChanges = changes.changes.filter(({item, revision: changedAt}) => item === undefined || changedAt === undefined || changedAt > revision);
		if (changes.revision >= revision) {
			this.#items.onChanges({changes: newChanges, revision: changes.revision});
		}

		this.#isInLockstep = newChanges.length > 0;
		// A source that cuts every call that waits would else be asked without a pause, some hundred times a second.
		const isDelayed = !this.#changeCalls.hasOpenCalls && (wasRepeated || newChanges.length > 0);
		return {revision: Math.max(revision, changes.revision), isDelayed: isDelayed};
	}

	#createQuery(revision?: number) {
		return {
			retryDelay: this.#items.timing.retryDelay,
			silenceTimeout: this.#items.state.isUsable ? silenceTimeout : startupSilenceTimeout,
			onSuspect: (reason: string) => {
				this.#logger.info({
					event: 'source_checked', items: this.#items.name, revision, reason, sinceAnswer: this.#measureSilence(),
				}, 'a call was lost or is late; the source is asked again beside it');
			},
			onUnanswered: (reason: string) => {
				this.#recordUnanswered(reason);
			},
			isNeeded: () => this.#items.isAssigned(),
		};
	}

	#recordUnanswered(reason: string): void {
		this.#items.state.recordOutage(this.#items.name);
		this.#unansweredCount++;
		if (this.#isReachable) {
			this.#isReachable = false;
			this.#logger.warn({
				event: 'source_lost', items: this.#items.name, reason, sinceAnswer: this.#measureSilence(),
			}, 'the source does not answer; what was read last stays in force');
		}
	}

	#recordAnswer<Answer>(answer: Answer): Answer {
		// A node whose turn it is after others cannot know what lapsed while they had no answer.
		this.#items.state.recordRecovery(this.#items.name, this.#wasUnassigned || this.#measureSilence() > this.#items.timing.wait + maxHealthyDelay);
		this.#wasUnassigned = false;
		if (!this.#isReachable) {
			this.#isReachable = true;
			this.#logger.info({
				event: 'source_back', items: this.#items.name, sinceAnswer: this.#measureSilence(), unanswered: this.#unansweredCount,
			}, 'the source answers again');
		}

		this.#lastAnswerAt = this.#clock.readMonotonic();
		this.#unansweredCount = 0;
		this.#items.state.sourceAgeTracker.recordAnswer(this.#items.name);
		return answer;
	}

	/** Milliseconds since the source answered last. */
	#measureSilence(): number {
		return Math.round(this.#clock.readMonotonic() - this.#lastAnswerAt);
	}
}
