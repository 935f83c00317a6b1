/** Allocates ports that stay free while the process that uses them is down. */
import {createServer} from 'node:net';

/**
 * Range below the ephemeral ports of the system.
 *
 * A node keeps its ports across restarts. An outgoing connection can occupy an ephemeral port while the node is down,
 * and the node then fails to restart.
 */
const minPort = 10_000;
const maxPort = 32_000;

/** Ports already assigned; their processes may not listen yet, so probing alone could assign a port twice. */
const assignedPorts = new Set<number>();

/** Returns `count` free loopback ports; each port is assigned only once. */
export async function findSteadyPorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = minPort + Math.floor(Math.random() * (maxPort - minPort));
		if (assignedPorts.has(port)) {
			continue;
		}

		assignedPorts.add(port);
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
