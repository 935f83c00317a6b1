/** What calls between nodes have in common: tRPC's messages over a pool of undici, each with a time limit. */
import type {Agent} from 'undici';
import {createTimeout, readText, type Clock} from '../common/index.js';

/** Path under which a node's router is served. */
export const rpcPath = '/rpc';

/** A message to a node, as tRPC's links describe it. */
export type NodeRequest = {
	method?: string;
	headers?: Record<string, string>;
	body?: string;
	signal?: AbortSignal;
};

/** An answer, as far as tRPC's links read it. */
export type NodeResponse = {
	ok: boolean;
	status: number;
	body: NodeJS.ReadableStream;
	json(): Promise<unknown>;
};

/**
 * Sends one HTTP request; `hear` is called with the head of the answer and with each part of its body.
 *
 * Not by `fetch`, whose own headers alone are more than a ping's share of the bytes a node may send.
 */
export async function sendNodeRequest(agent: Agent, target: string, options: NodeRequest, onProgress?: () => void): Promise<NodeResponse> {
	const url = new URL(target);
	const response = await agent.request({
		origin: url.origin,
		path: `${url.pathname}${url.search}`,
		method: options.method === 'POST' ? 'POST' : 'GET',
		headers: options.headers,
		body: options.body,
		signal: options.signal,
	});
	onProgress?.();
	return {
		ok: response.statusCode < 300,
		status: response.statusCode,
		body: response.body,
		json: async () => onProgress === undefined ? response.body.json() : JSON.parse(await readText(response.body, onProgress)) as unknown,
	};
}

/** Calls a node and gives up after a time in milliseconds; undefined when there was no answer, and whoever asks logs what it does without. */
export async function askWithTimeout<Answer>(clock: Clock, timeout: number, call: (signal: AbortSignal) => Promise<Answer>): Promise<Answer | undefined> {
	const timeoutSignal = createTimeout(clock, timeout);
	try {
		return await call(timeoutSignal.signal);
	} catch {
		return undefined;
	} finally {
		timeoutSignal.cancel();
	}
}
