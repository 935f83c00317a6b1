/**
 * A listener that the program's loader opens before the program itself is loaded.
 *
 * Load pattern: all processes are killed and callers come again half a second later, for their second and last
 * try. On a third of a core most of that time goes into loading the program; a port that is open takes their
 * connections meanwhile, one that is closed refuses them.
 */
import type {Server as HttpServer} from 'node:http';
import type {Server, Socket} from 'node:net';

/** What the loader leaves behind: a listening server, and the connections that it has accepted and not read. */
export type EarlyListener = {
	/** `IP:PORT`. */
	address: string;
	server: Server;
	connections: Socket[];
};

/** Under this name of the global object: loader and program share no module. `scripts/gateway-loader.cjs` has the same. */
const globalName = Symbol.for('cresshook.early-listener');

/** Takes the early listener of an address, once; undefined when the loader opened none there. */
export function takeEarlyListener(address: string): EarlyListener | undefined {
	const shared = globalThis as {[globalName]?: EarlyListener};
	const early = shared[globalName];
	if (early?.address !== address) {
		return undefined;
	}

	shared[globalName] = undefined;
	return early;
}

/** Closes an early listener that nobody has taken; returns its address, or undefined when there was none. */
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

/** Lets an HTTP server go on with an early listener: its port, and the connections that came before. */
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
