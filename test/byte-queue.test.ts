import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {ByteQueue} from '../src/common/index.js';

test('bytes come out in the order in which they went in, however they are cut and taken', () => {
	const step = fc.oneof(fc.record({append: fc.uint8Array({maxLength: 3000})}), fc.record({take: fc.integer({min: 0, max: 5000})}));
	fc.assert(fc.property(fc.array(step), steps => {
		const queue = new ByteQueue();
		const expected: Uint8Array[] = [];
		const taken: Uint8Array[] = [];
		for (const each of steps) {
			if ('append' in each) {
				const bytes = Uint8Array.from(each.append);
				expected.push(Uint8Array.from(bytes));
				queue.append(bytes);
				bytes.fill(0);
			} else {
				const before = queue.length;
				const bytes = queue.take(each.take);
				expect(bytes.length).toBeGreaterThanOrEqual(Math.min(each.take, before));
				expect(queue.length).toBe(before - bytes.length);
				taken.push(bytes);
			}
		}

		expect(Buffer.concat([...taken, queue.take()])).toEqual(Buffer.concat(expected));
		expect(queue.length).toBe(0);
	}), {seed: 11, numRuns: 300});
});

test('a cleared queue is empty and takes more bytes', () => {
	const queue = new ByteQueue();
	queue.append(Buffer.alloc(5000, 'a'));
	queue.append(Buffer.from('b'));
	queue.clear();
	queue.append(Buffer.from('c'));
	expect([queue.length, Buffer.from(queue.take()).toString()]).toEqual([1, 'c']);
});
