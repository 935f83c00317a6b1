import {randomUUID} from 'node:crypto';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {standinFleet} from '../src/standin/index.js';
import {
	call, sendChat, joinStream, readError, type CallAnswer,
} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';

let fleet: TestFleet;

beforeEach(async () => {
	fleet = await new TestFleet({engines: 1, nodes: 3}).startReady();
});

afterEach(async () => {
	await fleet.stop();
});

/** Creates a run key owned by a node, as a caller would from that node's `/v1/addresses` response. */
async function makeKey(owner: number): Promise<string> {
	const answer = await fleet.settle(call(`${fleet.nodes[owner].callerUrl}/v1/addresses`, {method: 'GET'}));
	const {addresses} = JSON.parse(answer.text) as {addresses: Array<{url: string; incarnation: string}>};
	const token = addresses.find(entry => entry.url === fleet.nodes[owner].callerUrl)!.incarnation;
	return `${token}.${randomUUID()}`;
}

async function sendAlert(node: number, key: string, headers: Record<string, string> = {}, body = 'squall'): Promise<CallAnswer> {
	return call(`${fleet.nodes[node].callerUrl}/tessere/alert`, {body, headers: {'x-run-key': key, ...headers}});
}

/** Reads the plain service's run counter from a response. */
function readRun(answer: CallAnswer): unknown {
	return (JSON.parse(answer.text) as {run?: number}).run;
}

test('a repeat at the same node gets the first outcome', async () => {
	const key = await makeKey(0);
	const first = await fleet.settle(sendAlert(0, key));
	const second = await fleet.settle(sendAlert(0, key));
	expect(second.text).toBe(first.text);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a repeat at another node gets the first outcome', async () => {
	const key = await makeKey(0);
	const first = await fleet.settle(sendAlert(0, key));
	const others = await fleet.settle(Promise.all([sendAlert(1, key), sendAlert(2, key)]));
	expect(others.map(answer => answer.text)).toEqual([first.text, first.text]);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a first call at another node runs at the owner', async () => {
	const key = await makeKey(0);
	const answer = await fleet.settle(sendAlert(1, key));
	expect(readRun(answer)).toBe(1);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('repeats wait for the first request while it is running', async () => {
	fleet.plain.faults = {delay: 500};
	const key = await makeKey(0);
	const answers = await fleet.settle(Promise.all([0, 0, 1, 2].map(async node => sendAlert(node, key))));
	expect(answers.map(answer => readRun(answer))).toEqual([1, 1, 1, 1]);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a caller that disconnected gets the outcome by repeating the key', async () => {
	fleet.plain.faults = {delay: 500};
	const key = await makeKey(0);
	const controller = new AbortController();
	const gone = call(`${fleet.nodes[0].callerUrl}/tessere/alert`, {body: 'squall', headers: {'x-run-key': key}, signal: controller.signal});
	await fleet.waitUntil(() => fleet.plain.countRuns(key) === 1);
	controller.abort();
	await expect(fleet.settle(gone)).rejects.toThrow();
	expect(readRun(await fleet.settle(sendAlert(1, key)))).toBe(1);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a lost reply of the plain service is reported as possibly run, and the key does not run again', async () => {
	fleet.plain.faults = {loseReplies: 1};
	const key = await makeKey(0);
	const answers = [await fleet.settle(sendAlert(0, key)), await fleet.settle(sendAlert(1, key))];
	expect(answers.map(answer => readError(answer))).toMatchObject([{code: 'backend_unconfirmed', ran: 'maybe'}, {code: 'backend_unconfirmed', ran: 'maybe'}]);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a request that did not run releases its key', async () => {
	const key = await makeKey(0);
	const wait = {'x-time-bound-ms': '300'};
	fleet.plain.faults = {delay: 2000};
	const blockers = Array.from({length: 64}, async (_, index) => call(`${fleet.nodes[0].callerUrl}/tessere/block/${index}`, {body: ''}));
	await fleet.waitUntil(() => fleet.plain.runs.size === 64);
	const refused = await fleet.settle(sendAlert(0, key, wait));
	expect(readError(refused).ran).toBe('no');
	await fleet.settle(Promise.all(blockers));
	expect(readRun(await fleet.settle(sendAlert(0, key)))).toBe(1);
});

test('a key used for another request is refused', async () => {
	const key = await makeKey(0);
	await fleet.settle(sendAlert(0, key));
	const reused = await fleet.settle(sendAlert(0, key, {}, 'hail'));
	expect(readError(reused)).toMatchObject({code: 'run_key_reused', ran: 'no'});
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('another organisation cannot read an outcome by its key', async () => {
	const key = await makeKey(0);
	await fleet.settle(sendAlert(0, key));
	const other = await fleet.settle(call(`${fleet.nodes[0].callerUrl}/tessere/alert`, {body: 'squall', headers: {'x-run-key': key}, key: standinFleet.otherKey}));
	expect(other.text).toContain(standinFleet.otherOrganisation);
});

test('after the owner has crashed the outcome stays unknown and nothing runs again', async () => {
	const key = await makeKey(0);
	await fleet.settle(sendAlert(0, key));
	await fleet.killNode(fleet.nodes[0]);
	const unreachable = await fleet.settle(sendAlert(1, key));
	expect(readError(unreachable)).toMatchObject({code: 'owner_unreachable', ran: 'maybe'});

	await fleet.addNode('box-1');
	await fleet.waitUntil(() => fleet.nodes[3].phase === 'ready' && !fleet.nodes[1].members.listAll().some(member => member.incarnation === fleet.nodes[0].incarnation));
	const answers = [await fleet.settle(sendAlert(1, key)), await fleet.settle(sendAlert(3, key))];
	expect(answers.map(answer => readError(answer))).toMatchObject([{code: 'outcome_unknown', ran: 'maybe'}, {code: 'outcome_unknown', ran: 'maybe'}]);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('an owner whose box is removed from the live list counts as ended', async () => {
	const key = await makeKey(0);
	for (const box of ['box-1', 'box-2', 'box-3']) {
		fleet.platform.putObject({kind: 'LiveBox', metadata: {name: box}, spec: {state: 'live'}});
	}

	await fleet.killNode(fleet.nodes[0]);
	expect(readError(await fleet.settle(sendAlert(1, key))).code).toBe('owner_unreachable');
	fleet.platform.deleteObject('LiveBox', 'box-1');
	await fleet.waitUntil(() => fleet.nodes[1].view.list('LiveBox').length === 2);
	expect(readError(await fleet.settle(sendAlert(1, key))).code).toBe('outcome_unknown');
});

test('while the owner is unreachable a request is reported as possibly run, and later the same key works', async () => {
	const key = await makeKey(0);
	fleet.network.cut('box-1');
	const answer = await fleet.settle(sendAlert(1, key, {'x-time-bound-ms': '3000'}));
	expect(readError(answer)).toMatchObject({code: 'owner_unreachable', ran: 'maybe', retry_after_seconds: 1});
	expect(fleet.plain.countRuns(key)).toBe(0);

	fleet.network.restore('box-1');
	expect(readRun(await fleet.settle(sendAlert(1, key)))).toBe(1);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a planned stop hands the outcomes to a successor, which serves the old keys and runs no new ones', async () => {
	const [used, unused] = [await makeKey(0), await makeKey(0)];
	const first = await fleet.settle(sendAlert(0, used));
	const stopping = fleet.nodes[0].stop();
	await fleet.settle(stopping);
	const answers = await fleet.settle(Promise.all([sendAlert(1, used), sendAlert(2, used)]));
	expect(answers.map(answer => answer.text)).toEqual([first.text, first.text]);
	const closed = await fleet.settle(sendAlert(1, unused));
	expect(readError(closed)).toMatchObject({code: 'run_key_closed', ran: 'no'});
	expect(fleet.plain.countRuns(used)).toBe(1);
	expect(fleet.plain.countRuns(unused)).toBe(0);
});

test('outcomes survive two planned stops', async () => {
	const key = await makeKey(0);
	const first = await fleet.settle(sendAlert(0, key));
	await fleet.settle(fleet.nodes[0].stop());
	const successor = fleet.nodes.findIndex((node, index) => index > 0 && node.answersFor(fleet.nodes[0].incarnation));
	await fleet.settle(fleet.nodes[successor].stop());
	const last = successor === 1 ? 2 : 1;
	const answer = await fleet.settle(sendAlert(last, key));
	expect(answer.text).toBe(first.text);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('an expired key is not run and not reported as not run', async () => {
	const key = await makeKey(0);
	await fleet.settle(sendAlert(0, key));
	fleet.clock.advance(662_000);
	await fleet.advanceTime(2000);
	const answer = await fleet.settle(sendAlert(0, key));
	expect(readError(answer)).toMatchObject({code: 'run_key_expired', ran: 'maybe'});
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a streamed completion with a key is the same for every repeat', async () => {
	const key = await makeKey(0);
	const headers = {'x-run-key': key};
	const answers = await fleet.settle(Promise.all([0, 1, 2].map(async node => sendChat(fleet.nodes[node].callerUrl, {stream: true}, headers))));
	expect(answers.map(answer => joinStream(answer.text))).toEqual(['t1 t2 t3 t4 t5 ', 't1 t2 t3 t4 t5 ', 't1 t2 t3 t4 t5 ']);
	expect(fleet.engines[0].taken).toBe(1);
});

test('an owner paused past every timeout runs a key once after it resumes', async () => {
	const key = await makeKey(0);
	fleet.network.pause('box-1');
	const bound = {'x-time-bound-ms': '1000'};
	const answers = await fleet.settle(Promise.all([sendAlert(1, key, bound), sendAlert(2, key, bound)]));
	expect(answers.map(answer => readError(answer))).toMatchObject([{code: 'owner_unreachable', ran: 'maybe'}, {code: 'owner_unreachable', ran: 'maybe'}]);
	expect(fleet.plain.countRuns(key)).toBe(0);

	fleet.network.restore('box-1');
	await fleet.waitUntil(() => fleet.plain.countRuns(key) === 1);
	expect(readRun(await fleet.settle(sendAlert(2, key)))).toBe(1);
	await fleet.advanceTime(2000);
	expect(fleet.plain.countRuns(key)).toBe(1);
});

test('a repeat with a shorter time limit fails at that limit, and later gets the outcome', async () => {
	fleet.plain.faults = {delay: 3000};
	const key = await makeKey(0);
	const first = sendAlert(0, key);
	await fleet.waitUntil(() => fleet.plain.countRuns(key) === 1);
	const start = fleet.clock.readMonotonic();
	const repeat = await fleet.settle(sendAlert(0, key, {'x-time-bound-ms': '500'}));
	expect(readError(repeat)).toMatchObject({code: 'bound_passed_running', ran: 'maybe'});
	expect(fleet.clock.readMonotonic() - start).toBeLessThanOrEqual(600);
	const whole = await fleet.settle(first);
	const later = await fleet.settle(sendAlert(0, key));
	expect(later.text).toBe(whole.text);
	expect(fleet.plain.countRuns(key)).toBe(1);
});
