/** Connections to backend servers. */
import type {Buffer} from 'node:buffer';
import {Agent, type Dispatcher} from 'undici';
import type {BackendExchange} from './backend-exchange.js';

/** Time for a new connection, in milliseconds: servers are a few milliseconds away, and one that lost power does not answer at all. */
const connectTimeout = 400;

/** How long an idle connection is kept when the server does not say, in milliseconds. */
const idleTimeout = 4000;

/** A request to a backend server. */
export type BackendRequest = {
	method: string;
	path: string;
	headers: Record<string, string | string[]>;
	body: Buffer | string | undefined;
};

/** Connections to all backend servers, one request at a time on each. */
export class BackendPool {
	readonly #agent: Agent;

	constructor() {
		this.#agent = new Agent({
			connect: {timeout: connectTimeout},
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeout,
			pipelining: 1,
			connections: null,
		});
	}

	/** Sends a request to an address, `IP:PORT`; everything else is told to the exchange. */
	dispatch(address: string, request: BackendRequest, exchange: BackendExchange): void {
		this.#agent.dispatch({
			origin: `http://${address}`,
			method: request.method as Dispatcher.HttpMethod,
			path: request.path,
			headers: request.headers,
			body: request.body,
		}, exchange);
	}

	/** Sends a request and reads its whole answer. */
	async ask(address: string, request: BackendRequest, timeout: number): Promise<{status: number; text: string}> {
		const answer = await this.#agent.request({
			origin: `http://${address}`,
			method: request.method as Dispatcher.HttpMethod,
			path: request.path,
			headers: request.headers,
			body: request.body,
			signal: AbortSignal.timeout(timeout),
		});
		return {status: answer.statusCode, text: await answer.body.text()};
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}
}
