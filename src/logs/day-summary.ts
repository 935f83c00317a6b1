/** Summarises a day of logs of all nodes: outcomes of calls, scheduling decisions and reasons for lost value. */
import {findEndedCall, type EndedCall, type Verdict} from './ended-call.js';
import {findCause, findLossGroup} from './find-cause.js';
import {findNumber, findText, type LogLine} from './log-line.js';
import {
	buildTimeline, isFleetLine, sortByTime, type RequestTimeline,
} from './request-timeline.js';
import {WriterClocks} from './writer-clocks.js';

/** Classes of prompt length, each with its upper bound in tokens. */
const lengthClasses: Array<[string, number]> = [['plain', 0], ['under 15,000 tokens', 15_000], ['under 80,000', 80_000], ['80,000 and more', Infinity]];

/** Maximum number of calls listed one by one, those with the largest loss first. */
const maxWorstCalls = 60;

/** Earliest time taken as wall time, in milliseconds; smaller values count from the start of the log collector. */
const minWallTime = Date.UTC(2000);

/** Outcomes of the calls of one class of prompt length. */
export type LengthRow = {
	length: string;
	calls: number;
	byVerdict: Partial<Record<Verdict, number>>;
	/** Share of the value of this class that was delivered, and the value it lost as a share of that of all calls. */
	valueShare: number;
	lostShare: number;
	/** Delay of the first event beyond the prediction, in milliseconds, for calls that were sent once. */
	predictionError?: {p50: number; p90: number; count: number};
};

/** Value lost for one reason, as a share of the value of all calls. */
export type LossRow = {reason: string; calls: number; share: number};

/** A scheduling decision: a placement, a wait, a refusal, or a node bypassing the scheduler. `waited` is in milliseconds. */
export type DayDecision = {at: number; node: string; event: string; service: string | undefined; waited: number};

/** A call that lost value, with its cause and log lines. */
export type WorstCall = {call: EndedCall; cause: string; steps: LogLine[]};

/** Summary of a day. Times are in milliseconds since `origin`. */
export type DaySummary = {
	/** Wall time of the first arrival; undefined if the times count from the start of a log collector. */
	origin: string | undefined;
	/** All calls, sorted by arrival. */
	calls: Array<EndedCall & {arrivedAt: number}>;
	decisions: DayDecision[];
	/** Changes of a service's scheduler, with the number of nodes that reported each. */
	schedulerChanges: Array<{at: number; service: string; to: string; nodeCount: number}>;
	lengths: LengthRow[];
	losses: LossRow[];
	worstCalls: WorstCall[];
	/** Share of the value of all calls that was delivered. */
	valueShare: number;
};

/** Collects the log lines of a day. */
export class DayCollector {
	readonly #ends = new Map<string, EndedCall>();
	readonly #lines = new Map<string, LogLine[]>();
	readonly #fleet: LogLine[] = [];
	readonly #clocks = new WriterClocks();

	/** Adds a line of any node. */
	add(line: LogLine): void {
		this.#clocks.add(line);
		const request = findText(line, 'request');
		if (request === undefined) {
			if (isFleetLine(line)) {
				this.#fleet.push(line);
			}

			return;
		}

		const ended = findEndedCall(line);
		if (ended !== undefined) {
			this.#ends.set(request, ended);
		}

		const lines = this.#lines.get(request);
		if (lines === undefined) {
			this.#lines.set(request, [line]);
		} else {
			lines.push(line);
		}
	}

	/** Returns the summary; undefined if no call ended. */
	finish(): DaySummary | undefined {
		if (this.#ends.size === 0) {
			return undefined;
		}

		const calls = [...this.#ends.values()].sort((left, right) => findArrival(left) - findArrival(right));
		const first = findArrival(calls[0]);
		const isWallTime = first >= minWallTime;
		const origin = isWallTime ? first : 0;
		const fleet = this.#sort(this.#fleet);
		const totalValue = calls.reduce((sum, call) => sum + call.value, 0);
		const lossyCalls = calls.filter(call => call.lostValue > 0);
		return {
			origin: isWallTime ? new Date(first).toISOString() : undefined,
			calls: calls.map(call => ({...call, arrivedAt: findArrival(call) - origin})),
			decisions: this.#listDecisions(origin),
			schedulerChanges: listSchedulerChanges(fleet, origin),
			lengths: lengthClasses.flatMap((_, index) => summariseLength(index, calls, totalValue, call => this.#findWaitTime(call))),
			losses: this.#sumLosses(lossyCalls, totalValue),
			worstCalls: [...lossyCalls].sort((left, right) => right.lostValue - left.lostValue).slice(0, maxWorstCalls).map(call => {
				const timeline = this.#buildTimeline(call, fleet);
				return {call, cause: findCause(timeline), steps: sortByTime([...timeline.lines, ...timeline.related])};
			}),
			valueShare: totalValue === 0 ? 1 : 1 - (lossyCalls.reduce((sum, call) => sum + call.lostValue, 0) / totalValue),
		};
	}

	#sort(lines: LogLine[]): LogLine[] {
		return sortByTime(lines.map(line => ({...line, at: this.#clocks.estimateTime(line)})));
	}

	#buildTimeline({request}: EndedCall, fleet: LogLine[]): RequestTimeline {
		return buildTimeline(request, this.#sort(this.#lines.get(request)!), fleet);
	}

	#sumLosses(lossyCalls: EndedCall[], totalValue: number): LossRow[] {
		const rows = new Map<string, LossRow>();
		for (const call of lossyCalls) {
			const reason = findLossGroup(this.#buildTimeline(call, []), call);
			const row = rows.get(reason) ?? {reason, calls: 0, share: 0};
			row.calls++;
			row.share += call.lostValue / totalValue;
			rows.set(reason, row);
		}

		return [...rows.values()].sort((left, right) => right.share - left.share);
	}

	#listDecisions(origin: number): DayDecision[] {
		const events = new Set(['placed', 'waits', 'refused', 'decider_passed_over']);
		return [...this.#lines.values()].flat().filter(line => events.has(line.event)).map(line => ({
			at: this.#clocks.estimateTime(line) - origin,
			node: line.writer,
			event: line.event,
			service: findText(line, 'service'),
			waited: findNumber(line, 'waited') ?? 0,
		}));
	}

	#findWaitTime({request}: EndedCall): number {
		const placed = this.#lines.get(request)!.findLast(line => line.event === 'placed');
		return placed === undefined ? 0 : findNumber(placed, 'waited') ?? 0;
	}
}

function findArrival({at, took}: EndedCall): number {
	return at - took;
}

/** Every node logs the scheduler it chooses; equal choices in succession are merged into one row. */
function listSchedulerChanges(fleet: LogLine[], origin: number): DaySummary['schedulerChanges'] {
	const rows: DaySummary['schedulerChanges'] = [];
	const last = new Map<string, DaySummary['schedulerChanges'][number]>();
	for (const line of fleet) {
		const [service, to] = [findText(line, 'service'), findText(line, 'to')];
		if (line.event !== 'decider_changed' || service === undefined || to === undefined) {
			continue;
		}

		const previous = last.get(service);
		if (previous?.to === to) {
			previous.nodeCount++;
			continue;
		}

		const row = {
			at: line.at - origin, service, to, nodeCount: 1,
		};
		last.set(service, row);
		rows.push(row);
	}

	return rows;
}

function summariseLength(index: number, all: EndedCall[], totalValue: number, findWaitTime: (call: EndedCall) => number): LengthRow[] {
	const [length, max] = lengthClasses[index];
	const min = index === 0 ? -Infinity : lengthClasses[index - 1][1];
	// Calls without a prompt have 0 tokens, so the next class begins at 1.
	const isInClass = ({promptTokens}: EndedCall) => index < 2 ? promptTokens > min && promptTokens <= Math.max(0, max - 1) : promptTokens >= min && promptTokens < max;
	const calls = all.filter(call => call.verdict !== 'rejected' && isInClass(call));
	if (calls.length === 0) {
		return [];
	}

	const byVerdict: LengthRow['byVerdict'] = {};
	for (const {verdict} of calls) {
		byVerdict[verdict] = (byVerdict[verdict] ?? 0) + 1;
	}

	const errors = calls.flatMap(call => call.expectedFirst === undefined || call.expectedFirst === 0 || call.firstAfter === undefined || call.sends !== 1
		? []
		: [call.firstAfter - findWaitTime(call) - call.expectedFirst]).sort((left, right) => left - right);
	const value = calls.reduce((sum, call) => sum + call.value, 0);
	const lostValue = calls.reduce((sum, call) => sum + call.lostValue, 0);
	return [{
		length,
		calls: calls.length,
		byVerdict,
		valueShare: 1 - (lostValue / value),
		lostShare: lostValue / totalValue,
		...errors.length > 0 && {predictionError: {p50: findPercentile(errors, 0.5), p90: findPercentile(errors, 0.9), count: errors.length}},
	}];
}

function findPercentile(sorted: number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}
