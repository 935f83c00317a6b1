/**
 * A listener that the loader script opens before the program itself is loaded.
 *
 * After all processes are killed, callers retry once, half a second later. On a third of a core loading the program
 * takes most of that time: an open port queues their connections meanwhile, a closed one refuses them.
 */
import type {Server as HttpServer} from 'node:http';
import type {Server, Socket} from 'node:net';

/** A listening server and the connections that it has accepted but not read. */
export type EarlyListener = {
	/** `IP:PORT`. */
	address: string;
	server: Server;
	connections: Socket[];
};

/** Key in the global object, since loader and program share no module; `scripts/gateway-loader.cjs` uses the same. */
const globalName = Symbol.for('cresshook.early-listener');

/** Takes the early listener of an address, once; undefined when the loader opened none. */
export function takeEarlyListener(address: string): EarlyListener | undefined {
	const shared = globalThis as {[globalName]?: EarlyListener};
	const early = shared[globalName];
	if (early?.address !== address) {
		return undefined;
	}

	shared[globalName] = undefined;
	return early;
}

/** Closes an unused early listener and its connections; returns its address, or undefined when there was none. */
export function closeEarlyListener(): string | undefined {
	const shared = globalThis as {[globalName]?: EarlyListener};
	const early = shared[globalName];
	shared[globalName] = undefined;
	early?.server.close();
	for (const connection of early?.connections ?? []) {
		connection.destroy();
	}

	return early?.address;
}

/** Hands an early listener to an HTTP server: its port and the connections accepted so far. */
export async function listenOnEarly(server: HttpServer, early: EarlyListener): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(early.server, () => {
			server.removeListener('error', reject);
			resolve();
		});
	});
	for (const connection of early.connections.splice(0)) {
		server.emit('connection', connection);
		connection.resume();
	}
}
