import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {AvailabilityZone} from '../src/common/index.js';
import {listCallerAddresses} from '../src/gateway/addresses.js';
import {EventFrames} from '../src/gateway/event-frames.js';
import {RetryWindow} from '../src/gateway/retry-window.js';
import {createPeer} from './helpers/peers.js';

test('whole events come out unchanged however the bytes are cut', () => {
	const events = ['id: 1\ndata: a\n\n', 'data: no id\n\n', 'id:2\r\ndata: b\r\n\r\n', 'id: 30\ndata: two\ndata: lines\n\n'];
	const text = Buffer.from(events.join(''));
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: text.length})), cuts => {
		const frames = new EventFrames();
		const edges = [0, ...[...cuts].sort((left, right) => left - right), text.length];
		const found = edges.slice(1).flatMap((end, index) => frames.push(text.subarray(edges[index], end)));
		return JSON.stringify(found.map(frame => [frame.id, Buffer.from(frame.bytes).toString()]))
			=== JSON.stringify([[1, events[0]], [undefined, events[1]], [2, events[2]], [30, events[3]]]) && frames.restLength === 0;
	}), {seed: 7, numRuns: 300});
});

test('an event that has not ended is held back', () => {
	const frames = new EventFrames();
	expect(frames.push(Buffer.from('id: 1\ndata: a\n'))).toHaveLength(0);
	expect(frames.restLength).toBe(14);
});

test('an event without end is given up', () => {
	const frames = new EventFrames();
	expect(() => frames.push(Buffer.alloc(5_000_000, 'a'))).toThrow('longer than');
});

test('whether a retry is left is told without taking it', () => {
	const window = new RetryWindow({ratio: 0, slack: 3, window: 10_000});
	expect([window.hasRetry(0, 1), window.hasRetry(0, 1), window.hasRetry(0, 1)]).toEqual([true, true, true]);
	expect([window.takeRetry(0, 1), window.takeRetry(0, 1)]).toEqual([true, true]);
	expect([window.hasRetry(0, 1), window.takeRetry(0, 1)]).toEqual([false, false]);
	expect(window.hasRetry(10_001, 1)).toBe(true);
});

test('retries stay within the ratio and this node\'s part of the slack, in every window', () => {
	const window = new RetryWindow({ratio: 0.2, slack: 100, window: 10_000});
	for (let index = 0; index < 100; index++) {
		window.addRequest(index * 10);
	}

	let taken = 0;
	while (window.takeRetry(1000, 5)) {
		taken++;
	}

	expect(taken).toBe(28);
	expect(window.takeRetry(9000, 5)).toBe(false);
	expect(window.takeRetry(12_000, 5)).toBe(true);
});

test('callers hear of their own zone first, and never of one address alone while there are more', () => {
	const nodes = [createPeer('a'), createPeer('b'), createPeer('c', {availabilityZone: 'z' as AvailabilityZone})];
	expect(listCallerAddresses(nodes, 'a' as AvailabilityZone)).toEqual(['a:1', 'b:1']);
	expect(listCallerAddresses(nodes, 'z' as AvailabilityZone)).toEqual(['a:1', 'b:1', 'c:1']);
	expect(listCallerAddresses([], 'a' as AvailabilityZone)).toEqual([]);
});
