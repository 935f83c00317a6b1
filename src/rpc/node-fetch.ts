/** HTTP transport of RPC calls between nodes: tRPC over an undici connection pool, with timeouts. */
import type {Agent} from 'undici';
import {createTimeout, type Clock} from '../common/index.js';

/** URL path of the RPC router of a node. */
export const rpcPath = '/rpc';

/** Request options that tRPC links pass to `fetch`. */
export type NodeRequest = {
	method?: string;
	headers?: Record<string, string>;
	body?: string;
	signal?: AbortSignal;
};

/** Subset of the `fetch` response that tRPC links use. */
export type NodeResponse = {
	ok: boolean;
	status: number;
	body: NodeJS.ReadableStream;
	json(): Promise<unknown>;
};

/**
 * Sends one HTTP request.
 *
 * Does not use `fetch`, because its default headers alone exceed the traffic budget of a ping.
 */
export async function sendNodeRequest(agent: Agent, target: string, options: NodeRequest): Promise<NodeResponse> {
	const url = new URL(target);
	const response = await agent.request({
		origin: url.origin,
		path: `${url.pathname}${url.search}`,
		method: options.method === 'POST' ? 'POST' : 'GET',
		headers: options.headers,
		body: options.body,
		signal: options.signal,
	});
	return {
		ok: response.statusCode < 300,
		status: response.statusCode,
		body: response.body,
		json: async () => response.body.json(),
	};
}

/** Runs a call with a timeout in milliseconds; returns undefined when it fails or times out, which the caller of this function should log. */
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
