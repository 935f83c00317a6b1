/**
 * Time since the last answer of the source: to this node, and to any node of the fleet. Pure except for the clock.
 *
 * A node that does not follow the source receives these ages from others, too small by the time of transmission.
 */
import type {Clock} from '../common/index.js';

/** Kinds of items that every deployment follows at the source. */
const commonKinds = ['configuration', 'servers'] as const;

/** One kind of followed items. */
export type FollowedKind = typeof commonKinds[number] | 'evacuations';

/** Lists the kinds of items that a node follows. */
export function listFollowedKinds(followsEvacuations: boolean): FollowedKind[] {
	return followsEvacuations ? [...commonKinds, 'evacuations'] : [...commonKinds];
}

/** Milliseconds since the source last answered any node, by kind; undefined if it never has. */
export type SourceAges = Record<typeof commonKinds[number], number | undefined> & {evacuations?: number};

/** Tracks when the source last answered. */
export class SourceAgeTracker {
	readonly #clock: Clock;
	/** Times of the last answers, by the monotonic clock. */
	readonly #local = new Map<FollowedKind, number>();
	readonly #fleet = new Map<FollowedKind, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records that the source has answered this node. */
	recordAnswer(kind: FollowedKind): void {
		const now = this.#clock.readMonotonic();
		this.#local.set(kind, now);
		this.#fleet.set(kind, now);
	}

	/** Merges the ages received from another node. */
	mergeAges(ages: SourceAges): void {
		const now = this.#clock.readMonotonic();
		for (const kind of listFollowedKinds(true)) {
			const age = ages[kind];
			if (age !== undefined) {
				this.#fleet.set(kind, Math.max(this.#fleet.get(kind) ?? -Infinity, now - Math.max(0, age)));
			}
		}
	}

	/** Measures the milliseconds since the source answered this node; undefined if it never has. */
	measureLocalAge(kind: FollowedKind): number | undefined {
		return this.#measure(this.#local.get(kind));
	}

	/** Measures the milliseconds since the source answered any node, as far as is known here. */
	measureFleetAge(kind: FollowedKind): number | undefined {
		return this.#measure(this.#fleet.get(kind));
	}

	/** Measures the fleet's ages of all kinds, to be sent to other nodes. */
	measureFleetAges(): SourceAges {
		const evacuations = this.measureFleetAge('evacuations');
		return {
			configuration: this.measureFleetAge('configuration'), servers: this.measureFleetAge('servers'), ...(evacuations !== undefined && {evacuations}),
		};
	}

	#measure(at: number | undefined): number | undefined {
		return at === undefined ? undefined : Math.max(0, Math.round(this.#clock.readMonotonic() - at));
	}
}
