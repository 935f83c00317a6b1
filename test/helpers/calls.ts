/** HTTP calls to a stand-in fleet, as callers make them. */
import {connect} from 'node:net';
import {request} from 'undici';
import {standinFleet} from '../../src/standin/index.js';

/** A response, read to its end or to where the connection broke. */
export type CallAnswer = {
	status: number;
	headers: Record<string, string | string[] | undefined>;
	text: string;
	/** Whether the connection was closed before the response ended. */
	wasCut: boolean;
};

/** Body of an error response. */
export type ErrorAnswerBody = {error: {code: string; ran: string; message: string; type: string; retry_after_seconds?: number}};

/** Builds a chat request body for the engine service. */
export function buildChatBody(overrides: Record<string, unknown> = {}): Record<string, unknown> {
	return {
		model: standinFleet.service, messages: [{role: 'user', content: 'Nowcast for tile 37'}], max_tokens: 5, ...overrides,
	};
}

/** Sends a request and reads the response. */
export async function call(url: string, options: {body?: unknown; headers?: Record<string, string>; method?: 'GET' | 'POST'; signal?: AbortSignal; key?: string} = {}): Promise<CallAnswer> {
	const body = typeof options.body === 'string' || options.body === undefined ? options.body : JSON.stringify(options.body);
	const response = await request(url, {
		method: options.method ?? 'POST',
		headers: {authorization: `Bearer ${options.key ?? standinFleet.key}`, 'content-type': 'application/json', ...options.headers},
		body,
		signal: options.signal,
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	const {text, wasCut} = await readAll(response.body);
	return {
		status: response.statusCode, headers: response.headers, text, wasCut,
	};
}

/** Sends a chat request, streamed if the body says so, and reads the response. */
export async function sendChat(callerUrl: string, body: Record<string, unknown> = {}, headers: Record<string, string> = {}): Promise<CallAnswer> {
	return call(`${callerUrl}/v1/chat/completions`, {body: buildChatBody(body), headers});
}

/** Joins the text of a streamed chat. */
export function joinStream(text: string): string {
	return listStream(text).map(chunk => chunk.choices?.[0]?.delta?.content ?? '').join('');
}

type StreamChunk = {id: string; choices?: Array<{delta?: {content?: string}}>; error?: ErrorAnswerBody['error']};

/** Lists the chunks of a streamed chat, without the finish marker. */
export function listStream(text: string): StreamChunk[] {
	return text.split('\n\n')
		.filter(event => event.startsWith('data: ') && event !== 'data: [DONE]')
		.map(event => JSON.parse(event.slice('data: '.length)) as StreamChunk);
}

/** Parses the error of an error response. */
export function readError(answer: CallAnswer): ErrorAnswerBody['error'] {
	return (JSON.parse(answer.text) as ErrorAnswerBody).error;
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<{text: string; wasCut: boolean}> {
	const decoder = new TextDecoder();
	let text = '';
	try {
		for await (const bytes of body) {
			text += decoder.decode(bytes, {stream: true});
		}

		return {text, wasCut: false};
	} catch {
		return {text, wasCut: true};
	}
}

/** Sends raw bytes and returns what is received until the connection closes, for one second at most. */
export async function sendRaw(host: string, port: number, text: string): Promise<string> {
	return new Promise(resolve => {
		const socket = connect(port, host);
		let answer = '';
		const timer = setTimeout(() => {
			socket.destroy();
		}, 1000);
		socket.on('data', chunk => {
			answer += String(chunk);
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			clearTimeout(timer);
			resolve(answer);
		});
		socket.write(text);
	});
}

/** Builds the text that a stand-in engine generates for this number of tokens. */
export function buildTokenText(count: number): string {
	return Array.from({length: count}, (_, index) => `t${index + 1} `).join('');
}
