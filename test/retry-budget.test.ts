import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createTextAnswer} from './helpers/platform-standins.js';

/** Retry budget of the test's fleet: retries allowed on top of one for every five requests. */
const slack = 20;
const ratio = 0.2;

/** Timeout for a test with two restarts of the nodes, in milliseconds. */
const restartsTimeout = 20_000;

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

/** Starts two nodes and makes calls at both, which fail on every server. */
async function makeFailingCalls(count: number): Promise<void> {
	const first = fleet.gateways.length;
	await Promise.all([first, first + 1].map(async index => fleet.addGateway({index, retrySlack: slack})));
	const nodes = fleet.gateways.slice(first);
	await waitUntil(() => nodes.every(node => node.isReady && node.listReadyNodes().length === 2));
	await Promise.all(Array.from({length: count}, async (_, index) => fleet.call({path: '/again/', method: 'GET'}, first + (index % 2))));
	await Promise.all(nodes.map(async node => node.close()));
}

// Guards against restarts that reset the retry budget: when each process only counts its own retries, a fleet whose nodes
// all restart twice within the ten-second window, with every call failing, uses up the budget three times.
test('restarted nodes do not get a new retry budget', async () => {
	const failing = createTextAnswer('broken', 500);
	await fleet.start({nodes: 0, runners: [1, 2].map(() => ({service: 'app', behaviour: failing}))});
	for (let restart = 0; restart < 3; restart++) {
		await makeFailingCalls(40);
	}

	const arrivals = fleet.runners.reduce((sum, runner) => sum + runner.receivedRequests.length, 0);
	const calls = 3 * 40;
	expect(arrivals).toBeGreaterThan(calls);
	expect(arrivals - calls).toBeLessThanOrEqual(slack + (ratio * calls));
}, restartsTimeout);
