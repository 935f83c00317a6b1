// Answers with neither a length nor chunks, which end with their connection.
import {connect} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet} from './helpers/gateways.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';

const eventCount = 4;

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

/** Sends a text as the body of an answer without framing, and closes the connection. */
function answerUnframed(createBody: (lastEventId: number) => string, contentType = 'text/event-stream'): ServerBehaviour {
	return (request, _response, socket) => {
		const headers = {...createAnswerHeaders(request), 'content-type': contentType, connection: 'close'};
		const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.end(`HTTP/1.1 200 OK\r\n${head}\r\n${createBody(Number(request.headers['last-event-id'] ?? 0))}`);
	};
}

/** The events after an id up to the last. */
function listEvents(after: number, last = eventCount): string {
	return Array.from({length: last - after}, (_, index) => formatEvent(after + index + 1)).join('');
}

/** Sends a request over a bare connection, and reads until it ends or is reset: the client of Node.js takes a reset for the end of such an answer. */
async function readToClose(path: string): Promise<{body: string; isReset: boolean}> {
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const socket = connect(Number(port), host);
	socket.write(`POST ${path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer secret-key\r\ncresshook-attempt-id: bare\r\ncresshook-deadline-ms: 5000\r\ncontent-length: 0\r\n\r\n`);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
	});
	return new Promise(resolve => {
		const finish = (isReset: boolean) => {
			resolve({body: text.slice(text.indexOf('\r\n\r\n') + 4), isReset});
		};

		socket.once('end', () => {
			finish(false);
		});
		socket.once('error', () => {
			finish(true);
		});
	});
}

const streamCall = {path: '/stream/', headers: {'cresshook-token-usage': '500,80'}};

test('a stream without framing is delivered whole', async () => {
	await fleet.start({runners: [{service: 'model', behaviour: answerUnframed(after => listEvents(after))}]});
	const {status, body, isComplete} = await fleet.call(streamCall);
	expect([status, body, isComplete]).toEqual([200, listEvents(0), true]);
});

test('a stream without framing that ends inside an event is resumed on another server', async () => {
	let runs = 0;
	const behaviour = answerUnframed(after => runs++ === 0 ? `${listEvents(0, 2)}id: 3\ndata: pi` : listEvents(after));
	await fleet.start({runners: [{service: 'model', behaviour}, {service: 'model', behaviour}]});
	const {status, body, isComplete} = await fleet.call(streamCall);
	expect([status, body, isComplete, runs]).toEqual([200, listEvents(0), true, 2]);
});

test('a stream without framing that ends inside an event and can\'t be resumed is not complete', async () => {
	await fleet.start({runners: [{service: 'model', behaviour: answerUnframed(() => `${listEvents(0, 2)}id: 3\ndata: pi`)}]});
	expect(await readToClose('/stream/')).toEqual({body: listEvents(0, 2), isReset: true});
});

test('a plain answer without framing is delivered', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: answerUnframed(() => 'plain', 'text/plain')}]});
	const {status, body} = await fleet.call({path: '/again/', method: 'GET'});
	expect([status, body]).toEqual([200, 'plain']);
});
