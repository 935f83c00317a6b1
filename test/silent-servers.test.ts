import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, type ReceivedResponse} from './helpers/gateways.js';
import {
	createTextAnswer, streamEvents, type ServerBehaviour,
} from './helpers/platform-standins.js';

/** For tests that wait until silences have been noticed, in milliseconds. */
const testTimeout = 30_000;

/** Connections that are opened before they fall silent: some to each server. */
const openedConnections = 12;

/** Services of the servers, two each. */
const services = ['app', 'app', 'model', 'model'];

/** Time for connections to both servers of a service, in milliseconds: one that was silent is passed over for a while. */
const openTimeout = 8000;

/** Time of one answer, in milliseconds: calls made together take a connection each. */
const answerTime = 60;

/** Calls that are made at once after the silence. */
const callsAtOnce = 4;

/** Tokens of a prompt that is read by several servers. */
const longPrompt = 120_000;

/** Time within which a request that may run again must be answered, in milliseconds: one silence and a try elsewhere. */
const maxAnswerTime = 1400;

let promptCount = 0;

/** Describes a prompt that shares nothing with others: prompts with a common beginning go to one server. */
function describePrompt(length = 1460): Record<string, string> {
	return {'cresshook-model': 'm', 'cresshook-token-usage': `${length},80`, 'cresshook-prompt-prefix': `${(++promptCount).toString(16).padStart(4, '0')}:${length}`};
}

let fleet: GatewayFleet;

beforeEach(async () => {
	fleet = new GatewayFleet();
	const delayed = (behaviour: ServerBehaviour): ServerBehaviour => (request, response, socket) => {
		setTimeout(() => {
			void behaviour(request, response, socket);
		}, answerTime);
	};

	await fleet.start({
		runners: services.map(service => ({service, behaviour: delayed(service === 'app' ? createTextAnswer('yes') : streamEvents(3))})),
	});
});

afterEach(async () => {
	await fleet.stop();
});

async function callTogether(path: string, count: number): Promise<ReceivedResponse[]> {
	return Promise.all(Array.from({length: count}, async () => fleet.call({path, headers: describePrompt()})));
}

/** Opens connections to both servers of a service by calls, and silences them once they are at rest. */
async function silenceConnections(path: string, service: string): Promise<void> {
	const runners = fleet.runners.filter((_, index) => services[index] === service);
	const openedBy = Date.now() + openTimeout;
	do {
		const answers = await callTogether(path, openedConnections);
		expect(answers.map(answer => answer.status)).toEqual(answers.map(() => 200));
	} while (Date.now() < openedBy && runners.some(runner => runner.sockets.size === 0));

	expect(runners.every(runner => runner.sockets.size > 0)).toBe(true);
	for (const runner of runners) {
		runner.silenceConnections();
	}
}

/** Calls after two silences, one after the other: how many were answered in full, and the longest time. */
async function callAfterSilences(path: string, service: string): Promise<{whole: number[]; longest: number}> {
	const whole = [];
	let longest = 0;
	for (const _ of [1, 2]) {
		await silenceConnections(path, service);
		const started = Date.now();
		const answers = await callTogether(path, callsAtOnce);
		longest = Math.max(longest, Date.now() - started);
		whole.push(answers.filter(answer => answer.status === 200 && answer.isComplete).length);
	}

	return {whole, longest};
}

// When every connection to every server had fallen silent, a request that had waited in vain at one server went to the
// next one over a connection at rest, which was silent too: with a second for each it came too late (504) or had
// used up its tries. A request that may run once met such a connection at its first server and was lost.
test('a request that may be repeated waits for one silent connection at most, also after a second silence', async () => {
	const {whole, longest} = await callAfterSilences('/again/', 'app');
	expect(whole).toEqual([callsAtOnce, callsAtOnce]);
	expect(longest).toBeLessThan(maxAnswerTime);
}, testTimeout);

test('a stream waits for one silent connection at most, also after a second silence', async () => {
	const {whole, longest} = await callAfterSilences('/stream/', 'model');
	expect(whole).toEqual([callsAtOnce, callsAtOnce]);
	expect(longest).toBeLessThan(maxAnswerTime);
}, testTimeout);

test('a request that may run once is not sent over a connection that may be silent', async () => {
	const {whole, longest} = await callAfterSilences('/once/', 'app');
	expect(whole).toEqual([callsAtOnce, callsAtOnce]);
	expect(longest).toBeLessThan(maxAnswerTime / 2);
}, testTimeout);

test('a request that may run once goes elsewhere when its server is silent and takes no connection', async () => {
	await silenceConnections('/once/', 'app');
	fleet.runners[0].server.close();
	const answers = await callTogether('/once/', callsAtOnce);
	expect(answers.map(answer => answer.status)).toEqual(answers.map(() => 200));
}, testTimeout);

// Requests that hold memory on several servers are waited for longest: one that was sent over a silent connection kept
// 142,217 tokens set aside for 12 s, and no server had ever seen it.
test('a prompt that several servers read is not sent over a connection that may be silent', async () => {
	for (const runner of fleet.runners) {
		const {behaviour} = runner;
		runner.behaviour = async (request, response, socket) => request.url === '/v1/order' ? createTextAnswer('{}')(request, response, socket) : behaviour(request, response, socket);
	}

	for (const _ of [1, 2]) {
		await silenceConnections('/stream/', 'model');
		const started = Date.now();
		const answer = await fleet.call({path: '/stream/', headers: describePrompt(longPrompt)});
		expect([answer.status, answer.isComplete, Date.now() - started < maxAnswerTime / 2]).toEqual([200, true, true]);
	}

	expect(fleet.runners.some(runner => runner.receivedRequests.some(request => request.headers.helpers !== undefined))).toBe(true);
}, testTimeout);
