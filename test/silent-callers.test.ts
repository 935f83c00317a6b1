import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {
	createTextAnswer, formatEvent, createAnswerHeaders, type ServerBehaviour,
} from './helpers/platform-standins.js';

/** Timeout of tests that wait for a time limit to pass, in milliseconds. */
const testTimeout = 30_000;

/** Time limits of the configuration, in milliseconds. */
const streamLimit = 5000;
const idleLimit = 1000;

/** Tolerance of a limit, in milliseconds: Node.js checks idle connections at intervals and adds a second. */
const limitSlack = 2500;

/** Number of events that exceeds all buffers between a server and a caller. */
const manyEvents = 400_000;

const streamEndlessly: ServerBehaviour = async (request, response) => {
	response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
	for (let id = 1; id <= manyEvents && !response.destroyed; id++) {
		if (!response.write(`${formatEvent(id)}: ${'x'.repeat(500)}\n\n`)) {
			await Promise.race([once(response, 'drain'), once(response, 'close')]);
		}
	}
};

let fleet: GatewayFleet;
let callers: Socket[];

/** Sends bytes to the node on a paused connection, which reads nothing until it is resumed. */
async function sendBytes(text: string): Promise<Socket> {
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const socket = connect(Number(port), host);
	callers.push(socket);
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	await once(socket, 'connect');
	socket.pause();
	socket.write(text);
	return socket;
}

function formatHead(path: string, fields: string[] = []): string {
	return [
		`POST ${path} HTTP/1.1`,
		'host: shop.example',
		'authorization: Bearer secret-key',
		'cresshook-attempt-id: id-raw',
		'cresshook-deadline-ms: 60000',
		'cresshook-model: m',
		'cresshook-token-usage: 1460,80',
		'cresshook-prompt-prefix: 5c1e:1460',
		...fields,
		'',
		'',
	].join('\r\n');
}

beforeEach(async () => {
	fleet = new GatewayFleet();
	callers = [];
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}, {service: 'model', behaviour: streamEndlessly}]});
	const limits = {
		maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 1000, idleTimeoutMs: idleLimit,
	};
	fleet.store.put('config', 'main', createConfig(2, {limits}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
});

afterEach(async () => {
	for (const caller of callers) {
		caller.destroy();
	}

	await fleet.stop();
});

test('a request of a caller that has stopped reading ends at the time limit of its route', async () => {
	await sendBytes(formatHead('/stream/', ['content-length: 0']));
	await waitUntil(() => fleet.runners[1].receivedRequests.length === 1);
	await waitUntil(() => fleet.runners[1].abandonedCount === 1, streamLimit + limitSlack);
}, testTimeout);

test('an idle connection of a caller is closed after the configured timeout', async () => {
	const socket = await sendBytes(formatHead('/once/', ['content-length: 0']));
	let isEnded = false;
	socket.on('end', () => {
		isEnded = true;
	});
	socket.resume();
	await waitUntil(() => isEnded, idleLimit + limitSlack);
});

test('a caller that sends its body slowly is served', async () => {
	const socket = await sendBytes(formatHead('/once/', ['content-length: 8']));
	let text = '';
	socket.on('data', data => {
		text += String(data);
	});
	socket.resume();
	for (const part of ['ha', 'lf', 'ha', 'lf']) {
		await new Promise(resolve => {
			setTimeout(resolve, idleLimit * 0.6);
		});
		socket.write(part);
	}

	await waitUntil(() => text.includes('yes'));
	expect(fleet.runners[0].receivedRequests[0].body).toBe('halfhalf');
}, testTimeout);

test('the connection of a caller that falls silent within its body is closed', async () => {
	const socket = await sendBytes(`${formatHead('/once/', ['content-length: 100'])}half`);
	let isEnded = false;
	socket.on('close', () => {
		isEnded = true;
	});
	socket.resume();
	await waitUntil(() => isEnded, idleLimit + limitSlack);
	expect(fleet.runners[0].receivedRequests).toHaveLength(0);
}, testTimeout);
