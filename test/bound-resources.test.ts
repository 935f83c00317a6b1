import {
	afterEach, expect, test,
} from '@jest/globals';
import {request} from 'undici';
import {standinFleet} from '../src/standin/index.js';
import {
	call, sendChat, buildChatBody, joinStream, readError,
} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';

let fleet: TestFleet;

afterEach(async () => {
	await fleet.stop();
});

test('a slow caller slows its engine\'s stream instead of filling the node\'s memory', async () => {
	fleet = await new TestFleet({engines: 1, nodes: 1, engineOptions: {stepMilliseconds: 1}}).startReady();
	const filler = 'x'.repeat(20_000);
	fleet.engines[0].padding = filler;
	const response = await fleet.settle(request(`${fleet.nodes[0].callerUrl}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${standinFleet.key}`}, body: JSON.stringify(buildChatBody({stream: true, max_tokens: 20_000})), highWaterMark: 1024,
	}));
	await fleet.advanceTime(15_000);
	// About 3000 tokens of 20 kB were generated: what the socket buffers cannot hold must stay at the engine.
	expect(fleet.engines[0].unsentBytes).toBeGreaterThan(10_000_000);
	response.body.destroy();
	await fleet.waitUntil(() => fleet.engines[0].heldTokens === 0);
}, 30_000);

test('a prompt of a million tokens is served', async () => {
	fleet = await new TestFleet({engines: 1, nodes: 1, engineOptions: {capacity: 2_000_000, prefillRate: 10_000_000}}).startReady();
	const content = 'rain over the strait '.repeat(200_000);
	const answer = await fleet.settle(sendChat(fleet.nodes[0].callerUrl, {stream: true, messages: [{role: 'user', content}]}));
	expect(joinStream(answer.text)).toBe('t1 t2 t3 t4 t5 ');
});

test('the node buffers no more request bodies than its settings allow', async () => {
	fleet = await new TestFleet({
		engines: 1,
		nodes: 1,
		adjust(settings) {
			settings.entry.heldBodiesMebibytes = 1;
		},
	}).startReady();
	const large = {messages: [{role: 'user', content: 'x'.repeat(700_000)}], max_tokens: 100};
	const first = sendChat(fleet.nodes[0].callerUrl, large);
	await fleet.waitUntil(() => fleet.engines[0].taken === 1);
	const second = await fleet.settle(sendChat(fleet.nodes[0].callerUrl, large));
	expect(readError(second)).toMatchObject({code: 'node_busy', ran: 'no'});
	await fleet.settle(first);
});

test('the node serves no more requests at once than its settings allow', async () => {
	fleet = await new TestFleet({
		engines: 1,
		nodes: 1,
		adjust(settings) {
			settings.entry.requestLimit = 2;
		},
	}).startReady();
	const running = [1, 2].map(async () => sendChat(fleet.nodes[0].callerUrl, {max_tokens: 50}));
	await fleet.waitUntil(() => fleet.engines[0].taken === 2);
	const third = await fleet.settle(sendChat(fleet.nodes[0].callerUrl));
	expect(third.status).toBe(503);
	expect(readError(third).code).toBe('node_busy');
	await fleet.settle(Promise.all(running));
});

test('each of the three listeners accepts only its own credentials and paths', async () => {
	fleet = await new TestFleet({engines: 1, nodes: 1}).startReady();
	const [node] = fleet.nodes;
	const getStatus = async (url: string, key: string) => {
		const answer = await fleet.settle(call(url, {method: 'GET', key}));
		return answer.status;
	};

	const {operatorToken, key, secret} = standinFleet;
	expect(await getStatus(`${node.operatorUrl}/v1/status`, operatorToken)).toBe(200);
	expect(await getStatus(`${node.operatorUrl}/v1/status`, key)).toBe(401);
	expect(await getStatus(`${node.operatorUrl}/v1/models`, key)).toBe(404);
	expect(await getStatus(`${node.callerUrl}/v1/status`, operatorToken)).toBe(401);
	expect(await getStatus(`${node.callerUrl}/rpc/ping`, secret)).toBe(401);
	expect(await getStatus(`${node.nodeUrl}/v1/models`, secret)).toBe(404);
	expect(await getStatus(`${node.nodeUrl}/rpc/ping`, secret)).toBe(200);
});

test('messages of nodes without the secret are refused and counted', async () => {
	fleet = await new TestFleet({engines: 1, nodes: 1}).startReady();
	const [node] = fleet.nodes;
	const answer = await fleet.settle(call(`${node.nodeUrl}/rpc/ping`, {method: 'GET', key: 'guess'}));
	expect(answer.status).toBe(401);
	expect(node.readStatus().refusedNodeMessages).toBe(1);
});
