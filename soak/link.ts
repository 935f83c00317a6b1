/** A TCP link on loopback that can be delayed, silenced in one or both directions, reset, or severed: then the connections it has are silent for good. */
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';

/** What a link does to the bytes it carries; `back` is the direction from the target to whoever connected. */
export type LinkFault = {delay: number; isSilentForth: boolean; isSilentBack: boolean};

const noFault: LinkFault = {delay: 0, isSilentForth: false, isSilentBack: false};

/** Time between looks at whether a silent direction carries again, in milliseconds. */
const silencePoll = 20;

/** One link to one target. */
export class Link {
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();
	readonly #severed = new WeakSet<Socket>();
	#fault = noFault;

	/** `findTarget` gives the port of the target, which may change. */
	constructor(findTarget: () => number) {
		this.#server = createServer({allowHalfOpen: true}, near => {
			const far = connect({port: findTarget(), host: '127.0.0.1', allowHalfOpen: true});
			this.#join(near, far);
		});
	}

	/** Port to connect to. */
	get port(): number {
		return (this.#server.address() as AddressInfo).port;
	}

	/** `IP:PORT` to connect to. */
	get address(): string {
		return `127.0.0.1:${this.port}`;
	}

	/** Starts to take connections. */
	async open(): Promise<this> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return this;
	}

	/** Puts a fault on all its connections, new ones too. */
	setFault(fault: Partial<LinkFault>): void {
		this.#fault = {...noFault, ...fault};
	}

	/** Takes the fault off. */
	clearFault(): void {
		this.#fault = noFault;
	}

	/** Makes the connections it has silent for good, and neither end hears when the other one gives up; new ones work. */
	sever(): void {
		for (const socket of this.#sockets) {
			this.#severed.add(socket);
		}
	}

	/** Resets all its connections. */
	reset(): void {
		for (const socket of this.#sockets) {
			socket.resetAndDestroy();
		}
	}

	/** Ends it. */
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
				if (socket.errored === null && !this.#severed.has(socket)) {
					other.end();
				}
			});
		}
	}

	/** Order is kept: each piece waits for the one before it. */
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
			// A broken connection is one of the faults; the error listener resets the other side.
		}
	}

	async #hold(from: Socket, isForth: boolean): Promise<void> {
		if (this.#fault.delay > 0) {
			await pause(this.#fault.delay);
		}

		while (isForth ? this.#fault.isSilentForth : this.#fault.isSilentBack) {
			await pause(silencePoll);
		}

		if (this.#severed.has(from)) {
			await new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- for good
		}
	}
}

/** Waits so many milliseconds. */
export async function pause(duration: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
