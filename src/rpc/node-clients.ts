/** RPC clients of other nodes with a shared connection pool, authentication and traffic accounting. */
import type {Socket} from 'node:net';
import {
	createTRPCClient, httpBatchStreamLink, httpLink, splitLink, type TRPCClient,
} from '@trpc/client';
import {Agent, buildConnector} from 'undici';
import type {Clock} from '../common/index.js';
import {
	askWithTimeout, rpcPath, sendNodeRequest, type NodeRequest, type NodeResponse,
} from './node-fetch.js';
import type {NodeRouter} from './router.js';

/** RPC client of one node. */
export type NodeClient = TRPCClient<NodeRouter>;

/** Caches one client for each node URL. */
export class NodeClients {
	/** Clock for call timeouts. */
	readonly clock: Clock;
	readonly #secret: string;
	readonly #counter = new ByteCounter();
	readonly #agent: Agent;
	readonly #clients = new Map<string, NodeClient>();

	constructor(secret: string, clock: Clock) {
		this.#secret = secret;
		this.clock = clock;
		const connect = buildConnector({timeout: 2000});
		this.#agent = new Agent({
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: 30_000,
			connect: (options, callback) => {
				connect(options, (...result) => {
					if (result[0] === null) {
						this.#counter.addSocket(result[1]);
					}

					callback(...result);
				});
			},
		});
	}

	/** Bytes sent and received by calls of this node to other nodes. */
	countBytes(): number {
		return this.#counter.count();
	}

	/** Returns the client of the node at a URL. */
	findClient(url: string): NodeClient {
		let client = this.#clients.get(url);
		if (client === undefined) {
			client = this.#createClient(url);
			this.#clients.set(url, client);
		}

		return client;
	}

	/** Calls a node with a timeout in milliseconds; returns undefined when the call fails or times out. */
	async ask<Answer>(url: string, timeout: number, call: (client: NodeClient, signal: AbortSignal) => Promise<Answer>): Promise<Answer | undefined> {
		return askWithTimeout(this.clock, timeout, async signal => call(this.findClient(url), signal));
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	/** Sends one HTTP request; tests override it to simulate network faults. */
	protected async send(target: string, init: NodeRequest): Promise<NodeResponse> {
		return sendNodeRequest(this.#agent, target, init);
	}

	#createClient(url: string): NodeClient {
		const options = {
			url: `${url}${rpcPath}`,
			headers: {authorization: `Bearer ${this.#secret}`},
			fetch: (async (target: string, init: NodeRequest) => this.send(target, init)) as unknown as typeof fetch,
		};
		return createTRPCClient<NodeRouter>({
			links: [splitLink({
				condition: operation => operation.path === 'runKeyed',
				true: httpBatchStreamLink({...options, maxItems: 1}),
				false: httpLink(options),
			})],
		});
	}
}

/** Counts the bytes sent and received by open and closed sockets. */
class ByteCounter {
	readonly #openSockets = new Set<Socket>();
	#closedBytes = 0;

	addSocket(socket: Socket): void {
		this.#openSockets.add(socket);
		socket.once('close', () => {
			this.#openSockets.delete(socket);
			this.#closedBytes += countSocketBytes(socket);
		});
	}

	count(): number {
		let total = this.#closedBytes;
		for (const socket of this.#openSockets) {
			total += countSocketBytes(socket);
		}

		return total;
	}
}

function countSocketBytes(socket: Socket): number {
	return socket.bytesRead + socket.bytesWritten;
}
