/** A narrow link before a node, whose open connections fall silent as a test asks. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** Bytes that are sent on one connection before it is another one's turn: two segments. */
const sliceBytes = 2920;

/** One connection through the link, both ways. */
type Passage = {near: Socket; far: Socket; isSilent: boolean};

/** Passes connections on to a node; what the node answers shares one link. */
export class LinkProxy {
	/** Bytes of all answers that were passed on. */
	answerBytes = 0;
	readonly #server: Server;
	readonly #target: string;
	readonly #rate: number;
	readonly #passages = new Set<Passage>();
	#sentUntil = 0;

	/** `rate`: bytes a millisecond; `Infinity` for a link that takes no time. */
	constructor(target: string, rate = Infinity) {
		this.#target = target;
		this.#rate = rate;
		this.#server = createServer(socket => {
			this.#pass(socket);
		});
	}

	get address(): string {
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	/** Connections that are open and pass something on. */
	get openCount(): number {
		return [...this.#passages].filter(passage => !passage.isSilent).length;
	}

	async start(): Promise<this> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	/** Makes open connections silent for good, both ways, without a word to either end; new ones are passed on. */
	loseConnections(most = Infinity): void {
		for (const passage of [...this.#passages].slice(0, most)) {
			passage.isSilent = true;
		}
	}

	async stop(): Promise<void> {
		for (const {near, far} of this.#passages) {
			near.destroy();
			far.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}

	#pass(near: Socket): void {
		const [host, port] = this.#target.split(':');
		const far = connect(Number(port), host);
		const passage = {near, far, isSilent: false};
		this.#passages.add(passage);
		near.on('data', bytes => {
			if (!passage.isSilent) {
				far.write(bytes);
			}
		});
		far.on('data', bytes => {
			far.pause();
			void this.#send(passage, bytes);
		});
		for (const [one, other] of [[near, far], [far, near]]) {
			one.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
			one.once('close', () => {
				if (!passage.isSilent) {
					this.#passages.delete(passage);
					other.destroy();
				}
			});
		}
	}

	/** Sends an answer slice by slice, in turn with those on other connections. */
	async #send(passage: Passage, bytes: Uint8Array): Promise<void> {
		for (let start = 0; start < bytes.length && !passage.near.destroyed; start += sliceBytes) {
			const slice = bytes.subarray(start, start + sliceBytes);
			await this.#waitForLink(slice.length);
			if (passage.isSilent) {
				return;
			}

			this.answerBytes += slice.length;
			passage.near.write(slice);
		}

		passage.far.resume();
	}

	async #waitForLink(bytes: number): Promise<void> {
		const now = performance.now();
		this.#sentUntil = Math.max(now, this.#sentUntil) + (bytes / this.#rate);
		const delay = this.#sentUntil - now;
		if (delay > 0) {
			await new Promise(resolve => {
				setTimeout(resolve, delay);
			});
		}
	}
}
