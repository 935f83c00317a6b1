/** Charts of a day summary. */
import {verdicts, type Verdict} from '../ended-call.js';
import type {DayDecision, DaySummary} from '../day-summary.js';
import {
	drawBars, drawPoints, type ChartLine, type ChartPoint, type Series,
} from './chart.js';
import {createLogScale, createLinearScale, findStep} from './scale.js';

type DayCall = DaySummary['calls'][number];

/** Maximum number of points in a chart; calls that missed an objective have priority. */
const maxPoints = 4000;

/** Maximum number of bars in a chart. */
const maxBars = 120;

/** Maximum number of schedulers with a series of their own. */
const maxNodes = 8;

/** Maximum number of objectives drawn as lines. */
const maxObjectiveLines = 6;

const colors: Record<Verdict, string> = {
	'in aim': '#5b9bd5',
	'late first': '#e0a100',
	'long pause': '#8e6bbf',
	'late and long pause': '#b3541e',
	refused: '#d1495b',
	'broken off': '#7a1f2b',
	'left by caller': '#777777',
	failed: '#222222',
	rejected: '#bbbbbb',
};

const nodeColors = ['#5b9bd5', '#e0a100', '#8e6bbf', '#3a7d44', '#d1495b', '#b3541e', '#2a9d8f', '#6d597a', '#aaaaaa'];

const verdictSeries: Series[] = verdicts.map(name => ({name, color: colors[name]}));

const millisecondsPerSecond = 1000;

/** Draws the time to the first event over the prompt length, with objectives. */
export function drawFirstEvents({calls}: DaySummary): string {
	const shown = calls.filter(call => call.promptTokens > 0 && call.firstAfter !== undefined);
	const frame = {
		title: 'First event against length of prompt; lines are objectives',
		xName: 'tokens of the prompt',
		yName: 'first event, ms',
		x: createLogScale(Math.max(1, findMin(shown.map(call => call.promptTokens))), findMax(shown.map(call => call.promptTokens))),
		y: createLogScale(Math.max(1, findMin(shown.map(call => call.firstAfter!))), findMax([...shown.map(call => call.firstAfter!), ...shown.map(call => call.objective ?? 0)])),
		series: verdictSeries,
	};
	return drawPoints(frame, pickPoints(shown).map(call => buildPoint(call, call.promptTokens, call.firstAfter!)), listLines(shown, call => call.objective));
}

/** Draws the longest pauses over time, with objectives. */
export function drawPauses({calls}: DaySummary): string {
	const shown = calls.filter(call => call.pauseAim !== undefined && call.longestPause !== undefined && call.firstAfter !== undefined);
	const frame = {
		title: 'Longest pause of each stream; lines are aims',
		xName: 'came, s',
		yName: 'pause, ms',
		x: createTimeScale(calls),
		y: createLogScale(Math.max(1, findMin(shown.map(call => call.longestPause!))), findMax(shown.map(call => Math.max(call.longestPause!, call.pauseAim!)))),
		series: verdictSeries,
	};
	return drawPoints(frame, pickPoints(shown).map(call => buildPoint(call, call.arrivedAt / millisecondsPerSecond, call.longestPause!)), listLines(shown, call => call.pauseAim));
}

/** Draws how long requests had waited when they were placed or refused. */
export function drawWaits({calls, decisions}: DaySummary): string {
	const series = [{name: 'placed', color: colors['in aim']}, {name: 'refused', color: colors.refused}];
	const shown = decisions.filter(({event, waited}) => (event === 'placed' || event === 'refused') && waited > 0);
	const frame = {
		title: 'Waits: how long requests had waited when they got a place or were refused (those that did not wait are left out)',
		xName: 'decided, s',
		yName: 'waited, ms',
		x: createTimeScale(calls),
		y: createLinearScale(0, findMax(shown.map(decision => decision.waited))),
		series,
	};
	return drawPoints(frame, shown.slice(0, maxPoints).map(({at, waited, event, node}) => ({
		x: at / millisecondsPerSecond, y: waited, series: event === 'placed' ? 0 : 1, title: `${event} by ${node} after ${Math.round(waited)} ms`,
	})));
}

/** Draws the outcomes of calls over their arrival time. */
export function drawOutcomes({calls}: DaySummary, shownVerdicts: Verdict[], title: string): string {
	const shown = calls.filter(call => shownVerdicts.includes(call.verdict));
	return drawCounts(calls, title, shownVerdicts.map(name => ({name, color: colors[name]})), shown.map(call => ({at: call.arrivedAt, series: shownVerdicts.indexOf(call.verdict)})));
}

/** Draws scheduling decisions over time, by node. */
export function drawSchedulers({calls, decisions}: DaySummary): string {
	const counts = countNodes(decisions);
	const named = [...counts.entries()].sort((left, right) => right[1] - left[1]).slice(0, maxNodes).map(([node]) => node);
	const series = [...named, ...counts.size > maxNodes ? ['others'] : []].map((name, index) => ({name, color: nodeColors[index]}));
	const shown = decisions.filter(({event}) => event !== 'decider_passed_over').map(({at, node}) => ({at, series: named.includes(node) ? named.indexOf(node) : maxNodes}));
	return drawCounts(calls, 'Who decided: places, waits and refusals by the node that wrote them', series, shown);
}

function countNodes(decisions: DayDecision[]): Map<string, number> {
	const counts = new Map<string, number>();
	for (const {node, event} of decisions) {
		if (event !== 'decider_passed_over') {
			counts.set(node, (counts.get(node) ?? 0) + 1);
		}
	}

	return counts;
}

function drawCounts(calls: DayCall[], title: string, series: Series[], counted: Array<{at: number; series: number}>): string {
	const [from, until] = findSpan(calls);
	const width = findStep(Math.max(1, (until - from) / maxBars));
	const bars = new Map<number, number[]>();
	for (const item of counted) {
		const x = Math.floor(item.at / millisecondsPerSecond / width) * width;
		const heights = bars.get(x) ?? series.map(() => 0);
		heights[item.series]++;
		bars.set(x, heights);
	}

	const sums = [...bars.values()].map(heights => heights.reduce((sum, height) => sum + height, 0));
	const frame = {
		title, xName: `s, in steps of ${width} s`, yName: 'count', x: createTimeScale(calls), y: createLinearScale(0, findMax(sums), 1), series,
	};
	return drawBars(frame, width, [...bars.entries()].sort(([left], [right]) => left - right).map(([x, heights]) => ({x, heights})));
}

function buildPoint(call: DayCall, x: number, y: number): ChartPoint {
	return {
		x, y, series: verdicts.indexOf(call.verdict), title: `${call.request}: ${call.promptTokens} tokens, ${call.verdict}, first event ${call.firstAfter} of ${call.objective} ms, at ${call.node}`,
	};
}

/** Picks the calls that missed an objective and an even sample of the others, which are drawn first. */
function pickPoints(calls: DayCall[]): DayCall[] {
	const bad = calls.filter(call => call.verdict !== 'in aim').slice(0, maxPoints);
	const good = calls.filter(call => call.verdict === 'in aim');
	const stride = Math.max(1, Math.ceil(good.length / Math.max(1, maxPoints - bad.length)));
	return [...good.filter((_, index) => index % stride === 0), ...bad];
}

function listLines(calls: DayCall[], read: (call: DayCall) => number | undefined): ChartLine[] {
	const counts = new Map<number, number>();
	for (const call of calls) {
		const aim = read(call);
		if (aim !== undefined) {
			counts.set(aim, (counts.get(aim) ?? 0) + 1);
		}
	}

	return [...counts.entries()].sort((left, right) => right[1] - left[1]).slice(0, maxObjectiveLines).map(([y]) => ({y, name: `${y} ms`}));
}

function createTimeScale(calls: DayCall[]) {
	return createLinearScale(...findSpan(calls));
}

function findSpan(calls: DayCall[]): [number, number] {
	return [Math.floor(findMin(calls.map(call => call.arrivedAt)) / millisecondsPerSecond), Math.ceil(findMax(calls.map(call => call.arrivedAt + call.took)) / millisecondsPerSecond)];
}

/** Avoids `Math.min(...values)`, since a day has more values than a call can take as arguments. */
function findMin(values: number[]): number {
	let min = values[0] ?? 1;
	for (const value of values) {
		min = Math.min(min, value);
	}

	return min;
}

function findMax(values: number[]): number {
	let max = 1;
	for (const value of values) {
		max = Math.max(max, value);
	}

	return max;
}
