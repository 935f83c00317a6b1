/** What a replayed day of the routed path brought, as a share of what it could have brought. */
import type {RoutedRecord} from './replayed-request.js';
import type {DrawnDay, Workload} from './workloads.js';

/** Share of its worth that an answer brings when it is late: the customers' sheets state a quarter. */
const lateShare = 0.25;

/** Worth grows with the prompt, from this share of the mean, to this many times the mean. */
const baseShare = 0.3;
const mostShare = 4;

/** Length of the windows of which the worst count, in milliseconds, and how many do. */
const windowLength = 4000;
const worstWindows = 2;

/** Weights of the whole day, the worst windows and the worst kind of request: those of a customer's sheet. */
const weights = {day: 0.6, windows: 0.25, flow: 0.15};

/** How one kind of request fared: counts, and the share of its worth that was brought. */
export type FlowMeasures = {
	all: number;
	inTime: number;
	lateFirst: number;
	longPause: number;
	refused: number;
	left: number;
	/** Share of its worth that was brought, 0 to 1. */
	brought: number;
};

/** The measures of one day. */
export type RoutedMeasures = {
	/** Share of all worth that was brought, 0 to 1. */
	brought: number;
	/** The same over the worst windows. */
	worstWindows: number;
	/** The same for the worst kind of request. */
	worstFlow: number;
	/** The three together, as the customers weigh them. */
	weighted: number;
	flows: Record<string, FlowMeasures>;
};

/** Computes the measures of a replay. */
export function measureRouted(workload: Workload, day: DrawnDay, records: RoutedRecord[]): RoutedMeasures {
	const flows: Record<string, FlowMeasures> = {};
	for (const flow of workload.flows) {
		flows[flow.name] = measureFlow(records.filter(record => record.request.flow === flow));
	}

	const windows = Array.from({length: Math.ceil(day.length / windowLength)}, (_, index) =>
		shareBrought(records.filter(({request}) => Math.floor(request.at / windowLength) === index)));
	const worst = windows.sort((left, right) => left - right).slice(0, worstWindows);
	const brought = shareBrought(records);
	const inWorstWindows = worst.reduce((sum, share) => sum + share, 0) / worst.length;
	const worstFlow = Math.min(...Object.values(flows).map(flow => flow.brought));
	const weighted = (weights.day * brought) + (weights.windows * inWorstWindows) + (weights.flow * worstFlow);
	return {
		brought, worstWindows: inWorstWindows, worstFlow, weighted, flows,
	};
}

function measureFlow(records: RoutedRecord[]): FlowMeasures {
	const whole = records.filter(record => record.outcome === 'whole');
	const isPaused = (record: RoutedRecord) => record.longestPause > record.request.flow.longestPause;
	const isLate = (record: RoutedRecord) => record.firstAfter > record.request.flow.objective;
	return {
		all: records.length,
		inTime: whole.filter(record => isInTime(record)).length,
		lateFirst: whole.filter(record => isLate(record)).length,
		longPause: whole.filter(record => isPaused(record) && !isLate(record)).length,
		refused: records.filter(record => record.outcome === 'refused').length,
		left: records.filter(record => record.outcome === 'left').length,
		brought: shareBrought(records),
	};
}

function shareBrought(records: RoutedRecord[]): number {
	let owed = 0;
	let brought = 0;
	for (const record of records) {
		const worth = computeWorth(record);
		owed += worth;
		brought += record.outcome === 'whole' ? worth * (isInTime(record) ? 1 : lateShare) : 0;
	}

	return owed === 0 ? 1 : brought / owed;
}

function computeWorth({request: {flow, promptTokens}}: RoutedRecord): number {
	const size = promptTokens / flow.promptTokens.mean;
	return flow.value * Math.min(mostShare, baseShare + ((1 - baseShare) * size));
}

function isInTime({firstAfter, longestPause, request: {flow}}: RoutedRecord): boolean {
	return firstAfter <= flow.objective && longestPause <= flow.longestPause;
}
