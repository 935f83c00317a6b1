/** Finds a placement for one call: asks until one is granted. */
import {
	createFailure, type AvailabilityZone, type BackendServerId, type BoxId, type Clock, type Failure, type Timer,
} from '../../common/index.js';
import {findPriority} from '../../routing/index.js';
import {findMaxSilence} from './backend-attempt.js';
import {canRepeat, type Call} from './call.js';
import type {PlacementAnswer, Placement, Placer} from './placer.js';

/** Dependencies of a placement finder. */
export type PlacementFinderParts = {
	clock: Clock;
	placer: Placer;
	call: Call;
	/** Name and availability zone of this node. */
	node: BoxId;
	availabilityZone: AvailabilityZone;
	/** Deadline of the call, by the monotonic clock, in milliseconds. */
	deadline: number;
	/** When this node cuts off calls, by the monotonic clock; Infinity unless it is stopping. */
	readStopTime: () => number;
	/** Whether a call that has not been sent can end before this node cuts it off. */
	endsBeforeStop: () => boolean;
	/** Time until another node is expected to serve what this one refuses in a stop, in milliseconds. */
	estimateReturnDelay: () => number;
};

/** The failure of a call that has not run and that a stopping node cannot serve; `delay` is the time until another node is expected to, in milliseconds. */
export function createStoppedFailure(delay: number): Failure {
	return createFailure('node_stopped', 'this node is stopping and can\'t serve the request before; use another address', {ran: 'no', retryAfterSeconds: delay / 1000});
}

/** Finds the placements of one call, one after another. */
export class PlacementFinder {
	/** Servers that must not be chosen again. */
	readonly excluded: BackendServerId[] = [];
	/** Excluded servers that answered with an error. */
	readonly failedAt: BackendServerId[] = [];
	/** When the last event was forwarded, by the monotonic clock, in milliseconds; undefined before the first. */
	lastEventAt: number | undefined;
	readonly #parts: PlacementFinderParts;
	#isStopped = false;
	/** Start of the current search for a hedge; undefined when there is none. */
	#hedgeSoughtSince: number | undefined;
	#skipWait: (() => void) | undefined;

	constructor(parts: PlacementFinderParts) {
		this.#parts = parts;
	}

	/** Time until the deadline of the call, in milliseconds. */
	get timeLeft(): number {
		return Math.max(0, this.#parts.deadline - this.#parts.clock.readMonotonic());
	}

	/** Waits for a placement or a failure; undefined once stopped. `hasBegun` says whether the caller has received the head of an answer. */
	async findPlacement(hasBegun: boolean): Promise<Placement | Failure | undefined> {
		const firstAskedAt = this.#parts.clock.readMonotonic();
		// Exactly 0 for the first ask: only that one counts as an arrival.
		let waited = 0;
		for (;;) {
			if (!this.#parts.endsBeforeStop()) {
				return createStoppedFailure(this.#parts.estimateReturnDelay());
			}

			const answer = await this.#ask(waited, hasBegun);
			if ('askAgainIn' in answer) {
				await this.#wait(answer.askAgainIn);
				waited = this.#parts.clock.readMonotonic() - firstAskedAt;
				if (this.#isStopped) {
					return undefined;
				}

				continue;
			}

			return answer;
		}
	}

	/** Asks once for a placement beside a server that still runs the request; undefined when none is free. It must be used or released, even after a stop. */
	async findHedge(hasBegun: boolean, runningServer: BackendServerId): Promise<Placement | undefined> {
		const now = this.#parts.clock.readMonotonic();
		this.#hedgeSoughtSince ??= now;
		const answer = await this.#ask(now - this.#hedgeSoughtSince, hasBegun, [...this.excluded, runningServer]);
		if (!('plan' in answer)) {
			return undefined;
		}

		this.#hedgeSoughtSince = undefined;
		return answer;
	}

	/** Checks a waiting call again at once. */
	askNow(): void {
		this.#skipWait?.();
	}

	/** Ends a wait in progress and any later one. */
	stop(): void {
		this.#isStopped = true;
		this.#skipWait?.();
	}

	async #ask(waited: number, hasBegun: boolean, excluded = this.excluded): Promise<PlacementAnswer | Failure> {
		const {
			clock, placer, call, node, availabilityZone, readStopTime, estimateReturnDelay,
		} = this.#parts;
		const {route, service, organisation, head, arrived} = call;
		const now = clock.readMonotonic();
		const untilStop = Math.max(0, readStopTime() - now);
		const result = await placer.place({
			requestId: head.requestId,
			service: service.name,
			node,
			availabilityZone,
			organisation: organisation?.name,
			priority: findPriority(route, organisation),
			promptTokens: head.promptTokens,
			outputTokens: head.outputTokens,
			waited,
			objective: route.objective - (now - arrived),
			patience: Math.min(untilStop, this.#findPatience(now)),
			timeLeft: Math.min(untilStop, this.timeLeft),
			longestPause: route.longestPause,
			longestSilence: findMaxSilence(route),
			route: route.name,
			callerWaits: head.timeLeft,
			hasBegun,
			fingerprint: call.fingerprint,
			parts: call.parts.length === 0 ? undefined : call.parts,
			canRepeat: canRepeat(route),
			excluded,
			failedAt: this.failedAt,
		});
		return result.caseOf<PlacementAnswer | Failure>({
			Left: failure => failure.kind === 'overloaded' && untilStop < this.timeLeft ? createStoppedFailure(estimateReturnDelay()) : failure,
			Right: value => value,
		});
	}

	/** Time until the caller disconnects if it receives nothing, counted from its last event or its arrival; in milliseconds. */
	#findPatience(now: number): number {
		const {arrived, route} = this.#parts.call;
		const leavesAt = (this.lastEventAt ?? arrived) + (route.longestSilence ?? Infinity);
		return Math.min(this.timeLeft, Math.max(0, leavesAt - now));
	}

	async #wait(delay: number): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		let timer: Timer | undefined;
		await new Promise<void>(resolve => {
			timer = this.#parts.clock.setTimer(delay, resolve);
			this.#skipWait = resolve;
		});
		timer?.cancel();
		this.#skipWait = undefined;
	}
}
