/**
 * Measures the CPU time that a burst of moves costs the scheduling node: 20 streams of a failed server each request
 * a new placement and a retry at once, with 20 and with 150 servers that run four streams each.
 *
 * The node is a separate process that runs the gateway bundle with the Node.js flags of the deploy file.
 *
 * Reference (eight cores, other benchmarks running, three runs): 52 to 58 ms of CPU time per burst with 20 servers, 54 to 56 ms with 150;
 * answers p99 52 to 82 ms. A scan of all plans and work in each decision costs 77 to 86 ms per burst with 150 servers.
 */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {quantile} from 'simple-statistics';
import {
	systemClock, type AvailabilityZone, type BackendServerId, type BoxId, type RequestId, type ServiceName,
} from '../src/common/index.js';
import {PeerClients} from '../src/gateway/peers/peer-rpc.js';
import type {PlanRequest} from '../src/planning/index.js';
import {createConfig, findFreePorts} from '../test/helpers/gateways.js';
import {StandinStore} from '../test/helpers/platform-standins.js';
import {BenchProcesses, readProcessorSeconds} from './processes.js';

/** Moves per burst, number of bursts, and the pause after each in milliseconds. */
const movesPerBurst = 20;
const burstCount = 50;
const burstInterval = 100;

/** Servers of a small deployment and of the largest known one, and streams running on each. */
const serverCounts = [20, 150];
const streamsPerServer = 4;

/** Timeout of a call in milliseconds, longer than any answer takes, so that slow answers are measured too. */
const answerTimeout = 2000;

const service = 'model' as ServiceName;
const failedServer = 'i-0' as BackendServerId;

function describeStream(id: string): PlanRequest {
	return {
		requestId: id as RequestId,
		service,
		node: 'edge-9' as BoxId,
		availabilityZone: 'north' as AvailabilityZone,
		promptTokens: 5000,
		outputTokens: 1600,
		waited: 0,
		objective: 300,
		patience: 2000,
		timeLeft: 60_000,
		longestPause: 250,
		longestSilence: 1300,
		route: 'stream',
		callerWaits: 60_000,
		hasBegun: false,
		excluded: [],
	};
}

/** Runs a single scheduling node and sends it requests as its peers would. */
class MovesBench {
	readonly #clients = new PeerClients(systemClock);
	readonly #store = new StandinStore();
	readonly #processes = new BenchProcesses();
	readonly #serverCount: number;
	#address = '';
	#pid = 0;

	constructor(serverCount: number) {
		this.#serverCount = serverCount;
	}

	async run(): Promise<void> {
		try {
			await this.#start();
			await this.#placeStreams();
			await this.#runBursts('warm-up');
			const {times, processorTime} = await this.#runBursts('measured');
			const [p50, p99] = [0.5, 0.99].map(share => quantile(times, share).toFixed(1));
			process.stdout.write(`${this.#serverCount} servers: answers p50 ${p50} ms, p99 ${p99} ms; the deciding node's processor time ${processorTime.toFixed(1)} ms a burst\n`);
		} finally {
			this.#processes.stop();
			await this.#clients.close();
			await this.#store.stop();
		}
	}

	async #start(): Promise<void> {
		await this.#store.start();
		this.#store.put('config', 'main', createConfig(1));
		for (let index = 0; index < this.#serverCount; index++) {
			this.#store.put('servers', `i-${index}`, {
				service, address: `127.0.0.1:${index + 1}`, zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 1,
			});
		}

		const ports = await findFreePorts(6);
		const settings = this.#processes.writeFile('node.toml', describeSettings(ports, this.#store.address));
		const {flags} = /run = "node (?<flags>.*?) target/.exec(readFileSync('deploy/system.toml', 'utf8'))!.groups!;
		const {child, pid} = this.#processes.startProgram([...flags.split(' '), 'target/cresshook.cjs', 'gateway', '--settings', settings]);
		child.stdout!.resume();
		this.#pid = pid;
		this.#address = `127.0.0.1:${ports[3]}`;
	}

	/** Places the running streams, and retries until the node has received its server list. */
	async #placeStreams(): Promise<void> {
		for (let index = 0; index < this.#serverCount * streamsPerServer; index++) {
			while (!await this.#requestPlacement(describeStream(`held-${index}`))) {
				await delay(burstInterval);
			}
		}
	}

	async #runBursts(name: string): Promise<{times: number[]; processorTime: number}> {
		const times: number[] = [];
		const before = readProcessorSeconds(this.#pid);
		for (let burst = 0; burst < burstCount; burst++) {
			times.push(...await Promise.all(Array.from({length: movesPerBurst}, async (_, index) => this.#move(`${name}-${burst}-${index}`))));
			await delay(burstInterval);
		}

		return {times, processorTime: (readProcessorSeconds(this.#pid) - before) * 1000 / burstCount};
	}

	/** Requests a move as a peer would; returns the time until the placement is known, in milliseconds. */
	async #move(id: string): Promise<number> {
		const request = {
			...describeStream(id), waited: 0.1, objective: -1000, patience: 700, timeLeft: 500, hasBegun: true, excluded: [failedServer],
		};
		const askedAt = performance.now();
		await this.#requestPlacement(request);
		const elapsed = performance.now() - askedAt;
		await this.#clients.ask(this.#address, answerTimeout, async (client, signal) => client.grantRetry.mutate({
			requestId: request.requestId, service, node: request.node, promptTokens: request.promptTokens,
		}, {signal}));
		return elapsed;
	}

	/** Requests a placement; returns whether it was granted. */
	async #requestPlacement(request: PlanRequest): Promise<boolean> {
		const answer = await this.#clients.ask(this.#address, answerTimeout, async (client, signal) => client.decide.mutate(request, {signal}));
		return answer?.decision?.kind === 'plan';
	}
}

function describeSettings(ports: number[], storeAddress: string): string {
	return `
box = "edge-0"
region = "r"
availability_zone = "north"
heartbeat_port = ${ports[4]}
metrics_port = ${ports[5]}
seeds = []
first_start = true
address_lifetime_seconds = 1
[listen]
callers = "127.0.0.1:${ports[0]}"
ready = "127.0.0.1:${ports[1]}"
addresses = "127.0.0.1:${ports[2]}"
peers = "127.0.0.1:${ports[3]}"
[store]
address = "${storeAddress}"
[stop]
grace_seconds = 4
[retry]
ratio = 0.2
slack = 100
window_seconds = 10
`;
}

async function delay(time: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

async function main(): Promise<void> {
	for (const serverCount of serverCounts) {
		await new MovesBench(serverCount).run();
	}
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- bundled as CommonJS
