/** Calls during planned work, with callers that abandon a stream after a long silence. */
import type {RequestId} from '../../src/common/index.js';
import type {CallOutcome, CallRun} from '../../src/gateway/calls/index.js';
import type {Route} from '../../src/routing/index.js';
import {RecordingSink, streamRoute, type ScriptedSend} from './scripted-call.js';

/** Routes of the calls. */
export const plannedRoutes = {
	stream: {...streamRoute, timeLimit: 10_000},
	fixedStream: {...streamRoute, timeLimit: 10_000, canResume: false},
	longStream: {
		...streamRoute, timeLimit: 15_000, objective: 2200, longestPause: 1000, longestSilence: 8800,
	},
	repeatable: {
		...streamRoute, kind: 'repeatable', timeLimit: 4000, objective: 400, longestPause: undefined, longestSilence: undefined, canResume: false, attempts: 2,
	},
	once: {
		...streamRoute, kind: 'once', timeLimit: 4000, objective: 400, longestPause: undefined, longestSilence: undefined, canResume: false, attempts: 1,
	},
} satisfies Record<string, Route>;

/** Specification of a call: arrival time in milliseconds, node, route and size. */
export type PlannedCallSpec = {at: number; node: number; route: keyof typeof plannedRoutes; promptTokens: number; events: number};

/** A call with its caller and its attempts on servers. */
export class PlannedCall {
	readonly id: RequestId;
	readonly sink = new RecordingSink();
	readonly sends: ScriptedSend[] = [];
	readonly route: Route;
	run: CallRun | undefined;
	outcome: CallOutcome | undefined;
	error: unknown;
	hasLeft = false;
	lastOutputAt: number;
	#seenLength = 0;

	constructor(readonly spec: PlannedCallSpec, index: number) {
		this.id = `request-${index}` as RequestId;
		this.route = plannedRoutes[spec.route];
		this.lastOutputAt = spec.at;
	}

	get isOver(): boolean {
		return this.outcome !== undefined || this.error !== undefined;
	}

	isLate(now: number): boolean {
		return now >= this.spec.at + this.route.timeLimit;
	}

	/** Makes the caller abandon a stream that has been silent for too long. */
	watch(now: number): void {
		if (this.sink.body.length > this.#seenLength) {
			this.#seenLength = this.sink.body.length;
			this.lastOutputAt = now;
		}

		const {longestSilence} = this.route;
		if (this.run !== undefined && !this.isOver && !this.hasLeft && longestSilence !== undefined && now - this.lastOutputAt >= longestSilence) {
			this.hasLeft = true;
			this.run.cancel();
		}
	}
}
