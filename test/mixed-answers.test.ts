// Bytes behind a request whose answer is under way.
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';

const testTimeout = 20_000;

let fleet: GatewayFleet;

const answer: ServerBehaviour = async (request, response) => {
	response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
	for (let id = 1; id <= 10; id++) {
		response.write(formatEvent(id));
		await sleep(50);
	}

	response.end();
};

beforeEach(async () => {
	fleet = new GatewayFleet();
	await fleet.start({runners: ['model', 'model'].map(service => ({service, behaviour: answer}))});
}, testTimeout);

afterEach(async () => {
	await fleet.stop();
});

// An answer to bytes that are no request was written into the answer under way.
test.each([
	['1.1', 'no request\r\n\r\n'], ['1.0', 'no request\r\n\r\n'], ['1.1', `GET / HTTP/1.1\r\nx: ${'y'.repeat(70_000)}\r\n\r\n`], ['1.0', `GET / HTTP/1.1\r\nx: ${'y'.repeat(70_000)}\r\n\r\n`],
])('an answer to an HTTP/%s request is not mixed with that to what follows it', async (version, next) => {
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const socket = connect(Number(port), host);
	let received = '';
	let isClosed = false;
	let isReset = false;
	socket.on('data', chunk => {
		received += String(chunk);
	});
	socket.on('error', () => {
		isReset = true;
	});
	socket.once('close', () => {
		isClosed = true;
	});
	socket.write(`POST /stream/x HTTP/${version}\r\nhost: shop.example\r\nauthorization: Bearer secret-key\r\ncresshook-attempt-id: id-1\r\nconnection: keep-alive\r\ncontent-length: 0\r\n\r\n`);
	await waitUntil(() => received.includes('piece 2'));
	socket.write(next);
	await waitUntil(() => isClosed || received.endsWith('0\r\n\r\n'));
	socket.destroy();
	const body = received.slice(received.indexOf('\r\n\r\n') + 4);
	expect({body: body.includes('HTTP/1.1') ? body.slice(body.indexOf('HTTP/1.1') - 20) : 'own', isReset: version === '1.0' ? isReset || body.includes('piece 10') : true}).toEqual({body: 'own', isReset: true});
}, testTimeout);
