/** Creates the follower of the evacuated availability zones: each watcher of the source makes one long poll more. */
import type {Clock, Logger} from '../common/index.js';
import {
	Follower, followTiming, type FleetSource, type FleetState, type FollowTiming, type SourceHealth, type ZoneEvacuation,
} from '../routing/index.js';

/** Maximum share of the time within which an evacuation must take effect that a long poll for it waits: detection of a dead connection, a new call and the way to the other nodes need the rest. */
const maxWaitShare = 0.3;

/** Dependencies of the follower. */
export type EvacuationFollowerParts = {
	clock: Clock;
	logger: Logger;
	random: () => number;
	source: FleetSource;
	state: FleetState;
	health: SourceHealth;
	isAssigned: () => boolean;
};

/** Creates the follower; `applyWithin` is the time within which an evacuation must take effect, in milliseconds. */
export function createEvacuationFollower({clock, logger, random, source, ...parts}: EvacuationFollowerParts, applyWithin: number): Follower<ZoneEvacuation> {
	const {evacuations} = parts.state;
	return new Follower({
		...parts,
		name: 'evacuations',
		timing: createTiming(applyWithin),
		source: source.evacuations,
		onList(listing) {
			evacuations?.applyList(listing, 'source');
		},
		onChanges(changes) {
			evacuations?.applyChanges(changes, 'source');
		},
	}, {clock, logger, random});
}

/** A connection that dies without a reset is detected when its wait is over. */
function createTiming(applyWithin: number): FollowTiming {
	return {...followTiming, wait: Math.min(followTiming.wait, applyWithin * maxWaitShare)};
}
