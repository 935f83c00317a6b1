// Answers with neither a length nor chunks, which end with their connection.
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayProgram} from './helpers/gateway-process.js';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
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

/** An answer as read from a bare connection: the client of Node.js takes a reset for the end of a body without framing. */
type BareAnswer = {head: string; body: string; isComplete: boolean; isReset: boolean};

/** Sends a request over a bare connection, and reads until the answer or the connection ends. */
async function readBare(path: string, {address = fleet.settings[0].listen.callers, version = '1.1', onData = () => {}} = {}): Promise<BareAnswer> { // eslint-disable-line @typescript-eslint/no-empty-function
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	const fields = ['host: shop.example', 'authorization: Bearer secret-key', 'cresshook-attempt-id: bare', 'cresshook-deadline-ms: 5000', 'connection: close', 'content-length: 0'];
	socket.write(`POST ${path} HTTP/${version}\r\n${fields.join('\r\n')}\r\n\r\n`);
	let text = '';
	socket.on('data', chunk => {
		text += String(chunk);
		onData();
	});
	const isReset = await new Promise<boolean>(resolve => {
		socket.once('end', () => {
			resolve(false);
		});
		socket.once('error', () => {
			resolve(true);
		});
	});
	socket.destroy();
	const headEnd = text.indexOf('\r\n\r\n') + 4;
	const head = text.slice(0, headEnd).toLowerCase();
	const rest = text.slice(headEnd);
	const length = /content-length: (?<length>\d+)/u.exec(head)?.groups?.length;
	if (head.includes('transfer-encoding: chunked')) {
		const body = rest.replaceAll(/[\da-f]+\r\n(?<data>[^\r]*)\r\n/gu, '$<data>');
		return {
			head, body, isComplete: rest.endsWith('0\r\n\r\n'), isReset,
		};
	}

	return {
		head, body: rest, isComplete: length === undefined ? !isReset : rest.length === Number(length), isReset,
	};
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
	expect(await readBare('/stream/')).toMatchObject({body: listEvents(0, 2), isComplete: false});
});

test('a plain answer without framing is delivered', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: answerUnframed(() => 'plain', 'text/plain')}]});
	const {status, body} = await fleet.call({path: '/again/', method: 'GET'});
	expect([status, body]).toEqual([200, 'plain']);
});

test('a plain answer without framing reaches its caller with a length', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: answerUnframed(() => 'plain', 'text/plain')}]});
	expect(await readBare('/once/')).toMatchObject({head: expect.stringContaining('content-length: 5') as unknown, body: 'plain', isComplete: true});
	expect(await readBare('/once/', {version: '1.0'})).toMatchObject({head: expect.stringContaining('content-length: 5') as unknown, isComplete: true});
});

// Node.js reports a reset that it reads together with the last data as an orderly end.
test('an answer without framing that its server resets is never complete', async () => {
	let resets = 0;
	const behaviour: ServerBehaviour = async (request, _response, socket) => {
		const fields = Object.entries(createAnswerHeaders(request)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.write(`HTTP/1.1 200 OK\r\n${fields}connection: close\r\n\r\n${request.url.startsWith('/stream/') ? listEvents(0, 2) : 'half'}`);
		await sleep(Math.random() * 3);
		resets++;
		socket.resetAndDestroy();
	};

	await fleet.start({runners: [{service: 'app', behaviour}, {service: 'model', behaviour}]});
	fleet.store.put('config', 'main', createConfig(2, {routes: (createConfig(1).routes as Array<Record<string, unknown>>).map(route => ({...route, resumeStreams: false, maxAttempts: 1}))}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
	const answers: BareAnswer[] = [];
	for (let round = 0; round < 20; round++) {
		answers.push(...await Promise.all(Array.from({length: 12}, async (_, index) => readBare(index % 2 === 0 ? '/once/' : '/stream/'))));
	}

	expect(resets).toBeGreaterThan(0);
	expect(answers.filter(({head, isComplete}) => head.startsWith('http/1.1 200') && isComplete)).toEqual([]);
}, 30_000);

test('a caller of HTTP/1.0 sees by a reset that an answer without framing is cut off', async () => {
	await fleet.start({runners: [{service: 'model', behaviour: answerUnframed(() => `${listEvents(0, 2)}id: 3\ndata: pi`)}]});
	expect(await readBare('/stream/', {version: '1.0'})).toMatchObject({body: listEvents(0, 2), isReset: true});
});

test('a caller sees that an answer without framing is cut off by the end of its node', async () => {
	const behaviour: ServerBehaviour = async (request, _response, socket) => {
		socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		const fields = Object.entries(createAnswerHeaders(request)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.write(`HTTP/1.1 200 OK\r\n${fields}connection: close\r\n\r\n`);
		for (let id = 1; !socket.destroyed; id++) {
			socket.write(formatEvent(id));
			await sleep(20);
		}
	};

	await fleet.start({runners: [{service: 'model', behaviour}]});
	const program = new GatewayProgram();
	const node = await program.start({storeAddress: fleet.store.address, index: 9});
	let hasBegun = false;
	const answer = readBare('/stream/', {
		address: node.callers, onData() {
			hasBegun = true;
		},
	});
	await waitUntil(() => hasBegun);
	await node.kill();
	program.remove();
	expect(await answer).toMatchObject({head: expect.stringContaining('http/1.1 200') as unknown, isComplete: false});
}, 30_000);
