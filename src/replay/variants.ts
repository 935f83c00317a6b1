/** The ways of deciding that a replay can compare: ours, baselines, and ours with one idea off. */
import {
	ArrivalQueue, FairQueue, FirstTokenPlacement, LeastOutstandingPlacement, RoundRobinPlacement, ShortestQueue, type DispatcherParts,
} from '../node/dispatch/index.js';

/** The parts of a dispatcher in which variants differ. */
export type VariantParts = Pick<DispatcherParts, 'placement' | 'queue' | 'usesReservations' | 'usesPriorities' | 'refusesEarly'>;

/** Makes the parts afresh, since they have state. */
export const variants: Record<string, () => VariantParts> = {
	ours: () => ({}),
	'round-robin': () => ({
		placement: new RoundRobinPlacement(), queue: new ArrivalQueue(), usesReservations: false, usesPriorities: false, refusesEarly: false,
	}),
	'least-outstanding': () => ({
		placement: new LeastOutstandingPlacement(), queue: new ArrivalQueue(), usesReservations: false, usesPriorities: false, refusesEarly: false,
	}),
	'shortest-first': () => ({
		placement: new LeastOutstandingPlacement(), queue: new ShortestQueue(), usesReservations: false, usesPriorities: false, refusesEarly: false,
	}),
	'no-priorities': () => ({usesPriorities: false}),
	'no-prefixes': () => ({placement: new FirstTokenPlacement({usesPrefixes: false})}),
	'no-harm': () => ({placement: new FirstTokenPlacement({delayWeight: 0})}),
	'full-harm': () => ({placement: new FirstTokenPlacement({delayWeight: 1})}),
	'no-single-long-read': () => ({placement: new FirstTokenPlacement({limitsLongPrefills: false})}),
	'no-reservation': () => ({usesReservations: false}),
	'no-early-refusal': () => ({refusesEarly: false}),
	'arrival-order': () => ({queue: new ArrivalQueue()}),
	'fair-least-outstanding': () => ({placement: new LeastOutstandingPlacement(), queue: new FairQueue()}),
};
