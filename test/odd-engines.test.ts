// What engines and callers of the OpenAI path send beyond its protocol.
import {connect} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createLogger} from '../src/common/index.js';
import {standinFleet} from '../src/standin/index.js';
import {buildChatBody, sendChat} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';
import {LogCapture} from './helpers/logs.js';
import {pause} from './helpers/pause.js';
import {LoopbackServer} from './helpers/platform-standins.js';

const testTimeout = 60_000;

let fleet: TestFleet;
let log: LogCapture;

beforeEach(async () => {
	log = new LogCapture();
	fleet = await new TestFleet({engines: 2, nodes: 2, logger: createLogger('info', log)}).startReady();
}, testTimeout);

afterEach(async () => {
	await fleet.stop();
}, testTimeout);

function putEngine(url: string): void {
	fleet.platform.putObject({
		kind: 'BackendServer',
		metadata: {name: 'engine-9'},
		spec: {
			service: standinFleet.service, url, availabilityZone: standinFleet.zones[0], capacity: 2_000_000, checksOrders: true,
		},
	});
}

async function sendChats(): Promise<number[]> {
	const statuses: number[] = [];
	for (let index = 0; index < 12; index++) {
		const answer = await fleet.settle(sendChat(fleet.nodes[index % 2].callerUrl, {max_tokens: 3}));
		statuses.push(answer.status);
	}

	return statuses;
}

test.each([['nonsense'], ['http://?:80'], ['http://999.999.999.999:80'], ['http://127.0.0.1:99999'], ['file:///x']])('requests are served beside an engine with the URL %s', async url => {
	putEngine(url);
	await fleet.advanceTime(3000);
	const statuses = await sendChats();
	expect([fleet.nodes.map(node => node.phase), log.listEvents('child_restarted').map(({child, reason}) => `${String(child)}: ${String(reason)}`), [...new Set(statuses)]]).toEqual([['ready', 'ready'], [], [200]]);
}, testTimeout);

// The reconciler ended on a list that is not JSON, again and again.
test.each([['hello'], ['null'], ['{"requests": 5}'], ['[]'], ['']])('an engine that lists its requests as %j stops no part of a node', async text => {
	const engine = await new LoopbackServer(async (request, response) => {
		request.resume();
		response.end(text);
	}).start(0, '127.0.0.1');
	putEngine(`http://${engine.address}`);
	await fleet.advanceTime(6000);
	expect([fleet.nodes.map(node => node.phase), log.listEvents('child_restarted').map(({child, reason}) => `${String(child)}: ${String(reason)}`)]).toEqual([['ready', 'ready'], []]);
	await engine.stop();
}, testTimeout);

// A 400 to bytes that are no request was written between the events of an answer.
test('an answer of the OpenAI path is not mixed with that to what follows it', async () => {
	const url = new URL(fleet.nodes[0].callerUrl);
	const socket = connect(Number(url.port), url.hostname);
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	const body = JSON.stringify(buildChatBody({stream: true, max_tokens: 200}));
	socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${standinFleet.key}\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`);
	await fleet.waitUntil(() => received.includes('t2 '));
	socket.write('no request\r\n\r\n');
	await pause(200);
	await fleet.advanceTime(500);
	socket.destroy();
	expect(received.indexOf('HTTP/1.1', 10)).toBe(-1);
}, testTimeout);
