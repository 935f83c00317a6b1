/** A TCP proxy that limits bandwidth and can silence its open connections. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** Bytes sent on one connection before the next one's turn: two segments. */
const sliceBytes = 2920;

/** One proxied connection, in both directions. */
type ProxiedConnection = {client: Socket; upstream: Socket; isSilent: boolean};

/** Forwards connections to a target; all answers share the bandwidth of one link. */
export class LinkProxy {
	/** Total bytes of forwarded answers. */
	answerBytes = 0;
	readonly #server: Server;
	readonly #target: string;
	readonly #rate: number;
	readonly #connections = new Set<ProxiedConnection>();
	#busyUntil = 0;

	/** `rate`: bytes per millisecond; `Infinity` for an unlimited link. */
	constructor(target: string, rate = Infinity) {
		this.#target = target;
		this.#rate = rate;
		this.#server = createServer(socket => {
			this.#forward(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Number of open connections that are not silenced. */
	get openConnectionCount(): number {
		return [...this.#connections].filter(connection => !connection.isSilent).length;
	}

	async start(): Promise<this> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	/** Silences up to `max` open connections permanently, in both directions and without closing them; new ones are forwarded. */
	silenceConnections(max = Infinity): void {
		for (const connection of [...this.#connections].slice(0, max)) {
			connection.isSilent = true;
		}
	}

	async stop(): Promise<void> {
		for (const {client, upstream} of this.#connections) {
			client.destroy();
			upstream.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#forward(client: Socket): void {
		const [host, port] = this.#target.split(':');
		const upstream = connect(Number(port), host);
		const connection = {client, upstream, isSilent: false};
		this.#connections.add(connection);
		client.on('data', bytes => {
			if (!connection.isSilent) {
				upstream.write(bytes);
			}
		});
		upstream.on('data', bytes => {
			upstream.pause();
			void this.#send(connection, bytes);
		});
		for (const [one, other] of [[client, upstream], [upstream, client]]) {
			one.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
			one.once('close', () => {
				if (!connection.isSilent) {
					this.#connections.delete(connection);
					other.destroy();
				}
			});
		}
	}

	/** Sends an answer in slices, interleaved with those on other connections. */
	async #send(connection: ProxiedConnection, bytes: Uint8Array): Promise<void> {
		for (let start = 0; start < bytes.length && !connection.client.destroyed; start += sliceBytes) {
			const slice = bytes.subarray(start, start + sliceBytes);
			await this.#waitForLink(slice.length);
			if (connection.isSilent) {
				return;
			}

			this.answerBytes += slice.length;
			connection.client.write(slice);
		}

		connection.upstream.resume();
	}

	async #waitForLink(bytes: number): Promise<void> {
		const now = performance.now();
		this.#busyUntil = Math.max(now, this.#busyUntil) + (bytes / this.#rate);
		const delay = this.#busyUntil - now;
		if (delay > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, delay);
			});
		}
	}
}
