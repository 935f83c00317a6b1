/**
 * The fleet's budget of retries, counted where all requests of a service pass: at the node that decides. Pure.
 *
 * Load pattern: servers die together and the calls they held are spread over hundreds of
 * nodes. Cut into one part a node, a budget of 460 retries leaves each of 195 nodes two in ten
 * seconds, and calls end unserved beside a budget that is mostly unused.
 *
 * Times are monotonic milliseconds.
 */
import {RetryWindow, type RetryLimits, type RetryShare} from './retry-window.js';

/**
 * Shares of the budget, so that within one window an old decider, a new one and all nodes that
 * decide alone never pass the whole of it together: 0.5 + 0.3 + 0.2 of the slack and
 * 0.6 + 0.3 of the ratio, of which a request that is counted twice may take both.
 */
const settledShare: RetryShare = {ratio: 0.6, slack: 0.5};
const freshShare: RetryShare = {ratio: 0.6, slack: 0.3};
const aloneShare: RetryShare = {ratio: 0.3, slack: 0.2};

/** Time without a request after which a node counts as new in deciding, in milliseconds: a few heartbeats, in which another one may have decided. */
const longestGap = 2000;

/** How much of the fleet is heard: the others may have a decider of their own. */
export type FleetReach = {live: number; known: number};

/** Retries of one service. */
export class FleetRetries {
	readonly #limits: RetryLimits;
	readonly #fleet: RetryWindow;
	readonly #own: RetryWindow;
	#decidesSince = -Infinity;
	#decidedAt = -Infinity;

	constructor(limits: RetryLimits) {
		this.#limits = limits;
		this.#fleet = new RetryWindow(limits);
		this.#own = new RetryWindow(limits);
	}

	/** Notes a request of any node that this one decides; worth in tokens. */
	addDecided(now: number, worth: number): void {
		if (now - this.#decidedAt > longestGap) {
			this.noteChange(now);
		}

		this.#decidedAt = now;
		this.#fleet.addRequest(now, worth);
	}

	/** Notes a request of this node itself, whoever decides it; worth in tokens. */
	addOwn(now: number, worth: number): void {
		this.#own.addRequest(now, worth);
	}

	/** Notes that nodes have just changed from another decider to this one: that one's retries count in the same window. */
	noteChange(now: number): void {
		this.#decidesSince = now;
	}

	/** Grants a retry out of the fleet's budget, as its decider. */
	grant(now: number, worth: number, reach: FleetReach): boolean {
		const isSettled = now - this.#decidesSince >= this.#limits.window;
		const {ratio, slack} = isSettled ? settledShare : freshShare;
		return this.#fleet.takeRetry(now, {ratio, slack: slack * reach.live / Math.max(1, reach.known)}, worth);
	}

	/** Takes a retry out of this node's own small part, when no decider answers. */
	takeAlone(now: number, worth: number, reach: FleetReach): boolean {
		const {ratio, slack} = aloneShare;
		return this.#own.takeRetry(now, {ratio, slack: slack / Math.max(1, reach.known)}, worth);
	}
}
