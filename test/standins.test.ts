/** Checks that the simulated services follow the API contracts that nodes rely on. */
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {call, sendChat} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';

let fleet: TestFleet;
let engineUrl: string;

beforeEach(async () => {
	fleet = await new TestFleet({engines: 1, nodes: 1, engineOptions: {cacheEventDelay: 200, loadLag: 500}}).startReady();
	[engineUrl] = fleet.engineUrls;
});

afterEach(async () => {
	await fleet.stop();
});

async function readJson(path: string): Promise<Record<string, unknown>> {
	const answer = await fleet.settle(call(`${engineUrl}${path}`, {method: 'GET'}));
	return JSON.parse(answer.text) as Record<string, unknown>;
}

async function sendOrder(fence: number): Promise<number> {
	const answer = await fleet.settle(call(`${engineUrl}/v1/orders`, {body: {fence}}));
	return answer.status;
}

test('an engine that checks fences rejects an order with a lower fence', async () => {
	expect([await sendOrder(3), await sendOrder(2), await sendOrder(3), await sendOrder(4)]).toEqual([200, 409, 200, 200]);
});

test('cache events are delayed, and the cacheGaps fault drops some', async () => {
	const messages = [{role: 'user', content: 'x'.repeat(5000)}];
	fleet.engines[0].faults = {cacheGaps: true};
	const answer = sendChat(fleet.nodes[0].callerUrl, {messages, max_tokens: 1});
	await fleet.waitUntil(() => fleet.engines[0].taken === 1);
	expect(await readJson('/v1/cache/events')).toEqual({events: []});
	await fleet.settle(answer);
	await fleet.advanceTime(250);
	const {events} = await readJson('/v1/cache/events') as {events: Array<{sequence: number}>};
	expect(events.length).toBeGreaterThan(0);
	expect(events.every(event => event.sequence % 2 === 1)).toBe(true);
});

test('reported load is delayed', async () => {
	const answer = sendChat(fleet.nodes[0].callerUrl, {max_tokens: 1000}, {'x-time-bound-ms': '2000'});
	await fleet.waitUntil(() => fleet.engines[0].heldTokens > 0);
	expect(await readJson('/v1/load')).toMatchObject({heldTokens: 0});
	await fleet.advanceTime(1000);
	expect(((await readJson('/v1/load')) as {heldTokens: number}).heldTokens).toBeGreaterThan(1000);
	await fleet.settle(answer);
});

test('a shared prefix is prefilled once', async () => {
	const messages = [{role: 'system', content: 'x'.repeat(8000)}, {role: 'user', content: 'tile 1'}];
	const cached = async () => {
		const answer = await fleet.settle(sendChat(fleet.nodes[0].callerUrl, {messages, max_tokens: 1}));
		return (JSON.parse(answer.text) as {usage: {prompt_tokens_details: {cached_tokens: number}}}).usage.prompt_tokens_details.cached_tokens;
	};

	expect(await cached()).toBe(0);
	expect(await cached()).toBeGreaterThan(1500);
});

test('a node lists again after its watch is rejected as expired', async () => {
	const before = fleet.platform.calls.reads;
	fleet.platform.faults = {expireWatches: true};
	fleet.platform.cutWatches();
	await fleet.waitUntil(() => fleet.platform.calls.reads > before + 1 && fleet.nodes[0].readStatus().isPlatformReachable);
	fleet.platform.putObject({kind: 'LiveBox', metadata: {name: 'box-9'}, spec: {state: 'live'}});
	await fleet.waitUntil(() => fleet.nodes[0].view.list('LiveBox').length === 1);
});
