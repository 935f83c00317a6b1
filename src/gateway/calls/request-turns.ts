/** Serves the requests of one connection one after another. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
 * Order of the requests on each connection.
 *
 * Node.js hands over a pipelined request while the answer before it is under way. If that one is the last answer of the
 * connection, nothing can be answered after it, so a request that was passed on would be lost.
 */
export class RequestTurns {
	readonly #lastAnswers = new WeakMap<Socket, Promise<void>>();

	/** Waits until all earlier answers on the connection have been sent; returns false when it has been closed. */
	async wait({socket}: IncomingMessage, response: ServerResponse): Promise<boolean> {
		const earlier = this.#lastAnswers.get(socket);
		this.#lastAnswers.set(socket, new Promise(resolve => {
			response.once('close', resolve);
		}));
		await earlier;
		// After its last answer the connection is still open for a moment, but nothing can be written to it any more.
		return !response.destroyed && socket.writable;
	}
}
