/** A loopback TCP proxy that can delay, stall in one or both directions, reset, or permanently stall its connections. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** Fault of a link: `delay` in milliseconds, and stalls towards the target (`forth`) or towards the client (`back`). */
export type LinkFault = {delay: number; isSilentForth: boolean; isSilentBack: boolean};

/** How a link treats connections from a source that is cut off: it resets them, or forwards nothing. */
export type CutKind = 'reset' | 'silent';

/** Sources that are cut off, by their IP address. */
export type Cuts = ReadonlyMap<string, CutKind>;

const noFault: LinkFault = {delay: 0, isSilentForth: false, isSilentBack: false};

/** Interval for checking whether a stalled direction has recovered, in milliseconds. */
const silencePoll = 20;

/** Forwards connections to one target. */
export class Link {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #severed = new WeakSet<Socket>();
	readonly #cuts: Cuts;
	readonly #sources = new Map<Socket, string>();
	#fault = noFault;

	/** `findTarget` returns the port of the target, which may change; `cuts` may change too. */
	constructor(findTarget: () => number, cuts: Cuts = new Map()) {
		this.#cuts = cuts;
		this.#server = createServer({allowHalfOpen: true}, near => {
			const source = near.remoteAddress ?? '';
			if (cuts.get(source) === 'reset') {
				near.resetAndDestroy();
				return;
			}

			const far = connect({port: findTarget(), host: '127.0.0.1', allowHalfOpen: true});
			this.#sources.set(near, source);
			this.#sources.set(far, source);
			this.#join(near, far);
		});
	}

	/** Local port that clients connect to. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** Local `IP:PORT` that clients connect to. */
	get address(): string {
		return `127.0.0.1:${this.port}`;
	}

	/** Starts to accept connections. */
	async open(): Promise<this> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	/** Applies a fault to all connections, including new ones. */
	setFault(fault: Partial<LinkFault>): void {
		this.#fault = {...noFault, ...fault};
	}

	/** Removes the fault. */
	clearFault(): void {
		this.#fault = noFault;
	}

	/** Stalls the open connections permanently, without passing on when either end closes; new connections work. */
	sever(): void {
		for (const socket of this.#sockets) {
			this.#severed.add(socket);
		}
	}

	/** Resets the open connections from a source. */
	resetFrom(source: string): void {
		for (const socket of this.#sockets) {
			if (this.#sources.get(socket) === source) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Resets all connections. */
	reset(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Stops listening and destroys all connections. */
	close(): void {
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#join(near: Socket, far: Socket): void {
		for (const [socket, other, isForth] of [[near, far, true], [far, near, false]] as const) {
			this.#sockets.add(socket);
			void this.#carry(socket, other, isForth);
			socket.on('error', () => {
				if (!this.#severed.has(socket)) {
					other.resetAndDestroy();
				}
			});
			socket.on('close', () => {
				this.#sockets.delete(socket);
				this.#sources.delete(socket);
				if (socket.errored === null && !this.#severed.has(socket)) {
					other.end();
				}
			});
		}
	}

	/** Copies one direction in order: each chunk waits for the previous one. */
	async #carry(from: Socket, to: Socket, isForth: boolean): Promise<void> {
		try {
			for await (const piece of from) {
				await this.#hold(from, isForth);
				if (!to.write(piece as Uint8Array)) {
					await new Promise(resolve => {
						to.once('drain', resolve);
						to.once('close', resolve);
					});
				}
			}

			await this.#hold(from, isForth);
			to.end();
		} catch {
			// Broken connections are expected; the error listener resets the other side.
		}
	}

	async #hold(from: Socket, isForth: boolean): Promise<void> {
		if (this.#fault.delay > 0) {
			await pause(this.#fault.delay);
		}

		const source = this.#sources.get(from) ?? '';
		while ((isForth ? this.#fault.isSilentForth : this.#fault.isSilentBack) || this.#cuts.get(source) === 'silent') {
			await pause(silencePoll);
		}

		if (this.#severed.has(from)) {
			await new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- never resolves
		}
	}
}

/** Waits for `duration` milliseconds. */
export async function pause(duration: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
