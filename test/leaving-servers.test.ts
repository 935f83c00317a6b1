// Backend servers that say in their answers that they leave, checked by the requests that arrive there.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import type {ServiceName} from '../src/common/index.js';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';
import {loadSteadily, nodeField} from './helpers/steady-load.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

/** Time after a node has passed on the word of a server until it may send it no more requests, in milliseconds. */
const drainTime = 2000;

const nodeCount = 4;

type Arrival = {at: number; node: string};

let fleet: GatewayFleet;
/** Servers that say in their answers that they leave. */
let leaving: Set<number>;
/** Time until a server answers, in milliseconds. */
let answerTime: number;
/** Arrivals at each server, and when a node first received an answer with the word from it. */
let arrivals: Map<number, Arrival[]>;
let toldAt: Map<string, number>;

beforeEach(() => {
	fleet = new GatewayFleet();
	leaving = new Set();
	answerTime = 0;
	arrivals = new Map();
	toldAt = new Map();
});

afterEach(async () => {
	await fleet.stop();
});

function answer(index: number): ServerBehaviour {
	return async (request, response) => {
		const node = request.headers[nodeField] ?? '';
		const isLeaving = leaving.has(index);
		arrivals.set(index, [...arrivals.get(index) ?? [], {at: Date.now(), node}]);
		if (isLeaving) {
			toldAt.set(`${index} ${node}`, toldAt.get(`${index} ${node}`) ?? Date.now());
		}

		await pause(answerTime);
		const isStream = request.url.startsWith('/stream/');
		const body = isStream ? formatEvent(1) : 'ok';
		response.writeHead(200, {
			...createAnswerHeaders(request),
			...(isStream ? {'content-type': 'text/event-stream'} : {'content-length': String(body.length)}),
			...(isLeaving && {'server-leaving': '1'}),
		});
		response.end(body);
	};
}

async function startFleet(servers: number, service: string): Promise<void> {
	await fleet.start({nodes: nodeCount, runners: Array.from({length: servers}, (_, index) => ({service, behaviour: answer(index)}))});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodeCount));
}

function countArrivals(index: number): number {
	return arrivals.get(index)?.length ?? 0;
}

/** Arrivals at a server later than allowed after its word has reached the node that sent them. */
function listLateArrivals(index: number): Arrival[] {
	return (arrivals.get(index) ?? []).filter(({at, node}) => at > (toldAt.get(`${index} ${node}`) ?? Infinity) + drainTime);
}

/** Arrivals at a server later than allowed after its word has reached any node. */
function listArrivalsAfterFirstWord(index: number): Arrival[] {
	const first = Math.min(...[...toldAt].filter(([key]) => key.startsWith(`${index} `)).map(([, at]) => at));
	return (arrivals.get(index) ?? []).filter(({at}) => at > first + drainTime);
}

/** What is sent to the servers of a service. */
const loads = {
	app: {path: '/again/'},
	model: {path: '/stream/', headers: {'cresshook-token-usage': '2000,50'}},
};

// Guards against a leaving server that stays in use for as long as the store cannot take its entry.
test.each(['app', 'model'] as const)('a leaving server of the service %s gets no new requests while the store is down', async service => {
	await startFleet(3, service);
	await loadSteadily(fleet, {...loads[service], rate: 40, duration: 1000});
	const [busiest] = [0, 1, 2].sort((left, right) => countArrivals(right) - countArrivals(left));
	fleet.store.trouble = 'busy';
	leaving.add(busiest);
	const responses = await loadSteadily(fleet, {...loads[service], rate: 40, duration: 6000});
	expect(toldAt.size).toBeGreaterThan(0);
	expect(listLateArrivals(busiest)).toEqual([]);
	expect(listArrivalsAfterFirstWord(busiest)).toEqual([]);
	expect(responses.filter(({status}) => status !== 200)).toEqual([]);
}, testTimeout);

test('a server that says that it leaves gets no new requests when scheduling nodes stop after its word', async () => {
	await startFleet(3, 'app');
	fleet.store.trouble = 'busy';
	leaving.add(0);
	const loaded = loadSteadily(fleet, {path: '/again/', rate: 40, duration: 8000});
	for (let stopped = 0; stopped < 2; stopped++) {
		await pause(2500);
		const [gateway] = fleet.gateways.splice(0, 1);
		fleet.settings.splice(0, 1);
		await gateway.close();
	}

	await loaded;
	expect(toldAt.size).toBeGreaterThan(0);
	expect(listLateArrivals(0)).toEqual([]);
}, testTimeout);

test('a leaving server whose entry is lost and written again as ready gets no new requests', async () => {
	await startFleet(3, 'app');
	leaving.add(0);
	await loadSteadily(fleet, {path: '/again/', rate: 40, duration: 1000});
	fleet.store.remove('servers', 'i-0');
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.listServers('app' as ServiceName).length === 2));
	fleet.putServer(0, 'app', 'ready');
	answerTime = 100;
	await loadSteadily(fleet, {path: '/again/', rate: 40, duration: 4000});
	expect(listLateArrivals(0)).toEqual([]);
}, testTimeout);

test('a server that has started again after it left gets requests', async () => {
	await startFleet(2, 'app');
	fleet.putServer(0, 'app', 'ready', 1000);
	leaving.add(0);
	await loadSteadily(fleet, {path: '/again/', rate: 40, duration: 3000});
	leaving.delete(0);
	answerTime = 100;
	fleet.putServer(0, 'app', 'ready', 2000);
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.listServers('app' as ServiceName).length === 2));
	const before = countArrivals(0);
	await loadSteadily(fleet, {path: '/again/', rate: 40, duration: 1000});
	expect(countArrivals(0)).toBeGreaterThan(before);
}, testTimeout);

test('requests are refused at once when every server of their service leaves', async () => {
	await startFleet(2, 'app');
	fleet.store.trouble = 'busy';
	leaving.add(0);
	leaving.add(1);
	await loadSteadily(fleet, {path: '/again/', rate: 40, duration: 3000});
	const start = Date.now();
	const {status} = await fleet.call({path: '/again/'});
	expect(status).toBe(503);
	expect(Date.now() - start).toBeLessThan(300);
	expect([...listLateArrivals(0), ...listLateArrivals(1)]).toEqual([]);
}, testTimeout);
