import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {subscribe, unsubscribe, type ChannelListener} from 'node:diagnostics_channel';
import type {ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createAnswerHeaders, streamEvents, type ServerBehaviour} from './helpers/platform-standins.js';
import {pause} from './helpers/pause.js';

/** Timeout of tests that wait for a time limit or a stop, in milliseconds. */
const testTimeout = 30_000;

/** Size of an answer that a node buffers whole and that its caller's connection does not take at once, in bytes. */
const largeAnswer = 1_000_000;

/** Number of requests whose answers exceed all buffers of a connection. */
const pipelined = 12;

/** Time after which a stopping node has closed its listener and idle connections, in milliseconds. */
const acceptTime = 2000;

const channel = 'http.server.request.start';

let fleet: GatewayFleet;
let callers: Socket[];
let onRequest: ChannelListener | undefined;

const answerLarge: ServerBehaviour = (request, response) => {
	response.writeHead(200, {...createAnswerHeaders(request), 'content-length': String(largeAnswer)});
	response.end(Buffer.alloc(largeAnswer, 'x'));
};

async function openConnection(): Promise<Socket> {
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const socket = connect(Number(port), host);
	callers.push(socket);
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	await once(socket, 'connect');
	socket.pause();
	return socket;
}

function formatHead(path: string, fields: string[] = []): string {
	return [
		`POST ${path} HTTP/1.1`, 'host: shop.example', 'authorization: Bearer secret-key', 'cresshook-attempt-id: id-kept', 'cresshook-deadline-ms: 20000', ...fields, '', '',
	].join('\r\n');
}

/** Records the responses of the node, which runs in this process. */
function observeResponses(): ServerResponse[] {
	const responses: ServerResponse[] = [];
	onRequest = message => {
		const {response, socket} = message as {response: ServerResponse; socket: Socket};
		if (`${socket.localAddress}:${socket.localPort}` === fleet.settings[0].listen.callers) {
			responses.push(response);
		}
	};

	subscribe(channel, onRequest);
	return responses;
}

beforeEach(() => {
	fleet = new GatewayFleet();
	callers = [];
});

afterEach(async () => {
	for (const caller of callers) {
		caller.destroy();
	}

	if (onRequest !== undefined) {
		unsubscribe(channel, onRequest);
	}

	await fleet.stop();
});

// Node.js takes a connection for idle once its answer was ended, though a part of it is still to be sent.
test('a stopping node does not cut off the end of an answer that its caller has not read', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: answerLarge}]});
	const responses = observeResponses();
	const socket = await openConnection();
	socket.write(formatHead('/again/', ['content-length: 0']).repeat(pipelined));
	await waitUntil(() => responses.some(response => response.writableEnded && response.writableLength > 0));
	const answered = responses.filter(response => response.writableEnded).length;
	const stopped = fleet.gateways[0].stop();
	await pause(acceptTime);
	let length = 0;
	socket.on('data', data => {
		length += data.length;
	});
	const closed = once(socket, 'close');
	socket.resume();
	await Promise.all([stopped, closed]);
	expect(length).toBeGreaterThan(answered * largeAnswer);
}, testTimeout);

/** Time limit for a head, in milliseconds, and the time of an answer that takes longer. */
const headLimit = 500;
const longAnswer = 2500;

// The head that was held back behind the answer ended the connection.
test('an answer is sent whole while further requests of its connection wait', async () => {
	await fleet.start({
		runners: [{
			service: 'model',
			async behaviour(...exchange) {
				await pause(longAnswer);
				await streamEvents(2)(...exchange);
			},
		}],
	});
	fleet.store.put('config', 'main', createConfig(2, {
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: headLimit, idleTimeoutMs: headLimit,
		},
	}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
	const socket = await openConnection();
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.resume();
	socket.write(formatHead('/stream/', ['content-length: 0']).repeat(pipelined));
	await waitUntil(() => text.includes('data: piece 2'), longAnswer + 2000);
	expect(text).toMatch(/^HTTP\/1.1 200 /u);
	expect(text).not.toContain(' 408 ');
}, testTimeout);
