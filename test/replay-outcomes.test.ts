import {readdirSync} from 'node:fs';
import {expect, test} from '@jest/globals';
import {
	formatTrace, generateTrace, listShortfalls, measureVariant, parseTrace, readOutcomes, readTrace, variants,
} from '../src/replay/index.js';

const traces = readdirSync('traces').filter(name => name.endsWith('.jsonl'));

test.each(traces)('%s meets its stated outcomes', async name => {
	const path = `traces/${name}`;
	const outcomes = await readOutcomes(path);
	expect(outcomes.length).toBeGreaterThan(3);
	const measures = await measureVariant(await readTrace(path), variants.ours);
	expect(listShortfalls(measures, outcomes)).toEqual([]);
}, 60_000);

test('the same seed makes the same trace, and a trace reads back as it was written', () => {
	const options = {scenario: 'peaks' as const, seed: 's', minutes: 0.1};
	const trace = generateTrace(options);
	expect(generateTrace(options)).toEqual(trace);
	expect(parseTrace(formatTrace(trace))).toEqual(trace);
	expect(generateTrace({...options, seed: 't'})).not.toEqual(trace);
});

test('a replay gives the same measures every time', async () => {
	const trace = generateTrace({scenario: 'storm', seed: 's', minutes: 0.1});
	expect(await measureVariant(trace, variants.ours)).toEqual(await measureVariant(trace, variants.ours));
});

test('an outcome that is not met, or not a measure, is told', async () => {
	const trace = generateTrace({scenario: 'quiet', seed: 's', minutes: 0.1});
	const measures = await measureVariant(trace, variants.ours);
	const shortfalls = listShortfalls(measures, [{measure: 'goodput', least: 2}, {measure: 'shortFirstToken.p95', most: 10_000}, {measure: 'nothing', least: 1}]);
	expect(shortfalls).toEqual(['goodput is 1.000, stated at least 2', 'nothing: there is no such measure; see `cresshook replay --json`']);
});

test('the line of a trace that is wrong is named', () => {
	expect(() => parseTrace('{"kind":"fleet"}')).toThrow('line 1 of the trace: engines');
	expect(() => parseTrace('nonsense')).toThrow('line 1 of the trace: not JSON');
});
