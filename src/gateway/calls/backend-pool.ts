/**
 * Connections to backend servers, one request at a time on each.
 *
 * Each connection is a client of its own, so that an answer is known to belong to a socket:
 * an answer without a length that ends by a reset is not whole, and the library takes it
 * for whole.
 */
import type {Socket} from 'node:net';
import {buildConnector, Client} from 'undici';
import {createTimeout, type Clock} from '../../common/index.js';
import type {BackendExchange} from './backend-exchange.js';

/** Time for a new connection, in milliseconds: servers are a few milliseconds away, and one that lost power does not answer at all. */
const connectTimeout = 400;

/** How long an idle connection is kept when the server does not say, in milliseconds. */
const idleTimeout = 4000;

/** How long a connection without requests is remembered, in milliseconds. */
const maxIdleTime = 15_000;

/** A request to a backend server. */
export type BackendRequest = {
	method: string;
	path: string;
	headers: Record<string, string | string[]>;
	body: Uint8Array | string | undefined;
};

/**
 * Which connection a request takes.
 *
 * A kept one may have fallen silent while it was at rest, and tells only by an answer that does not come: `fresh`
 * is for what has no second try, or has spent one on such a connection.
 */
export type ConnectionUse = 'kept' | 'fresh';

/** One connection, opened again by its client when the server has closed it. */
class BackendConnection {
	readonly client: Client;
	idleSince = 0;
	#socket: Socket | undefined;

	constructor(address: string) {
		const connect = buildConnector({timeout: connectTimeout});
		this.client = new Client(`http://${address}`, {
			connect: (options, callback) => {
				connect(options, (...result) => {
					this.#socket = result[0] === null ? result[1] : undefined;
					callback(...result);
				});
			},
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeout,
			pipelining: 1,
		});
	}

	/** Whether the last socket ended with an error rather than in order. */
	get wasReset(): boolean {
		return this.#socket?.errored !== null && this.#socket?.errored !== undefined;
	}
}

/** Connections to all backend servers. */
export class BackendPool {
	readonly #clock: Clock;
	readonly #idle = new Map<string, BackendConnection[]>();
	readonly #connections = new Set<BackendConnection>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Sends a request to an address, `IP:PORT`; everything else is told to the exchange. */
	dispatch(address: string, request: BackendRequest, exchange: BackendExchange, use: ConnectionUse = 'kept'): void {
		const connection = this.#acquire(address, use);
		exchange.attach({
			wasReset: () => connection.wasReset,
			onDone: () => {
				this.#release(address, connection);
			},
		});
		connection.client.dispatch({...request, method: request.method}, exchange);
	}

	/** Sends a request and reads its whole answer; rejects when there is none in time. */
	async ask(address: string, request: BackendRequest, timeout: number, use: ConnectionUse = 'kept'): Promise<{status: number; text: string}> {
		const connection = this.#acquire(address, use);
		const askedAt = this.#clock.readMonotonic();
		const deadline = createTimeout(this.#clock, timeout);
		try {
			const answer = await connection.client.request({
				...request, method: request.method, signal: deadline.signal,
			});
			return {status: answer.statusCode, text: await answer.body.text()};
		} finally {
			deadline.cancel();
			this.#release(address, connection);
			if (deadline.signal.aborted) {
				this.closeSuspect(address, askedAt);
			}
		}
	}

	/**
	 * Leaves the connections at rest that may be silent as well, after a server was: each would cost a request that wait anew.
	 *
	 * Those are all to that server, and those to others that have carried no answer since the request was sent: connections
	 * to all servers may fall silent together.
	 */
	closeSuspect(address: string, sentAt: number): void {
		this.closeIdle(address);
		this.#closeIdleBefore(sentAt);
	}

	/** Closes the connections at rest to a server. */
	closeIdle(address: string): void {
		for (const connection of this.#idle.get(address) ?? []) {
			this.#closeConnection(connection);
		}

		this.#idle.delete(address);
	}

	/** Closes the connections that have had no request for long. */
	prune(): void {
		this.#closeIdleBefore(this.#clock.readMonotonic() - maxIdleTime);
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await Promise.all([...this.#connections].map(async connection => connection.client.destroy()));
	}

	#closeIdleBefore(earliest: number): void {
		for (const [address, idle] of this.#idle) {
			const remaining = idle.filter(connection => connection.idleSince >= earliest);
			for (const connection of idle) {
				if (connection.idleSince < earliest) {
					this.#closeConnection(connection);
				}
			}

			if (remaining.length === 0) {
				this.#idle.delete(address);
			} else {
				this.#idle.set(address, remaining);
			}
		}
	}

	#closeConnection(connection: BackendConnection): void {
		this.#connections.delete(connection);
		void connection.client.destroy();
	}

	/** The connection used last is the least likely to have been closed meanwhile; a fresh one takes its place, for servers bound how many they accept. */
	#acquire(address: string, use: ConnectionUse): BackendConnection {
		const idle = this.#idle.get(address)?.pop();
		if (idle !== undefined && use === 'kept') {
			return idle;
		}

		if (idle !== undefined) {
			this.#closeConnection(idle);
		}

		const connection = new BackendConnection(address);
		this.#connections.add(connection);
		return connection;
	}

	#release(address: string, connection: BackendConnection): void {
		connection.idleSince = this.#clock.readMonotonic();
		const idle = this.#idle.get(address) ?? [];
		idle.push(connection);
		this.#idle.set(address, idle);
	}
}
