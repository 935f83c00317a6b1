/** Synchronises the local state with the source: lists once, then follows changes by long polling. */
import {
	Child, combineSignals, waitFor, type Clock, type Logger,
} from '../common/index.js';
import type {Changes, ItemSource, Listing} from './fleet-source.js';
import type {FleetState} from './fleet-state.js';
import type {FollowedKind} from './source-ages.js';
import {SourceCalls} from './source-calls.js';
import {formatPosition} from './source-position.js';
import type {SourceHealth} from './source-health.js';

/** Timing of a follower's calls. */
export type FollowTiming = {
	/** How long a long poll waits for changes, in milliseconds. */
	wait: number;
	/** Delay before an unanswered call is retried, in milliseconds. */
	retryDelay: number;
};

/**
 * Timing for servers and configuration alike.
 *
 * A connection that dies without a reset is detected when its wait is over, and a change must take effect within two
 * seconds. A shorter wait would cost more calls.
 */
export const followTiming: FollowTiming = {wait: 1500, retryDelay: 600};

/** Time beyond its wait after which an answer is late, in milliseconds: parallel calls are made, and a late answer still counts. */
const latenessTolerance = 250;

/**
 * Minimum fraction of the wait for the first call after a change.
 *
 * A change ends the calls of all followers at once. A random first wait spreads them again, so that when all connections
 * die together one of them is detected early.
 */
const minFirstWaitRatio = 0.25;

/** Silence after which a call counts as unanswered, in milliseconds, unless the source is known to be slower. Short, since another node may reach the source, and changes must be known within two seconds. */
const silenceTimeout = 150;

/** The same for a node that cannot serve yet, in milliseconds: its callers are held meanwhile, and no other node depends on it. */
const startupSilenceTimeout = 1200;

/** Wait of a call that only probes whether the source answers, in milliseconds. */
const probeWait = 10;

/** Delay before the next call after a change, in milliseconds, so that one answer holds several changes: a rollout changes several servers a second. A tenth of the time within which a change must take effect. */
const batchDelay = 300;

/** Maximum time beyond a wait between two answers of a healthy source, in milliseconds. In a longer silence entries may have expired because the source could not accept their heartbeats. */
const maxHealthyDelay = latenessTolerance + batchDelay;

/** Interval between checks of whether this node is assigned to follow the source, in milliseconds: one heartbeat. A notification ends it early. */
const assignmentCheckInterval = 250;

/** What a follower reads, and its callbacks. */
export type FollowedItems<Item> = {
	name: FollowedKind;
	source: ItemSource<Item>;
	state: FleetState;
	timing: FollowTiming;
	/** Shared by all followers of the source. */
	health: SourceHealth;
	/** Whether this node is assigned to follow the source; otherwise it receives changes from other nodes. */
	isAssigned: () => boolean;
	onList: (listing: Listing<Item>) => void;
	onChanges: (changes: Changes<Item>) => void;
};

/** The revision to continue from, and whether to delay the next call. */
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
	/** Whether other followers got the same answer at the same time, so that the next wait is randomised. */
	#isInLockstep = true;
	#isReachable = true;
	/** When the source last answered, by the monotonic clock, and the number of unanswered calls since. */
	#lastAnswerAt: number;
	#unansweredCount = 0;
	/** Whether this node was not assigned at some time since the last answer. */
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
				// Changes now come from other nodes; the revision will be too old when this node is assigned again.
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
		const combined = combineSignals([signal, assignment.signal]);
		await waitFor(this.#clock, assignmentCheckInterval, combined.signal);
		combined.release();
		removeListener();
	}

	/** Lists all items; undefined when this node is no longer assigned. */
	async #list(signal: AbortSignal): Promise<ReadPosition | undefined> {
		// Without a list this node cannot serve calls.
		const listed = await this.#listCalls.ask({
			...this.#createQuery(),
			// Connections that were idle since an earlier assignment may be dead.
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

	/** Waits for changes; undefined when the items must be listed again, or this node is no longer assigned. */
	async #follow(revision: number, signal: AbortSignal): Promise<ReadPosition | undefined> {
		const {source, timing} = this.#items;
		const firstWait = timing.wait * (this.#isInLockstep ? minFirstWaitRatio + ((1 - minFirstWaitRatio) * this.#random()) : 1);
		const getWait = (attempt: number) => attempt === 0 ? firstWait : probeWait;
		const followed = await this.#changeCalls.ask({
			...this.#createQuery(revision),
			call: async (attempt, call) => source.follow({revision, wait: getWait(attempt)}, call),
			getWait,
			firstRetryDelay: firstWait + latenessTolerance,
		}, signal);
		return followed === undefined
			? undefined
			: this.#recordAnswer(followed.result).caseOf<ReadPosition | undefined>({
				Left: ({message}) => {
					this.#changeCalls.cancelAll();
					this.#logger.warn({
						event: 'history_lost', items: this.#items.name, revision: formatPosition(revision), reason: message,
					}, 'the source no longer keeps this revision; listing again');
					return undefined;
				},
				Right: changes => this.#handleChanges(changes, {revision, wasRepeated: followed.attempt > 0}),
			});
	}

	/** Skips known changes, which the answer to an older parallel call may hold. A removed entry has the revision of its last write, so removals are never skipped. */
	#handleChanges(changes: Changes<Item>, {revision, wasRepeated}: {revision: number; wasRepeated: boolean}): ReadPosition {
		const newChanges = changes.changes.filter(({item, revision: changedAt}) => item === undefined || changedAt === undefined || changedAt > revision);
		if (changes.revision >= revision) {
			this.#items.onChanges({changes: newChanges, revision: changes.revision});
		}

		this.#isInLockstep = newChanges.length > 0;
		// Without the delay a source that rejects every long poll would get some hundred calls a second.
		const isDelayed = !this.#changeCalls.hasOpenCalls && (wasRepeated || newChanges.length > 0);
		return {revision: Math.max(revision, changes.revision), isDelayed};
	}

	#createQuery(revision?: number) {
		return {
			retryDelay: this.#items.timing.retryDelay,
			silenceTimeout: this.#items.state.isUsable ? silenceTimeout : startupSilenceTimeout,
			onSuspect: (reason: string) => {
				this.#logger.info({
					event: 'source_checked', items: this.#items.name, revision: revision === undefined ? undefined : formatPosition(revision), reason, sinceAnswer: this.#measureSilence(),
				}, 'a call failed or is late; probing the source with parallel calls');
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
			}, 'the source does not answer; keeping the last known state');
		}
	}

	#recordAnswer<Answer>(answer: Answer): Answer {
		// A newly assigned node cannot know which entries expired while the previous followers got no answer.
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

	/** Measures the milliseconds since the last answer of the source. */
	#measureSilence(): number {
		return Math.round(this.#clock.readMonotonic() - this.#lastAnswerAt);
	}
}
