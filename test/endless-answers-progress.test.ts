// Events without data keep a connection open, and are no progress of an answer.
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {EventParser} from '../src/gateway/calls/event-parser.js';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {
	createAnswerHeaders, formatEvent, streamEvents, type ServerBehaviour,
} from './helpers/platform-standins.js';

const routeTime = 2500;
const closeTime = 500;

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

/** Sends a part of a stream, then the same bytes every few milliseconds; calls back when the connection closes. */
function repeatForever(unit: string, {start = '', onClose = () => {}}: {start?: string; onClose?: () => void} = {}): ServerBehaviour { // eslint-disable-line @typescript-eslint/no-empty-function
	return async (request, response, socket) => {
		socket.once('close', onClose);
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		response.write(start);
		while (!socket.destroyed) {
			response.write(unit);
			await sleep(20);
		}
	};
}

async function startFleet(behaviours: ServerBehaviour[], canResume: boolean): Promise<void> {
	await fleet.start({runners: behaviours.map(behaviour => ({service: 'model', behaviour}))});
	const routes = createConfig(1).routes as Array<Record<string, unknown>>;
	fleet.store.put('config', 'main', createConfig(2, {routes: routes.map(route => ({...route, timeoutMs: routeTime, resumeStreams: canResume}))}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
}

const dataless: Array<[name: string, unit: string]> = [['comments', ': ping\n\n'], ['blank lines', '\n\n'], ['events that have a name only', 'event: ping\n\n'], ['repeated events', formatEvent(1)]];

// Any byte of a server reset the time after which another server is asked.
test.each(dataless)('a server that sends %s after its first event and goes no further is replaced', async (_name, unit) => {
	const flood = repeatForever(unit, {start: formatEvent(1)});
	let asked = 0;
	const behaviour: ServerBehaviour = async (...parts) => asked++ === 0 ? flood(...parts) : streamEvents(4)(...parts);
	await startFleet([behaviour, behaviour], true);
	const {status, body, isComplete} = await fleet.call({path: '/stream/', headers: {'cresshook-token-usage': '500,80'}});
	expect([status, isComplete]).toEqual([200, true]);
	const events = body.split('\n\n').filter(event => event.includes('data: '));
	expect(events).toEqual([1, 2, 3, 4].map(id => formatEvent(id).trim()));
});

test.each(dataless.slice(0, 3))('a server that sends %s in place of its first event is replaced', async (_name, unit) => {
	let asked = 0;
	const behaviour: ServerBehaviour = async (...parts) => asked++ === 0 ? repeatForever(unit)(...parts) : streamEvents(4)(...parts);
	await startFleet([behaviour, behaviour], true);
	const {status, body, isComplete} = await fleet.call({path: '/stream/', headers: {'cresshook-token-usage': '500,80'}});
	expect([status, body, isComplete]).toEqual([200, [1, 2, 3, 4].map(id => formatEvent(id)).join(''), true]);
});

test.each([...dataless, ['events', 'data: a\n\n']])('a stream of %s that can\'t be resumed ends at the time of its route, and so does its connection to the server', async (_name, unit) => {
	let closedAt = Infinity;
	const behaviour = repeatForever(unit, {
		start: formatEvent(1), onClose() {
			closedAt = performance.now();
		},
	});
	await startFleet([behaviour], false);
	const sentAt = performance.now();
	const {isComplete} = await fleet.call({path: '/stream/'});
	const endedAt = performance.now();
	expect(isComplete).toBe(false);
	expect(endedAt - sentAt).toBeGreaterThan(routeTime - 100);
	expect(endedAt - sentAt).toBeLessThan(routeTime + 500);
	await waitUntil(() => closedAt < Infinity);
	expect(closedAt - endedAt).toBeLessThan(closeTime);
});

test('comments are passed on: those before the first event with it, later ones at once', async () => {
	const body = `: early\n\n${formatEvent(1)}: later\n\n${formatEvent(2)}: last\n\n`;
	const behaviour: ServerBehaviour = async (request, response) => {
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		for (const part of body.match(/.*\n(?:.+\n)*\n/gu)!) {
			response.write(part);
			await sleep(20);
		}

		response.end();
	};

	await startFleet([behaviour], true);
	const answer = await fleet.call({path: '/stream/'});
	expect([answer.body, answer.isComplete]).toEqual([body, true]);
});

test('a field named data makes an event, whatever its value and however it is cut', () => {
	const withData = ['data: a\n\n', 'data\n\n', 'data:\r\n\r\n', 'id: 1\nevent: e\ndata:x\n\n'];
	for (const text of [...withData, 'datum: a\n\n', ': data: a\n\n', 'id: 1\n\n', '\n\n']) {
		for (let cut = 0; cut < text.length; cut++) {
			const parser = new EventParser();
			const frames = [...parser.push(Buffer.from(text.slice(0, cut))), ...parser.push(Buffer.from(text.slice(cut)))];
			expect(frames.map(frame => frame.hasData)).toEqual([withData.includes(text)]);
		}
	}
});
