import {
	afterAll, beforeAll, expect, test,
} from '@jest/globals';
import {standinFleet} from '../src/standin/index.js';
import {
	call, sendChat, buildChatBody, joinStream, readError, sendRaw, type ErrorAnswerBody,
} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';

let fleet: TestFleet;
let url: string;

beforeAll(async () => {
	fleet = await new TestFleet().startReady();
	url = fleet.nodes[0].callerUrl;
});

afterAll(async () => {
	await fleet.stop();
});

test('streams a response with its finish marker', async () => {
	const answer = await fleet.settle(sendChat(url, {stream: true}));
	expect(answer.status).toBe(200);
	expect(joinStream(answer.text)).toBe('t1 t2 t3 t4 t5 ');
	expect(answer.text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('returns a complete response in OpenAI format', async () => {
	const answer = await fleet.settle(sendChat(url));
	expect(answer.headers['x-cresshook-ran']).toBe('yes');
	expect(JSON.parse(answer.text)).toMatchObject({
		object: 'chat.completion',
		choices: [{index: 0, finish_reason: 'length', message: {role: 'assistant', content: 't1 t2 t3 t4 t5 '}}],
		usage: {completion_tokens: 5},
	});
});

test('returns a complete text completion', async () => {
	const answer = await fleet.settle(call(`${url}/v1/completions`, {body: {model: standinFleet.service, prompt: 'Wind at Siracusa', max_tokens: 2}}));
	expect(JSON.parse(answer.text)).toMatchObject({object: 'text_completion', choices: [{text: 't1 t2 '}]});
});

test('every node serves, regardless of where the dispatcher runs', async () => {
	const answers = await fleet.settle(Promise.all(fleet.nodes.map(async node => sendChat(node.callerUrl, {stream: true}))));
	expect(answers.map(answer => joinStream(answer.text))).toEqual(['t1 t2 t3 t4 t5 ', 't1 t2 t3 t4 t5 ']);
});

test('returns several choices', async () => {
	const answer = await fleet.settle(sendChat(url, {n: 2, max_tokens: 2}));
	const {choices} = JSON.parse(answer.text) as {choices: Array<{message: {content: string}}>};
	expect(choices.map(choice => choice.message.content)).toEqual(['t1 t2 ', 't1 t2 ']);
});

test('proxies calls to plain services', async () => {
	const answer = await fleet.settle(call(`${url}/tessere/37?layer=rain`, {body: 'north'}));
	expect(JSON.parse(answer.text)).toEqual({
		method: 'POST', path: '/tessere/37?layer=rain', organisation: standinFleet.organisation, body: 'north', run: 1,
	});
});

test('lists the models of the organisation', async () => {
	const answer = await fleet.settle(call(`${url}/v1/models`, {method: 'GET'}));
	expect((JSON.parse(answer.text) as {data: Array<{id: string}>}).data.map(model => model.id)).toEqual([standinFleet.service]);
});

test('lists addresses of the requested availability zone first', async () => {
	const answer = await fleet.settle(call(`${url}/v1/addresses?availabilityZone=catania-b`, {method: 'GET'}));
	const {addresses, lifetimeSeconds} = JSON.parse(answer.text) as {addresses: Array<{availabilityZone: string; url: string}>; lifetimeSeconds: number};
	expect(addresses.map(entry => entry.availabilityZone)).toEqual(['catania-b', 'catania-a']);
	expect(addresses[0].url).toBe(fleet.nodes[1].callerUrl);
	expect(lifetimeSeconds).toBe(30);
});

test.each([
	['unknown_key', 401, {key: 'sk-wrong', body: buildChatBody()}],
	['service_forbidden', 403, {key: standinFleet.otherKey, body: buildChatBody()}],
	['unknown_model', 404, {body: buildChatBody({model: 'mosto-llm'})}],
	['invalid_json', 400, {body: '{"model": '}],
	['invalid_request', 400, {body: buildChatBody({messages: 'no list'})}],
	['invalid_request', 400, {body: buildChatBody({n: 0})}],
	['invalid_request', 400, {body: buildChatBody(), headers: {'x-not-repeatable': 'maybe'}}],
	['invalid_time_bound', 400, {body: buildChatBody(), headers: {'x-time-bound-ms': '0'}}],
	['invalid_time_bound', 400, {body: buildChatBody(), headers: {'x-time-bound-ms': '600001'}}],
	['invalid_time_bound', 400, {body: buildChatBody(), headers: {'x-time-bound-ms': 'soon'}}],
	['invalid_run_key', 400, {body: buildChatBody(), headers: {'x-run-key': 'mine'}}],
	['prompt_too_large', 400, {body: buildChatBody({max_tokens: 300_000})}],
	['body_too_large', 413, {body: `"${'x'.repeat(17 * 1_048_576)}"`}],
] as const)('refuses with %s (%i) and sends nothing to an engine', async (code, status, options) => {
	const takenBefore = fleet.engines.map(engine => engine.taken);
	const answer = await fleet.settle(call(`${url}/v1/chat/completions`, options));
	expect(answer.status).toBe(status);
	expect(readError(answer)).toMatchObject({code, ran: 'no'});
	expect(fleet.engines.map(engine => engine.taken)).toEqual(takenBefore);
});

test('answers unknown paths with unknown_path', async () => {
	const answer = await fleet.settle(call(`${url}/nothing`, {method: 'GET'}));
	expect(answer.status).toBe(404);
	expect(readError(answer).code).toBe('unknown_path');
});

test('messages that are not objects are refused before anything runs', async () => {
	const answers = await Promise.all([null, 'text', 5].map(async message => fleet.settle(call(`${url}/v1/chat/completions`, {body: buildChatBody({messages: [message]})}))));
	expect(answers.map(answer => [answer.status, readError(answer).code, readError(answer).ran])).toEqual([
		[400, 'invalid_request', 'no'], [400, 'invalid_request', 'no'], [400, 'invalid_request', 'no'],
	]);
});

test('a complete response has a creation time even if the engine sends none', async () => {
	const answer = await fleet.settle(sendChat(url));
	const {created} = JSON.parse(answer.text) as {created: number};
	expect(created).toBe(Math.floor(fleet.clock.now().getTime() / 1000));
});

test('malformed request heads are refused in the common error format', async () => {
	const {hostname, port} = new URL(url);
	const head = 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n';
	const answers = await Promise.all([
		`${head}X-Long: ${'a'.repeat(40_000)}\r\n\r\n`, `${head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`,
	].map(async text => sendRaw(hostname, Number(port), text)));
	const seen = answers.map(answer => {
		const {error} = JSON.parse(answer.slice(answer.indexOf('\r\n\r\n') + 4)) as ErrorAnswerBody;
		return [answer.split(' ')[1], error.code, error.ran];
	});
	expect(seen).toEqual([['431', 'invalid_request', 'no'], ['400', 'invalid_request', 'no']]);
});
