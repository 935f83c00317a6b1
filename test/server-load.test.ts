import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {PlanId} from '../src/common/index.js';
import {ServerLoad, markTaskStarted, type Task} from '../src/planning/server-load.js';
import {createServers} from './helpers/planning.js';

/** An event at a server; times in milliseconds. */
type BoardEvent =
	| {kind: 'add'; isLong: boolean; prefillTime: number; prefillFor: number}
	| {kind: 'start' | 'remove'; index: number}
	| {kind: 'pass'; time: number};

const eventArbitrary: fc.Arbitrary<BoardEvent> = fc.oneof(
	fc.record({
		kind: fc.constant('add' as const), isLong: fc.boolean(), prefillTime: fc.integer({min: 0, max: 900}), prefillFor: fc.integer({min: 0, max: 2000}),
	}),
	fc.record({kind: fc.constantFrom('start' as const, 'remove' as const), index: fc.nat(30)}),
	fc.record({kind: fc.constant('pass' as const), time: fc.integer({min: 0, max: 600})}),
);

function createTask(index: number, now: number, {isLong, prefillTime, prefillFor}: {isLong: boolean; prefillTime: number; prefillFor: number}): Task {
	return {
		planId: `plan-${index}` as PlanId,
		isHelper: false,
		isLong,
		prefillEnd: now + prefillFor,
		prefillTime,
		heldTokens: 0,
		promptTokens: 1000,
		contextTokens: 1000,
		hasStarted: false,
		hasExceededPause: false,
	};
}

/** Remaining prefill time and the end of the last long prefill, computed from all tasks. */
function sumPrefill(tasks: Task[], now: number): [number, number] {
	let sum = 0;
	let end = now;
	for (const {hasStarted, isLong, prefillTime, prefillEnd} of tasks) {
		// A long prefill is overdue for at most its own time, and takes a fifth of its delay more, at least a millisecond.
		const isOverdue = isLong && prefillEnd <= now && prefillEnd + prefillTime > now;
		const expectedEnd = isOverdue ? now + Math.max(1, (now - prefillEnd) * 0.2) : prefillEnd;
		if (!hasStarted && expectedEnd > now) {
			sum += Math.min(prefillTime, expectedEnd - now);
			end = isLong ? Math.max(end, expectedEnd) : end;
		}
	}

	return [sum, end];
}

// A load skips tasks whose prefill has ended. The remaining prefill time must be the same as if it checked all of them.
test('the remaining prefill time of a server includes all its tasks, whatever is added, started and removed over time', () => {
	fc.assert(fc.property(fc.array(eventArbitrary, {maxLength: 60}), events => {
		const load = new ServerLoad(createServers(1)[0]);
		const tasks: Task[] = [];
		let now = 0;
		for (const [index, event] of events.entries()) {
			if (event.kind === 'add') {
				const task = createTask(index, now, event);
				load.add(task);
				tasks.push(task);
			} else if (event.kind === 'pass') {
				now += event.time;
			} else if (tasks.length > 0) {
				const at = event.index % tasks.length;
				if (event.kind === 'start') {
					markTaskStarted(tasks[at], now);
				} else {
					load.remove(tasks.splice(at, 1)[0].planId);
				}
			}

			expect([load.computePendingPrefill(now), load.findLongPrefillEnd(now)]).toEqual(sumPrefill(tasks, now));
		}
	}), {seed: 3, numRuns: 500});
});
