/**
 * Workloads drawn from a seed for replays of the routed path: flows of unlike prompts whose
 * mix swings, over servers of stated figures, some of which are lost for a while.
 */
import seedrandom from 'seedrandom';
import type {OrganisationId} from '../../common/index.js';
import type {EngineProfile} from '../../routing/index.js';

/** A kind of request. Times in milliseconds, lengths log-normal around their mean. */
export type Flow = {
	name: string;
	perSecond: number;
	promptTokens: {mean: number; spread: number; most: number};
	events: {mean: number; spread: number; most: number};
	objective: number;
	longestPause: number;
	/** Time that an answer may take as a whole. */
	timeLimit: number;
	/** Silence after which a caller leaves. */
	patience: number;
	/** What an answer in time is worth at the mean length. */
	value: number;
	/** Who sends it, and its priority; without organisation and of the highest priority when undefined. */
	organisation?: OrganisationId;
	priority?: number;
};

/** What is asked of a fleet of servers. */
export type Workload = {
	name: string;
	engine: EngineProfile;
	servers: number;
	/** How many times longer its servers take than stated, which the planner is not told; 1 when undefined. */
	pace?: number;
	flows: Flow[];
	/** Factors of the flows, by turns. */
	phases: number[][];
	/** Length of a phase in milliseconds. */
	phaseLength: number;
	/** Servers that are lost for a while, in all phases together. */
	losses: number;
	/** Share of the servers that are lost at one moment besides; none when undefined. */
	lostTogether?: number;
	/** Whether all nodes restart at the beginning of the last phase. */
	hasRestart: boolean;
	/** How long the planner remembers the usage of organisations, in milliseconds; they have no shares when undefined. */
	sharesMemory?: number;
	/** Nodes that take requests; only told apart while they have not found each other. 1 when undefined. */
	nodes?: number;
};

/** One drawn request. */
export type DrawnRequest = {at: number; flow: Flow; promptTokens: number; events: number};

/** A server that is lost for a while. */
export type DrawnLoss = {at: number; server: number; lasts: number; isDark: boolean};

/** What happens on one drawn day. */
export type DrawnDay = {requests: DrawnRequest[]; losses: DrawnLoss[]; restart?: Restart; length: number};

/** All nodes are killed and start again, knowing nothing. */
export type Restart = {at: number; lasts: number; aloneFor: number};

const chatEvery = [0.35, 2.5, 0.35];
const digestEvery = [1.3, 0.5, 1.3];
const reviewEvery = [2.7, 0.05, 2.7];
const swing = chatEvery.map((factor, index) => [factor, digestEvery[index], reviewEvery[index]]);

/** Figures of a large dense model on one accelerator, as a customer states them. */
const denseEngine: EngineProfile = {
	slots: 11, memoryTokens: 405_000, stepTime: 1.31, stepTimePerWriter: 0.000_917, stepTimePerThousandContext: 0.002_13, readRate: 154, timePerMillionPairs: 0.162, stepsPerPass: 34,
};

/** Figures of a faster model that writes more in a pass. */
const quickEngine: EngineProfile = {
	slots: 11, memoryTokens: 315_000, stepTime: 0.85, stepTimePerWriter: 0.006, stepTimePerThousandContext: 0.002_85, readRate: 177, timePerMillionPairs: 0.184, stepsPerPass: 51,
};

/** Figures of a model beside whose weights little memory is left: half of the largest prompts need that of several servers. */
const smallMemoryEngine: EngineProfile = {
	slots: 8, memoryTokens: 197_200, stepTime: 1.02, stepTimePerWriter: 0.002_26, stepTimePerThousandContext: 0.004_31, readRate: 206, timePerMillionPairs: 0.138, stepsPerPass: 48,
};

/** Figures of nobody: a slow reader with few places and long objectives. */
const slowEngine: EngineProfile = {
	slots: 6, memoryTokens: 600_000, stepTime: 4, stepTimePerWriter: 0.05, stepTimePerThousandContext: 0.004, readRate: 60, timePerMillionPairs: 0.2, stepsPerPass: 16,
};

const chat: Flow = {
	name: 'chat', perSecond: 25.2,
	promptTokens: {mean: 4960, spread: 0.9, most: 23_800}, events: {mean: 38, spread: 0.7, most: 96}, objective: 300, longestPause: 250,
	timeLimit: 10_000, patience: 2000, value: 1.3,
};
const digest: Flow = {
	name: 'digest', perSecond: 1.41, promptTokens: {mean: 45_000, spread: 0.5, most: 110_000}, events: {mean: 23, spread: 0.6, most: 57}, objective: 1500, longestPause: 600,
	timeLimit: 10_000, patience: 6000, value: 3.9,
};
const review: Flow = {
	name: 'review', perSecond: 0.655, promptTokens: {mean: 182_000, spread: 0.55, most: 900_000}, events: {mean: 19, spread: 0.5, most: 48}, objective: 3000, longestPause: 1000,
	timeLimit: 15_000, patience: 12_000, value: 24,
};

/** Workloads to compare decisions by. */
export const workloads: Workload[] = [
	{
		name: 'swing', engine: denseEngine, servers: 18, flows: [chat, digest, review], phases: swing, phaseLength: 10_000, losses: 1, hasRestart: true,
	},
	{
		name: 'quick', engine: quickEngine, servers: 18, phases: swing, phaseLength: 10_000, losses: 1, hasRestart: true,
		flows: [chat, {...digest, perSecond: 1.31}, {
			...review, perSecond: 0.79, promptTokens: {...review.promptTokens, mean: 154_000}, value: 21,
		}],
	},
	{
		name: 'wide', engine: {...denseEngine, slots: 8, stepsPerPass: 38}, servers: 60, phases: swing, phaseLength: 10_000, losses: 1, hasRestart: true,
		flows: [{...chat, perSecond: 66.6}, {...digest, perSecond: 4.68}, {
			...review, perSecond: 1.17, objective: 4000, promptTokens: {...review.promptTokens, mean: 260_000}, value: 34,
		}],
	},
	{
		name: 'large', engine: {...quickEngine, slots: 7, stepsPerPass: 80}, servers: 150, phases: swing, phaseLength: 6000,
		losses: 0, lostTogether: 0.33, hasRestart: false,
		flows: [
			{
				...chat, perSecond: 145, objective: 409, longestPause: 300, events: {mean: 24, spread: 0.7, most: 60},
			},
			{
				...digest, perSecond: 10.6, objective: 1514, longestPause: 800, patience: 6056, events: {mean: 14, spread: 0.6, most: 36},
			},
			{
				...review, perSecond: 3.52, objective: 4024, longestPause: 1200, patience: 15_000, value: 26,
				promptTokens: {mean: 220_000, spread: 0.55, most: 900_000}, events: {mean: 12, spread: 0.5, most: 30},
			},
		],
	},
	{
		name: 'joint', engine: smallMemoryEngine, servers: 60, phases: [[1.2, 1.2, 1.2], [0.8, 0.8, 0.8], [1.2, 1.2, 1.2]], phaseLength: 8000,
		losses: 0, lostTogether: 0.2, hasRestart: true, nodes: 77,
		flows: [
			{
				...chat, perSecond: 52.3, objective: 309, events: {mean: 31, spread: 0.7, most: 77},
			},
			{
				...digest, perSecond: 6.18, objective: 1514, value: 3.3, events: {mean: 18, spread: 0.6, most: 46},
			},
			{
				...review, perSecond: 2.2, objective: 3024, value: 20, events: {mean: 15, spread: 0.5, most: 38},
				promptTokens: {mean: 190_000, spread: 0.55, most: 600_000},
			},
		],
	},
	{
		name: 'slow', engine: slowEngine, servers: 12, phases: [[1, 1, 1], [2, 0.5, 0.2], [0.3, 1.5, 1.8]], phaseLength: 8000, losses: 1, hasRestart: true,
		flows: [
			{
				...chat, perSecond: 6, objective: 800, longestPause: 500, timeLimit: 20_000, patience: 4000, promptTokens: {mean: 3000, spread: 0.8, most: 16_000},
			},
			{
				...digest, perSecond: 0.6, objective: 3000, longestPause: 900, timeLimit: 30_000, patience: 12_000, promptTokens: {mean: 30_000, spread: 0.5, most: 80_000},
			},
			{
				...review, perSecond: 0.12, objective: 8000, longestPause: 1500, timeLimit: 60_000, patience: 30_000, promptTokens: {mean: 150_000, spread: 0.4, most: 500_000},
			},
		],
	},
];

/** Least and most time for which a server is lost, in milliseconds. */
const shortestLoss = 2000;
const longestLoss = 5000;

/** When in the last phase the nodes restart, and how long they are away, in milliseconds. */
const mostRestartDelay = 3000;
const restartTime = 1200;

/** Time in which nodes that are back have not found each other, in milliseconds: from the first node that is back to the first decision for another one on a played day of 77. */
const aloneTime = 1000;

/** When servers are lost together, as a share of the day: in the middle, so that the worst windows tell of it. */
const lossFrom = 0.3;
const lossSpread = 0.3;

/** Share of those lost together that say nothing; the others reset what they held. */
const darkShare = 0.5;

/** Draws a day; the same seed gives the same day. */
export function drawDay(workload: Workload, seed: string): DrawnDay {
	const random = seedrandom(`${workload.name}-${seed}`);
	const length = workload.phases.length * workload.phaseLength;
	const requests = workload.flows.flatMap((_, index) => drawFlow(workload, index, random));
	requests.sort((left, right) => left.at - right.at);
	const losses = Array.from({length: workload.losses}, () => ({
		at: random() * length,
		server: Math.floor(random() * workload.servers),
		lasts: shortestLoss + (random() * (longestLoss - shortestLoss)),
		isDark: false,
	}));
	losses.push(...drawLossTogether(workload, length, random));
	const restart = workload.hasRestart ? {at: length - workload.phaseLength + (random() * mostRestartDelay), lasts: restartTime, aloneFor: aloneTime} : undefined;
	return {
		requests, losses, restart, length,
	};
}

function drawLossTogether({servers, lostTogether = 0}: Workload, length: number, random: () => number): DrawnLoss[] {
	if (lostTogether === 0) {
		return [];
	}

	const at = (lossFrom + (random() * lossSpread)) * length;
	const left = Array.from({length: servers}, (_, index) => index);
	return Array.from({length: Math.round(servers * lostTogether)}, () => ({
		at, server: left.splice(Math.floor(random() * left.length), 1)[0], lasts: longestLoss + (random() * longestLoss), isDark: random() < darkShare,
	}));
}

function drawFlow(workload: Workload, index: number, random: () => number): DrawnRequest[] {
	const flow = workload.flows[index];
	const requests: DrawnRequest[] = [];
	for (const [phase, factors] of workload.phases.entries()) {
		const end = (phase + 1) * workload.phaseLength;
		const rate = flow.perSecond * factors[index] / 1000;
		const drawGap = () => -Math.log(1 - random()) / rate;
		for (let at = (phase * workload.phaseLength) + drawGap(); at < end; at += drawGap()) {
			requests.push({
				at,
				flow,
				promptTokens: Math.round(drawLogNormal(flow.promptTokens, random)),
				events: Math.max(1, Math.round(drawLogNormal(flow.events, random))),
			});
		}
	}

	return requests;
}

/** A log-normal draw with the given mean, cut at `most`. */
function drawLogNormal({mean, spread, most}: {mean: number; spread: number; most: number}, random: () => number): number {
	const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
	return Math.min(most, mean * Math.exp((spread * normal) - (spread * spread / 2)));
}
