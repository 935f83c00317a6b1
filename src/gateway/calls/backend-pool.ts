/**
 * Pool of connections to backend servers, one request at a time on each.
 *
 * Each connection is an undici client of its own, so that the socket of an answer is known:
 * undici reports an answer without a length as complete even if a reset ended it.
 */
import type {Socket} from 'node:net';
import {Client, type Dispatcher} from 'undici';
import {
	createTimeout, fetchAnswer, isAddress, ReadGate, ReadTurns, type BackendServerId, type Clock, type RequestId,
} from '../../common/index.js';
import type {BackendExchange, ExchangeConnection} from './backend-exchange.js';
import {TcpDialer, type ServerDialer} from './server-dialer.js';

/** Connect timeout, in milliseconds: servers are a few milliseconds away, and one that lost power never answers. */
const connectTimeout = 400;

/** Keep-alive timeout when the server states none, in milliseconds. */
const idleTimeout = 4000;

/** Idle time after which a connection is removed from the pool, in milliseconds. */
const maxIdleTime = 15_000;

/** Maximum size of a server's answer to an order, or of its report, in bytes. */
const maxControlBytes = 1024 * 1024;

/** Maximum length of an invalid address in an error, in characters. */
const maxLoggedAddress = 100;

/** A request to a backend server. */
export type BackendRequest = {
	/** The server that it is meant for; without it, the request takes no other way than the address. */
	server?: BackendServerId;
	/** Id of the caller's request, for log lines. */
	requestId?: RequestId;
	method: string;
	path: string;
	headers: Record<string, string | string[]>;
	body: Uint8Array | string | undefined;
};

/**
 * Which connection a request uses: a pooled one that was kept alive, or a new one.
 *
 * An idle connection may be dead without a reset, which shows only as a missing answer: `fresh` is for
 * requests that cannot be retried, or whose first attempt met a silent server.
 */
export type ConnectionUse = 'kept' | 'fresh';

/** Receives the answer of a request on a pooled connection. */
export type PooledHandler = Dispatcher.DispatchHandler & {attach(connection: ExchangeConnection): void};

/** One connection; its client reconnects when the server has closed it. */
class BackendConnection {
	readonly client: Client;
	idleSince = 0;
	/** Timeout of the next connection attempt, in milliseconds. */
	connectTimeout = connectTimeout;
	/** Number of connection attempts. */
	dialled = 0;
	#socket: Socket | undefined;
	#gate: ReadGate | undefined;

	constructor(address: string, dialer: ServerDialer, turns: ReadTurns) {
		this.client = new Client(`http://${address}`, {
			connect: (_options, callback) => {
				this.dialled++;
				dialer.dial(address, this.connectTimeout, (...result) => {
					this.#socket = result[0] === null ? result[1] : undefined;
					this.#gate = this.#socket && new ReadGate(this.#socket, turns);
					callback(...result);
				});
			},
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: idleTimeout,
			pipelining: 1,
		});
	}

	/** Stops reading from the last socket until `resume`. */
	pause(): void {
		this.#gate?.close();
	}

	resume(): void {
		this.#gate?.open();
	}

	/** Resets the last socket. */
	reset(): void {
		this.#socket?.resetAndDestroy();
	}

	/**
	 * Whether the last socket ended with a reset instead of a clean close.
	 *
	 * Node.js reports a reset that it notices together with the last data as a clean end, without an error. The system
	 * knows the address of the other side after a clean end only.
	 */
	get wasReset(): boolean {
		return this.#socket !== undefined && (this.#socket.errored !== null || this.#socket.remoteAddress === undefined);
	}
}

/** A request that a server has not answered. */
export type SilentRequest = {server: BackendServerId; address: string; exchange: BackendExchange; sentAt: number};

/** Connections to all backend servers, by address. */
export class BackendPool {
	/** Shares the event loop between the connections. */
	protected readonly turns: ReadTurns;
	readonly #clock: Clock;
	readonly #dialer: ServerDialer;
	readonly #idle = new Map<string, BackendConnection[]>();
	readonly #connections = new Set<BackendConnection>();

	constructor(clock: Clock, dialer: ServerDialer = new TcpDialer(clock), turns = new ReadTurns(clock)) {
		this.turns = turns;
		this.#clock = clock;
		this.#dialer = dialer;
	}

	/** Sends a request to an address, `IP:PORT`; the exchange receives the answer. */
	dispatch(address: string, request: BackendRequest, exchange: BackendExchange, use: ConnectionUse = 'kept'): void {
		this.send(address, request, exchange, use);
	}

	/** Sends a request and reads its complete answer; rejects when there is none within `timeout` milliseconds. */
	async ask(address: string, {server: _server, requestId: _requestId, ...request}: BackendRequest, timeout: number, use: ConnectionUse = 'kept'): Promise<{status: number; text: string}> {
		const connection = this.#acquire(address, use);
		const askedAt = this.#clock.readMonotonic();
		const deadline = createTimeout(this.#clock, timeout);
		try {
			return await fetchAnswer(connection.client, {...request, method: request.method}, {signal: deadline.signal, maxBytes: maxControlBytes});
		} finally {
			deadline.cancel();
			this.#release(address, connection);
			if (deadline.signal.aborted) {
				this.closeSuspect(address, askedAt);
			}
		}
	}

	/** Handles the silence of a server to a request that was sent at `sentAt`, in monotonic milliseconds. */
	recordSilence({address, sentAt}: SilentRequest): void {
		this.closeSuspect(address, sentAt);
	}

	/** Handles a request that its server has not answered, and that may not be sent to another one: a slow server, or a silent link. */
	checkLink(_silent: SilentRequest): void {} // eslint-disable-line @typescript-eslint/no-empty-function -- there is no other way to a server

	/** Whether this node does not reach a server over its own link. */
	isCut(_server: BackendServerId): boolean {
		return false;
	}

	/** Whether the last failed attempt at a server is due to the server, and not to the way to it. */
	verifyFault(_server: BackendServerId): boolean | Promise<boolean> {
		return true;
	}

	/**
	 * Closes idle connections that may be dead, after a request got no answer: each would delay another request as much.
	 *
	 * Those are all connections to that server, and those to other servers that have carried no answer since the request
	 * was sent, since connections to all servers may die together. `sentAt` is monotonic, in milliseconds.
	 */
	closeSuspect(address: string, sentAt: number): void {
		this.closeIdle(address);
		this.closeIdleBefore(sentAt);
	}

	/** Closes the idle connections to a server. */
	closeIdle(address: string): void {
		for (const connection of this.#idle.get(address) ?? []) {
			this.#closeConnection(connection);
		}

		this.#idle.delete(address);
	}

	/** Closes connections that have been idle for too long. */
	prune(): void {
		this.closeIdleBefore(this.#clock.readMonotonic() - maxIdleTime);
	}

	/** Closes all connections at once. */
	async close(): Promise<void> {
		await Promise.all([...this.#connections].map(async connection => connection.client.destroy()));
	}

	/** Closes connections that have been idle since before a monotonic time in milliseconds. */
	closeIdleBefore(earliest: number): void {
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

	/** Sends a request to an address on a pooled connection. */
	protected send(address: string, {server: _server, requestId: _requestId, ...request}: BackendRequest, handler: PooledHandler, use: ConnectionUse, timeout = connectTimeout): void { // eslint-disable-line max-params
		if (!isAddress(address)) {
			// Another node's view may hold an address that this node would not accept; a client cannot be created for it.
			queueMicrotask(() => {
				handler.onResponseError?.(undefined as never, new TypeError(`not an address: ${address.slice(0, maxLoggedAddress)}`));
			});
			return;
		}

		const connection = this.#acquire(address, use);
		const {dialled} = connection;
		let isReleased = false;
		connection.connectTimeout = timeout;
		handler.attach({
			wasReset: () => connection.wasReset,
			isNew: () => connection.dialled > dialled,
			reset() {
				connection.reset();
			},
			pause() {
				connection.pause();
			},
			resume() {
				connection.resume();
			},
			onDone: () => {
				if (!isReleased) {
					isReleased = true;
					this.#release(address, connection);
				}
			},
		});
		connection.client.dispatch({...request, method: request.method}, handler);
	}

	#closeConnection(connection: BackendConnection): void {
		this.#connections.delete(connection);
		void connection.client.destroy();
	}

	/** Prefers the connection used last, the least likely to be closed. A fresh one replaces it, since servers limit their connections. */
	#acquire(address: string, use: ConnectionUse): BackendConnection {
		const idle = this.#idle.get(address)?.pop();
		if (idle !== undefined && use === 'kept') {
			return idle;
		}

		if (idle !== undefined) {
			this.#closeConnection(idle);
		}

		const connection = new BackendConnection(address, this.#dialer, this.turns);
		this.#connections.add(connection);
		return connection;
	}

	#release(address: string, connection: BackendConnection): void {
		connection.resume();
		connection.idleSince = this.#clock.readMonotonic();
		const idle = this.#idle.get(address) ?? [];
		idle.push(connection);
		this.#idle.set(address, idle);
	}
}
