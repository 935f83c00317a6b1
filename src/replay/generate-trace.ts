/**
 * Makes traces after the partners' workloads, from a seed.
 *
 * Engine figures and length distributions are assumptions until the partners
 * supply theirs; docs/MEASURES.md lists them.
 */
import seedrandom from 'seedrandom';
import type {Trace, TraceFleet, TraceRequest} from './trace.js';

/** Names of the scenarios. */
export const scenarioNames = ['quiet', 'storm', 'dusk', 'dossier', 'peaks', 'overload'] as const;

/** Name of a scenario. */
export type ScenarioName = typeof scenarioNames[number];

/** A class of requests: how often, how long, how bounded. */
type Flow = {
	partner: 'meteotessera' | 'harvest';
	/** Share of requests. */
	share: number;
	/** Least and most tokens of the prompt; lengths between are log-uniform. */
	prompt: [number, number];
	output: [number, number];
	bound: number;
	/** Tokens of the template that the prompts share. */
	prefix?: number;
	/** Templates in use. */
	prefixes?: number;
};

type Scenario = {
	/** Load as a share of what the fleet can read. */
	load: number;
	flows: Flow[];
	/** Load over time, as a factor; the whole minute is looked up. */
	shape?: (minute: number) => number;
};

const fleet: TraceFleet = {
	kind: 'fleet', engines: 20, capacity: 450_000, prefillRate: 20_000, tokenInterval: 30, shares: {meteotessera: 1, harvest: 1}, policies: {},
};

const nowcast: Flow = {
	partner: 'meteotessera', share: 0.5, prompt: [1000, 8000], output: [50, 400], bound: 30_000, prefix: 800, prefixes: 12,
};
const digest: Flow = {
	partner: 'meteotessera', share: 0.08, prompt: [8000, 60_000], output: [200, 800], bound: 120_000, prefix: 2000, prefixes: 9,
};
const stormReview: Flow = {
	partner: 'meteotessera', share: 0.01, prompt: [100_000, 400_000], output: [500, 1500], bound: 600_000,
};
const daySummary: Flow = {
	partner: 'harvest', share: 0.36, prompt: [1000, 8000], output: [50, 400], bound: 30_000, prefix: 1200, prefixes: 10,
};
const reconciliation: Flow = {
	partner: 'harvest', share: 0.04, prompt: [8000, 90_000], output: [200, 800], bound: 120_000,
};
const dossier: Flow = {
	partner: 'harvest', share: 0.01, prompt: [100_000, 400_000], output: [500, 1500], bound: 600_000,
};
const everything = [nowcast, digest, stormReview, daySummary, reconciliation, dossier];

const scenarios: Record<ScenarioName, Scenario> = {
	quiet: {load: 0.2, flows: everything},
	storm: {load: 0.8, flows: [{...nowcast, share: 0.7}, digest, {...stormReview, share: 0.02}, {...daySummary, share: 0.18}]},
	dusk: {load: 0.8, flows: [{...nowcast, share: 0.15}, {...daySummary, share: 0.72}, reconciliation, {...dossier, share: 0.02}], shape: minute => minute < 3 ? 0.6 : 1.2},
	dossier: {load: 0.8, flows: [nowcast, daySummary, reconciliation, {...dossier, share: 0.04}]},
	peaks: {load: 0.8, flows: everything},
	overload: {load: 2, flows: everything},
};

/** Organisations of each partner; the first few send most. */
const organisationCount = 10;
const millisecondsPerMinute = 60_000;

/** Options of a trace. */
export type GenerateOptions = {
	scenario: ScenarioName;
	seed: string;
	minutes: number;
	/** Multiplies the scenario's load. */
	factor?: number;
	/** Whether an engine dies half way, to be back after a minute. */
	engineDies?: boolean;
};

/** Makes a trace. The same options give the same trace. */
export function generateTrace(options: GenerateOptions): Trace {
	const scenario = scenarios[options.scenario];
	const random = seedrandom(options.seed);
	const meanTokens = scenario.flows.reduce((sum, flow) => sum + (flow.share * computeMean(flow.prompt)), 0)
		/ scenario.flows.reduce((sum, flow) => sum + flow.share, 0);
	const readable = fleet.engines * fleet.prefillRate / 1000;
	const rate = scenario.load * (options.factor ?? 1) * readable / meanTokens;
	const requests: TraceRequest[] = [];
	const end = options.minutes * millisecondsPerMinute;
	for (let at = 0; at < end;) {
		const shape = scenario.shape?.(Math.floor(at / millisecondsPerMinute)) ?? 1;
		at += -Math.log(1 - random()) / (rate * shape);
		requests.push(makeRequest(pickFlow(scenario.flows, random()), at, random));
	}

	const faults = options.engineDies
		? [{
			kind: 'engine_dies' as const, at: end / 2, engine: 3, backAfter: millisecondsPerMinute,
		}]
		: [];
	return {fleet, requests, faults};
}

function makeRequest(flow: Flow, at: number, random: () => number): TraceRequest {
	const promptTokens = Math.round(drawLogUniform(flow.prompt, random()));
	// Squared, so that the first organisations send most.
	const organisation = Math.floor((random() ** 2) * organisationCount);
	const prefix = flow.prefix === undefined
		? undefined
		: {
			id: `${flow.partner}-${flow.prefix}-${Math.floor(random() * (flow.prefixes ?? 1))}`, tokens: Math.min(flow.prefix, promptTokens - 1),
		};
	return {
		kind: 'request',
		at: Math.round(at * 10) / 10,
		partner: flow.partner,
		organisation: `${flow.partner}-${organisation}`,
		service: 'bollettino-llm',
		promptTokens,
		sharedPrefix: prefix,
		outputTokens: Math.round(drawLogUniform(flow.output, random())),
		bound: flow.bound,
		isRepeatable: true,
	};
}

function pickFlow(flows: Flow[], draw: number): Flow {
	let left = draw * flows.reduce((sum, flow) => sum + flow.share, 0);
	for (const flow of flows) {
		left -= flow.share;
		if (left <= 0) {
			return flow;
		}
	}

	return flows.at(-1)!;
}

function drawLogUniform([least, most]: [number, number], draw: number): number {
	return least * ((most / least) ** draw);
}

function computeMean([least, most]: [number, number]): number {
	return (most - least) / Math.log(most / least);
}
