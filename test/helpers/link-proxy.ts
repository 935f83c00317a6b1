/** A narrow link before a node, whose open connections fall silent as a test asks. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** Bytes that are sent on one connection before it is another one's turn: two segments. */
const sliceBytes = 2920;

/** One connection through the link, both ways. */
type ProxiedConnection = {client: Socket; upstream: Socket; isSilent: boolean};

/** Passes connections on to a node; what the node answers shares one link. */
export class LinkProxy {
	/** Bytes of all answers that were passed on. */
	answerBytes = 0;
	readonly #server: Server;
	readonly #target: string;
	readonly #rate: number;
	readonly #connections = new Set<ProxiedConnection>();
	#busyUntil = 0;

	/** `rate`: bytes a millisecond; `Infinity` for a link that takes no time. */
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

	/** Connections that are open and pass something on. */
	get openConnectionCount(): number {
		return [...this.#connections].filter(connection => !connection.isSilent).length;
	}

	async start(): Promise<this> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	/** Makes open connections silent for good, both ways, without a word to either end; new ones are passed on. */
	silenceConnections(max = Infinity): void {
		for (const connection of [...this.#connections].slice(0, max)) {
			connection.isSilent = true;
		}
	}

	async stop(): Promise<void> {
		for (const {client: client, upstream: upstream} of this.#connections) {
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
		const connection = {client: client, upstream: upstream, isSilent: false};
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

	/** Sends an answer slice by slice, in turn with those on other connections. */
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
