/** The connections of callers: which of them are idle. */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** State of one connection. */
type Connection = {
	openRequests: number;
	hasServed: boolean;
	/** Bytes received when the last answer had been sent. */
	receivedBefore: number;
};

/** Connections of one listener. */
export class CallerConnections {
	readonly #connections = new Map<Socket, Connection>();

	/** Tracks the connections of a server. */
	observe(server: Server): void {
		server.on('connection', socket => {
			this.#connections.set(socket, {openRequests: 0, hasServed: false, receivedBefore: 0});
			socket.once('close', () => {
				this.#connections.delete(socket);
			});
		});
		server.on('request', ({socket}: IncomingMessage, response: ServerResponse) => {
			this.#recordRequest(socket, response);
		});
		// Node.js takes a connection for idle once its answer was ended, though a part of it is still to be sent.
		server.closeIdleConnections = () => {
			this.closeIdle();
		};
	}

	/** Closes the connections that have sent nothing since their last answer. */
	closeIdle(): void {
		for (const [socket, {hasServed, openRequests, receivedBefore}] of this.#connections) {
			if (hasServed && openRequests === 0 && socket.bytesRead === receivedBefore) {
				socket.destroy();
			}
		}
	}

	#recordRequest(socket: Socket, response: ServerResponse): void {
		const connection = this.#connections.get(socket);
		if (connection === undefined) {
			return;
		}

		connection.openRequests++;
		response.once('close', () => {
			connection.openRequests--;
			connection.hasServed = true;
			connection.receivedBefore = socket.bytesRead;
		});
	}
}
