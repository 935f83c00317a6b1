// Backend servers that turn requests away and ask for rest, checked by the requests that arrive there.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';
import {loadSteadily, nodeField} from './helpers/steady-load.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

/** Time from a server's answer on in which requests that are under way may still arrive, in milliseconds, and how many may arrive later in the time of rest. */
const grace = 500;
const allowedArrivals = 2;

const nodeCount = 4;

/** A request at a server; `rest` in milliseconds is what the answer asked for. */
type Arrival = {at: number; node: string; rest: number};

let fleet: GatewayFleet;
/** Seconds of rest that a server asks for while it turns requests away, and whether it states that they did not run. */
let resting: Map<number, {seconds: string; isDeclining: boolean}>;
let arrivals: Map<number, Arrival[]>;

beforeEach(() => {
	fleet = new GatewayFleet();
	resting = new Map();
	arrivals = new Map();
});

afterEach(async () => {
	await fleet.stop();
});

function answer(index: number): ServerBehaviour {
	return (request, response) => {
		const rest = resting.get(index);
		arrivals.set(index, [...arrivals.get(index) ?? [], {at: Date.now(), node: request.headers[nodeField] ?? '', rest: Number(rest?.seconds ?? 0) * 1000}]);
		if (rest !== undefined) {
			response.writeHead(503, {...createAnswerHeaders(request), 'retry-after': rest.seconds, ...(rest.isDeclining && {'cresshook-not-executed': '1'})});
			response.end();
			return;
		}

		const isStream = request.url.startsWith('/stream/');
		const body = isStream ? formatEvent(1) : 'ok';
		response.writeHead(200, {
			...createAnswerHeaders(request),
			...(isStream ? {'content-type': 'text/event-stream'} : {'content-length': String(body.length)}),
		});
		response.end(body);
	};
}

async function startFleet(servers: number, service = 'app'): Promise<void> {
	await fleet.start({nodes: nodeCount, runners: Array.from({length: servers}, (_, index) => ({service, behaviour: answer(index)}))});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodeCount));
}

function countArrivals(index: number): number {
	return arrivals.get(index)?.length ?? 0;
}

/** Greatest number of requests from the node that was asked for rest, in the time of any rest. */
function countMaxWhileResting(index: number): number {
	const all = arrivals.get(index) ?? [];
	return Math.max(0, ...all.filter(({rest}) => rest > grace).map(({at, node, rest}) => all.filter(other => other.node === node && other.at > at + grace && other.at < at + rest).length));
}

/** What is sent to the servers of a service. */
const loads = {
	app: {path: '/again/'},
	model: {path: '/stream/', headers: {'cresshook-token-usage': '2000,50'}},
};

/** Starts three servers, finds the one that gets the most requests, and has it ask for rest. */
async function restBusiest(service: 'app' | 'model', isDeclining = true): Promise<number> {
	await startFleet(3, service);
	await loadSteadily(fleet, {...loads[service], rate: 40, duration: 1000});
	const [busiest] = [0, 1, 2].sort((left, right) => countArrivals(right) - countArrivals(left));
	resting.set(busiest, {seconds: '3', isDeclining});
	return busiest;
}

// Guards against requests to a server at the rate at which it turns them away, whatever rest it asks for.
test.each([['app', true], ['app', false], ['model', true]] as const)('a server of the service %s that asks for rest gets it, when it states that nothing ran: %s', async (service, isDeclining) => {
	const server = await restBusiest(service, isDeclining);
	const before = countArrivals(server);
	const responses = await loadSteadily(fleet, {...loads[service], rate: 40, duration: 7000});
	expect(countArrivals(server)).toBeGreaterThan(before);
	expect(countMaxWhileResting(server)).toBeLessThanOrEqual(allowedArrivals);
	expect(responses.filter(({status}) => status !== 200)).toEqual([]);
}, testTimeout);

test('a server gets the rest that it asked for when scheduling nodes stop', async () => {
	const server = await restBusiest('app');
	const loaded = loadSteadily(fleet, {...loads.app, rate: 40, duration: 7000});
	for (let stopped = 0; stopped < 2; stopped++) {
		await pause(2000);
		const [gateway] = fleet.gateways.splice(0, 1);
		fleet.settings.splice(0, 1);
		await gateway.close();
	}

	await loaded;
	expect(countMaxWhileResting(server)).toBeLessThanOrEqual(allowedArrivals);
}, testTimeout);

test('requests are refused at once, with the time at which there is a server, when the rest of the only one outlasts them', async () => {
	await startFleet(1);
	resting.set(0, {seconds: '4', isDeclining: true});
	await fleet.call({path: '/again/', headers: {[nodeField]: 'edge-0'}});
	const start = Date.now();
	const {status, headers} = await fleet.call({path: '/again/', headers: {[nodeField]: 'edge-0'}});
	expect(status).toBe(503);
	expect(Date.now() - start).toBeLessThan(300);
	expect(Number(headers['retry-after'])).toBeGreaterThan(3);
	expect(Number(headers['retry-after'])).toBeLessThanOrEqual(4);
	expect(countMaxWhileResting(0)).toBe(0);
}, testTimeout);

test('requests wait for the end of a short rest of the only server', async () => {
	await startFleet(1);
	resting.set(0, {seconds: '0.6', isDeclining: true});
	await fleet.call({path: '/again/'});
	resting.clear();
	const {status} = await fleet.call({path: '/again/'});
	expect(status).toBe(200);
	const [asked, served] = arrivals.get(0) ?? [];
	expect(served.at - asked.at).toBeGreaterThanOrEqual(600);
}, testTimeout);

test('a server gets requests again after its rest', async () => {
	await startFleet(1);
	resting.set(0, {seconds: '2', isDeclining: true});
	await fleet.call({path: '/again/'});
	resting.clear();
	await pause(2000);
	const responses = await loadSteadily(fleet, {...loads.app, rate: 40, duration: 1000});
	expect(responses.filter(({status}) => status !== 200)).toEqual([]);
}, testTimeout);
