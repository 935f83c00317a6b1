import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {hashSecret} from '../src/common/index.js';
import {standinFleet} from '../src/standin/index.js';
import {call, buildChatBody, readError} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';

let fleet: TestFleet;

beforeEach(async () => {
	fleet = await new TestFleet({engines: 1, nodes: 3}).startReady();
});

afterEach(async () => {
	await fleet.stop();
});

function putKey(key: string): void {
	fleet.platform.putObject({
		kind: 'Organisation',
		metadata: {name: standinFleet.organisation},
		spec: {partner: 'meteotessera', keyHashes: [hashSecret(key)], services: [standinFleet.service]},
	});
}

async function listStatuses(key: string): Promise<number[]> {
	const answers = await fleet.settle(Promise.all(fleet.nodes.map(async node => call(`${node.callerUrl}/v1/chat/completions`, {body: buildChatBody({max_tokens: 1}), key}))));
	return answers.map(answer => answer.status);
}

function isKeyKnownEverywhere(key: string): boolean {
	return fleet.nodes.every(node => node.view.findKeyOwner(key) !== undefined);
}

test('a configuration change is applied on every node within a second', async () => {
	const start = fleet.clock.readMonotonic();
	putKey('sk-new');
	await fleet.waitUntil(() => isKeyKnownEverywhere('sk-new'));
	expect(fleet.clock.readMonotonic() - start).toBeLessThan(1000);
	expect(await listStatuses('sk-new')).toEqual([200, 200, 200]);
	expect(await listStatuses(standinFleet.key)).toEqual([401, 401, 401]);
});

test('changes made during a platform outage are applied within 7 s of its recovery', async () => {
	fleet.platform.faults = {down: true};
	fleet.platform.cutWatches();
	await fleet.advanceTime(60_000, 50);
	putKey('sk-first');
	putKey('sk-second');
	const start = fleet.clock.readMonotonic();
	fleet.platform.faults = {};
	await fleet.waitUntil(() => isKeyKnownEverywhere('sk-second'));
	expect(fleet.clock.readMonotonic() - start).toBeLessThan(7000);
	expect(fleet.nodes.map(node => node.view.findKeyOwner('sk-first'))).toEqual([undefined, undefined, undefined]);
}, 30_000);

test('the dispatcher applies a refusing policy to requests from every node', async () => {
	fleet.platform.putObject({
		kind: 'Policy', metadata: {name: 'meteotessera'}, spec: {partner: 'meteotessera', programs: {admit: 'request.promptTokens < 1.0'}},
	});
	await fleet.waitUntil(() => fleet.nodes.every(node => node.view.list('Policy').length === 1));
	const answers = await fleet.settle(Promise.all(fleet.nodes.map(async node => call(`${node.callerUrl}/v1/chat/completions`, {body: buildChatBody()}))));
	expect(answers.map(answer => readError(answer).code)).toEqual(['policy_refused', 'policy_refused', 'policy_refused']);
});

test('an organisation over its rate limit gets a retry delay', async () => {
	fleet.platform.putObject({
		kind: 'Organisation',
		metadata: {name: standinFleet.organisation},
		spec: {
			partner: 'meteotessera', keyHashes: [hashSecret(standinFleet.key)], services: [standinFleet.service], requestsPerMinute: 3,
		},
	});
	await fleet.waitUntil(() => fleet.nodes.every(node => node.view.find('Organisation', standinFleet.organisation)?.requestsPerMinute === 3));
	expect(await listStatuses(standinFleet.key)).toEqual([200, 200, 200]);
	const refused = await fleet.settle(call(`${fleet.nodes[0].callerUrl}/v1/chat/completions`, {body: buildChatBody()}));
	expect(refused.status).toBe(429);
	expect(readError(refused)).toMatchObject({code: 'rate_limited', ran: 'no', retry_after_seconds: 20});
});
