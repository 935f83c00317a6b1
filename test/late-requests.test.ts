// Requests that reach a node shortly before and after a planned stop, counted from the signal as the operator sent it.
import {Agent} from 'node:http';
import process from 'node:process';
import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {waitUntil} from './helpers/gateways.js';
import {PlannedJudge} from './helpers/planned-judge.js';
import {isCut, StoppingFleet} from './helpers/stopping-fleet.js';

const testTimeout = 60_000;

/** Grace period of a stop, and work of the late requests, in milliseconds. */
const grace = 8000;
const workTime = 6000;

/** Number of late requests, and when the first and the last of them are sent after the signal, in milliseconds. */
const lateCount = 60;
const firstSent = 2500;
const lastSent = 3700;

/** Longest time until a refused request has its answer, in milliseconds. */
const maxRefusalTime = 300;

/** Time for which a process stands still around its signal, in milliseconds. */
const pauseTime = 400;

let program: GatewayProgram;
let fleet: StoppingFleet;

beforeAll(() => {
	program = new GatewayProgram(process.env.LATE_REQUESTS_BUILD);
}, testTimeout);

afterAll(() => {
	program.remove();
});

beforeEach(async () => {
	fleet = await new StoppingFleet(program).start();
	// Another node is free all the time.
	await fleet.startNode(grace);
}, testTimeout);

afterEach(async () => {
	await fleet.stop();
}, testTimeout);

/** Sends requests in a span after the signal, by default around the time until which a stop may excuse the loss of them, half of them on connections that were used before. */
async function callLate(node: GatewayProcess, path: string, agents: Agent[], {stoppedAt, from = firstSent, to = lastSent}: {stoppedAt: number; from?: number; to?: number}): Promise<void> {
	const gap = (to - from) / lateCount;
	await Promise.all(Array.from({length: lateCount}, async (_, index) => fleet.call(node, {
		id: `late-${index}`, path, at: stoppedAt + from + (index * gap), agent: agents[index] ?? new Agent(),
	})));
}

async function openConnections(node: GatewayProcess): Promise<Agent[]> {
	const agents = Array.from({length: lateCount / 2}, () => new Agent({keepAlive: true, maxSockets: 1}));
	await Promise.all(agents.map(async (agent, index) => fleet.call(node, {
		id: `first-${index}`, path: '/short/10', at: 0, agent,
	})));
	return agents;
}

/** Checks that nothing was lost, and that few requests ran without an answer. */
async function expectNoLoss(node: GatewayProcess): Promise<void> {
	await waitUntil(() => node.end !== undefined, grace * 2);
	expect(new PlannedJudge(fleet.record, grace).listBreaks()).toEqual([]);
	const late = fleet.record.calls.filter(({id}) => id.startsWith('late'));
	expect(late.filter(seen => isCut(seen)).length).toBeLessThanOrEqual(lateCount * 0.02);
	expect(late.filter(({status, service}) => status === 503 && service !== undefined)).toEqual([]);
}

const routes = ['stream', 'once'];

test.each(routes)('a %s request that a stopping node can\'t finish is refused', async route => {
	const node = await fleet.startNode(grace);
	const agents = await openConnections(node);
	await callLate(node, `/${route}/${workTime}`, agents, {stoppedAt: fleet.signalStop(node, grace)});
	await expectNoLoss(node);
	const refused = fleet.record.calls.filter(({status}) => status === 503);
	expect(refused.filter(({sentAt, endedAt}) => endedAt - sentAt > maxRefusalTime)).toEqual([]);
}, testTimeout);

// It was cut off at the end of the grace period, although another node was free all the time.
test.each(routes)('a %s request of unknown length is refused from the signal on', async route => {
	const node = await fleet.startNode(grace);
	const agents = await openConnections(node);
	await callLate(node, `/${route}/${workTime}`, agents, {stoppedAt: fleet.signalStop(node, grace), from: 50, to: 2000});
	await expectNoLoss(node);
	const refused = fleet.record.calls.filter(({id, status}) => id.startsWith('late') && status === 503);
	expect(refused.length).toBe(lateCount);
	expect(refused.filter(({sentAt, endedAt}) => endedAt - sentAt > maxRefusalTime)).toEqual([]);
}, testTimeout);

test('requests that end in time are served by a stopping node', async () => {
	const node = await fleet.startNode(grace);
	const agents = await openConnections(node);
	await callLate(node, '/short/20', agents, {stoppedAt: fleet.signalStop(node, grace), from: 50, to: 1500});
	await expectNoLoss(node);
	expect(fleet.record.calls.filter(({status}) => status !== 200)).toEqual([]);
}, testTimeout);

test.each(routes)('a %s request after a pause of a stopping node is not cut off', async route => {
	const node = await fleet.startNode(grace);
	const agents = await openConnections(node);
	node.signal('SIGSTOP');
	const stoppedAt = fleet.signalStop(node, grace);
	setTimeout(() => {
		node.signal('SIGCONT');
	}, pauseTime);
	await callLate(node, `/${route}/${workTime}`, agents, {stoppedAt});
	await expectNoLoss(node);
}, testTimeout);

test.each(routes)('a %s request to a node that is stopped while it starts is not cut off', async route => {
	const node = await fleet.spawnNode(grace);
	await node.waitUntilListening();
	await callLate(node, `/${route}/${workTime}`, [], {stoppedAt: fleet.signalStop(node, grace)});
	await expectNoLoss(node);
}, testTimeout);
