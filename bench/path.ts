/**
 * Measures the latency that a node adds: time to first token and total time through cresshook,
 * compared with direct requests to the same stand-in engine. All run as separate processes.
 */
import process from 'node:process';
import {quantile} from 'simple-statistics';
import {request} from 'undici';
import {hashSecret, systemClock, waitFor} from '../src/common/index.js';
import {
	BenchProcesses, readProcessorSeconds, readResidentMebibytes, type StartedProcess,
} from './processes.js';
import {
	formatPercentiles, runLoad, type LoadOptions, type StreamTimes,
} from './load.js';

const key = 'sk-bench';
const engineCount = 4;
const promptBytes = 4000;

/** Time between tokens in milliseconds, a little under the 32 ms of the target. */
const targetTokenInterval = 20;

type NodeProcess = StartedProcess & {callers: string; operators: string};
type Status = {pools: Array<{pool: string}>; controlBytes: number; readyNodes: string[]};

async function main(): Promise<void> {
	const processes = new BenchProcesses();
	try {
		// At the target's token rate no event loop is saturated, so that the difference is the latency added by the node.
		const paced = await startFleet(processes, targetTokenInterval);
		await compareTimes(paced.engineUrl, paced.entry);
		await measureCpuUsage(paced.entry);
		await measureControlBytes(paced.other);
		await measureLongPrompt(paced.entry);
		const fast = await startFleet(processes, 0);
		await measureThroughput(fast.entry);
	} finally {
		processes.stop();
	}
}

async function startFleet(processes: BenchProcesses, tokenInterval: number): Promise<{engineUrl: string; entry: NodeProcess; other: NodeProcess}> {
	const engines = await Promise.all(Array.from({length: engineCount}, async () =>
		processes.startStandin('engine', '--step', '1', '--token-interval', String(tokenInterval), '--capacity', '100000000', '--prefill-rate', '100000000')));
	const objects = [
		{
			kind: 'Service', metadata: {name: 'bollettino-llm'}, spec: {
				partner: 'meteotessera', region: 'sic-east', type: 'engine', defaultBound: 60_000, longestBound: 600_000,
			},
		},
		{kind: 'Organisation', metadata: {name: 'bench'}, spec: {partner: 'meteotessera', keyHashes: [hashSecret(key)], services: ['bollettino-llm']}},
		...engines.map((engine, index) => ({
			kind: 'BackendServer', metadata: {name: `engine-${index}`}, spec: {
				service: 'bollettino-llm', url: engine.url, availabilityZone: 'catania-a', capacity: 100_000_000, prefillRate: 100_000_000,
			},
		})),
	];
	const platform = await processes.startStandin('platform', '--objects', processes.writeFile('objects.json', JSON.stringify(objects)));
	const nodes = [await processes.startNode('box-1', platform.url), await processes.startNode('box-2', platform.url)];
	for (;;) {
		const statuses = await Promise.all(nodes.map(async node => readStatus(node)));
		const entry = statuses.findIndex(status => status.pools.length > 0);
		if (entry !== -1 && statuses.every(status => status.readyNodes.length === 2)) {
			return {engineUrl: engines[0].url, entry: nodes[entry], other: nodes[1 - entry]};
		}

		await waitFor(systemClock, 50);
	}
}

async function readStatus(node: NodeProcess): Promise<Status> {
	const response = await request(`${node.operators}/v1/status`, {headers: {authorization: 'Bearer bench'}});
	return await response.body.json() as Status;
}

function describeLoad(url: string, streams: number, requests: number, tokens: number): LoadOptions {
	return {
		url, key, streams, requests, tokens, promptBytes, rampUp: tokens * targetTokenInterval,
	};
}

/** Alternates direct and proxied runs, so that drift of the machine affects both equally. */
async function compareTimes(engineUrl: string, entry: NodeProcess): Promise<void> {
	print('streams  path      first token ms p50/p95/p99      total ms p50/p95/p99');
	for (const streams of [1, 32, 256]) {
		const requests = Math.max(10, streams * 4);
		await runLoad(describeLoad(entry.callers, streams, streams * 2, 8));
		await runLoad(describeLoad(engineUrl, streams, streams * 2, 8));
		const direct: StreamTimes[] = [];
		const proxied: StreamTimes[] = [];
		for (let round = 0; round < 3; round++) {
			direct.push(...await runLoad(describeLoad(engineUrl, streams, requests, 32)));
			proxied.push(...await runLoad(describeLoad(entry.callers, streams, requests, 32)));
		}

		for (const [name, times] of [['straight', direct], ['through', proxied]] as const) {
			const first = formatPercentiles(times.map(time => time.firstToken));
			const total = formatPercentiles(times.map(time => time.total));
			print(`${String(streams).padStart(7)}  ${name.padEnd(8)}  ${first.padEnd(30)}  ${total}`);
		}

		const added = [0.5, 0.95, 0.99].map(share =>
			(quantile(proxied.map(time => time.firstToken), share) - quantile(direct.map(time => time.firstToken), share)).toFixed(2));
		print(`${String(streams).padStart(7)}  added     ${added.join(' / ')}`);
	}
}

async function measureThroughput(entry: NodeProcess): Promise<void> {
	const start = performance.now();
	const times = await runLoad({...describeLoad(entry.callers, 256, 3000, 16), rampUp: 0});
	const seconds = (performance.now() - start) / 1000;
	const tokens = times.reduce((sum, time) => sum + time.tokens, 0);
	print(`most one node carried at 256 streams: ${(times.length / seconds).toFixed(0)} requests/s, ${(tokens / seconds).toFixed(0)} tokens/s`);
	print(`resident memory of the node after it: ${readResidentMebibytes(entry.pid).toFixed(0)} MiB`);
}

async function measureControlBytes(other: NodeProcess): Promise<void> {
	const requests = 400;
	const idleSeconds = 5;
	const before = await readStatus(other);
	await waitFor(systemClock, idleSeconds * 1000);
	const idle = await readStatus(other);
	const start = performance.now();
	await runLoad(describeLoad(other.callers, 4, requests, 8));
	const after = await readStatus(other);
	const idleRate = (idle.controlBytes - before.controlBytes) / idleSeconds;
	const seconds = (performance.now() - start) / 1000;
	const bytesPerRequest = (after.controlBytes - idle.controlBytes - (idleRate * seconds)) / requests;
	print(`bytes between nodes: ${bytesPerRequest.toFixed(0)} a request, ${idleRate.toFixed(0)} a second at rest with 2 nodes`);
}

/** Sends prompts of a million tokens and measures how long they block the event loop, as the slowest concurrent small call. */
async function measureLongPrompt(entry: NodeProcess): Promise<void> {
	const delays: number[] = [];
	const done = new AbortController();
	const probe = async () => {
		while (!done.signal.aborted) {
			const start = performance.now();
			const response = await request(`${entry.callers}/v1/addresses`);
			await response.body.dump();
			delays.push(performance.now() - start);
		}
	};

	const probing = probe();
	await runLoad({...describeLoad(entry.callers, 1, 5, 4), promptBytes: 4_200_000});
	done.abort();
	await probing;
	print(`prompts of 4.2 MB: another call waited at most ${Math.max(...delays).toFixed(1)} ms`);
}

async function measureCpuUsage(entry: NodeProcess): Promise<void> {
	await runLoad(describeLoad(entry.callers, 25, 50, 50));
	const used = readProcessorSeconds(entry.pid);
	const start = performance.now();
	const times = await runLoad(describeLoad(entry.callers, 25, 75, 250));
	const seconds = (performance.now() - start) / 1000;
	const tokens = times.reduce((sum, time) => sum + time.tokens, 0);
	const share = (readProcessorSeconds(entry.pid) - used) / seconds;
	print(`at ${(tokens / seconds).toFixed(0)} tokens/s and ${(times.length / seconds).toFixed(1)} requests/s: ${(share * 100).toFixed(1)}% of a core, `
		+ `${readResidentMebibytes(entry.pid).toFixed(0)} MiB resident`);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- bundled as CommonJS
