// Uploads to a node of the OpenAI path that stops.
import {connect} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {standinFleet} from '../src/standin/index.js';
import {TestFleet} from './helpers/fleet.js';
import {waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';

const testTimeout = 60_000;

let fleet: TestFleet;

beforeEach(async () => {
	fleet = await new TestFleet({engines: 1, nodes: 2}).startReady();
}, testTimeout);

afterEach(async () => {
	await fleet.stop();
}, testTimeout);

// Its connection was closed in the middle of the upload, without an answer.
test.each([[29_000], [31_000]])('a stopping node of the OpenAI path answers a request whose body arrives until %d ms after the stop began', async closeTime => {
	const url = new URL(fleet.nodes[0].callerUrl);
	const socket = connect(Number(url.port), url.hostname);
	let received = '';
	let isClosed = false;
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	socket.once('close', () => {
		isClosed = true;
	});
	const stopping = fleet.nodes[0].stop();
	await fleet.advanceTime(20_000, 50);
	socket.write(`POST /tessere/alert HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${standinFleet.key}\r\ncontent-length: 22\r\n\r\nfirst half `);
	await pause(300);
	await fleet.advanceTime(closeTime - 20_000, 50);
	socket.write('second half');
	await fleet.advanceTime(1000);
	await waitUntil(() => isClosed || received !== '', 2000);
	socket.destroy();
	await fleet.settle(stopping);
	expect(received).toMatch(/^HTTP\/1\.1 (?:200|503) /u);
}, testTimeout);
