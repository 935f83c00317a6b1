/**
 * The retry budget of a service for the whole fleet, counted at the scheduling node, which sees all requests. Pure.
 *
 * Load pattern: servers fail together, and their calls are spread over hundreds of nodes. Divided by node, a budget of 460 retries leaves each
 * of 195 nodes two in ten seconds, and calls fail although most of the budget is unused.
 *
 * Second load pattern: nodes restart one by one or all together, or half of the fleet is partitioned, while most calls fail. Nodes remember the
 * retries that they took and report them to a new scheduling node. A node contributes its part of the budget only as far as its history covers
 * the window, so a process that has just started contributes only its startup credit.
 *
 * Times are monotonic milliseconds.
 */
import {
	RetryWindow, type RetryAllowance, type RetryLimits, type GrantShare,
} from './retry-window.js';
import {RetryHistories, type RetryHistory, type ReportingNode} from './retry-histories.js';

/**
 * Shares of the budget: what the scheduling node grants, and what nodes take when it does not answer. The remainder covers what no history
 * records: retries of nodes that have restarted since, and requests counted twice while the scheduling node changes. In 1,200 simulated
 * series of up to four restarts and partitions, six nodes that retry every request up to four times stay within a budget of 148 by 3 at least.
 */
const schedulerShare: GrantShare = {ratio: 0.6, slack: 0.35};
const fallbackShare: GrantShare = {ratio: 0.3, slack: 0.08};

/** Time without a request after which a node counts as newly scheduling, in milliseconds: a few heartbeats, during which another node may have decided. */
const maxSchedulingGap = 2000;

/** Time within which every node has reported its history to a new scheduling node, in milliseconds: its heartbeats, plus one check a second of which node decides. */
const historyReportTime = 3000;

/** Part of the window that a process contributes at its start, in milliseconds: it spent nothing while it was down, and callers whose calls were cut retry together then. */
const startupCredit = 3000;

/** A live node, possibly the scheduling one; `life` identifies its process, `observedFor` is how long that process has been observed, in milliseconds. */
export type LiveNode = {life: string; observedFor: number};

/** How much of the fleet a node reaches: the others may have a scheduling node of their own. */
export type FleetMembership = {
	live: LiveNode[];
	/** Number of nodes seen recently, live or not, including this one. */
	known: number;
	/** Milliseconds since this node's process started. */
	age: number;
};

/** A request or retry of this node, and the process that decided it. */
type RecordedCall = {at: number; scheduler: string; value: number};

/** Retry budget of one service. */
export class FleetRetryBudget {
	readonly #limits: RetryLimits;
	readonly #fleetWindow: RetryWindow;
	readonly #ownWindow: RetryWindow;
	readonly #histories: RetryHistories;
	#requests: RecordedCall[] = [];
	#retries: RecordedCall[] = [];
	#schedulingSince = -Infinity;
	#lastDecidedAt = -Infinity;

	constructor(limits: RetryLimits) {
		this.#limits = limits;
		this.#fleetWindow = new RetryWindow(limits);
		this.#ownWindow = new RetryWindow(limits);
		this.#histories = new RetryHistories(limits.window);
	}

	/** Changes the budget. */
	setAllowance(allowance: RetryAllowance): void {
		this.#fleetWindow.setAllowance(allowance);
		this.#ownWindow.setAllowance(allowance);
	}

	/** Records a request of any node that this node decides; value in tokens. */
	recordDecided(now: number, value: number): void {
		if (now - this.#lastDecidedAt > maxSchedulingGap) {
			this.#startScheduling(now);
		}

		this.#lastDecidedAt = now;
		this.#fleetWindow.addRequest(now, value);
	}

	/** Records a request of this node and the process that decides it; value in tokens. */
	recordOwn(now: number, value: number, scheduler: string): void {
		this.#ownWindow.addRequest(now, value);
		this.#requests.push({at: now, scheduler, value});
		this.#prune(now);
	}

	/** Records a retry of this node that a scheduling node granted. */
	recordGranted(now: number, scheduler: string): void {
		this.#retries.push({at: now, scheduler, value: 0});
		this.#prune(now);
	}

	/** The history that this node reports to a new scheduling node, without what that node has decided itself. */
	describeHistory(now: number, {life, age, known}: ReportingNode, scheduler: string): RetryHistory {
		this.#prune(now);
		const requests = this.#requests.filter(request => request.scheduler !== scheduler);
		const value = requests.reduce((sum, request) => sum + request.value, 0);
		const computeAge = ({at}: RecordedCall) => Math.round(now - at);
		return {
			life,
			age: Math.round(age),
			known,
			requests: requests.map(request => computeAge(request)),
			retries: this.#retries.filter(retry => retry.scheduler !== scheduler).map(retry => computeAge(retry)),
			meanWorth: requests.length === 0 ? 0 : value / requests.length,
		};
	}

	/** Adds the history that a node reports to this scheduling node. */
	addHistory(history: RetryHistory, now: number): void {
		this.#histories.add(history, now);
	}

	/** Grants a retry from the fleet's budget, as the scheduling node. */
	grant(now: number, value: number, membership: FleetMembership): boolean {
		return this.#fleetWindow.takeRetry(now, this.#computeGrantShare(now, membership), value, this.#histories.count(now));
	}

	/** Retries that the scheduling node may still grant. */
	countRemaining(now: number, membership: FleetMembership): number {
		return this.#fleetWindow.countRemaining(now, this.#computeGrantShare(now, membership), this.#histories.count(now));
	}

	/** Takes a retry from this node's own small share when no scheduling node answers. */
	takeFallback(now: number, value: number, {known, age}: FleetMembership): boolean {
		const {ratio, slack} = fallbackShare;
		return this.#ownWindow.takeRetry(now, {ratio, slack: slack * this.#computeWindowCoverage(age) / Math.max(1, known)}, value);
	}

	/** The counts that the next grant is based on; `memory` is the share of the fleet whose history is known. */
	describeBudget(now: number, membership: FleetMembership): {requests: number; retries: number; memory: number} {
		const [own, reported] = [this.#fleetWindow.count(now), this.#histories.count(now)];
		return {requests: own.requests + reported.requests, retries: own.retries + reported.retries, memory: this.#computeCoverage(now, membership)};
	}

	/** Shares of the budget that the scheduling node may grant. */
	#computeGrantShare(now: number, membership: FleetMembership): GrantShare {
		const {ratio, slack} = schedulerShare;
		return {ratio, slack: slack * this.#computeCoverage(now, membership)};
	}

	#startScheduling(now: number): void {
		this.#schedulingSince = now;
		this.#histories.dropBefore(now - maxSchedulingGap);
	}

	/** Share of the fleet, from 0 to 1, whose retries over the whole window are known here. */
	#computeCoverage(now: number, {live, known}: FleetMembership): number {
		const isReportTimeOver = now - this.#schedulingSince >= historyReportTime;
		const coverages = live.map(({life, observedFor}) => {
			const age = this.#histories.computeHistoryAge(life, now) ?? (isReportTimeOver ? observedFor : undefined);
			return age === undefined ? 0 : this.#computeWindowCoverage(age);
		});
		return coverages.reduce((sum, coverage) => sum + coverage, 0) / Math.max(1, known, this.#histories.findMaxKnown());
	}

	/** Share of the window, from 0 to 1, that a node's history covers. */
	#computeWindowCoverage(age: number): number {
		return Math.min(1, (age + startupCredit) / this.#limits.window);
	}

	#prune(now: number): void {
		const oldest = now - this.#limits.window;
		const isRecent = ({at}: RecordedCall) => at >= oldest;
		if (this.#requests.length > 0 && !isRecent(this.#requests[0])) {
			this.#requests = this.#requests.filter(request => isRecent(request));
		}

		if (this.#retries.length > 0 && !isRecent(this.#retries[0])) {
			this.#retries = this.#retries.filter(retry => isRecent(retry));
		}
	}
}
