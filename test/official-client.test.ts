import OpenAI from 'openai';
import {
	afterAll, beforeAll, expect, test,
} from '@jest/globals';
import {standinFleet} from '../src/standin/index.js';
import {TestFleet} from './helpers/fleet.js';

let fleet: TestFleet;
let client: OpenAI;

const messages = [{role: 'user' as const, content: 'Nowcast for tile 37'}];

beforeAll(async () => {
	fleet = await new TestFleet({engines: 1, nodes: 1}).startReady();
	client = createClient(standinFleet.key);
});

afterAll(async () => {
	await fleet.stop();
});

function createClient(apiKey: string): OpenAI {
	return new OpenAI({apiKey, baseURL: `${fleet.nodes[0].callerUrl}/v1`, maxRetries: 0});
}

test('the official client completes a chat', async () => {
	const answer = await fleet.settle(client.chat.completions.create({model: standinFleet.service, messages, max_completion_tokens: 3}));
	expect(answer.choices[0].message.content).toBe('t1 t2 t3 ');
	expect(answer.usage?.completion_tokens).toBe(3);
});

test('the official client streams a chat', async () => {
	const read = async () => {
		let text = '';
		const stream = await client.chat.completions.create({
			model: standinFleet.service, messages, max_completion_tokens: 3, stream: true,
		});
		for await (const chunk of stream) {
			text += chunk.choices[0].delta.content ?? '';
		}

		return text;
	};

	expect(await fleet.settle(read())).toBe('t1 t2 t3 ');
});

test('the official client gets usage in a stream on request', async () => {
	const read = async () => {
		const stream = await client.chat.completions.create({
			model: standinFleet.service, messages, max_completion_tokens: 3, stream: true, stream_options: {include_usage: true},
		});
		let usage;
		for await (const chunk of stream) {
			usage = chunk.usage ?? usage;
		}

		return usage?.completion_tokens;
	};

	expect(await fleet.settle(read())).toBe(3);
});

test('the official client completes a text', async () => {
	const answer = await fleet.settle(client.completions.create({model: standinFleet.service, prompt: 'Wind', max_tokens: 2}));
	expect(answer.choices[0].text).toBe('t1 t2 ');
});

test('the official client lists models', async () => {
	const page = await fleet.settle(client.models.list());
	expect(page.data.map(model => model.id)).toEqual([standinFleet.service]);
});

test('the official client throws its own error classes', async () => {
	const create = async (caller: OpenAI, model: string, limit: number) => fleet.settle(caller.chat.completions.create({model, messages, max_completion_tokens: limit}));
	await expect(create(createClient('sk-wrong'), standinFleet.service, 1)).rejects.toBeInstanceOf(OpenAI.AuthenticationError);
	await expect(create(createClient(standinFleet.otherKey), standinFleet.service, 1)).rejects.toBeInstanceOf(OpenAI.PermissionDeniedError);
	await expect(create(client, 'mosto-llm', 1)).rejects.toBeInstanceOf(OpenAI.NotFoundError);
	await expect(create(client, standinFleet.service, 1_000_000)).rejects.toBeInstanceOf(OpenAI.BadRequestError);
});

test('the official client exposes the error code and whether the request ran', async () => {
	const error = await fleet.settle(client.chat.completions.create({model: 'mosto-llm', messages}).catch((error: unknown) => error)); // eslint-disable-line promise/prefer-await-to-then
	expect(error).toMatchObject({status: 404, code: 'unknown_model', error: {ran: 'no'}});
});

test('the official client throws when a stream ends in an error', async () => {
	const read = async () => {
		const stream = await client.chat.completions.create({
			model: standinFleet.service, messages, max_completion_tokens: 500, stream: true,
		}, {headers: {'x-time-bound-ms': '300'}});
		for await (const chunk of stream) {
			expect(chunk.id).toMatch(/^chatcmpl-/);
		}
	};

	await expect(fleet.settle(read())).rejects.toMatchObject({code: 'bound_passed_running'});
});

test('an abort by the official client cancels the request', async () => {
	const stream = await fleet.settle(client.chat.completions.create({
		model: standinFleet.service, messages, max_completion_tokens: 5000, stream: true,
	}));
	expect(fleet.engines[0].heldTokens).toBeGreaterThan(0);
	stream.controller.abort();
	await fleet.waitUntil(() => fleet.engines[0].heldTokens === 0);
});
