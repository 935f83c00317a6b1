/** Finds a place for one call: asks until there is one. */
import type {
	AvailabilityZone, BackendServerId, BoxId, Clock, Failure, Timer,
} from '../../common/index.js';
import {findMaxSilence} from './backend-attempt.js';
import type {Call} from './call.js';
import type {PlacementAnswer, Placement, Placer} from './placer.js';

/** What a seeker needs. */
export type PlacementFinderParts = {
	clock: Clock;
	placer: Placer;
	call: Call;
	/** Name and availability zone of this node. */
	node: BoxId;
	availabilityZone: AvailabilityZone;
	/** When the call must have ended, by the monotonic clock. */
	deadline: number;
};

/** Places for one call, one after another. */
export class PlacementFinder {
	/** Servers that must not be chosen again. */
	readonly excluded: BackendServerId[] = [];
	/** Those among them that answered with a failure. */
	readonly failedAt: BackendServerId[] = [];
	/** When the caller saw the last event; undefined before the first. */
	lastEventAt: number | undefined;
	readonly #parts: PlacementFinderParts;
	#isStopped = false;
	/** Since when a place beside a silent server is sought in vain. */
	#hedgeSoughtSince: number | undefined;
	#skipWait: (() => void) | undefined;

	constructor(parts: PlacementFinderParts) {
		this.#parts = parts;
	}

	/** Time until the call must have ended, in milliseconds. */
	get timeLeft(): number {
		return Math.max(0, this.#parts.deadline - this.#parts.clock.readMonotonic());
	}

	/** A place; a failure; or undefined once stopped. `hasBegun` says whether the caller has seen the head of an answer. */
	async findPlacement(hasBegun: boolean): Promise<Placement | Failure | undefined> {
		const firstAskedAt = this.#parts.clock.readMonotonic();
		// Exactly 0 for the first ask: only that one counts as a request that came.
		let waited = 0;
		for (;;) {
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

	/** A place that is free already, beside a server that still runs the request; undefined when there is none at once. Whoever does not use it gives it back, also after a stop. */
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

	/** Ends all waiting. */
	stop(): void {
		this.#isStopped = true;
		this.#skipWait?.();
	}

	async #ask(waited: number, hasBegun: boolean, excluded = this.excluded): Promise<PlacementAnswer | Failure> {
		const {
			clock, placer, call, node, availabilityZone,
		} = this.#parts;
		const {route, service, organisation, head, arrived} = call;
		const now = clock.readMonotonic();
		const result = await placer.place({
			requestId: head.requestId,
			service: service.name,
			node,
			availabilityZone,
			organisation: organisation?.name,
			promptTokens: head.promptTokens,
			outputTokens: head.outputTokens,
			waited,
			objective: route.objective - (now - arrived),
			patience: this.#findPatience(now),
			timeLeft: this.timeLeft,
			longestPause: route.longestPause,
			longestSilence: findMaxSilence(route),
			route: route.name,
			callerWaits: head.timeLeft,
			hasBegun,
			fingerprint: call.fingerprint,
			excluded,
			failedAt: this.failedAt,
		});
		return result.caseOf<PlacementAnswer | Failure>({Left: failure => failure, Right: value => value});
	}

	/** Time until the caller leaves when nothing comes: it counts from its last event, or from its call. */
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
