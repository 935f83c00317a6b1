// Timers of the system clock, with real sockets.
import {createServer, connect, type AddressInfo} from 'node:net';
import {once} from 'node:events';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {expect, test} from '@jest/globals';
import {createTimeout, systemClock} from '../src/common/index.js';
import {processHost} from './helpers/process-host.js';

/** Occupies the event loop, as a process that gets no processor time does. */
function block(duration: number): void {
	for (const end = performance.now() + duration; performance.now() < end;) {
		// Nothing else runs.
	}
}

// An answer that had arrived while its process stood still was given up as late.
test('what has arrived is read before a time limit that has passed meanwhile', async () => {
	const listener = createServer();
	listener.listen(0, processHost);
	await once(listener, 'listening');
	const client = connect((listener.address() as AddressInfo).port, processHost);
	const [server] = await once(listener, 'connection') as [typeof client];
	const seen: string[] = [];
	client.on('data', () => {
		seen.push('data');
	});
	await waitForTurn();
	const {signal} = createTimeout(systemClock, 20);
	signal.addEventListener('abort', () => {
		seen.push('limit');
	});
	server.write('x');
	block(50);
	await once(signal, 'abort');
	expect(seen).toEqual(['data', 'limit']);
	client.destroy();
	listener.close();
});

test('a timer that is cancelled when it is due does not fire', async () => {
	let hasFired = false;
	const timer = systemClock.setTimer(1, () => {
		hasFired = true;
	});
	setTimeout(() => {
		timer.cancel();
	}, 1);
	block(5);
	await new Promise(resolve => {
		setTimeout(resolve, 20);
	});
	expect(hasFired).toBe(false);
});

// Limits of more than 24 days ended requests at once.
test.each([2_147_483_648, 1e300, Infinity])('a timer of %d ms does not fire at once', async delay => {
	let hasFired = false;
	const timer = systemClock.setTimer(delay, () => {
		hasFired = true;
	});
	await new Promise(resolve => {
		setTimeout(resolve, 30);
	});
	timer.cancel();
	expect(hasFired).toBe(false);
});
