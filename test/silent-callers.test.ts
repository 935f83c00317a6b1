import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {
	createTextAnswer, formatEvent, createAnswerHeaders, type ServerBehaviour,
} from './helpers/platform-standins.js';

/** For tests that wait for a time limit to pass, in milliseconds. */
const testTimeout = 30_000;

/** Time limits of the configuration, in milliseconds. */
const streamLimit = 5000;
const idleLimit = 1000;

/** Slack of a limit, in milliseconds: Node.js looks at idle connections now and then, and adds a second. */
const limitSlack = 2500;

/** Events that are more than all buffers between a server and a caller hold. */
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

/** Sends bytes to the node on a connection that reads nothing unless told to. */
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

test('a server works no longer than its route allows for a caller that has fallen silent', async () => {
	await sendBytes(formatHead('/stream/', ['content-length: 0']));
	await waitUntil(() => fleet.runners[1].receivedRequests.length === 1);
	await waitUntil(() => fleet.runners[1].abandonedCount === 1, streamLimit + limitSlack);
}, testTimeout);

test('a caller\'s connection at rest is closed after the time that the configuration states', async () => {
	const socket = await sendBytes(formatHead('/once/', ['content-length: 0']));
	let isEnded = false;
	socket.on('end', () => {
		isEnded = true;
	});
	socket.resume();
	await waitUntil(() => isEnded, idleLimit + limitSlack);
});

test('a caller that is slow with its body is served', async () => {
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

test('a caller that falls silent within its body is let go', async () => {
	const socket = await sendBytes(`${formatHead('/once/', ['content-length: 100'])}half`);
	let isEnded = false;
	socket.on('close', () => {
		isEnded = true;
	});
	socket.resume();
	await waitUntil(() => isEnded, idleLimit + limitSlack);
	expect(fleet.runners[0].receivedRequests).toHaveLength(0);
}, testTimeout);
