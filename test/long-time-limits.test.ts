// Time limits of a configuration that are longer than any timer.
import {request as sendRequest} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';

const testTimeout = 20_000;

let fleet: GatewayFleet;
let runs: number;

const answer: ServerBehaviour = async (request, response) => {
	runs++;
	if (!request.url.startsWith('/stream/')) {
		await sleep(100);
		response.writeHead(200, {...createAnswerHeaders(request), 'content-length': '2'});
		response.end('ok');
		return;
	}

	response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
	for (let id = 1; id <= 5; id++) {
		await sleep(100);
		response.write(formatEvent(id));
	}

	response.end();
};

beforeEach(async () => {
	fleet = new GatewayFleet();
	runs = 0;
	await fleet.start({runners: ['app', 'app', 'model', 'model'].map(service => ({service, behaviour: answer}))});
}, testTimeout);

afterEach(async () => {
	await fleet.stop();
});

/** Sends a request without a deadline. */
async function call(path: string): Promise<number> {
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	return new Promise(resolve => {
		const request = sendRequest({
			host, port, path, method: 'POST', headers: {host: 'shop.example', authorization: 'Bearer secret-key', 'cresshook-attempt-id': `id-${Math.random()}`},
		}, response => {
			response.resume();
			response.on('close', () => {
				resolve(response.complete ? response.statusCode ?? 0 : 0);
			});
		});
		request.on('error', () => {
			resolve(0);
		});
		request.end();
	});
}

// A timer of more than 24 days fires at once.
test.each([
	[{timeoutMs: 2_147_483_000}], [{timeoutMs: 2_160_000_000}], [{timeoutMs: 1e300}], [{targetLatencyMs: 1e9}], [{gap_aim_ms: 1e9}], [{targetLatencyMs: 1e12, timeoutMs: 1e12}],
])('requests without a deadline are served once on a route with %j', async changes => {
	const config = createConfig(2) as {routes: Array<Record<string, unknown>>};
	fleet.store.put('config', 'main', {...config, routes: config.routes.map(route => ({...route, ...changes}))});
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
	const statuses = [await call('/once/x'), await call('/again/x'), await call('/stream/x')];
	expect([statuses, runs]).toEqual([[200, 200, 200], 3]);
}, testTimeout);
