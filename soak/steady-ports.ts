/** Ports that stay free while the process that is to have them is away. */
import {createServer} from 'node:net';

/**
 * Ports below those that the system gives to outgoing connections.
 *
 * A node keeps its ports over its lives; of the others one is taken now and then by any connection of the machine
 * while the node is away, and it cannot start again.
 */
const minPort = 10_000;
const maxPort = 32_000;

/** Ports that this process has given out: whoever is to listen there may not do so yet, and no other one must be given them. */
const assignedPorts = new Set<number>();

/** So many ports of loopback that nobody listens on, each given out once. */
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
