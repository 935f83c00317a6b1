// A backend server whose answers fail gets few requests while others answer, checked by the answers and by the requests that arrive there.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {formatStatus} from '../src/cli/format-status.js';
import {createLogger} from '../src/common/index.js';
import type {NodeStatus} from '../src/gateway/index.js';
import {describeRequest, parseLogLine, TimelineCollector} from '../src/logs/index.js';
import {GatewayFleet, send, waitUntil} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, createTextAnswer, type ServerBehaviour} from './helpers/platform-standins.js';
import {loadSteadily} from './helpers/steady-load.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

/** Starts nodes, and servers of which the first one answers as given. */
async function startFleet(nodes: number, servers: number, first: ServerBehaviour): Promise<void> {
	const behaviours = Array.from({length: servers}, (_, index) => index === 0 ? first : createTextAnswer('ok'));
	await fleet.start({nodes, runners: behaviours.map(behaviour => ({service: 'app', behaviour}))});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes));
}

// Guards against an idle server that fails at once and is taken for the least loaded one: it got every first try, and of 240 requests 81 to 84 were answered.
test.each([[1, 2, 500], [4, 2, 500], [1, 2, 503], [4, 4, 500]])('%s nodes with %s servers, one of which answers %s at once, answer every request', async (nodes, servers, status) => {
	await startFleet(nodes, servers, createTextAnswer('no', status));
	const responses = await loadSteadily(fleet, {path: '/again/', rate: 80, duration: 3000});
	expect(responses.filter(({body}) => body !== 'ok')).toEqual([]);
	expect(responses.length).toBeGreaterThan(200);
	expect(fleet.runners[0].receivedRequests.length).toBeLessThanOrEqual(4);
}, testTimeout);

// Guards against first tries that all go to a server which fails half of them: 213 of 240 requests were answered.
test('2 nodes with 4 servers, one of which fails half of its requests, answer 238 of 240 requests', async () => {
	let count = 0;
	await startFleet(2, 4, async (...request) => createTextAnswer(count++ % 2 === 0 ? 'ok' : 'no', count % 2 === 1 ? 200 : 500)(...request));
	const responses = await loadSteadily(fleet, {path: '/again/', rate: 60, duration: 4000});
	const sends = fleet.runners.reduce((sum, {receivedRequests}) => sum + receivedRequests.length, 0);
	expect(responses.filter(({body}) => body !== 'ok').length / responses.length).toBeLessThanOrEqual(2 / 240);
	expect(sends / responses.length).toBeLessThanOrEqual(1.1);
}, testTimeout);

/** Reads a page from the metrics port of the first node. */
async function readOperatorsPage(path: string): Promise<string> {
	const {listen, metrics_port: port} = fleet.settings[0];
	const {body} = await send(`${listen.callers.split(':')[0]}:${port}`, {path, method: 'GET'});
	return body;
}

function answerWith(status: number, headers: Record<string, string> = {}): ServerBehaviour {
	return (request, response) => {
		response.writeHead(status, {...createAnswerHeaders(request), ...headers});
		response.end('no');
	};
}

const cutBody: ServerBehaviour = (request, response, socket) => {
	response.writeHead(200, {...createAnswerHeaders(request), 'content-length': '100'});
	response.write('no');
	setTimeout(() => socket.resetAndDestroy(), 10);
};

const answerUnsigned: ServerBehaviour = (request, response) => {
	response.writeHead(200, {'cresshook-attempt-id': request.headers['cresshook-attempt-id'] ?? ''});
	response.end('no');
};

/** Answers 504 when the time that the request states has run out but for a few milliseconds. */
const answerAtDeadline: ServerBehaviour = async (...request) => {
	await pause(Number(request[0].headers['cresshook-deadline-ms']) - 40);
	await answerWith(504)(...request);
};

// Guards against failures that no server learns of, and against servers that are avoided for what their requests ask.
test.each<[string, ServerBehaviour, boolean]>([
	['500', answerWith(500), true],
	['502', answerWith(502), true],
	['503 without a statement that the request did not run', answerWith(503), true],
	['504 before the deadline', answerWith(504), true],
	['504 at the deadline', answerAtDeadline, false],
	['501', answerWith(501), false],
	['505', answerWith(505), false],
	['a body that is cut', cutBody, true],
	['an answer without a signature', answerUnsigned, true],
	['503 with a time of rest', answerWith(503, {'retry-after': '1'}), false],
	['429', answerWith(429), false],
])('%s counts against its server as stated', async (_, behaviour, isCounted) => {
	await startFleet(1, 1, behaviour);
	await fleet.call({path: '/once/'});
	const body = await readOperatorsPage('/metrics');
	expect(body.includes('trouble="spoiled"')).toBe(isCounted);
});

test('a server that is avoided for failures is named by status, explain and metrics', async () => {
	const log = new LogCapture();
	fleet.loggers.push(createLogger('info', log));
	await startFleet(1, 1, answerWith(500));
	for (let index = 0; index < 5; index++) {
		await fleet.call({path: '/once/', body: `body ${index}`});
	}

	const {receivedRequests} = await fleet.addRunner('app', createTextAnswer('ok'));
	await waitUntil(() => log.listEvents('server_added').length > 0);
	await fleet.call({path: '/again/', headers: {'cresshook-attempt-id': 'last'}});
	expect(receivedRequests).toHaveLength(1);
	expect(formatStatus(JSON.parse(await readOperatorsPage('/status')) as NodeStatus)).toMatch(/i-0: .*; avoided for failures, 100% of its last \d+ answers failed/);
	expect(await readOperatorsPage('/metrics')).toMatch(/cresshook_avoided_choices_total{service="app",reason="failures"} [1-9]/);
	const collector = new TimelineCollector('last');
	await waitUntil(() => log.listEvents('call_ended').length > 5);
	for (const text of log.text.split('\n')) {
		const line = parseLogLine(text, 'edge-0');
		if (line !== undefined) {
			collector.add(line);
		}
	}

	expect(describeRequest(collector.finish()!).cause).toMatch(/ It was kept from i-0: more answers fail there than at other servers\.$/);
}, testTimeout);
