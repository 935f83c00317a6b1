import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil} from './helpers/gateways.js';
import {createTextAnswer} from './helpers/platform-standins.js';

/** Budget of the test's fleet: retries allowed beside one in five requests. */
const slack = 20;
const ratio = 0.2;

/** Time for two restarts of nodes, in milliseconds. */
const restartsTimeout = 20_000;

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

/** Starts two nodes and makes calls at both, each of which fails at whatever server it meets. */
async function makeFailingCalls(count: number): Promise<void> {
	const first = fleet.gateways.length;
	await Promise.all([first, first + 1].map(async index => fleet.addGateway({index, retrySlack: slack})));
	const nodes = fleet.gateways.slice(first);
	await waitUntil(() => nodes.every(node => node.isReady && node.listReadyNodes().length === 2));
	await Promise.all(Array.from({length: count}, async (_, index) => fleet.call({path: '/again/', method: 'GET'}, first + (index % 2))));
	await Promise.all(nodes.map(async node => node.close()));
}

// Repeats at a service piled up beyond what is allowed within ten seconds. Each process counted for itself what
// had been spent, and by whom the budget was shared it took from whom it heard: after a start it had spent
// nothing and was alone. On a fleet of which all nodes start again twice within a window, with every call failing,
// the nodes spend the budget's parts anew each time.
test('nodes that start again do not spend the budget of retries once more', async () => {
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
