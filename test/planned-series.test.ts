// Signals, restarts and configurations in series on processes as they are deployed; LOST and CONFIG.
// By hand: PLANNED_SERIES_SEEDS=1,2,3 PLANNED_SERIES_TIME=20000 npm test -- test/planned-series
// With PLANNED_SERIES_LONG=1 requests run for up to 12 s in a grace period of 8 s, and the store fails; PLANNED_SERIES_BUILD is the folder of another build.
import process from 'node:process';
import {
	afterAll, afterEach, beforeAll, expect, test,
} from '@jest/globals';
import {GatewayProgram} from './helpers/gateway-process.js';
import {PlannedJudge, type PlannedCall, type PlannedRecord} from './helpers/planned-judge.js';
import {PlannedSeries, shortSeries} from './helpers/planned-series.js';

const testTimeout = 90_000;
const seeds = (process.env.PLANNED_SERIES_SEEDS ?? '1,2').split(',');
const time = Number(process.env.PLANNED_SERIES_TIME ?? 7000);
const clients = Number(process.env.PLANNED_SERIES_CLIENTS ?? 40);
const nodes = Number(process.env.PLANNED_SERIES_NODES ?? 3);
const options = process.env.PLANNED_SERIES_LONG === undefined
	? shortSeries
	: {
		grace: 8000, addressLifetime: 3, longestStream: 12_000, longestOnce: 8000, hasStoreTrouble: true,
	};

let program: GatewayProgram;
let series: PlannedSeries | undefined;

beforeAll(() => {
	program = new GatewayProgram(process.env.PLANNED_SERIES_BUILD);
}, testTimeout);

afterEach(async () => {
	await series?.stop();
	series = undefined;
});

afterAll(() => {
	program.remove();
});

test.each(seeds)('planned work in series loses no request and no change: seed %s', async seed => {
	series = new PlannedSeries(program, {
		...options, seed, nodes, clients, time,
	});
	const record = await series.play();
	const judge = new PlannedJudge(record, options.grace);
	// Store trouble excuses late changes.
	const breaks = judge.listBreaks().filter(text => !options.hasStoreTrouble || !text.startsWith('CONFIG'));
	const ids = breaks.map(text => /: (?<id>c\d+) /u.exec(text)?.groups?.id ?? '-');
	console.log([series.describe(), `${judge.unsteadyCount} requests not judged by the rules on configurations`, ...(breaks.length > 0 ? series.listLogLines(ids) : [])].join('\n'));
	expect(breaks).toEqual([]);
}, testTimeout);

const served: PlannedCall = {
	id: 'c1', node: 'n', life: 0, route: 'first', key: '', sentAt: 20_000, endedAt: 20_100, status: 200, isComplete: true, wasReset: false, service: 'app', ranAt: 20_010, ranUntil: 20_090,
};
const cut: PlannedCall = {...served, status: 0, isComplete: false};
const waiting: PlannedCall = {
	...cut, endedAt: 21_000, service: undefined, ranAt: undefined, ranUntil: undefined,
};

/** A series in which the second of three versions, with another service and a route more, is in force from 10 s to 20 s. */
function createRecord(changes: Partial<PlannedRecord>): PlannedRecord {
	return {
		versions: [0, 10_000, 20_000].map((at, index) => ({
			sentAt: at,
			acknowledgedAt: at,
			handle: route => index !== 1 && route === 'added' ? 'refused' : {service: index === 1 ? 'other' : 'app', timeLimit: 5000},
		})),
		signals: [], ends: [], calls: [], pauses: [], ...changes,
	};
}

const stopped = (at: number, name = 'SIGTERM') => ({
	signals: [{
		node: 'n', life: 0, name, at,
	}],
});
const other: PlannedCall = {
	...served, service: 'other', sentAt: 14_000, ranAt: 14_000, endedAt: 14_100,
};

const breaks: Array<[clause: string, record: Partial<PlannedRecord>]> = [
	['LOST in a stop', {...stopped(19_000), calls: [cut]}],
	['LOST in a stop', {...stopped(19_000), calls: [waiting]}],
	['LOST in a stop', {...stopped(16_900), calls: [{...cut, ranUntil: 21_000, endedAt: 21_000}]}],
	['LOST beside a reload', {...stopped(19_000, 'SIGHUP'), calls: [cut]}],
	['LOST beside a configuration', {pauses: [{from: 19_000, until: 20_050}], calls: [cut]}],
	['LOST without planned work', {calls: [{...cut, sentAt: 30_000, endedAt: 30_100}]}],
	['END', {
		ends: [{
			node: 'n', life: 0, at: 1, end: 1,
		}],
	}],
	['END', {
		ends: [{
			node: 'n', life: 0, at: 2000, end: 'SIGTERM', stoppedAt: 1,
		}],
	}],
	['CONFIG late', {calls: [{...served, sentAt: 12_001, endedAt: 12_100}]}],
	['CONFIG late', {
		calls: [{
			...other, route: 'added', sentAt: 22_001, endedAt: 22_100,
		}],
	}],
	['CONFIG late', {
		calls: [{
			...waiting, route: 'added', status: 404, isComplete: true, sentAt: 12_001, endedAt: 12_100,
		}],
	}],
	['CONFIG regress', {
		calls: [{...other, sentAt: 10_100, ranAt: 10_200}, {
			...served, sentAt: 10_500, endedAt: 10_600,
		}],
	}],
	['CONFIG added', {
		calls: [{...other, id: 'c0'}, ...Array.from({length: 20}, () => ({
			...other, route: 'added', status: 503, service: undefined, ranAt: undefined,
		}))],
	}],
	['CONFIG time', {calls: Array.from({length: 8}, () => ({...cut, endedAt: 25_501}))}],
];

test.each(breaks)('the judge of planned work sees %s', (clause, record) => {
	expect(new PlannedJudge(createRecord(record)).listBreaks()).toEqual([expect.stringMatching(new RegExp(`^${clause}: `, 'u'))]);
});

const allowed: Array<[name: string, record: Partial<PlannedRecord>]> = [
	['an answer', {calls: [served]}],
	['a request that was not read', {...stopped(19_000), calls: [{...waiting, wasReset: true}]}],
	['a long request that was sent early in a stop', {...stopped(17_500), calls: [{...cut, ranUntil: 21_000, endedAt: 21_000}]}],
	['a stop', {
		ends: [{
			node: 'n', life: 0, at: 4000, end: 0, stoppedAt: 1,
		}, {
			node: 'n', life: 1, at: 4001, end: 'SIGKILL', stoppedAt: 1,
		}],
	}],
	['an older version before the bound', {calls: [{...served, sentAt: 12_000, endedAt: 12_100}]}],
	['an older version after a pause of the store', {pauses: [{from: 11_000, until: 11_200}], calls: [{...served, sentAt: 12_001, endedAt: 12_100}]}],
	['a few overdue answers', {calls: Array.from({length: 7}, () => ({...cut, endedAt: 25_501}))}],
];

test.each(allowed)('the judge of planned work allows %s', (_name, record) => {
	expect(new PlannedJudge(createRecord(record)).listBreaks()).toEqual([]);
});
