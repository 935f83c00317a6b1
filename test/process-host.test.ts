import {connect} from 'node:net';
import {expect, test} from '@jest/globals';
import {findFreePorts} from './helpers/gateways.js';
import {computeProcessHost} from './helpers/process-host.js';
import {StandinServer} from './helpers/platform-standins.js';

// Guards against requests of another process: at a shared address a test's servers get ports on which servers of a soak
// listened before, and the nodes of that soak still send there. A test then saw seven requests at its servers where its
// node had sent three; with only 128 free ports and a sender to all of them, 39, of which 36 were foreign.
test('a test server is not reachable at the address of other processes\' servers', async () => {
	const runner = await new StandinServer().start();
	const port = Number(runner.address.split(':')[1]);
	const code = await new Promise(resolve => {
		connect(port, '127.0.0.1', () => {
			resolve('connected');
		}).on('error', error => {
			resolve((error as NodeJS.ErrnoException).code);
		});
	});
	const own = await fetch(`http://${runner.address}/`);
	await runner.stop();
	expect([code, own.status, runner.receivedRequests.length]).toEqual(['ECONNREFUSED', 200, 1]);
});

test('processes have different loopback addresses', () => {
	const hosts = [1, 255, 256, 65_536, (2 ** 22) - 1].map(id => computeProcessHost(id));
	expect(hosts).toEqual(['127.64.0.1', '127.64.0.255', '127.64.1.0', '127.65.0.0', '127.127.255.255']);
});

// Two nodes with the same heartbeat port do not get each other's heartbeats.
test('no port is given out twice', async () => {
	const ports: number[] = [];
	for (let count = 0; count < 300; count++) {
		ports.push(...await findFreePorts(6));
	}

	expect(new Set(ports).size).toBe(ports.length);
});
