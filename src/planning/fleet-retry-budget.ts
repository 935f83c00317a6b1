/**
 * The fleet's budget of retries, counted where all requests of a service pass: at the node that decides. Pure.
 *
 * Load pattern: servers die together and the calls they held are spread over hundreds of
 * nodes. Cut into one part a node, a budget of 460 retries leaves each of 195 nodes two in ten
 * seconds, and calls end unserved beside a budget that is mostly unused.
 *
 * Second load pattern: nodes start again, one after the other or all together, and half of the
 * fleet is cut off, while most calls fail. What was spent is remembered by the nodes that spent
 * it, and told to whoever decides next; of the budget, a node brings its part only in so far as
 * its memory reaches back over the window. A process that has just started brings nothing.
 *
 * Times are monotonic milliseconds.
 */
import {
	RetryWindow, type RetryAllowance, type RetryLimits, type GrantShare,
} from './retry-window.js';
import {RetryHistories, type RetryHistory, type ReportingNode} from './retry-histories.js';

/**
 * Shares of the budget: what nodes take alone adds to what the decider grants. The rest is for
 * what no memory covers: retries of nodes that have started again since, and requests counted
 * twice while nodes change from one decider to another. Six nodes whose every request is sent
 * five times if it may, through 1,200 drawn series of up to four restarts and cuts, stay within
 * a budget of 148 by 3 at least with these, and pass it by 5 with 0.42 and a head start of 2 s.
 */
const deciderShare: GrantShare = {ratio: 0.6, slack: 0.35};
const aloneShare: GrantShare = {ratio: 0.3, slack: 0.08};

/** Time without a request after which a node counts as new in deciding, in milliseconds: a few heartbeats, in which another one may have decided. */
const longestGap = 2000;

/** Time in which every node that has something to tell has told a new decider, in milliseconds: its heartbeats, and one look a second at who decides. */
const tellTime = 3000;

/** Part of the window that a process brings at once when it starts, in milliseconds: it was away for a while and spent nothing, and callers whose calls were cut come back together then. */
const headStart = 3000;

/** A live node, the deciding one among them, and for how long it has been heard of in its present life. */
export type LiveNode = {life: string; observedFor: number};

/** How much of the fleet is heard: the others may have a decider of their own. */
export type FleetMembership = {
	live: LiveNode[];
	/** Nodes that were heard of lately, live or not, this one among them. */
	known: number;
	/** Milliseconds since this node's process started. */
	age: number;
};

/** A request or a retry of this node, and the life of the node that decided it. */
type Remembered = {at: number; decider: string; worth: number};

/** Retries of one service. */
export class FleetRetryBudget {
	readonly #limits: RetryLimits;
	readonly #fleet: RetryWindow;
	readonly #own: RetryWindow;
	readonly #told: RetryHistories;
	#requests: Remembered[] = [];
	#retries: Remembered[] = [];
	#decidesSince = -Infinity;
	#decidedAt = -Infinity;

	constructor(limits: RetryLimits) {
		this.#limits = limits;
		this.#fleet = new RetryWindow(limits);
		this.#own = new RetryWindow(limits);
		this.#told = new RetryHistories(limits.window);
	}

	/** Changes how much is allowed. */
	setAllowance(allowed: RetryAllowance): void {
		this.#fleet.setAllowance(allowed);
		this.#own.setAllowance(allowed);
	}

	/** Notes a request of any node that this one decides; worth in tokens. */
	recordDecided(now: number, worth: number): void {
		if (now - this.#decidedAt > longestGap) {
			this.#beginDeciding(now);
		}

		this.#decidedAt = now;
		this.#fleet.addRequest(now, worth);
	}

	/** Notes a request of this node itself and the life of the node that decides it; worth in tokens. */
	recordOwn(now: number, worth: number, decider: string): void {
		this.#own.addRequest(now, worth);
		this.#requests.push({at: now, decider, worth});
		this.#forget(now);
	}

	/** Notes a retry of this node that a node granted out of the fleet's budget, by that one's life. */
	recordGranted(now: number, decider: string): void {
		this.#retries.push({at: now, decider, worth: 0});
		this.#forget(now);
	}

	/** What this node is to tell a node that decides for it from now on. */
	describeHistory(now: number, {life, age, known}: ReportingNode, decider: string): RetryHistory {
		this.#forget(now);
		const requests = this.#requests.filter(request => request.decider !== decider);
		const worth = requests.reduce((sum, request) => sum + request.worth, 0);
		const countBack = ({at}: Remembered) => Math.round(now - at);
		return {
			life,
			age: Math.round(age),
			known,
			requests: requests.map(request => countBack(request)),
			retries: this.#retries.filter(retry => retry.decider !== decider).map(retry => countBack(retry)),
			meanWorth: requests.length === 0 ? 0 : worth / requests.length,
		};
	}

	/** Takes what a node remembers that asks this one from now on. */
	addHistory(history: RetryHistory, now: number): void {
		this.#told.add(history, now);
	}

	/** Grants a retry out of the fleet's budget, as its decider. */
	grant(now: number, worth: number, reach: FleetMembership): boolean {
		return this.#fleet.takeRetry(now, this.#findShare(now, reach), worth, this.#told.count(now));
	}

	/** Retries that the decider has left to grant. */
	countRemaining(now: number, reach: FleetMembership): number {
		return this.#fleet.countRemaining(now, this.#findShare(now, reach), this.#told.count(now));
	}

	/** Takes a retry out of this node's own small part, when no decider answers. */
	takeFallback(now: number, worth: number, {known, age}: FleetMembership): boolean {
		const {ratio, slack} = aloneShare;
		return this.#own.takeRetry(now, {ratio, slack: slack * this.#measureReach(age) / Math.max(1, known)}, worth);
	}

	/** What the next grant goes by. */
	describeBudget(now: number, reach: FleetMembership): {requests: number; retries: number; memory: number} {
		const [own, told] = [this.#fleet.count(now), this.#told.count(now)];
		return {requests: own.requests + told.requests, retries: own.retries + told.retries, memory: this.#measureMemory(now, reach)};
	}

	/** What the decider may grant out of the bounds. */
	#findShare(now: number, reach: FleetMembership): GrantShare {
		const {ratio, slack} = deciderShare;
		return {ratio, slack: slack * this.#measureMemory(now, reach)};
	}

	#beginDeciding(now: number): void {
		this.#decidesSince = now;
		this.#told.dropBefore(now - longestGap);
	}

	/** Part of the fleet, from 0 to 1, whose retries of the whole window are counted here. */
	#measureMemory(now: number, {live, known}: FleetMembership): number {
		const hasHeardAll = now - this.#decidesSince >= tellTime;
		const parts = live.map(({life, observedFor: heardFor}) => {
			const age = this.#told.computeHistoryAge(life, now) ?? (hasHeardAll ? heardFor : undefined);
			return age === undefined ? 0 : this.#measureReach(age);
		});
		return parts.reduce((sum, part) => sum + part, 0) / Math.max(1, known, this.#told.findMaxKnown());
	}

	/** Part of the window, from 0 to 1, over which a node's memory reaches back. */
	#measureReach(age: number): number {
		return Math.min(1, (age + headStart) / this.#limits.window);
	}

	#forget(now: number): void {
		const oldest = now - this.#limits.window;
		const isRecent = ({at}: Remembered) => at >= oldest;
		if (this.#requests.length > 0 && !isRecent(this.#requests[0])) {
			this.#requests = this.#requests.filter(request => isRecent(request));
		}

		if (this.#retries.length > 0 && !isRecent(this.#retries[0])) {
			this.#retries = this.#retries.filter(retry => isRecent(retry));
		}
	}
}
