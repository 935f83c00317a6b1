/**
 * For how long the source has not been heard: by this node's own followers, and by any node of the fleet. Pure but for the clock.
 *
 * A node that does not follow the source hears these ages from others, each time a little later than they were true.
 */
import type {Clock} from '../common/index.js';

/** What is followed at the source. */
export const followedKinds = ['configuration', 'servers'] as const;

/** One of them. */
export type FollowedKind = typeof followedKinds[number];

/** Milliseconds since the source was heard by any node, by kind; undefined when no node has heard it yet. */
export type SourceAges = Record<FollowedKind, number | undefined>;

/** When the source was heard last. */
export class SourceAgeTracker {
	readonly #clock: Clock;
	/** By the monotonic clock. */
	readonly #local = new Map<FollowedKind, number>();
	readonly #fleet = new Map<FollowedKind, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Notes that the source has answered this node. */
	recordAnswer(kind: FollowedKind): void {
		const now = this.#clock.readMonotonic();
		this.#local.set(kind, now);
		this.#fleet.set(kind, now);
	}

	/** Takes what another node tells. */
	mergeAges(ages: SourceAges): void {
		const now = this.#clock.readMonotonic();
		for (const kind of followedKinds) {
			const age = ages[kind];
			if (age !== undefined) {
				this.#fleet.set(kind, Math.max(this.#fleet.get(kind) ?? -Infinity, now - Math.max(0, age)));
			}
		}
	}

	/** Milliseconds since the source answered this node; undefined when it never has. */
	measureLocalAge(kind: FollowedKind): number | undefined {
		return this.#measure(this.#local.get(kind));
	}

	/** Milliseconds since the source answered any node, as far as is known here. */
	measureFleetAge(kind: FollowedKind): number | undefined {
		return this.#measure(this.#fleet.get(kind));
	}

	/** The fleet's ages, to be told to others. */
	measureFleetAges(): SourceAges {
		return {configuration: this.measureFleetAge('configuration'), servers: this.measureFleetAge('servers')};
	}

	#measure(at: number | undefined): number | undefined {
		return at === undefined ? undefined : Math.max(0, Math.round(this.#clock.readMonotonic() - at));
	}
}
