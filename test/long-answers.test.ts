// Guards against plain answers of more than 1 MiB that are rejected with 502 after their server ran the request, and
// against long answers that look complete although they are not.
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import type {Dispatcher} from 'undici';
import {CallWire} from '../platform/index.js';
import {VirtualClock} from '../src/common/index.js';
import {BackendAttempt, type AttemptParts} from '../src/gateway/calls/index.js';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';
import {RecordingSink} from './helpers/scripted-call.js';

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

const ignore = () => {}; // eslint-disable-line @typescript-eslint/no-empty-function -- what the test does not observe

const megabyte = 1_000_000;
const paths = ['/once/', '/again/'];

type AnswerOptions = {
	status?: number;
	headers?: Record<string, string>;
	framing?: 'length' | 'chunks' | 'none';
	/** Called instead of the end of the answer, once the body has been written. */
	interrupt?: (response: ServerResponse) => void;
};

/** Creates a behaviour that answers with a body of `size` bytes; an interrupted one announces twice as many. */
function answerLong(size: number, {status = 200, headers = {}, framing = 'length', interrupt}: AnswerOptions = {}): ServerBehaviour {
	return (request, response) => {
		const announced = interrupt === undefined ? size : size * 2;
		if (framing === 'none') {
			response.shouldKeepAlive = false;
			response.useChunkedEncodingByDefault = false;
		}

		response.writeHead(status, {...createAnswerHeaders(request), ...(framing === 'length' ? {'content-length': String(announced)} : {}), ...headers});
		response.write(Buffer.alloc(size, 'a'), () => {
			if (interrupt === undefined) {
				response.end();
			} else {
				interrupt(response);
			}
		});
	};
}

async function startServers(behaviour: ServerBehaviour): Promise<void> {
	await fleet.start({runners: [1, 2].map(() => ({service: 'app', behaviour}))});
}

function countRequests(): number {
	return fleet.runners.reduce((sum, runner) => sum + runner.receivedRequests.length, 0);
}

test.each([
	['2 MB', 2 * megabyte, 'length'],
	['2 MB in chunks', 2 * megabyte, 'chunks'],
	['2 MB without a length', 2 * megabyte, 'none'],
	['20 MB', 20 * megabyte, 'length'],
	['20 MB without a length', 20 * megabyte, 'none'],
] as const)('a plain answer of %s arrives whole after one run', async (_name, size, framing) => {
	await startServers(answerLong(size, {framing}));
	for (const path of paths) {
		const answer = await fleet.call({path});
		expect([answer.status, answer.isComplete, answer.body.length]).toEqual([200, true, size]);
		expect(answer.headers['content-length']).toBe(framing === 'length' ? String(size) : undefined);
		expect(answer.headers['transfer-encoding']).toBe(framing === 'length' ? undefined : 'chunked');
	}

	expect(countRequests()).toBe(2);
});

/** Lets the node read what was written before the connection is reset, since a reset discards the rest. */
const resetLater = (response: ServerResponse) => {
	setTimeout(() => response.socket?.resetAndDestroy(), 200);
};

/** Sends a request of a version of HTTP over a socket, and reads until the connection ends: Node.js reports an answer without a length as complete even if a reset ended it. */
async function callOverSocket(path: string, version: string): Promise<{bytes: number; wasReset: boolean; hasLastChunk: boolean}> {
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const socket = connect(Number(port), host);
	let bytes = 0;
	let wasReset = false;
	let hasLastChunk = false;
	socket.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		hasLastChunk = Buffer.from(chunk).toString('latin1').endsWith('0\r\n\r\n');
	});
	socket.on('error', () => {
		wasReset = true;
	});
	socket.write(`GET ${path} HTTP/${version}\r\nhost: shop.example\r\nauthorization: Bearer secret-key\r\ncresshook-attempt-id: socket-${path}\r\n\r\n`);
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return {bytes, wasReset, hasLastChunk};
}

test.each(['1.1', '1.0'])('a long answer without a length that breaks off is visibly broken over HTTP/%s and not sent again', async version => {
	await startServers(answerLong(2 * megabyte, {framing: 'none', interrupt: resetLater}));
	for (const path of paths) {
		const {bytes, wasReset, hasLastChunk} = await callOverSocket(path, version);
		expect([bytes > 2 * megabyte, wasReset, hasLastChunk]).toEqual([true, version === '1.0', false]);
	}

	expect(countRequests()).toBe(2);
});

test.each(['length', 'chunks'] as const)('a long answer (%s) that breaks off is visibly broken and not sent again', async framing => {
	await startServers(answerLong(2 * megabyte, {framing, interrupt: resetLater}));
	for (const path of paths) {
		const answer = await fleet.call({path});
		expect([answer.status, answer.isComplete]).toEqual([200, false]);
	}

	expect(countRequests()).toBe(2);
});

test('an answer that breaks off while it is buffered is replaced for a repeatable request only', async () => {
	await startServers(answerLong(megabyte / 2, {
		interrupt(response) {
			response.socket?.resetAndDestroy();
		},
	}));
	const answers = [await fleet.call({path: '/once/'}), await fleet.call({path: '/again/'})];
	expect(answers.map(answer => answer.status)).toEqual([502, 502]);
	expect(countRequests()).toBe(3);
});

test('a silent server whose answer becomes long before its hedge answers is the only one that answers', async () => {
	let count = 0;
	await startServers(async (request, response) => {
		if (count++ > 0) {
			return;
		}

		response.writeHead(200, {...createAnswerHeaders(request), 'content-length': String(2 * megabyte)});
		response.write(Buffer.alloc(megabyte, 'a'));
		await pause(1200);
		response.end(Buffer.alloc(megabyte, 'a'));
	});
	const answer = await fleet.call({path: '/again/'});
	expect([answer.status, answer.isComplete, answer.body.length]).toEqual([200, true, 2 * megabyte]);
	expect(countRequests()).toBe(2);
	await waitUntil(() => fleet.runners.reduce((sum, runner) => sum + runner.abandonedCount, 0) === 1);
});

test('a caller that leaves within a long answer ends the request at its server', async () => {
	await startServers(answerLong(2 * megabyte, {interrupt: ignore}));
	for (const path of paths) {
		const answer = await fleet.call({path, abortAfter: 400});
		expect([answer.status, answer.isComplete, answer.body.length]).toEqual([200, false, 2 * megabyte]);
	}

	await waitUntil(() => fleet.runners.reduce((sum, runner) => sum + runner.abandonedCount, 0) === 2);
	expect(countRequests()).toBe(2);
});

test.each([
	['encoded', {headers: {'content-encoding': 'gzip'}}],
	['of another request', {headers: {'cresshook-attempt-id': 'other'}}],
	['with a server error', {status: 500}],
	['declined', {status: 503, headers: {'cresshook-not-executed': '1'}}],
])('a long answer that is %s does not reach the caller', async (_name, options) => {
	await startServers(answerLong(2 * megabyte, options));
	const answer = await fleet.call({path: '/once/'});
	expect([answer.status, answer.isComplete]).toEqual([502, true]);
	expect(answer.body.length).toBeLessThan(1000);
});

test('a long answer without a seal does not reach the caller', async () => {
	await startServers((request, response) => {
		response.writeHead(200, {'cresshook-attempt-id': createAnswerHeaders(request)['cresshook-attempt-id']});
		response.end(Buffer.alloc(2 * megabyte));
	});
	const {status} = await fleet.call({path: '/once/'});
	expect(status).toBe(502);
});

/** An attempt whose server is driven by hand; counts pauses and hedges. */
function createAttempt(route: Record<string, unknown>) {
	const counts = {pauses: 0, resumes: 0, hedges: 0};
	const clock = new VirtualClock();
	const sink = new RecordingSink();
	const call: unknown = {head: {requestId: 'id-1'}, route};
	const callbacks = {onResume: ignore};
	const plan: unknown = {server: 'i-0', expectedFirst: 0, startIn: 0};
	const parts: AttemptParts = {
		clock,
		wire: new CallWire(),
		sink,
		call: call as AttemptParts['call'],
		plan: plan as AttemptParts['plan'],
		lastEventId: undefined,
		async acquireHedge() {
			counts.hedges++;
			return false;
		},
		releaseHedge: ignore,
		onSilent: ignore,
		onQuiet: ignore,
		claimAnswer: ignore,
		onNotice: ignore,
		onEvent: ignore,
		onFirst: ignore,
	};
	const {exchange, ended} = new BackendAttempt(parts);
	// The client's own way to pause must not be used: it ends the process when the server ends its answer meanwhile.
	const controller: Partial<Dispatcher.DispatchController> = {};
	const handled = controller as Dispatcher.DispatchController;
	exchange.attach({
		wasReset: () => false,
		pause() {
			counts.pauses++;
		},
		resume() {
			counts.resumes++;
			callbacks.onResume();
		},
		onDone: ignore,
	});
	exchange.onRequestStart(handled);
	exchange.onResponseStart(handled, 200, {'cresshook-attempt-id': 'id-1', 'cresshook-response-seal': 'seal'});
	const write = (size: number) => {
		exchange.onResponseData(handled, Buffer.alloc(size, 'a'));
	};

	const writeEvent = (id: number) => {
		exchange.onResponseData(handled, Buffer.from(formatEvent(id)));
	};

	return {
		counts, clock, sink, exchange, ended, write, writeEvent, callbacks,
	};
}

test('a long answer pauses its server while the caller is slow, and starts no hedge', async () => {
	const {counts, clock, sink, exchange, ended, write} = createAttempt({kind: 'repeatable', objective: 300});
	sink.isSlow = true;
	write(megabyte);
	expect([sink.hasHead, counts.pauses]).toEqual([false, 0]);
	write(megabyte);
	expect([sink.body.length, counts.pauses, counts.resumes]).toEqual([2 * megabyte, 1, 0]);
	clock.advance(5000);
	sink.drain();
	clock.advance(5000);
	expect(counts).toEqual({pauses: 1, resumes: 1, hedges: 0});
	write(megabyte);
	exchange.onResponseEnd();
	expect(await ended).toEqual({kind: 'done'});
	expect([sink.body.length, sink.ending, sink.violations]).toEqual([3 * megabyte, 'whole', []]);
});

// The silence of a server that its node does not read started a second run.
test('a caller that is slow again as soon as its server is resumed starts no hedge', () => {
	const {counts, clock, sink, writeEvent, callbacks} = createAttempt({
		kind: 'stream', objective: 300, canResume: true, longestSilence: 2000,
	});
	sink.isSlow = true;
	writeEvent(1);
	callbacks.onResume = () => {
		sink.isSlow = true;
		writeEvent(2);
	};

	sink.drain();
	clock.advance(20_000);
	expect(counts).toEqual({pauses: 2, resumes: 1, hedges: 0});
});
