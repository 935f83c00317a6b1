import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createTextAnswer, type ReceivedRequest} from './helpers/platform-standins.js';
import {ServerLinks} from './helpers/server-links.js';

const testTimeout = 30_000;

const body = 'half of the body, the other half';

const framings = {
	length: `content-length: ${body.length}\r\n\r\n${body}`,
	chunks: `transfer-encoding: chunked\r\n\r\n5\r\n${body.slice(0, 5)}\r\n${(body.length - 5).toString(16)}\r\n${body.slice(5)}\r\n0\r\n\r\n`,
};

const cases = ['GET', 'HEAD', 'OPTIONS', 'DELETE', 'POST'].flatMap(method => (['length', 'chunks'] as const).map(framing => [method, framing] as const));

let fleet: GatewayFleet;
let links: ServerLinks[];
let callers: Socket[];

beforeEach(() => {
	fleet = new GatewayFleet();
	links = [];
	callers = [];
});

afterEach(async () => {
	for (const caller of callers) {
		caller.destroy();
	}

	await fleet.stop();
	await Promise.all(links.map(async link => link.stop()));
});

/** Sends a request with a body, whatever its method, on a connection of its own; returns the start of the answer. */
async function sendBody(address: string, [method, framing]: (typeof cases)[number], path: string): Promise<string> {
	const [host, port] = address.split(':');
	const socket = connect(Number(port), host);
	callers.push(socket);
	const key = 'Bearer secret-key';
	socket.write(`${method} ${path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: ${key}\r\ncresshook-attempt-id: body-${method}-${framing}\r\ncresshook-deadline-ms: 5000\r\n${framings[framing]}`);
	const [first] = await once(socket, 'data') as [Uint8Array];
	return String(first);
}

/** Requests of the case that servers have received. */
function listReceived([method, framing]: (typeof cases)[number]): Array<Pick<ReceivedRequest, 'method' | 'url' | 'body'>> {
	return fleet.runners.flatMap(({receivedRequests}) => receivedRequests)
		.filter(({headers}) => headers['cresshook-attempt-id'] === `body-${method}-${framing}`)
		.map(request => ({method: request.method, url: request.url, body: request.body}));
}

test.each(cases)('the body of a %s request with %s reaches its server', async (...each) => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	const answer = await sendBody(fleet.settings[0].listen.callers, each, '/again/a?b=c');
	expect(answer).toMatch(/^HTTP\/1.1 200 /u);
	expect(listReceived(each)).toEqual([{method: each[0], url: '/again/a?b=c', body}]);
}, testTimeout);

test('the bodies of all requests reach their servers through another node', async () => {
	links = [new ServerLinks()];
	fleet.dialers.push(links[0]);
	await fleet.start({nodes: 2, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === 2));
	links[0].set('refused');
	for (let call = 0; call < 4; call++) {
		await fleet.call({path: '/again/'});
	}

	for (const each of cases) {
		const answer = await sendBody(fleet.settings[0].listen.callers, each, '/again/a');
		expect([each, answer.slice(0, 12), listReceived(each)]).toEqual([each, 'HTTP/1.1 200', [{method: each[0], url: '/again/a', body}]]);
	}
}, testTimeout);

