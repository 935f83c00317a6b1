import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {PlanId} from '../src/common/index.js';
import {ServerLoad, markTaskStarted, type Task} from '../src/planning/server-load.js';
import {createServers} from './helpers/planning.js';

/** What happens to a server's work; times in milliseconds. */
type BoardEvent =
	| {kind: 'add'; isLong: boolean; readTime: number; readFor: number}
	| {kind: 'start' | 'remove'; index: number}
	| {kind: 'pass'; time: number};

const eventDraw: fc.Arbitrary<BoardEvent> = fc.oneof(
	fc.record({
		kind: fc.constant('add' as const), isLong: fc.boolean(), readTime: fc.integer({min: 0, max: 900}), readFor: fc.integer({min: 0, max: 2000}),
	}),
	fc.record({kind: fc.constantFrom('start' as const, 'remove' as const), index: fc.nat(30)}),
	fc.record({kind: fc.constant('pass' as const), time: fc.integer({min: 0, max: 600})}),
);

function createWork(index: number, now: number, {isLong, readTime, readFor}: {isLong: boolean; readTime: number; readFor: number}): Task {
	return {
		planId: `plan-${index}` as PlanId,
		isHelper: false,
		isLong,
		prefillEnd: now + readFor,
		prefillTime: readTime,
		heldTokens: 0,
		promptTokens: 1000,
		contextTokens: 1000,
		hasStarted: false,
		hasExceededPause: false,
	};
}

/** Reading left and the end of the last long read, by looking at all work. */
function sumReading(works: Task[], now: number): [number, number] {
	let sum = 0;
	let end = now;
	for (const {hasStarted, isLong, prefillTime: readTime, prefillEnd: readUntil} of works) {
		if (!hasStarted && readUntil > now) {
			sum += Math.min(readTime, readUntil - now);
			end = isLong ? Math.max(end, readUntil) : end;
		}
	}

	return [sum, end];
}

// A board looks no more at work that it has once seen read. The reading left must be the same as if it looked at all of it.
test('the reading left at a server is that of all its work, whatever is added, begun and taken out as time passes', () => {
	fc.assert(fc.property(fc.array(eventDraw, {maxLength: 60}), events => {
		const board = new ServerLoad(createServers(1)[0]);
		const works: Task[] = [];
		let now = 0;
		for (const [index, event] of events.entries()) {
			if (event.kind === 'add') {
				const work = createWork(index, now, event);
				board.add(work);
				works.push(work);
			} else if (event.kind === 'pass') {
				now += event.time;
			} else if (works.length > 0) {
				const at = event.index % works.length;
				if (event.kind === 'start') {
					markTaskStarted(works[at], now);
				} else {
					board.remove(works.splice(at, 1)[0].planId);
				}
			}

			expect([board.computePendingPrefill(now), board.findLongPrefillEnd(now)]).toEqual(sumReading(works, now));
		}
	}), {seed: 3, numRuns: 500});
});
