// Backend servers that announce a request limit in `Server-Limit`, checked by the requests that arrive there.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, type ServerBehaviour} from './helpers/platform-standins.js';
import {loadSteadily} from './helpers/steady-load.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

/** Time from the first response with a limit until the limit must be kept, in milliseconds. */
const propagationTime = 3000;

/** Length of a window in milliseconds, the allowed ratio of arrivals to the limit in it, and a number of arrivals allowed on top. */
const windowLength = 4000;
const excess = 1.5;
const slack = 5;

const nodes = 4;

let fleet: GatewayFleet;
/** Limits by server, in requests per second, and arrival times at each. */
let limits: Map<number, number>;
let arrivals: Map<number, number[]>;

beforeEach(() => {
	fleet = new GatewayFleet();
	limits = new Map();
	arrivals = new Map();
});

afterEach(async () => {
	await fleet.stop();
});

function answerLimited(index: number): ServerBehaviour {
	return (request, response) => {
		arrivals.set(index, [...arrivals.get(index) ?? [], Date.now()]);
		const limit = limits.get(index);
		response.writeHead(200, {...createAnswerHeaders(request), 'content-length': '2', ...(limit !== undefined && {'server-limit': String(limit)})});
		response.end('ok');
	};
}

async function startFleet(servers: number): Promise<void> {
	await fleet.start({nodes, runners: Array.from({length: servers}, (_, index) => ({service: 'app', behaviour: answerLimited(index)}))});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes));
}

/** Sends repeatable requests at a rate per second, round-robin over the nodes, and returns their statuses. */
async function load(rate: number, duration: number): Promise<number[]> {
	const responses = await loadSteadily(fleet, {path: '/again/', rate, duration});
	return responses.map(({status}) => status);
}

/** Counts the maximum number of arrivals at a server in any window that starts at or after `from`. */
function countMaxInWindow(index: number, from: number): number {
	const counted = (arrivals.get(index) ?? []).filter(at => at >= from);
	return Math.max(0, ...counted.map(start => counted.filter(at => at >= start && at < start + windowLength).length));
}

function computeAllowed(limit: number): number {
	return Math.floor((limit * windowLength / 1000 * excess) + slack);
}

test.each([0, 0.5, 1, 10, 50])('the only server, with a limit of %d per second, gets no more requests than allowed', async limit => {
	await startFleet(1);
	limits.set(0, limit);
	const start = Date.now();
	const statuses = await load(Math.max(8, limit * 4), 9000);
	expect(countMaxInWindow(0, start + propagationTime)).toBeLessThanOrEqual(computeAllowed(limit));
	const used = (arrivals.get(0) ?? []).filter(at => at >= start + propagationTime).length;
	expect(used).toBeGreaterThanOrEqual(Math.floor(limit * 6 * 0.9));
	expect(new Set(statuses.filter(status => status !== 200))).toEqual(new Set([503]));
}, testTimeout);

test('requests over the limit of one server go to the others', async () => {
	await startFleet(3);
	limits.set(0, 1);
	const start = Date.now();
	const statuses = await load(40, 9000);
	expect(countMaxInWindow(0, start + propagationTime)).toBeLessThanOrEqual(computeAllowed(1));
	expect(statuses.filter(status => status !== 200)).toEqual([]);
}, testTimeout);

test('a server is fully used again within three seconds after its limit is lifted', async () => {
	await startFleet(1);
	limits.set(0, 5);
	await load(20, 5000);
	limits.clear();
	const lifted = Date.now();
	const statuses = await load(20, 6000);
	const used = (arrivals.get(0) ?? []).filter(at => at >= lifted + 3000).length;
	expect(used).toBeGreaterThanOrEqual(55);
	expect(statuses.slice(-40).filter(status => status !== 200)).toEqual([]);
}, testTimeout);

test('a limit is kept while scheduling nodes stop', async () => {
	await startFleet(2);
	limits.set(0, 1);
	limits.set(1, 1);
	const start = Date.now();
	const loaded = load(20, 14_000);
	for (let stopped = 0; stopped < 2; stopped++) {
		await pause(4000);
		const [gateway] = fleet.gateways.splice(0, 1);
		fleet.settings.splice(0, 1);
		await gateway.close();
	}

	await loaded;
	for (const index of [0, 1]) {
		expect(countMaxInWindow(index, start + propagationTime)).toBeLessThanOrEqual(computeAllowed(1));
	}
}, testTimeout);
