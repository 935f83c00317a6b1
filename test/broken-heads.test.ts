// Answers that their server cuts off at any byte, in the head or after it.
import {connect, type Socket} from 'node:net';
import {
	afterEach, expect, test,
} from '@jest/globals';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createAnswerHeaders, type ReceivedRequest, type ServerBehaviour} from './helpers/platform-standins.js';

const testTimeout = 60_000;

/** Number of requests at a time. */
const concurrency = 12;

/** The framings of an answer: the fields of its head, and its bytes after the head. */
const framings = {
	length: {fields: 'content-length: 24\r\n', body: 'id: 1\ndata: 0123456789ab\n\n'.slice(0, 24)},
	chunks: {fields: 'transfer-encoding: chunked\r\n', body: '10\r\nid: 1\ndata: a12\n\r\n1\r\n\n\r\n0\r\n\r\n'},
	trailers: {fields: 'transfer-encoding: chunked\r\ntrailer: x-end\r\n', body: '11\r\nid: 1\ndata: a12\n\n\r\n0\r\nx-end: 1\r\n\r\n'},
	none: {fields: 'connection: close\r\n', body: 'id: 1\ndata: abc\n\n'},
};
const wholeBodies: Record<Framing, string> = {
	length: framings.length.body, chunks: 'id: 1\ndata: a12\n\n', trailers: 'id: 1\ndata: a12\n\n', none: framings.none.body,
};

type Framing = keyof typeof framings;
type End = 'close' | 'reset';

let fleet: GatewayFleet;

afterEach(async () => {
	await fleet.stop();
});

function formatAnswer(framing: Framing, request: ReceivedRequest): {head: string; body: string} {
	const fields = Object.entries(createAnswerHeaders(request)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
	return {head: `HTTP/1.1 200 OK\r\n${fields}content-type: text/event-stream\r\n${framings[framing].fields}\r\n`, body: framings[framing].body};
}

/** Sends the first bytes of an answer, as the path of the request says: framing, number of bytes, end. */
const cutOff: ServerBehaviour = (request, _response, socket: Socket) => {
	const [framing, length, end] = request.url.split('/')[2].split('-') as [Framing, string, End];
	const {head, body} = formatAnswer(framing, request);
	socket.on('error', () => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	socket.write((head + body).slice(0, Number(length)), () => {
		if (end === 'close') {
			socket.end();
		} else {
			socket.resetAndDestroy();
		}
	});
};

type Received = {script: string; status: number; body: string; isComplete: boolean; text: string};

async function ask(address: string, path: string, script: string): Promise<Received> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	const fields = ['host: shop.example', 'authorization: Bearer secret-key', `cresshook-attempt-id: ${script}`, 'cresshook-deadline-ms: 3000', 'connection: close', 'content-length: 0'];
	socket.write(`POST ${path}${script} HTTP/1.1\r\n${fields.join('\r\n')}\r\n\r\n`);
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
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
	const status = Number(head.split(' ')[1] ?? 0);
	const length = /content-length: (?<length>\d+)/u.exec(head)?.groups?.length;
	if (head.includes('transfer-encoding: chunked')) {
		const body = rest.replaceAll(/[\da-f]+\r\n(?<data>[^\r]*)\r\n/gu, '$<data>');
		return {
			script, status, body, isComplete: rest.endsWith('0\r\n\r\n') && !isReset, text,
		};
	}

	return {
		script, status, body: rest, isComplete: length === undefined ? !isReset : rest.length === Number(length), text,
	};
}

/** Whether a caller may take an answer for complete: the server sent it whole, or without a length up to its orderly end. */
function isHonest({script, body, isComplete, status}: Received, headLength: (framing: Framing) => number, isStream: boolean): boolean {
	const [framing, cut, end] = script.split('-') as [Framing, string, End];
	if (status !== 200 || !isComplete) {
		return true;
	}

	const sentBody = framings[framing].body.slice(0, Math.max(0, Number(cut) - headLength(framing)));
	if (framing === 'none') {
		return end === 'close' && Number(cut) >= headLength(framing) && body === sentBody && (!isStream || body === '' || body.endsWith('\n\n'));
	}

	return body === wholeBodies[framing] && sentBody === framings[framing].body;
}

// A server that stopped in the middle of its head left callers with an empty or short body that looked whole.
test.each([
	['/once/', 1], ['/again/', 1], ['/stream/', 1], ['/once/', 2], ['/stream/', 2],
] as const)('answers at %s that end at any byte are never taken for whole ones, at %i nodes', async (path, nodes) => {
	fleet = new GatewayFleet();
	await fleet.start({nodes, runners: [{service: path === '/stream/' ? 'model' : 'app', behaviour: cutOff}]});
	const routes = createConfig(1).routes as Array<Record<string, unknown>>;
	fleet.store.put('config', 'main', createConfig(2, {routes: routes.map(route => ({...route, resumeStreams: false, maxAttempts: 1}))}));
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.configVersion === 2));
	const headLength = (framing: Framing, script = '') => formatAnswer(framing, {
		method: '', url: '', headers: {'cresshook-attempt-id': script}, body: '',
	}).head.length;
	const scripts = (Object.keys(framings) as Framing[]).flatMap(framing => (['close', 'reset'] as const).flatMap(end =>
		Array.from({length: headLength(framing, `${framing}-000-${end}`) + framings[framing].body.length + 1}, (_, cut) => `${framing}-${String(cut).padStart(3, '0')}-${end}`)));
	const received: Received[] = [];
	const waiting = [...scripts];
	await Promise.all(Array.from({length: concurrency}, async (_, index) => {
		for (let script = waiting.shift(); script !== undefined; script = waiting.shift()) {
			received.push(await ask(fleet.settings[index % nodes].listen.callers, path, script));
		}
	}));
	expect(received.filter(each => !isHonest(each, framing => headLength(framing, each.script), path === '/stream/'))).toEqual([]);
	expect(received.filter(({status}) => status === 0)).toEqual([]);
	expect(received.filter(({status, isComplete}) => status === 200 && isComplete).length).toBeGreaterThan(4);
}, testTimeout);
