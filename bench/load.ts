/** Streams completions and takes their times. */
import {performance} from 'node:perf_hooks';
import {quantile} from 'simple-statistics';
import {Agent, request} from 'undici';
import {systemClock, waitFor} from '../src/common/index.js';

/** Times of one stream, in milliseconds. */
export type StreamTimes = {
	firstToken: number;
	total: number;
	tokens: number;
};

/** What to send. */
export type LoadOptions = {
	url: string;
	key: string;
	/** Streams at once. */
	streams: number;
	/** Requests in all. */
	requests: number;
	/** Tokens of each answer. */
	tokens: number;
	/** Bytes of each prompt. */
	promptBytes: number;
	/** Milliseconds over which the streams begin. */
	spread?: number;
};

/** Keeps a number of streams going until all requests have been sent; returns the times of each. */
export async function runLoad(options: LoadOptions): Promise<StreamTimes[]> {
	const agent = new Agent({connections: options.streams, pipelining: 1});
	const times: StreamTimes[] = [];
	let left = options.requests;
	// Streams begin one after another: callers do not keep step, and in step they would wait for each other.
	const work = async (index: number) => {
		await waitFor(systemClock, (options.spread ?? 0) * index / options.streams);
		while (left > 0) {
			left--;
			times.push(await streamOnce(options, agent));
		}
	};

	await Promise.all(Array.from({length: options.streams}, async (_, index) => work(index)));
	await agent.close();
	return times;
}

/** Formats the 50th, 95th and 99th percentile. */
export function formatPercentiles(values: number[], digits = 2): string {
	return [0.5, 0.95, 0.99].map(share => quantile(values, share).toFixed(digits)).join(' / ');
}

let sent = 0;

async function streamOnce(options: LoadOptions, agent: Agent): Promise<StreamTimes> {
	const start = performance.now();
	const response = await request(`${options.url}/v1/chat/completions`, {
		method: 'POST',
		dispatcher: agent,
		headers: {authorization: `Bearer ${options.key}`, 'content-type': 'application/json', 'x-request-id': `bench-${sent++}`},
		body: JSON.stringify({
			model: 'bollettino-llm', stream: true, max_tokens: options.tokens, messages: [{role: 'user', content: 'x'.repeat(options.promptBytes)}],
		}),
	});
	let firstToken = 0;
	let tokens = 0;
	let tail = '';
	for await (const bytes of response.body) {
		firstToken ||= performance.now() - start;
		const text = tail + String(bytes);
		tokens += text.split('data: {').length - 1;
		tail = text.slice(text.lastIndexOf('\n') + 1);
	}

	if (response.statusCode !== 200 || tokens < options.tokens) {
		throw new Error(`an answer came with status ${response.statusCode} and ${tokens} of ${options.tokens} tokens`);
	}

	return {firstToken, total: performance.now() - start, tokens};
}
