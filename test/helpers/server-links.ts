/** Links of one gateway node to backend servers, as real sockets that can be cut. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {ServerDialer, type DialCallback} from '../../src/gateway/calls/index.js';

/**
 * State of the links: `refused` resets open connections and refuses new ones, `reset` accepts new ones and resets them, `silent` accepts new ones and
 * forwards nothing, `dropped` also drops connection attempts, and `kept` refuses new connections while open ones live on.
 */
export type LinkState = 'open' | 'refused' | 'reset' | 'silent' | 'dropped' | 'kept';

/** Link states that cut a node from its servers. */
export const cutStates = ['refused', 'reset', 'silent', 'dropped', 'kept'] as const;

/** One forwarded connection. */
type Forwarded = {client: Socket; upstream: Socket; address: string; isSilent: boolean};

/** Dials servers through proxies, one for each server. */
export class ServerLinks extends ServerDialer {
	/** Number of connections that were attempted. */
	dialled = 0;
	#state: LinkState = 'open';
	/** Servers that the state applies to; all when undefined. */
	#affected: ReadonlySet<string> | undefined;
	readonly #proxies = new Map<string, Promise<Server>>();
	readonly #connections = new Set<Forwarded>();

	/** Changes the state of the links to these servers, all by default; links to other servers are open. */
	set(state: LinkState, addresses?: string[]): void {
		this.#state = state;
		this.#affected = addresses === undefined ? undefined : new Set(addresses);
		for (const connection of this.#connections) {
			const current = this.#findState(connection.address);
			connection.isSilent ||= current === 'silent' || current === 'dropped';
			if (current === 'refused' || current === 'reset') {
				connection.client.resetAndDestroy();
			}
		}
	}

	override dial(address: string, timeout: number, callback: DialCallback): void {
		this.dialled++;
		const state = this.#findState(address);
		if (state === 'refused' || state === 'kept') {
			setImmediate(callback, Object.assign(new Error(`connect ECONNREFUSED ${address}`), {code: 'ECONNREFUSED'}), null);
		} else if (state === 'dropped') {
			setTimeout(callback, timeout, new Error(`connect timeout ${address}`), null);
		} else {
			void this.#connect(address, callback);
		}
	}

	async stop(): Promise<void> {
		for (const {client, upstream} of this.#connections) {
			client.destroy();
			upstream.destroy();
		}

		for (const proxy of this.#proxies.values()) {
			const server = await proxy;
			server.close();
		}
	}

	#findState(address: string): LinkState {
		return this.#affected === undefined || this.#affected.has(address) ? this.#state : 'open';
	}

	async #connect(address: string, callback: DialCallback): Promise<void> {
		const proxy = this.#proxies.get(address) ?? this.#startProxy(address);
		this.#proxies.set(address, proxy);
		const server = await proxy;
		const {port} = server.address() as AddressInfo;
		const socket = connect({port, host: '127.0.0.1', noDelay: true});
		const fail = (error: Error) => {
			callback(error, null);
		};

		socket.once('error', fail);
		socket.once('connect', () => {
			socket.off('error', fail);
			callback(null, socket);
		});
	}

	async #startProxy(address: string): Promise<Server> {
		const server = createServer(client => {
			this.#forward(client, address);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		return server;
	}

	#forward(client: Socket, address: string): void {
		const state = this.#findState(address);
		if (state === 'reset') {
			client.resetAndDestroy();
			return;
		}

		const [host, port] = address.split(':');
		const upstream = connect(Number(port), host);
		const connection = {
			client, upstream, address, isSilent: state === 'silent',
		};
		this.#connections.add(connection);
		for (const [from, to] of [[client, upstream], [upstream, client]]) {
			from.on('data', bytes => {
				if (!connection.isSilent) {
					to.write(bytes);
				}
			});
			from.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
			from.once('close', () => {
				this.#connections.delete(connection);
				if (!connection.isSilent) {
					to.destroy();
				}
			});
		}
	}
}
