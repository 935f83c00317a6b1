// Guards against servers that cut the answers of slow callers and run their requests again, and against a node whose
// memory grows with what slow callers have not read.
import {Buffer} from 'node:buffer';
import {request as sendRequest} from 'node:http';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createLogger} from '../src/common/index.js';
import {parseGatewaySettings} from '../src/gateway/index.js';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, type ServerBehaviour} from './helpers/platform-standins.js';

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

const megabyte = 1_000_000;
const eventSize = 50_000;

/** Time for which servers of the measured case wait for a reader, and for which its callers pause, in milliseconds. */
const maxUnreadTime = 2000;
const readerPause = 3000;

/** Number of answers that servers have cut because nobody read them. */
let cuts = 0;

/** Creates a behaviour that streams `size` bytes of events and cuts an answer that stays unread. */
function streamLong(size: number): ServerBehaviour {
	return async (request, response, socket) => {
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		for (let id = Number(request.headers['last-event-id'] ?? 0) + 1; id <= size / eventSize; id++) {
			const canWriteMore = response.write(`id: ${id}\ndata: ${'x'.repeat(eventSize)}\n\n`);
			if (!canWriteMore && !await waitForDrain(response)) {
				cuts += response.destroyed ? 0 : 1;
				socket.resetAndDestroy();
				return;
			}
		}

		response.end();
	};
}

async function waitForDrain(response: Parameters<ServerBehaviour>[1]): Promise<boolean> {
	return new Promise(resolve => {
		const timer = setTimeout(() => {
			resolve(false);
		}, maxUnreadTime);
		const settle = (hasDrained: boolean) => {
			clearTimeout(timer);
			resolve(hasDrained);
		};

		response.once('drain', () => {
			settle(true);
		});
		response.once('close', () => {
			settle(false);
		});
	});
}

type SlowRead = {bytes: number; lastId: number; isComplete: boolean};

/** Reads a stream, and pauses once after its first bytes. */
async function readSlowly(key: string, pauseTime: number): Promise<SlowRead> {
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		const request = sendRequest({
			host, port, path: '/stream/', method: 'POST', headers: {host: 'shop.example', authorization: `Bearer ${key}`, 'cresshook-attempt-id': `slow-${Math.random()}`},
		}, response => {
			response.once('data', () => {
				response.pause();
				setTimeout(() => response.resume(), pauseTime);
			});
			response.on('data', (chunk: Uint8Array) => {
				chunks.push(chunk);
			});
			const finish = () => {
				const body = Buffer.concat(chunks).toString();
				resolve({bytes: body.length, lastId: Number(/.*^id: (?<id>\d+)$/msu.exec(body)?.groups?.id), isComplete: response.complete});
			};

			response.on('error', finish);
			response.on('end', finish);
		});
		request.end();
	});
}

async function startFleet(memory: number | undefined, size: number): Promise<LogCapture> {
	cuts = 0;
	const log = new LogCapture();
	fleet.loggers.push(createLogger('info', log));
	fleet.extraSettings = memory === undefined ? '' : `[buffers]\nmemory_mb = ${memory}\n`;
	await fleet.start({runners: [1, 2].map(() => ({service: 'model', behaviour: streamLong(size)}))});
	fleet.store.put('config', 'main', createConfig(2, {tenants: ['a', 'b'].map(name => ({name, apiKeys: [`key-${name}`]}))}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
	return log;
}

function countRequests(): number {
	return fleet.runners.reduce((sum, runner) => sum + runner.receivedRequests.length, 0);
}

async function readMetric(name: string): Promise<number> {
	const text = await fleet.gateways[0].metrics.formatText();
	return Number(new RegExp(`^${name}(?:\\{.*\\})? (?<value>\\d+)$`, 'm').exec(text)?.groups?.value ?? 0);
}

test('six callers that pause for longer than their servers wait cause no cut and no second run', async () => {
	await startFleet(1300, 10 * megabyte);
	const reads = await Promise.all(Array.from({length: 6}, async (_, index) => readSlowly(index % 2 === 0 ? 'key-a' : 'key-b', readerPause)));
	expect(reads.map(read => [read.lastId, read.isComplete])).toEqual(Array.from({length: 6}, () => [200, true]));
	expect([cuts, countRequests()]).toEqual([0, 6]);
	expect(await readMetric('cresshook_callers_cut_off_total')).toBe(0);
}, 20_000);

test('a node over its budget stops reading ahead and cuts off nobody', async () => {
	const log = await startFleet(20, 10 * megabyte);
	const reading = Promise.all(Array.from({length: 4}, async (_, index) => readSlowly(index % 2 === 0 ? 'key-a' : 'key-b', 1500)));
	let held = 0;
	for (let passed = 0; passed < 1400; passed += 100) {
		await pause(100);
		held = Math.max(held, await readMetric('cresshook_buffered_bytes'));
	}

	const reads = await reading;
	expect(reads.map(read => [read.lastId, read.isComplete])).toEqual(Array.from({length: 4}, () => [200, true]));
	expect(held).toBeGreaterThan(megabyte);
	// The budget of 2 MB and the reserve of 8 MB; the streams have 40 MB.
	expect(held).toBeLessThan(10 * megabyte);
	expect(log.text).not.toContain('caller_cut_off');
	expect(countRequests()).toBe(4);
}, 20_000);

test('a planned stop waits for a caller that has not taken what was read ahead', async () => {
	await startFleet(1300, 10 * megabyte);
	const slow = readSlowly('key-a', 2000);
	await waitUntil(() => countRequests() === 1);
	await pause(800);
	await fleet.gateways[0].stop();
	expect(await slow).toMatchObject({lastId: 200, isComplete: true});
	expect([cuts, countRequests()]).toEqual([0, 1]);
}, 20_000);

test('past the reserve a slow caller is cut off, and the calls whose bodies took the room are served', async () => {
	const log = await startFleet(1, 10 * megabyte);
	const answerLate: ServerBehaviour = async (request, response) => {
		await pause(1000);
		response.writeHead(200, {...createAnswerHeaders(request), 'content-length': '4'});
		response.end('done');
	};

	await fleet.addRunner('app', answerLate);
	await waitUntil(() => fleet.gateways[0].state.usableServers === 3);
	const slow = readSlowly('key-a', 2000);
	await pause(500);
	const answers = await Promise.all([1, 2, 3, 4, 5].map(async () => fleet.call({
		path: '/once/', body: 'b'.repeat(900_000), headers: {authorization: 'Bearer key-a'},
	})));
	const {isComplete} = await slow;
	expect([isComplete, ...answers.map(answer => answer.status)]).toEqual([false, 200, 200, 200, 200, 200]);
	expect(log.listEvents('caller_cut_off')).toEqual([expect.objectContaining({service: 'model', organisation: 'a', budget: 100_000})]);
	expect(await readMetric('cresshook_callers_cut_off_total')).toBe(1);
	await waitUntil(() => fleet.runners[0].abandonedCount + fleet.runners[1].abandonedCount === 1);
	expect(countRequests()).toBe(6);
}, 20_000);

test('the section of buffers is optional', () => {
	const base = `
box = "edge-1"
region = "r"
availability_zone = "north"
heartbeat_port = 1
metrics_port = 2
[listen]
callers = "10.0.0.1:1"
ready = "10.0.0.1:2"
addresses = "10.0.0.1:3"
peers = "10.0.0.1:4"
[store]
address = "10.0.0.1:5"
[stop]
grace_seconds = 3
[retry]
ratio = 0.2
slack = 5
window_seconds = 10
`;
	expect(parseGatewaySettings(base).unsafeCoerce().buffers).toBeUndefined();
	expect(parseGatewaySettings(`${base}[buffers]\nmemory_mb = 250\n`).unsafeCoerce().buffers).toEqual({memory_mb: 250, memory_share: 0.1});
	expect(parseGatewaySettings(`${base}[buffers]\nmemory_share = 0.1\n`).isLeft()).toBe(true);
});
