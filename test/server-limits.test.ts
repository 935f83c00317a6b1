// Backend servers that name a limit on their requests in `Server-Limit`, judged by what arrives there.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, type ServerBehaviour} from './helpers/platform-standins.js';

/** Limit for tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

/** Time from the first answer that names a limit until it has to be kept, in milliseconds. */
const propagationTime = 3000;

/** Length of a window, in milliseconds, how far arrivals may exceed the limit in it, and how many may come besides. */
const windowLength = 4000;
const excess = 1.5;
const slack = 5;

const nodes = 4;

let fleet: GatewayFleet;
/** Limits by server, in requests a second, and the arrivals at each. */
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

async function callRepeatable(node: number, count: number): Promise<number> {
	const {status} = await fleet.call({path: '/again/', body: `body ${count}`}, node);
	return status;
}

/** Sends requests at a rate per second, round robin over the nodes, and returns their statuses. */
async function load(rate: number, duration: number): Promise<number[]> {
	const calls: Array<Promise<number>> = [];
	const start = Date.now();
	while (Date.now() - start < duration) {
		const node = calls.length % fleet.settings.length;
		calls.push(callRepeatable(node, calls.length));
		await pause(Math.max(0, start + (calls.length * 1000 / rate) - Date.now()));
	}

	return Promise.all(calls);
}

/** The highest number of arrivals at a server in any window that begins after a moment. */
function countMaxInWindow(index: number, from: number): number {
	const counted = (arrivals.get(index) ?? []).filter(at => at >= from);
	return Math.max(0, ...counted.map(start => counted.filter(at => at >= start && at < start + windowLength).length));
}

function computeAllowed(limit: number): number {
	return Math.floor((limit * windowLength / 1000 * excess) + slack);
}

test.each([0, 0.5, 1, 10, 50])('the only server, with a limit of %d a second, gets no more than that allows', async limit => {
	await startFleet(1);
	limits.set(0, limit);
	const start = Date.now();
	const statuses = await load(Math.max(8, limit * 4), 9000);
	expect(countMaxInWindow(0, start + propagationTime)).toBeLessThanOrEqual(computeAllowed(limit));
	const used = (arrivals.get(0) ?? []).filter(at => at >= start + propagationTime).length;
	expect(used).toBeGreaterThanOrEqual(Math.floor(limit * 6 * 0.9));
	expect(new Set(statuses.filter(status => status !== 200))).toEqual(new Set([503]));
}, testTimeout);

test('requests beyond the limit of one server go to the others', async () => {
	await startFleet(3);
	limits.set(0, 1);
	const start = Date.now();
	const statuses = await load(40, 9000);
	expect(countMaxInWindow(0, start + propagationTime)).toBeLessThanOrEqual(computeAllowed(1));
	expect(statuses.filter(status => status !== 200)).toEqual([]);
}, testTimeout);

test('a server whose limit is lifted is used in full again within three seconds', async () => {
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

test('a limit is kept while the deciding node stops', async () => {
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
