/**
 * Measures recovery with real processes on loopback and counts failed requests:
 * a dispatcher killed, stopped gracefully and frozen under load, and an entry node killed in mid-stream.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {request} from 'undici';
import {hashSecret, systemClock, waitFor} from '../src/common/index.js';
import {BenchProcesses, type StartedProcess} from './processes.js';

const key = 'sk-bench';
const nodeCount = 3;
const engineCount = 3;

type NodeProcess = StartedProcess & {callers: string; operators: string};
type Status = {pools: Array<{pool: string}>; readyNodes: string[]};
type Tally = {succeeded: number; failed: Array<{at: number; reason: string}>};

async function main(): Promise<void> {
	const processes = new BenchProcesses();
	try {
		const fleet = await startFleet(processes);
		await runScenario('dispatcher killed (SIGKILL)', fleet, async (dispatcher, others) => {
			process.kill(dispatcher.pid, 'SIGKILL');
			return others;
		});
		await runScenario('dispatcher stopped as planned (SIGTERM)', await startFleet(processes), async (dispatcher, others) => {
			process.kill(dispatcher.pid, 'SIGTERM');
			return others;
		});
		await runScenario('dispatcher frozen for 8 s (SIGSTOP)', await startFleet(processes), async (dispatcher, others) => {
			process.kill(dispatcher.pid, 'SIGSTOP');
			setTimeout(() => {
				process.kill(dispatcher.pid, 'SIGCONT');
			}, 8000);
			return others;
		});
		await measureOrphanedRequest(await startFleet(processes));
	} finally {
		processes.stop();
	}
}

type Fleet = {nodes: NodeProcess[]; engines: Array<StartedProcess & {url: string}>};

async function startFleet(processes: BenchProcesses): Promise<Fleet> {
	const engines = await Promise.all(Array.from({length: engineCount}, async () => processes.startStandin('engine', '--step', '10', '--capacity', '1000000')));
	const objects = [
		{
			kind: 'Service', metadata: {name: 'bollettino-llm'}, spec: {
				partner: 'meteotessera', region: 'sic-east', type: 'engine', defaultBound: 20_000, longestBound: 600_000,
			},
		},
		{kind: 'Organisation', metadata: {name: 'bench'}, spec: {partner: 'meteotessera', keyHashes: [hashSecret(key)], services: ['bollettino-llm']}},
		...engines.map((engine, index) => ({
			kind: 'BackendServer', metadata: {name: `engine-${index}`}, spec: {
				service: 'bollettino-llm', url: engine.url, availabilityZone: 'catania-a', capacity: 1_000_000,
			},
		})),
	];
	const platform = await processes.startStandin('platform', '--objects', processes.writeFile('objects.json', JSON.stringify(objects)));
	const nodes: NodeProcess[] = [];
	for (let index = 0; index < nodeCount; index++) {
		nodes.push(await processes.startNode(`box-${index + 1}`, platform.url, 'entry = {address_lifetime_seconds = 2}'));
	}

	while (!await isSettled(nodes)) {
		await waitFor(systemClock, 50);
	}

	return {nodes, engines};
}

async function isSettled(nodes: NodeProcess[]): Promise<boolean> {
	const statuses = await Promise.all(nodes.map(async node => readStatus(node)));
	return statuses.every(status => status.readyNodes.length === nodes.length) && statuses.some(status => status.pools.length > 0);
}

async function readStatus(node: NodeProcess): Promise<Status> {
	const response = await request(`${node.operators}/v1/status`, {headers: {authorization: 'Bearer bench'}});
	return await response.body.json() as Status;
}

async function findDispatcher(nodes: NodeProcess[]): Promise<number> {
	const statuses = await Promise.all(nodes.map(async node => readStatus(node)));
	return statuses.findIndex(status => status.pools.length > 0);
}

/** Sends a short request every 20 ms through the nodes that keep running, injects a failure after a second, and prints the outcomes. */
async function runScenario(name: string, fleet: Fleet, injectFailure: (dispatcher: NodeProcess, others: NodeProcess[]) => Promise<NodeProcess[]>): Promise<void> {
	const dispatcher = await findDispatcher(fleet.nodes);
	const others = fleet.nodes.filter((_, index) => index !== dispatcher);
	const tally: Tally = {succeeded: 0, failed: []};
	const started: Array<{at: number; done: number}> = [];
	const start = performance.now();
	let failedAt = Number.POSITIVE_INFINITY;
	const work: Array<Promise<void>> = [];
	while (performance.now() - start < 10_000) {
		if (failedAt === Number.POSITIVE_INFINITY && performance.now() - start > 1000) {
			failedAt = performance.now();
			await injectFailure(fleet.nodes[dispatcher], others);
		}

		work.push(sendOnce(others[work.length % others.length], tally, started));
		await waitFor(systemClock, 20);
	}

	await Promise.all(work);
	const after = started.filter(entry => entry.at >= failedAt).map(entry => entry.done - failedAt);
	const longestGap = findLongestGap([0, ...after].sort((left, right) => left - right));
	print(`${name}: ${tally.succeeded} whole, ${tally.failed.length} failed${describeFailures(tally)}; longest time without a first token ${longestGap.toFixed(0)} ms`);
}

async function sendOnce(node: NodeProcess, tally: Tally, started: Array<{at: number; done: number}>): Promise<void> {
	const at = performance.now();
	try {
		const response = await request(`${node.callers}/v1/chat/completions`, {
			method: 'POST',
			headers: {authorization: `Bearer ${key}`},
			body: JSON.stringify({
				model: 'bollettino-llm', stream: true, max_tokens: 20, messages: [{role: 'user', content: 'Nowcast for tile 37'}],
			}),
		});
		let text = '';
		for await (const bytes of response.body) {
			if (text === '') {
				started.push({at, done: performance.now()});
			}

			text += String(bytes);
		}

		if (text.endsWith('data: [DONE]\n\n')) {
			tally.succeeded++;
		} else {
			tally.failed.push({at, reason: /"code":"(?<code>\w+)"/.exec(text)?.groups?.code ?? `status ${response.statusCode}`});
		}
	} catch (error) {
		tally.failed.push({at, reason: (error as {code?: string}).code ?? 'cut'});
	}
}

/** Measures how long an engine keeps the memory of a request whose entry node was killed. */
async function measureOrphanedRequest(fleet: Fleet): Promise<void> {
	const dispatcher = await findDispatcher(fleet.nodes);
	const entry = fleet.nodes[(dispatcher + 1) % nodeCount];
	const response = await request(`${entry.callers}/v1/chat/completions`, {
		method: 'POST',
		headers: {authorization: `Bearer ${key}`},
		body: JSON.stringify({
			model: 'bollettino-llm', stream: true, max_tokens: 100_000, messages: [{role: 'user', content: 'Storm review'}],
		}),
	});
	response.body.on('error', () => undefined);
	response.body.resume();
	await waitFor(systemClock, 1000);
	const start = performance.now();
	process.kill(entry.pid, 'SIGKILL');
	while (await countRunning(fleet) > 0) {
		await waitFor(systemClock, 20);
	}

	print(`entry killed in mid-stream: its engine's memory was back after ${(performance.now() - start).toFixed(0)} ms`);
}

async function countRunning(fleet: Fleet): Promise<number> {
	const counts = await Promise.all(fleet.engines.map(async engine => {
		const response = await request(`${engine.url}/v1/requests`);
		const {requests} = await response.body.json() as {requests: unknown[]};
		return requests.length;
	}));
	return counts.reduce((sum, count) => sum + count, 0);
}

function findLongestGap(times: number[]): number {
	return Math.max(...times.slice(1).map((time, index) => time - times[index]));
}

function describeFailures(tally: Tally): string {
	const kinds = new Map<string, number>();
	for (const {reason} of tally.failed) {
		kinds.set(reason, (kinds.get(reason) ?? 0) + 1);
	}

	return kinds.size === 0 ? '' : ` (${[...kinds].map(([kind, count]) => `${kind} ${count}`).join(', ')})`;
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- bundled as CommonJS
