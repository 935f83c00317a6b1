// Requests that another node forwards, because the node that got them is cut from all servers.
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil, type TestCall} from './helpers/gateways.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';
import {ServerLinks} from './helpers/server-links.js';

const testTimeout = 30_000;

/** Time within which a server has to learn that its caller has left, in milliseconds. */
const cancelLimit = 500;

const eventCount = 6;
const eventGap = 150;

const stream: TestCall = {path: '/stream/', headers: {'cresshook-token-usage': '2000,50'}};

let fleet: GatewayFleet;
let links: ServerLinks[];
/** Paths of the requests that servers began to run, and how many of them were broken off. */
let runs: string[];
let cancelled: number;
/** Time that a plain answer takes, in milliseconds. */
let work: number;

beforeEach(() => {
	fleet = new GatewayFleet();
	links = [];
	runs = [];
	cancelled = 0;
	work = 0;
});

afterEach(async () => {
	await fleet.stop();
	await Promise.all(links.map(async link => link.stop()));
});

const answer: ServerBehaviour = async (request, response) => {
	if (request.url === '/v1/report') {
		response.end('{"tickets":[]}');
		return;
	}

	runs.push(`${request.method} ${request.url}`);
	response.once('close', () => {
		cancelled += response.writableFinished ? 0 : 1;
	});
	if (request.body === 'deadly') {
		const index = Number((request.headers['cresshook-target-instance'] ?? '').slice(2));
		await fleet.runners[index].stop();
		return;
	}

	if (request.url.startsWith('/stream/')) {
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		const first = Number(request.headers['last-event-id'] ?? 0) + 1;
		for (let id = first; id <= eventCount; id++) {
			response.write(formatEvent(id));
			await sleep(eventGap);
		}

		response.end();
		return;
	}

	await sleep(work);
	const body = `${request.method} ${request.body}`;
	const isFramed = request.url !== '/again/unframed';
	response.useChunkedEncodingByDefault = isFramed;
	response.shouldKeepAlive = isFramed;
	response.writeHead(200, {...createAnswerHeaders(request), ...(isFramed && {'content-length': String(body.length)})});
	response.end(body);
};

/** Starts nodes of which the first is cut from all servers, and waits until it knows. */
async function startCutFleet(nodes: number, models = 2): Promise<void> {
	links = [new ServerLinks()];
	fleet.dialers.push(links[0]);
	await fleet.start({nodes, runners: ['app', 'app', ...Array.from({length: models}, () => 'model')].map(service => ({service, behaviour: answer}))});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes));
	links[0].set('refused');
	for (let call = 0; call < 4; call++) {
		await fleet.call({path: '/again/'});
	}

	runs = [];
}

/** Index of the node that has forwarded an answer. */
async function findRelay(): Promise<number> {
	const texts = await Promise.all(fleet.gateways.map(async ({metrics}) => metrics.formatText()));
	return texts.findIndex(text => /cresshook_forwarded_total\{outcome="answered"\} [1-9]/u.test(text));
}

function listEvents(body: string): number[] {
	return [...body.matchAll(/^id: ?(?<id>\d+)$/gmu)].map(match => Number(match.groups!.id));
}

const allEvents = Array.from({length: eventCount}, (_, index) => index + 1);

test.each(['GET', 'POST', 'PUT', 'DELETE'])('%s requests and their bodies arrive unchanged', async method => {
	await startCutFleet(2);
	const body = method === 'GET' ? undefined : 'x'.repeat(200_000);
	const received = await fleet.call({
		path: '/again/a?b=c', method, body, headers: body === undefined ? {} : {'content-length': String(body.length)},
	});
	expect([received.status, received.body, runs]).toEqual([200, `${method} ${body ?? ''}`, [`${method} /again/a?b=c`]]);
}, testTimeout);

test('an answer without a length that is held whole gets one', async () => {
	await startCutFleet(2);
	const {status, body, headers} = await fleet.call({path: '/again/unframed', body: 'x'});
	expect([status, body, headers['content-length'], headers['transfer-encoding']]).toEqual([200, 'POST x', '6', undefined]);
}, testTimeout);

// Guards against a second run after the connection between two nodes broke.
test('a request that may run once is not repeated when its answer is lost between two nodes', async () => {
	await startCutFleet(2);
	work = 600;
	const called = fleet.call({path: '/once/'});
	await waitUntil(() => runs.length > 0);
	await fleet.gateways[1].close();
	const {status} = await called;
	await sleep(work);
	expect([status, runs]).toEqual([502, ['POST /once/']]);
}, testTimeout);

test('a stream continues when the node that forwards it is lost', async () => {
	await startCutFleet(3);
	const called = fleet.call(stream);
	await waitUntil(() => runs.length > 0);
	await sleep(eventGap * 1.5);
	const relay = await findRelay();
	expect(relay).toBeGreaterThan(0);
	await fleet.gateways[relay].close();
	const {status, body, isComplete} = await called;
	expect([status, listEvents(body), isComplete]).toEqual([200, allEvents, true]);
}, testTimeout);

test('a planned stop of the node that forwards cuts nothing off', async () => {
	await startCutFleet(2);
	const called = fleet.call(stream);
	await waitUntil(() => runs.length > 0);
	const stopped = fleet.gateways[1].stop();
	const {status, body, isComplete} = await called;
	await stopped;
	expect([status, listEvents(body), isComplete, runs.length]).toEqual([200, allEvents, true, 1]);
}, testTimeout);

// Guards against crashes that a cut node does not see: its own probes tell nothing about the server.
test('a forwarded request is rejected after it crashed three servers', async () => {
	await startCutFleet(3, 6);
	links[0].set('silent');
	const statuses = [];
	for (let call = 0; call < 4; call++) {
		const {status} = await fleet.call({...stream, body: 'deadly'});
		statuses.push(status);
	}

	expect([runs.length, statuses.at(-1)]).toEqual([3, 503]);
}, testTimeout);

test('a server learns in time that the caller of a forwarded request has left', async () => {
	await startCutFleet(2);
	const called = fleet.call({...stream, abortAfter: eventGap * 2});
	await called;
	await waitUntil(() => cancelled > 0, cancelLimit);
	expect(runs.length).toBe(1);
}, testTimeout);

test('requests go directly again within a second of the return of the links', async () => {
	await startCutFleet(2);
	links[0].set('open');
	await sleep(1000);
	const {dialled} = links[0];
	await fleet.call({path: '/once/'});
	const text = await fleet.gateways[0].metrics.formatText();
	const relayed = /cresshook_relayed_total\{service="app",purpose="request",outcome="answered"\} (?<count>\d+)/u.exec(text)?.groups?.count;
	await fleet.call({path: '/once/'});
	expect(await fleet.gateways[0].metrics.formatText()).toContain(`cresshook_relayed_total{service="app",purpose="request",outcome="answered"} ${relayed}`);
	expect(links[0].dialled).toBeGreaterThan(dialled);
}, testTimeout);

test('a request whose servers no node reaches is rejected as not run', async () => {
	await startCutFleet(2);
	await Promise.all(fleet.runners.map(async runner => runner.stop()));
	const {status} = await fleet.call({path: '/once/'});
	expect([status, runs]).toEqual([503, []]);
}, testTimeout);
