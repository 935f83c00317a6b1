/** Accepts what waits for a listener before it closes. */
import type {Server} from 'node:net';
import {setImmediate} from 'node:timers/promises';

/** Maximum number of connections that are accepted: callers that keep connecting must not keep the listener open. */
const maxConnections = 1000;

/** Accepts the connections in the backlog of a listener, which the system resets when it closes. Node.js accepts one in each turn of the event loop. */
export async function acceptPending(server: Server): Promise<void> {
	let hasAccepted = true;
	const record = () => {
		hasAccepted = true;
	};

	server.on('connection', record);
	for (let count = 0; hasAccepted && count <= maxConnections; count++) {
		hasAccepted = false;
		await setImmediate();
	}

	server.off('connection', record);
}
