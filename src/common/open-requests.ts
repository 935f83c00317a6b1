/** Counts the requests of a listener that are owed an answer. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';

/** Requests whose head has been read and whose answer has not been sent whole. */
export class OpenRequests {
	#count = 0;

	get count(): number {
		return this.#count;
	}

	/** Counts the requests of a server. */
	observe(server: Server): void {
		server.on('request', (_request: IncomingMessage, response: ServerResponse) => {
			this.#count++;
			response.once('close', () => {
				this.#count--;
			});
		});
	}
}
