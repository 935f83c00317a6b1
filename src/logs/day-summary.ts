/** Sums up a day from the logs of all nodes: how calls ended, what was decided, and where worth was lost. */
import {findEndedCall, type EndedCall, type Verdict} from './ended-call.js';
import {findCause, findLossGroup} from './find-cause.js';
import {findNumber, findText, type LogLine} from './log-line.js';
import {
	buildStory, isAboutFleet, sortByTime, type RequestStory,
} from './request-story.js';
import {WriterClocks} from './writer-clocks.js';

/** Lengths of prompts that are summed apart, each up to so many tokens. */
const lengths: Array<[string, number]> = [['plain', 0], ['under 15,000 tokens', 15_000], ['under 80,000', 80_000], ['80,000 and more', Infinity]];

/** Calls that lost most, told one by one. */
const mostWorst = 60;

/** Least time that counts as one of the wall, in milliseconds: collectors count from their start. */
const leastWallTime = Date.UTC(2000);

/** One kind of call, by the length of its prompt. */
export type LengthRow = {
	length: string;
	calls: number;
	byVerdict: Partial<Record<Verdict, number>>;
	/** Share of the worth that was brought, and the part that this kind lost of the worth of all. */
	brought: number;
	lost: number;
	/** How much later than predicted the first event came where a call was sent once, in milliseconds. */
	error?: {p50: number; p90: number; count: number};
};

/** One reason for which worth was lost. */
export type LossRow = {reason: string; calls: number; share: number};

/** A decision: a place, a wait or a refusal, or a node that passed the decider over. */
export type DayDecision = {at: number; node: string; event: string; service: string | undefined; waited: number};

/** A call that lost much. */
export type WorstCall = {call: EndedCall; cause: string; steps: LogLine[]};

/** A day in figures. Times in milliseconds since `origin`. */
export type DaySummary = {
	/** Wall time at which the times begin; undefined where a collector counted. */
	origin: string | undefined;
	/** All calls by the time they came. */
	calls: Array<EndedCall & {came: number}>;
	decisions: DayDecision[];
	/** Changes of who decides. */
	deciders: Array<{at: number; service: string; to: string; tellers: number}>;
	lengths: LengthRow[];
	losses: LossRow[];
	worst: WorstCall[];
	/** Share of the worth of all calls that was brought. */
	brought: number;
};

/** Gathers the lines of a day. */
export class DayGatherer {
	readonly #ends = new Map<string, EndedCall>();
	readonly #lines = new Map<string, LogLine[]>();
	readonly #fleet: LogLine[] = [];
	readonly #clocks = new WriterClocks();

	/** Takes a line of any node. */
	add(line: LogLine): void {
		this.#clocks.add(line);
		const request = findText(line, 'request');
		if (request === undefined) {
			if (isAboutFleet(line)) {
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

	/** The day; undefined when no call ended in it. */
	finish(): DaySummary | undefined {
		if (this.#ends.size === 0) {
			return undefined;
		}

		const calls = [...this.#ends.values()].sort((left, right) => findArrival(left) - findArrival(right));
		const first = findArrival(calls[0]);
		const isWall = first >= leastWallTime;
		const origin = isWall ? first : 0;
		const fleet = this.#sort(this.#fleet);
		const worth = calls.reduce((sum, call) => sum + call.worth, 0);
		const bad = calls.filter(call => call.lost > 0);
		return {
			origin: isWall ? new Date(first).toISOString() : undefined,
			calls: calls.map(call => ({...call, came: findArrival(call) - origin})),
			decisions: this.#listDecisions(origin),
			deciders: listDeciders(fleet, origin),
			lengths: lengths.flatMap((_, index) => sumLength(index, calls, worth, call => this.#findWaited(call))),
			losses: this.#sumLosses(bad, worth),
			worst: [...bad].sort((left, right) => right.lost - left.lost).slice(0, mostWorst).map(call => {
				const story = this.#buildStory(call, fleet);
				return {call, cause: findCause(story), steps: sortByTime([...story.lines, ...story.around])};
			}),
			brought: worth === 0 ? 1 : 1 - (bad.reduce((sum, call) => sum + call.lost, 0) / worth),
		};
	}

	#sort(lines: LogLine[]): LogLine[] {
		return sortByTime(lines.map(line => ({...line, at: this.#clocks.estimateTime(line)})));
	}

	#buildStory({request}: EndedCall, fleet: LogLine[]): RequestStory {
		return buildStory(request, this.#sort(this.#lines.get(request)!), fleet);
	}

	#sumLosses(bad: EndedCall[], worth: number): LossRow[] {
		const rows = new Map<string, LossRow>();
		for (const call of bad) {
			const reason = findLossGroup(this.#buildStory(call, []), call);
			const row = rows.get(reason) ?? {reason, calls: 0, share: 0};
			row.calls++;
			row.share += call.lost / worth;
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

	#findWaited({request}: EndedCall): number {
		const placed = this.#lines.get(request)!.findLast(line => line.event === 'placed');
		return placed === undefined ? 0 : findNumber(placed, 'waited') ?? 0;
	}
}

function findArrival({at, took}: EndedCall): number {
	return at - took;
}

/** Each node writes down what it chooses; one row a choice, with how many made it. */
function listDeciders(fleet: LogLine[], origin: number): DaySummary['deciders'] {
	const rows: DaySummary['deciders'] = [];
	const last = new Map<string, DaySummary['deciders'][number]>();
	for (const line of fleet) {
		const [service, to] = [findText(line, 'service'), findText(line, 'to')];
		if (line.event !== 'decider_changed' || service === undefined || to === undefined) {
			continue;
		}

		const before = last.get(service);
		if (before?.to === to) {
			before.tellers++;
			continue;
		}

		const row = {
			at: line.at - origin, service, to, tellers: 1,
		};
		last.set(service, row);
		rows.push(row);
	}

	return rows;
}

function sumLength(index: number, all: EndedCall[], worth: number, findWaited: (call: EndedCall) => number): LengthRow[] {
	const [length, most] = lengths[index];
	const least = index === 0 ? -Infinity : lengths[index - 1][1];
	// The plain ones are up to 0 tokens, the next begin at one.
	const isOf = ({promptTokens}: EndedCall) => index < 2 ? promptTokens > least && promptTokens <= Math.max(0, most - 1) : promptTokens >= least && promptTokens < most;
	const calls = all.filter(call => call.verdict !== 'rejected' && isOf(call));
	if (calls.length === 0) {
		return [];
	}

	const byVerdict: LengthRow['byVerdict'] = {};
	for (const {verdict} of calls) {
		byVerdict[verdict] = (byVerdict[verdict] ?? 0) + 1;
	}

	const errors = calls.flatMap(call => call.expectedFirst === undefined || call.expectedFirst === 0 || call.firstAfter === undefined || call.sends !== 1
		? []
		: [call.firstAfter - findWaited(call) - call.expectedFirst]).sort((left, right) => left - right);
	const owed = calls.reduce((sum, call) => sum + call.worth, 0);
	const lost = calls.reduce((sum, call) => sum + call.lost, 0);
	return [{
		length,
		calls: calls.length,
		byVerdict,
		brought: 1 - (lost / owed),
		lost: lost / worth,
		...errors.length > 0 && {error: {p50: pickShare(errors, 0.5), p90: pickShare(errors, 0.9), count: errors.length}},
	}];
}

function pickShare(sorted: number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
}
