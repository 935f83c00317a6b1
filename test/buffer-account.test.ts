// Guards against the memory of a node that grows with the number of slow callers, and against callers that are cut off
// although they are not slow or although there is room.
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {OrganisationId} from '../src/common/index.js';
import {BufferAccount} from '../src/gateway/calls/buffer-account.js';

const budget = 10_000;
const limit = budget * 1.1;

/** Creates an account whose calls hold unread bytes since moment 0, each of an organisation of its own unless given. */
function createAccount(unread: Record<string, number>, organisationOf = (call: string) => call): BufferAccount<string> {
	const account = new BufferAccount<string>({budget, reserve: budget / 10});
	for (const [call, bytes] of Object.entries(unread)) {
		account.open(call, organisationOf(call) as OrganisationId);
		account.add(call, 'unread', bytes, 0);
	}

	return account;
}

function listHeldBack(account: BufferAccount<string>, calls: string[]): string[] {
	return calls.filter(call => account.isHeldBack(call));
}

test('over the budget those that hold most are held back first, and everyone at the end of the reserve', () => {
	const calls = ['a', 'b', 'c'];
	expect(listHeldBack(createAccount({a: 4500, b: 3000, c: 2500}), calls)).toEqual([]);
	expect(listHeldBack(createAccount({a: 4600, b: 3000, c: 2500}), calls)).toEqual(['a']);
	expect(listHeldBack(createAccount({a: 4600, b: 3400, c: 2500}), calls)).toEqual(['a', 'b', 'c']);
	expect(listHeldBack(createAccount({a: 4800, b: 3400, c: 2100}), calls)).toEqual(['a', 'b']);
});

test('past the reserve the slowest caller is cut off, not the one that holds most', () => {
	const account = createAccount({slow: 3000, steady: 5000, large: 4900});
	account.subtract('slow', 'unread', 100);
	account.subtract('steady', 'unread', 1000);
	account.subtract('large', 'unread', 500);
	expect(account.held).toBe(11_300);
	expect(account.listCutOff(1000)).toEqual(['slow']);
});

test('a caller that has only begun to be slow is not cut off, nor one whose answer is not forwarded yet', () => {
	const account = createAccount({a: 4000, b: 4000});
	account.open('c', 'c' as OrganisationId);
	account.add('c', 'answer', 4000, 0);
	expect(account.listCutOff(100)).toEqual([]);
	expect(account.listCutOff(1000)).toHaveLength(1);
	expect(account.listCutOff(1000)).not.toContain('c');
});

test('an organisation holds at most half of the budget, and its excess concerns nobody else', () => {
	const account = createAccount({
		a1: 3000, a2: 2400, b: 3500,
	}, call => call[0]);
	expect(listHeldBack(account, ['a1', 'a2', 'b'])).toEqual(['a1', 'a2']);
	expect(account.listCutOff(1000)).toEqual([]);
	account.add('a2', 'request', 200, 0);
	account.subtract('a1', 'unread', 10);
	expect(account.listCutOff(1000)).toEqual(['a2']);
});

type Step = {call: number; kind: 'request' | 'answer' | 'unread'; bytes: number; isTaken: boolean; delay: number};

const anyStep: fc.Arbitrary<Step> = fc.record({
	call: fc.nat(11), kind: fc.constantFrom('request', 'answer', 'unread'), bytes: fc.integer({min: 1, max: 1500}), isTaken: fc.boolean(), delay: fc.nat(200),
});

/** Performs steps as a node does: no reading ahead for calls that are held back, and those cut off are closed. */
function runSteps(steps: Step[], check: (account: BufferAccount<number>, cut: number[], unreadSince: Map<number, number>, now: number) => void): void {
	const account = new BufferAccount<number>({budget, reserve: budget / 10});
	const unread = new Map<number, number>();
	const unreadSince = new Map<number, number>();
	let now = 0;
	for (const {call, kind, bytes, isTaken, delay} of steps) {
		now += delay;
		if (!unread.has(call)) {
			account.open(call, call % 3 === 0 ? undefined : `organisation-${call % 3}` as OrganisationId);
			unread.set(call, 0);
		}

		if (isTaken) {
			account.subtract(call, kind, bytes);
			unread.set(call, kind === 'unread' ? Math.max(0, unread.get(call)! - bytes) : unread.get(call)!);
		} else if (kind !== 'unread' || !account.isHeldBack(call)) {
			account.add(call, kind, bytes, now);
			if (kind === 'unread') {
				unreadSince.set(call, unread.get(call) === 0 ? now : unreadSince.get(call)!);
				unread.set(call, unread.get(call)! + bytes);
			}
		}

		const cut = account.listCutOff(now);
		check(account, cut, new Map([...unreadSince].filter(([each]) => unread.get(each)! > 0)), now);
		for (const each of cut) {
			account.close(each);
			unread.delete(each);
			unreadSince.delete(each);
		}
	}
}

test('whatever happens, only slow callers are cut off, only past the reserve, and no more than needed', () => {
	fc.assert(fc.property(fc.array(anyStep, {maxLength: 150}), steps => {
		runSteps(steps, (account, cut, unreadSince, now) => {
			const isOver = account.held > limit || [0, 1, 2].some(rest => sumHeld(account, rest) > limit / 2);
			expect(cut.length === 0 || isOver).toBe(true);
			expect(cut.every(call => now - (unreadSince.get(call) ?? Infinity) >= 250)).toBe(true);
			expect(new Set(cut).size).toBe(cut.length);
			// What stays over a limit has no slow caller left to cut off.
			const remaining = account.held - cut.reduce((sum, call) => sum + account.readHeld(call), 0);
			const spared = [...unreadSince].filter(([call, since]) => !cut.includes(call) && now - since >= 250);
			expect(remaining <= limit || spared.length === 0).toBe(true);
			const last = cut.at(-1);
			if (last !== undefined) {
				const remainingOfLast = sumHeld(account, last % 3) - cut.filter(call => call % 3 === last % 3).reduce((sum, call) => sum + account.readHeld(call), 0);
				expect(remaining + account.readHeld(last) > limit || remainingOfLast + account.readHeld(last) > limit / 2).toBe(true);
			}
		});
	}), {seed: 11, numRuns: 300});
});

function sumHeld(account: BufferAccount<number>, rest: number): number {
	return Array.from({length: 12}, (_, call) => call).filter(call => call % 3 === rest).reduce((sum, call) => sum + account.readHeld(call), 0);
}

test('whatever happens, nobody is held back under the budget, and someone is over it', () => {
	fc.assert(fc.property(fc.array(anyStep, {maxLength: 150}), steps => {
		runSteps(steps, (account, _cut, unreadSince) => {
			const heldBack = [...unreadSince.keys()].filter(call => account.isHeldBack(call));
			const isOver = account.held > budget || [0, 1, 2].some(rest => sumHeld(account, rest) > budget / 2);
			expect(heldBack.length === 0 || isOver).toBe(true);
			expect(account.held <= budget || unreadSince.size === 0 || heldBack.length > 0).toBe(true);
			expect(account.held < limit || heldBack.length === unreadSince.size).toBe(true);
		});
	}), {seed: 12, numRuns: 300});
});
