/** The measures of the users' brief, from the records of a replay. */
import {quantileSorted} from 'simple-statistics';
import {replayTrace, type ReplayResult, type RequestRecord} from './replay.js';
import type {Trace} from './trace.js';
import type {VariantParts} from './variants.js';

/** Prompts up to this many tokens are short. */
export const longestShort = 8000;

/** Prompts over this many tokens are very long. */
export const shortestVeryLong = 100_000;

/** Percentiles of a time, in milliseconds. */
export type Percentiles = {
	p50: number;
	p95: number;
	p99: number;
};

/** The measures of one replay. */
export type Measures = {
	requests: number;
	/** Share of requests answered wholly within their bound. */
	goodput: number;
	/** Time to first token of short prompts. */
	shortFirstToken: Percentiles;
	/** Time to first token of prompts between. */
	mediumFirstToken: Percentiles;
	/** Time to first token of very long prompts. */
	longFirstToken: Percentiles;
	/** Time to first token of short prompts against the same shorts alone; 1 is undisturbed. */
	shortSlowdown: Percentiles | undefined;
	/** Failures by kind. */
	failures: Record<string, number>;
	/** Token-seconds held by each partner, as a share of all. */
	heldShares: Record<string, number>;
	leakedTokens: number;
	leakedGrants: number;
};

/** Computes the measures; `alone` is the replay of the short prompts of the same trace by themselves. */
export function measureReplay(result: ReplayResult, alone?: ReplayResult): Measures {
	const {records} = result;
	const failures: Record<string, number> = {};
	for (const record of records) {
		if (record.outcome !== 'whole') {
			failures[record.outcome] = (failures[record.outcome] ?? 0) + 1;
		}
	}

	return {
		requests: records.length,
		goodput: records.filter(record => record.outcome === 'whole').length / records.length,
		shortFirstToken: summarise(records.filter(record => isShort(record)).map(record => record.firstToken)),
		mediumFirstToken: summarise(records.filter(record => !isShort(record) && !isVeryLong(record)).map(record => record.firstToken)),
		longFirstToken: summarise(records.filter(record => isVeryLong(record)).map(record => record.firstToken)),
		shortSlowdown: alone === undefined ? undefined : summarise(listSlowdowns(records, alone.records)),
		failures,
		heldShares: sumShares(records),
		leakedTokens: result.leakedTokens,
		leakedGrants: result.leakedGrants,
	};
}

/** Replays a trace, and its short prompts by themselves, and measures both. */
export async function measureVariant(trace: Trace, createParts: () => VariantParts): Promise<Measures> {
	const whole = await replayTrace(trace, createParts());
	const shorts = trace.requests.filter(request => isShort({request}));
	const alone = await replayTrace({...trace, requests: shorts}, createParts());
	return measureReplay(whole, alone);
}

/** Whether a request counts as short. */
export function isShort(record: Pick<RequestRecord, 'request'>): boolean {
	return record.request.promptTokens <= longestShort;
}

function isVeryLong(record: RequestRecord): boolean {
	return record.request.promptTokens > shortestVeryLong;
}

function listSlowdowns(records: RequestRecord[], alone: RequestRecord[]): number[] {
	const undisturbed = new Map(alone.map(record => [record.request, record.firstToken]));
	return records.flatMap(record => {
		const base = undisturbed.get(record.request);
		return base === undefined || record.firstToken === undefined ? [] : [record.firstToken / base];
	});
}

function sumShares(records: RequestRecord[]): Record<string, number> {
	const sums: Record<string, number> = {};
	let total = 0;
	for (const record of records) {
		const held = record.heldFrom === undefined ? 0 : record.tokens * (record.heldUntil - record.heldFrom);
		sums[record.request.partner] = (sums[record.request.partner] ?? 0) + held;
		total += held;
	}

	return Object.fromEntries(Object.entries(sums).map(([partner, sum]) => [partner, sum / total]));
}

function summarise(values: Array<number | undefined>): Percentiles {
	const sorted = values.filter(value => value !== undefined).sort((left, right) => left - right);
	if (sorted.length === 0) {
		return {p50: Number.NaN, p95: Number.NaN, p99: Number.NaN};
	}

	return {p50: quantileSorted(sorted, 0.5), p95: quantileSorted(sorted, 0.95), p99: quantileSorted(sorted, 0.99)};
}
