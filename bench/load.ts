/** Sends streaming completion requests and measures their latencies. */
import {performance} from 'node:perf_hooks';
import {quantile} from 'simple-statistics';
import {Agent, request} from 'undici';
import {systemClock, waitFor} from '../src/common/index.js';

/** Time to first token and total time of a stream in milliseconds, and its number of tokens. */
export type StreamTimes = {
	firstToken: number;
	total: number;
	tokens: number;
};

/** Size and target of a load. */
export type LoadOptions = {
	url: string;
	key: string;
	/** Number of concurrent streams. */
	streams: number;
	/** Total number of requests. */
	requests: number;
	/** Output tokens per request. */
	tokens: number;
	/** Prompt size in bytes. */
	promptBytes: number;
	/** Period over which the streams start, in milliseconds; 0 starts all at once. */
	rampUp?: number;
};

/** Keeps the given number of streams running until all requests are done; returns the latencies of each request. */
export async function runLoad(options: LoadOptions): Promise<StreamTimes[]> {
	const agent = new Agent({connections: options.streams, pipelining: 1});
	const times: StreamTimes[] = [];
	let remaining = options.requests;
	// Starts are staggered: real callers are not synchronised, and synchronised streams would delay each other.
	const runWorker = async (index: number) => {
		await waitFor(systemClock, (options.rampUp ?? 0) * index / options.streams);
		while (remaining > 0) {
			remaining--;
			times.push(await streamOnce(options, agent));
		}
	};

	await Promise.all(Array.from({length: options.streams}, async (_, index) => runWorker(index)));
	await agent.close();
	return times;
}

/** Formats the 50th, 95th and 99th percentiles. */
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
