// Planned stops of several nodes, each drawn: its signal's delay, its callers, their connections and their requests.
// By hand: DRAWN_STOPS_SEEDS=1,2,3 DRAWN_STOPS_NODES=12 npm test -- test/drawn-stops
import {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import seedrandom from 'seedrandom';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {waitUntil} from './helpers/gateways.js';
import {PlannedJudge} from './helpers/planned-judge.js';
import {isCut, StoppingFleet} from './helpers/stopping-fleet.js';

const testTimeout = 90_000;
const seeds = (process.env.DRAWN_STOPS_SEEDS ?? '1,2').split(',');
const nodeCount = Number(process.env.DRAWN_STOPS_NODES ?? 6);

/** Grace period, and the longest time for which a process stands still around its signal, in milliseconds. */
const grace = 8000;
const maxPause = 500;

/** Number of callers of a node, and the span around its signal in which they send, in milliseconds. */
const callerCount = 40;
const firstSent = -1000;
const lastSent = 8000;

/** Longest work, in milliseconds. */
const maxWork = 10_000;

/** Share of the requests that may run without an answer: those that were sent before the signal, and a few that nothing foretold. */
const maxCutShare = 0.02;

let program: GatewayProgram;
let fleet: StoppingFleet;

beforeAll(() => {
	program = new GatewayProgram(process.env.DRAWN_STOPS_BUILD);
}, testTimeout);

afterAll(() => {
	program.remove();
});

beforeEach(async () => {
	fleet = await new StoppingFleet(program).start();
}, testTimeout);

afterEach(async () => {
	await fleet.stop();
}, testTimeout);

/** Plays the requests of one caller: some on a connection that was used or opened before. */
async function playCaller(node: GatewayProcess, name: string, stopsAt: number, random: () => number): Promise<void> {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	if (random() < 0.5) {
		await fleet.call(node, {
			id: `${name}-first`, path: `/short/${Math.floor(random() * 50)}`, at: stopsAt + firstSent - 500, agent,
		});
	}

	const route = ['stream', 'once', 'short'][Math.floor(random() * 3)];
	const work = Math.round(random() * (route === 'short' ? 50 : maxWork));
	await fleet.call(node, {
		id: `${name}-late`, path: `/${route}/${work}`, at: stopsAt + firstSent + (random() * (lastSent - firstSent)), agent,
		...(random() < 0.2 && {parts: 4, partGap: random() * 300}),
	});
	agent.destroy();
}

/** Stops a node among its callers; the signal reaches it while it stands still, starts, or runs. */
async function playNode(name: string, random: () => number): Promise<void> {
	const isStarting = random() < 0.25;
	const node = isStarting ? await fleet.spawnNode(grace) : await fleet.startNode(grace);
	await node.waitUntilListening();
	const stopsAt = performance.now() + (isStarting ? random() * 300 : 1600);
	const callers = Array.from({length: callerCount}, async (_, index) => playCaller(node, `${name}-${index}`, stopsAt, random));
	const pause = random() < 0.5 ? random() * maxPause : 0;
	await sleep(Math.max(0, stopsAt - (random() * pause) - performance.now()));
	if (pause > 0) {
		node.signal('SIGSTOP');
		setTimeout(() => {
			node.signal('SIGCONT');
		}, pause);
	}

	await sleep(Math.max(0, stopsAt - performance.now()));
	fleet.signalStop(node, grace);
	await Promise.all(callers);
	await waitUntil(() => node.end !== undefined, grace * 2);
}

test.each(seeds)('stops of nodes with drawn callers lose no request: seed %s', async seed => {
	const ready = await fleet.startNode(grace);
	await Promise.all(Array.from({length: nodeCount}, async (_, index) => playNode(`c${index}`, seedrandom(`${seed} ${index}`))));
	const {calls, signals, ends} = fleet.record;
	const late = calls.filter(({id, node, sentAt}) => id.endsWith('late') && sentAt > signals.find(signal => signal.node === node)!.at);
	console.log(`seed ${seed}: ${calls.length} requests, ${late.length} after a signal, ${late.filter(({status}) => status === 200).length} of them answered, ${late.filter(call => isCut(call)).length} cut`);
	expect(new PlannedJudge(fleet.record, grace).listBreaks()).toEqual([]);
	expect(late.filter(call => isCut(call)).length).toBeLessThanOrEqual(late.length * maxCutShare);
	expect(calls.filter(({status, service}) => status === 503 && service !== undefined)).toEqual([]);
	expect(ends.map(({end}) => end)).toEqual(ends.map(() => 0));
	expect(ready.end).toBeUndefined();
}, testTimeout);
