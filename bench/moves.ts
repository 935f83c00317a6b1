/**
 * Measures what a burst of moves costs the node that decides: twenty streams of a server that died ask at once for
 * another place and a try each, before 20 and 150 servers that write four streams each.
 *
 * The node is the gateway's bundle under the flags of the deploy file, a process of its own.
 *
 * On eight cores beside large days of a bench, three runs each: 52 to 58 ms of processor time a burst before 20 servers, and 54 to 56 ms before
 * 150; 77 to 86 ms before 150 while each decision looked through all plans and all work. Answers p99 52 to 82 ms.
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

/** Moves of one burst, bursts, and the time between them in milliseconds. */
const movesAtOnce = 20;
const burstCount = 50;
const burstPause = 100;

/** Servers of a small deployment and of the largest one known, and streams that each writes. */
const serverCounts = [20, 150];
const streamsPerServer = 4;

/** Time for one answer, in milliseconds: longer than any, so that all are seen. */
const answerLimit = 2000;

const service = 'model' as ServiceName;
const silent = 'i-0' as BackendServerId;

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

/** A node that decides alone, and those that ask it. */
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
			await this.#hold();
			await this.#play('warm-up');
			const {times, processorTime} = await this.#play('measured');
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

	/** Places the streams that are written; the node may know no server yet. */
	async #hold(): Promise<void> {
		for (let index = 0; index < this.#serverCount * streamsPerServer; index++) {
			while (!await this.#ask(describeStream(`held-${index}`))) {
				await pause(burstPause);
			}
		}
	}

	async #play(name: string): Promise<{times: number[]; processorTime: number}> {
		const times: number[] = [];
		const before = readProcessorSeconds(this.#pid);
		for (let burst = 0; burst < burstCount; burst++) {
			times.push(...await Promise.all(Array.from({length: movesAtOnce}, async (_, index) => this.#move(`${name}-${burst}-${index}`))));
			await pause(burstPause);
		}

		return {times, processorTime: (readProcessorSeconds(this.#pid) - before) * 1000 / burstCount};
	}

	/** A move as a node asks for it, and the time until its place is known, in milliseconds. */
	async #move(id: string): Promise<number> {
		const request = {
			...describeStream(id), waited: 0.1, objective: -1000, patience: 700, timeLeft: 500, hasBegun: true, excluded: [silent],
		};
		const askedAt = performance.now();
		await this.#ask(request);
		const took = performance.now() - askedAt;
		await this.#clients.ask(this.#address, answerLimit, async (client, signal) => client.grantRetry.mutate({
			requestId: request.requestId, service, node: request.node, promptTokens: request.promptTokens,
		}, {signal}));
		return took;
	}

	/** Whether a place was granted. */
	async #ask(request: PlanRequest): Promise<boolean> {
		const answer = await this.#clients.ask(this.#address, answerLimit, async (client, signal) => client.decide.mutate(request, {signal}));
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

async function pause(time: number): Promise<void> {
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
