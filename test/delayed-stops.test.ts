import {once} from 'node:events';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';
import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import {expect, jest, test} from '@jest/globals';
import {Supervisor} from '../src/common/index.js';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createTextAnswer} from './helpers/platform-standins.js';

/** Time after the stop at which a node closes idle connections, with its default settings, in milliseconds. */
const acceptTime = 1000;

/** Keeps this process, and so its nodes, from doing anything for a time. */
function block(duration: number): void {
	const end = performance.now() + duration;
	while (performance.now() < end) {
		// Busy.
	}
}

// Requests that had arrived while a node was delayed were cut off when its first turn closed idle connections.
test('a stopping node that was delayed answers requests that arrived meanwhile', async () => {
	const fleet = new GatewayFleet();
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('ok')}]});
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const sockets = Array.from({length: 4}, () => connect(Number(port), host));
	const received = sockets.map(() => '');
	for (const [index, socket] of sockets.entries()) {
		socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		socket.on('data', data => {
			received[index] += String(data);
		});
	}

	const send = () => {
		for (const [index, socket] of sockets.entries()) {
			socket.write(`POST /again/ HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer secret-key\r\ncresshook-attempt-id: c-${index}-${performance.now()}\r\ncresshook-deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n`);
		}
	};

	const countAnswers = () => received.map(text => [...text.matchAll(/HTTP\/1\.1 (?:200|503)/gu)].length);
	send();
	await waitUntil(() => countAnswers().every(count => count === 1));
	const isStopped = fleet.gateways[0].stop();
	await sleep(acceptTime - 100);
	// Timers come before what has arrived in the turn of the event loop after this one.
	await setImmediate();
	send();
	block(300);
	await isStopped;
	for (const socket of sockets) {
		socket.destroy();
	}

	await fleet.stop();
	expect(countAnswers()).toEqual([2, 2, 2, 2]);
}, 20_000);

// Requests that came while the parts of a busy node ended lost their connections with the process.
test('a node that closes ends the connections of callers before its other parts', async () => {
	const fleet = new GatewayFleet();
	let partsEndedAt = Infinity;
	const {run} = Supervisor.prototype;
	const spy = jest.spyOn(Supervisor.prototype, 'run').mockImplementation(async function (this: Supervisor, signal: AbortSignal) {
		await run.call(this, signal);
		await sleep(300);
		partsEndedAt = performance.now();
	});
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('ok')}]});
	spy.mockRestore();
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	await once(socket, 'connect');
	await sleep(50);
	const closing = fleet.gateways[0].close();
	socket.resume();
	await once(socket, 'close');
	const closedAt = performance.now();
	const late = connect(Number(port), host);
	const [error] = await once(late, 'error') as [NodeJS.ErrnoException];
	await closing;
	await fleet.stop();
	expect([closedAt < partsEndedAt, error.code]).toEqual([true, 'ECONNREFUSED']);
}, 20_000);
