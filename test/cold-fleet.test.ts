// Nodes and a cold server over sockets, checked by the requests that arrive at the server.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createLogger} from '../src/common/index.js';
import {
	createConfig, GatewayFleet, send, waitUntil,
} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, type ServerBehaviour} from './helpers/platform-standins.js';
import {loadSteadily} from './helpers/steady-load.js';

const nodes = 3;
const coldRate = 17;

let fleet: GatewayFleet;
let arrivals: Array<{server: number; at: number}>;
/** Until when each server is cold, and whether it says so in answers. */
let coldUntil: Map<number, number>;

beforeEach(() => {
	fleet = new GatewayFleet();
	arrivals = [];
	coldUntil = new Map();
});

afterEach(async () => {
	await fleet.stop();
});

function computeColdLeft(server: number): number {
	return Math.max(0, (coldUntil.get(server) ?? 0) - Date.now());
}

/** A server that records arrivals and adds header fields to its answers. */
function createBehaviour(server: number, createHeaders: () => Record<string, string>): ServerBehaviour {
	return (request, response) => {
		arrivals.push({server, at: Date.now()});
		response.writeHead(200, {...createAnswerHeaders(request), 'content-length': '2', ...createHeaders()});
		response.end('ok');
	};
}

async function startFleet(servers: number): Promise<LogCapture> {
	const log = new LogCapture();
	fleet.loggers.push(...Array.from({length: nodes}, () => createLogger('info', log)));
	fleet.extraSettings = '[cold_servers]\noverage = 1.5\nslack = 5\n';
	const runners = Array.from({length: servers}, (_, server) => ({
		service: 'app', behaviour: createBehaviour(server, () => ({'cresshook-cold-remaining-ms': String(computeColdLeft(server))})),
	}));
	await fleet.start({nodes, runners});
	fleet.store.put('config', 'main', createConfig(2, {
		services: [{
			name: 'app', maxConnections: 99, coldStartS: 3, coldPerS: coldRate,
		}],
	}));
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes && gateway.state.configVersion === 2));
	return log;
}

function countBusiestSecond(server: number, from: number, until: number): number {
	const times = arrivals.filter(arrival => arrival.server === server && arrival.at >= from && arrival.at < until).map(({at}) => at);
	return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + 1000).length));
}

test('a server that says in answers that it is cold gets no more than allowed, its rate is used, and nodes log and show it', async () => {
	const log = await startFleet(1);
	await loadSteadily(fleet, {path: '/again/', rate: 25, duration: 2500});
	const start = Date.now();
	coldUntil.set(0, start + 4000);
	const responses = await loadSteadily(fleet, {path: '/again/', rate: 60, duration: 3900});
	expect(countBusiestSecond(0, start, start + 4000)).toBeLessThanOrEqual((coldRate * 1.5) + 5);
	expect(arrivals.filter(({at}) => at >= start + 1000 && at < start + 4000).length).toBeGreaterThanOrEqual(3 * coldRate * 0.8);
	expect(new Set(responses.map(({status}) => status))).toEqual(new Set([200, 503]));
	expect(log.listEvents('server_cold')).toHaveLength(nodes);
	expect(log.listEvents('waits').some(({reason}) => reason === 'cold')).toBe(true);
	const metrics = await Promise.all(fleet.settings.map(async ({listen, metrics_port: port}) => send(`${listen.callers.split(':')[0]}:${port}`, {path: '/metrics', method: 'GET'})));
	expect(metrics.some(({body}) => /cold_limited_total\{service="app",result="rejected"\} [1-9]/u.test(body))).toBe(true);
	await waitUntil(() => log.listEvents('server_warm').length === nodes);
}, 30_000);

test('a server that joins under load counts as cold before it says so, and the warm one is used first', async () => {
	const log = await startFleet(1);
	const loaded = loadSteadily(fleet, {path: '/again/', rate: 40, duration: 4000});
	await waitUntil(() => arrivals.length > 20);
	await fleet.addRunner('app', createBehaviour(1, () => ({})));
	const responses = await loaded;
	expect(responses.filter(({status}) => status !== 200)).toEqual([]);
	expect(log.listEvents('server_cold').map(({origin}) => origin)).toContain('start');
	expect(arrivals.filter(({server}) => server === 1)).toHaveLength(0);
}, 30_000);

// Guards against a new scheduling node that grants the cold rate on top of what the previous one has granted in the same second.
test('a cold server gets no more than allowed while scheduling nodes stop', async () => {
	await startFleet(1);
	coldUntil.set(0, Date.now() + 9000);
	const start = Date.now();
	const loaded = loadSteadily(fleet, {path: '/again/', rate: 60, duration: 7500});
	for (let stopped = 0; stopped < nodes - 1; stopped++) {
		await pause(2500);
		const [gateway] = fleet.gateways.splice(0, 1);
		fleet.settings.splice(0, 1);
		await gateway.close();
	}

	await loaded;
	expect(countBusiestSecond(0, start + 500, start + 8000)).toBeLessThanOrEqual((coldRate * 1.5) + 5);
	expect(arrivals.filter(({at}) => at >= start + 5000).length).toBeGreaterThan(0);
}, 30_000);
