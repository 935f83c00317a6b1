import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {request} from 'undici';
import {standinFleet} from '../src/standin/index.js';
import {
	call, sendChat, buildChatBody, buildTokenText, joinStream, listStream, readError,
} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';

/** Time for which callers may use the address of a stopping node, in milliseconds. */
const addressLifetime = 30_000;

let fleet: TestFleet;

beforeEach(async () => {
	fleet = await new TestFleet({engines: 2, nodes: 3}).startReady();
});

afterEach(async () => {
	await fleet.stop();
});

test('a graceful stop under load interrupts no response', async () => {
	const running = Array.from({length: 12}, async (_, index) => sendChat(fleet.nodes[index % 3].callerUrl, {stream: true, max_tokens: 100 + (index * 10)}));
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	const stopping = fleet.nodes[fleet.findDispatcherNode()].stop();
	const answers = await fleet.settle(Promise.all(running));
	expect(answers.map(answer => joinStream(answer.text))).toEqual(answers.map((_, index) => buildTokenText(100 + (index * 10))));
	await fleet.settle(stopping);
	expect(fleet.nodes.filter(node => node.phase === 'stopped')).toHaveLength(1);
});

test('a stopping node serves callers whose address is still valid', async () => {
	const leaving = fleet.nodes[0];
	const stopping = leaving.stop();
	await fleet.advanceTime(29_000, 50);
	const answer = await fleet.settle(sendChat(leaving.callerUrl, {stream: true, max_tokens: 200}));
	expect(joinStream(answer.text)).toBe(buildTokenText(200));
	await fleet.settle(stopping);
});

// It was taken after the last request had ended, and cut off when the listeners closed.
test('a stopping node refuses a request that comes when all others have ended', async () => {
	const node = fleet.nodes[0];
	const stopping = node.stop();
	await fleet.advanceTime(addressLifetime + 60, 10);
	const late = await fleet.settle(sendChat(node.callerUrl, {stream: true, max_tokens: 200}));
	expect([late.status, late.wasCut]).toEqual([503, false]);
	expect(readError(late)).toMatchObject({code: 'node_stopped', ran: 'no', retry_after_seconds: 0});
	await fleet.settle(stopping);
});

test('all nodes remove a stopping node from their address lists within a second', async () => {
	const stopping = fleet.nodes[0].stop();
	await fleet.advanceTime(500);
	const answers = await fleet.settle(Promise.all(fleet.nodes.map(async node => call(`${node.callerUrl}/v1/addresses`, {method: 'GET'}))));
	expect(answers.map(answer => answer.text.includes(fleet.nodes[0].callerUrl))).toEqual([false, false, false]);
	await fleet.settle(stopping);
});

test('a stopping node is removed from address lists while the platform is down', async () => {
	fleet.platform.faults = {down: true};
	fleet.platform.cutWatches();
	const stopping = fleet.nodes[0].stop();
	await fleet.advanceTime(500);
	const answer = await fleet.settle(call(`${fleet.nodes[1].callerUrl}/v1/addresses`, {method: 'GET'}));
	expect(answer.text).not.toContain(fleet.nodes[0].callerUrl);
	await fleet.settle(stopping);
});

test('a slow reader gets the complete response of a stopping node', async () => {
	const stopping = fleet.nodes[0].stop();
	await fleet.advanceTime(20_000, 50);
	const response = await fleet.settle(request(`${fleet.nodes[0].callerUrl}/v1/chat/completions`, {
		method: 'POST', headers: {authorization: `Bearer ${standinFleet.key}`}, body: JSON.stringify(buildChatBody({stream: true, max_tokens: 1500})),
	}));
	await fleet.advanceTime(40_000, 20);
	let text = '';
	const read = async () => {
		for await (const bytes of response.body) {
			text += String(bytes);
		}
	};

	await fleet.settle(read());
	expect(joinStream(text)).toBe(buildTokenText(1500));
	await fleet.settle(stopping);
}, 60_000);

test('grants resume within 200 ms of a planned handover', async () => {
	const dispatcher = fleet.findDispatcherNode();
	const other = fleet.nodes[(dispatcher + 1) % 3];
	void fleet.nodes[dispatcher].stop();
	await fleet.waitUntil(() => fleet.nodes.some((node, index) => index !== dispatcher && node.readStatus().pools.some(pool => pool.pool.startsWith(standinFleet.service))));
	const start = fleet.clock.readMonotonic();
	await fleet.settle(sendChat(other.callerUrl, {max_tokens: 1}));
	expect(fleet.clock.readMonotonic() - start).toBeLessThan(200);
});

test('an immediate stop after a graceful one ends responses with an error event', async () => {
	const running = sendChat(fleet.nodes[0].callerUrl, {stream: true, max_tokens: 5000});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	await fleet.advanceTime(200);
	void fleet.nodes[0].stop();
	await fleet.settle(fleet.nodes[0].stopNow());
	const answer = await fleet.settle(running);
	expect(listStream(answer.text).at(-1)?.error).toMatchObject({code: 'node_stopped', ran: 'partly'});
});

test('engine memory is freed within 10 s when a node is killed during a stream', async () => {
	const dispatcher = fleet.findDispatcherNode();
	const entry = fleet.nodes[(dispatcher + 1) % 3];
	const running = sendChat(entry.callerUrl, {stream: true, max_tokens: 100_000});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	await fleet.advanceTime(300);
	fleet.network.cut(`box-${fleet.nodes.indexOf(entry) + 1}`);
	const start = fleet.clock.readMonotonic();
	await fleet.killNode(entry);
	const answer = await fleet.settle(running);
	expect(answer.wasCut || listStream(answer.text).at(-1)?.error !== undefined).toBe(true);
	expect(fleet.countHeldTokens()).toBeGreaterThan(0);
	await fleet.waitUntil(() => fleet.countHeldTokens() === 0);
	expect(fleet.clock.readMonotonic() - start).toBeLessThan(10_000);
});

test('the next dispatcher frees engine memory when the node that is both dispatcher and entry is killed', async () => {
	const node = fleet.nodes[fleet.findDispatcherNode()];
	const running = sendChat(node.callerUrl, {stream: true, max_tokens: 100_000});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	const start = fleet.clock.readMonotonic();
	await fleet.killNode(node);
	await fleet.settle(running);
	await fleet.waitUntil(() => fleet.countHeldTokens() === 0);
	expect(fleet.clock.readMonotonic() - start).toBeLessThan(10_000);
});

test('grants resume within 3 s of a dispatcher crash, and streams of other nodes continue', async () => {
	const dispatcher = fleet.findDispatcherNode();
	const other = fleet.nodes[(dispatcher + 1) % 3];
	const running = sendChat(other.callerUrl, {stream: true, max_tokens: 400});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	const start = fleet.clock.readMonotonic();
	await fleet.killNode(fleet.nodes[dispatcher]);
	const next = await fleet.settle(sendChat(other.callerUrl, {max_tokens: 1}));
	expect(next.status).toBe(200);
	expect(fleet.clock.readMonotonic() - start).toBeLessThan(3000);
	expect(joinStream((await fleet.settle(running)).text)).toBe(buildTokenText(400)); // eslint-disable-line unicorn/no-await-expression-member
});

test('a new dispatcher counts existing grants of other nodes', async () => {
	const dispatcher = fleet.findDispatcherNode();
	const other = fleet.nodes[(dispatcher + 1) % 3];
	const running = [1, 2].map(async () => sendChat(other.callerUrl, {stream: true, max_tokens: 150_000}, {'x-time-bound-ms': '8000'}));
	await fleet.waitUntil(() => fleet.engines.every(engine => engine.heldTokens > 0));
	await fleet.killNode(fleet.nodes[dispatcher]);
	const refused = await fleet.settle(sendChat(other.callerUrl, {max_tokens: 100_000}, {'x-time-bound-ms': '4000'}));
	expect(readError(refused).ran).toBe('no');
	expect(fleet.engines.map(engine => engine.taken)).toEqual([1, 1]);
	await fleet.settle(Promise.all(running));
});

test('requests are served while the platform is down', async () => {
	fleet.platform.faults = {down: true};
	fleet.platform.cutWatches();
	await fleet.advanceTime(60_000, 50);
	const answers = await fleet.settle(Promise.all(fleet.nodes.map(async node => sendChat(node.callerUrl))));
	expect(answers.map(answer => answer.status)).toEqual([200, 200, 200]);
	expect(fleet.nodes[0].readStatus().isPlatformReachable).toBe(false);
	fleet.platform.faults = {};
	await fleet.waitUntil(() => fleet.nodes.every(node => node.readStatus().isPlatformReachable));
}, 30_000);

test('a node that starts while the platform is down refuses requests until it is ready', async () => {
	fleet.platform.faults = {down: true};
	const node = await fleet.addNode();
	await fleet.advanceTime(2000);
	expect(node.phase).toBe('starting');
	const refused = await fleet.settle(sendChat(node.callerUrl));
	expect(readError(refused)).toMatchObject({code: 'node_not_ready', ran: 'no'});
	fleet.platform.faults = {};
	await fleet.waitUntil(() => node.phase === 'ready');
});

test('a takeover succeeds when the response to its write is lost', async () => {
	const dispatcher = fleet.findDispatcherNode();
	fleet.platform.faults = {loseReplies: 1};
	await fleet.killNode(fleet.nodes[dispatcher]);
	const answer = await fleet.settle(sendChat(fleet.nodes[(dispatcher + 1) % 3].callerUrl, {max_tokens: 1}));
	expect(answer.status).toBe(200);
});

test('a leaving backend server completes its requests and gets no new ones', async () => {
	const running = sendChat(fleet.nodes[0].callerUrl, {stream: true, max_tokens: 300});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	const leaving = fleet.engines.findIndex(engine => engine.heldTokens > 0);
	const object = fleet.platform.findObject('BackendServer', `engine-${leaving + 1}`);
	fleet.platform.putObject({...object, spec: {...object?.spec, state: 'leaving'}} as Parameters<typeof fleet.platform.putObject>[0]);
	await fleet.advanceTime(1000);
	await fleet.settle(Promise.all(Array.from({length: 8}, async () => sendChat(fleet.nodes[1].callerUrl, {max_tokens: 1}))));
	expect(fleet.engines[leaving].taken).toBe(1);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(300));
});

test('when the dispatcher crashes while the platform is down, another node dispatches provisionally until a term can be written', async () => {
	const dispatcher = fleet.findDispatcherNode();
	const others = fleet.nodes.filter((_, index) => index !== dispatcher);
	const running = sendChat(others[0].callerUrl, {stream: true, max_tokens: 600});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	fleet.platform.faults = {down: true};
	fleet.platform.cutWatches();
	await fleet.advanceTime(1000);
	const start = fleet.clock.readMonotonic();
	await fleet.killNode(fleet.nodes[dispatcher]);
	const answers = await fleet.settle(Promise.all(others.map(async node => sendChat(node.callerUrl, {max_tokens: 1}))));
	expect(answers.map(answer => answer.status)).toEqual([200, 200]);
	expect(fleet.clock.readMonotonic() - start).toBeLessThan(4000);

	fleet.platform.faults = {};
	const readTerm = () => others[0].view.find('DispatcherTerm', `${standinFleet.service}@${standinFleet.region}`);
	const before = readTerm()!.term;
	await fleet.waitUntil(() => others.every(node => node.readStatus().isPlatformReachable) && readTerm()!.term === before + 1);
	const later = await fleet.settle(Promise.all(others.map(async node => sendChat(node.callerUrl, {max_tokens: 1}))));
	expect(later.map(answer => answer.status)).toEqual([200, 200]);
	const whole = await fleet.settle(running);
	expect(joinStream(whole.text)).toBe(buildTokenText(600));
	await fleet.waitUntil(() => fleet.countHeldTokens() === 0 && others.every(node => node.readStatus().pools.every(pool => pool.grants === 0)));
}, 30_000);

test('requests waiting for a paused dispatcher are served by the next one', async () => {
	const dispatcher = fleet.findDispatcherNode();
	const others = fleet.nodes.filter((_, index) => index !== dispatcher);
	const box = `box-${dispatcher + 1}`;
	fleet.network.pause(box);
	const asking = others.flatMap(node => Array.from({length: 60}, async () => sendChat(node.callerUrl, {max_tokens: 1}, {'x-time-bound-ms': '20000'})));
	const answers = await fleet.settle(Promise.all(asking));
	expect(answers.map(answer => answer.status)).toEqual(asking.map(() => 200));
	fleet.network.restore(box);
	await fleet.advanceTime(8000);
	expect(fleet.countHeldTokens()).toBe(0);
	expect(fleet.nodes.flatMap(node => node.readStatus().pools).reduce((sum, pool) => sum + pool.grants, 0)).toBe(0);
}, 30_000);
