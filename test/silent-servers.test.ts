import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, type ReceivedResponse} from './helpers/gateways.js';
import {
	createTextAnswer, streamEvents, type ServerBehaviour,
} from './helpers/platform-standins.js';

/** Timeout of tests that wait until silences are detected, in milliseconds. */
const testTimeout = 30_000;

/** Number of concurrent calls that open connections, some to each server. */
const openedConnections = 12;

/** Service of each server, two servers per service. */
const services = ['app', 'app', 'model', 'model'];

/** Time to open connections to both servers of a service, in milliseconds: one that was silent is avoided for a while. */
const openTimeout = 8000;

/** Delay of an answer, in milliseconds: long enough that concurrent calls use a connection each. */
const answerTime = 60;

/** Number of concurrent calls after the silence. */
const callsAtOnce = 4;

/** Length of a prompt that several servers read, in tokens. */
const longPrompt = 120_000;

/** Maximum answer time of a repeatable request, in milliseconds: one silence and one try on another server. */
const maxAnswerTime = 1400;

let promptCount = 0;

/** Describes a prompt without a common prefix: prompts that share one go to the same server. */
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

/** Opens connections to both servers of a service by calls, and silences them once they are idle. */
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

/** Makes calls after each of two silences; returns the numbers of complete answers, and the longest time in milliseconds. */
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

// With every connection to every server dead, a request that timed out on one server was retried over another dead
// connection: with a second for each it was too late (504) or had used up its attempts. A request that may run only once
// was lost on its first connection.
test('a repeatable request waits for one silent connection at most, also after a second silence', async () => {
	const {whole, longest} = await callAfterSilences('/again/', 'app');
	expect(whole).toEqual([callsAtOnce, callsAtOnce]);
	expect(longest).toBeLessThan(maxAnswerTime);
}, testTimeout);

test('a stream waits for one silent connection at most, also after a second silence', async () => {
	const {whole, longest} = await callAfterSilences('/stream/', 'model');
	expect(whole).toEqual([callsAtOnce, callsAtOnce]);
	expect(longest).toBeLessThan(maxAnswerTime);
}, testTimeout);

test('a request that may run only once is not sent over a connection that may be silent', async () => {
	const {whole, longest} = await callAfterSilences('/once/', 'app');
	expect(whole).toEqual([callsAtOnce, callsAtOnce]);
	expect(longest).toBeLessThan(maxAnswerTime / 2);
}, testTimeout);

test('a request that may run only once is sent to another server when its own is silent and accepts no connection', async () => {
	await silenceConnections('/once/', 'app');
	fleet.runners[0].server.close();
	const answers = await callTogether('/once/', callsAtOnce);
	expect(answers.map(answer => answer.status)).toEqual(answers.map(() => 200));
}, testTimeout);

// Requests with memory on several servers have the longest timeouts: one that was sent over a dead connection, and that no
// server ever received, kept 142,217 tokens reserved for 12 s.
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
