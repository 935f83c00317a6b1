import {expect, test} from '@jest/globals';
import {ServiceTimes} from '../src/gateway/calls/service-times.js';

test('the time of a route without requests is not known', () => {
	expect(new ServiceTimes().estimate('a')).toBeUndefined();
});

test('a few requests leave room for longer ones', () => {
	const times = new ServiceTimes();
	times.record('a', 100);
	expect(times.estimate('a')).toBe(900);
	times.record('a', 50);
	expect(times.estimate('a')).toBe(500);
});

test('nearly all of the last 64 requests of a route end within its estimate', () => {
	const times = new ServiceTimes();
	times.record('a', 10_000);
	for (let index = 1; index <= 64; index++) {
		times.record('a', index);
	}

	times.record('b', 10_000);
	expect(times.estimate('a')).toBeCloseTo(63 * (1 + (8 / 64)));
});

test('requests in progress count with their time so far', () => {
	const times = new ServiceTimes();
	times.record('a', 10);
	expect(times.estimate('a', [2000])).toBe(10_000);
	expect(times.estimate('b', [2000])).toBeUndefined();
});

test('times of 1000 routes are kept', () => {
	const times = new ServiceTimes();
	for (let index = 0; index <= 1000; index++) {
		times.record(`route-${index}`, 1);
	}

	expect([times.estimate('route-0'), times.estimate('route-1'), times.estimate('route-1000')]).toEqual([undefined, 9, 9]);
});
