// Answers of a server that do not end, in a head or a body, through the program as it is deployed.
import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import {busyShare, ReadTurns, type Clock} from '../src/common/index.js';
import {FloodedNode, type Flood, type FloodRun} from './helpers/floods.js';
import {GatewayProgram} from './helpers/gateway-process.js';

const testTimeout = 60_000;

/** Longest time for which a node may be blocked, in milliseconds. */
const maxBlock = 100;

/** Memory of a node on the deployments, in mebibytes. */
const maxMemory = 350;

let program: GatewayProgram;
let flooded: FloodedNode;

beforeAll(() => {
	program = new GatewayProgram();
}, testTimeout);

afterAll(() => {
	program.remove();
});

beforeEach(async () => {
	flooded = await new FloodedNode().start(program);
}, testTimeout);

afterEach(async () => {
	await flooded.stop();
}, testTimeout);

/** Plays a run, and expects that nothing but the flooded requests notices it. */
async function expectServed(run: FloodRun): Promise<void> {
	const {troubled, leftOpen, longestBlock, floods: count} = await flooded.play(run);
	expect(count).toBeGreaterThanOrEqual(run.atOnce ?? 1);
	expect(flooded.node.end).toBeUndefined();
	expect(troubled).toEqual([]);
	expect(leftOpen).toBe(0);
	expect(longestBlock).toBeLessThan(maxBlock);
}

const stream = {path: '/stream/', place: 'body'} as const;
const plain = {path: '/again/'} as const;

const floods: Array<[name: string, flood: Flood]> = [
	['events that hold nothing', {...stream, unit: ':\n\n'}],
	['events that hold nothing, a chunk each', {...stream, isChunked: true, unit: ':\n\n'}],
	['blank lines in place of events', {...stream, unit: '\n'}],
	['events of one letter', {...stream, unit: 'data: a\n\n'}],
	['events of one letter, a chunk each', {...stream, isChunked: true, unit: 'data: a\n\n'}],
	['chunks of one byte', {...stream, isChunked: true, unit: 'a'}],
	['header fields without a value', {...plain, place: 'head', unit: 'x:\r\n'}],
	['header fields of one letter', {...plain, place: 'head', unit: 'x-a: 1\r\n'}],
	['interim answers', {...plain, place: 'start', unit: 'HTTP/1.1 102 Processing\r\n\r\n'}],
	['trailers', {
		...plain, place: 'body', isChunked: true, first: '2\r\nok\r\n0\r\n', unit: 'x:\r\n',
	}],
];

// A turn of the event loop was bounded by the bytes of one connection: 21,845 events, or as many header fields.
test.each(floods)('a server that sends %s without end delays no other request', async (_name, flood) => {
	await expectServed({flood, requests: 100});
}, testTimeout);

// Each connection had a turn of its own in the same round of the event loop.
test.each([1, 10, 100])('%i connections that flood at the same time delay no other request', async atOnce => {
	for (const flood of [{...stream, unit: 'data: a\n\n', rate: 300}, {
		...stream, isChunked: true, unit: 'a', rate: 300,
	}]) {
		await expectServed({
			flood, atOnce, requests: 50, interval: 50,
		});
	}
}, testTimeout);

const chunkedHead = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

const noAnswers: Array<[name: string, flood: Flood]> = [
	['bytes in place of a status line', {...plain, place: 'start', unit: 'x'}],
	['blank lines in place of a status line', {...plain, place: 'start', unit: '\r\n'}],
	['a header name', {...plain, place: 'head', unit: 'x'}],
	['a header value', {
		...plain, place: 'head', first: 'x: ', unit: 'x',
	}],
	['a size of a chunk', {
		...plain, place: 'start', first: chunkedHead, unit: '0',
	}],
	['an extension of a chunk', {
		...plain, place: 'start', first: `${chunkedHead}2;`, unit: 'x',
	}],
	['a body without a length', {...plain, place: 'body', unit: 'x'}],
	['an event', {...stream, first: 'data: ', unit: 'x'}],
	['a comment', {...stream, first: ':', unit: 'x'}],
];

// Machines of other operators kept such bytes until they had no memory left.
test.each(noAnswers)('%s without end does not fill the memory of a node', async (_name, flood) => {
	await expectServed({flood, requests: 100});
	expect(flooded.node.readPeakMemory()).toBeLessThan(maxMemory);
}, testTimeout);

/** A clock that goes on by the time that is spent, and to its next timer. */
class StepClock implements Clock {
	#time = 0;
	readonly #timers: Array<{at: number; callback: () => void}> = [];

	now(): Date {
		return new Date(this.#time);
	}

	readMonotonic(): number {
		return this.#time;
	}

	setTimer(delay: number, callback: () => void) {
		this.#timers.push({at: this.#time + delay, callback});
		return {cancel() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	}

	spend(time: number): void {
		this.#time += time;
	}

	fireNext(): void {
		this.#timers.sort((left, right) => left.at - right.at);
		const {at, callback} = this.#timers.shift()!;
		this.#time = Math.max(this.#time, at);
		callback();
	}
}

test.each([1, 10, 100])('%i busy connections take no more than their share of the time, and equal parts of it', count => {
	const clock = new StepClock();
	const turns = new ReadTurns(clock);
	const grantTime = 0.5;
	const grants = Array.from({length: count}, () => 0);
	for (const index of grants.keys()) {
		const taker = {
			isBusy: true,
			resume() {
				clock.spend(grantTime);
				grants[index]++;
				turns.enqueue(taker);
			},
		};
		turns.enqueue(taker);
	}

	while (clock.readMonotonic() < 5000) {
		clock.fireNext();
	}

	const usedTime = grants.reduce((sum, grant) => sum + grant, 0) * grantTime;
	expect(usedTime / clock.readMonotonic()).toBeLessThan(busyShare + 0.01);
	expect(usedTime / clock.readMonotonic()).toBeGreaterThan(busyShare - 0.01);
	expect(Math.max(...grants) - Math.min(...grants)).toBeLessThanOrEqual(1);
});
