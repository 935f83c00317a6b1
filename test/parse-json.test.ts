import {expect, test} from '@jest/globals';
import * as fc from 'fast-check';
import {parseJson} from '../src/common/index.js';

test('JSON of few levels is parsed as a whole', () => {
	fc.assert(fc.property(fc.jsonValue({maxDepth: 20}), fc.constantFrom(undefined, 2, '\t'), (value, space) => {
		const text = JSON.stringify(value, undefined, space);
		expect(parseJson(text)).toEqual(JSON.parse(text));
	}), {seed: 82, numRuns: 500});
});

test('text that is no JSON is rejected as by the parser of the runtime', () => {
	fc.assert(fc.property(fc.string({unit: fc.constantFrom('[', ']', '{', '}', '"', '\\', ':', ',', 'a', '1', ' ')}), text => {
		expect(isRejected(() => parseJson(text))).toBe(isRejected(() => JSON.parse(text) as unknown));
	}), {seed: 82, numRuns: 5000});
});

test('deep values are replaced, and what stands beside them is read', () => {
	const deepText = fc.tuple(fc.integer({min: 64, max: 20_000}), fc.boolean(), fc.jsonValue({maxDepth: 3})).map(([levels, isList, value]) => isList
		? '['.repeat(levels) + JSON.stringify(value) + ']'.repeat(levels)
		: '{"a]":'.repeat(levels) + JSON.stringify(value) + '}'.repeat(levels));
	fc.assert(fc.property(fc.jsonValue({maxDepth: 3}), deepText, fc.jsonValue({maxDepth: 3}), (before, deep, after) => {
		const read = parseJson(`[${JSON.stringify(before)},${deep},${JSON.stringify(after)},${deep}]`) as unknown[];
		expect([read[0], read[2]]).toEqual(structuredClone([before, after]));
		expect(measureLevels(read)).toBeLessThanOrEqual(64);
	}), {seed: 82, numRuns: 100});
});

test('a deep value that is cut off is rejected', () => {
	expect(isRejected(() => parseJson('['.repeat(100_000)))).toBe(true);
	expect(isRejected(() => parseJson(`{"a":${'['.repeat(1000)}${']'.repeat(1000)}`))).toBe(true);
});

function isRejected(action: () => unknown): boolean {
	try {
		action();
		return false;
	} catch {
		return true;
	}
}

function measureLevels(value: unknown): number {
	return typeof value === 'object' && value !== null ? 1 + Math.max(0, ...Object.values(value).map(each => measureLevels(each))) : 0;
}
