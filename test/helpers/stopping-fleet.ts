/** Gateway processes that are stopped as planned, and what callers see who reach them around the signal. */
import type {Agent} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import type {GatewayProcess, GatewayProgram} from './gateway-process.js';
import {createConfig, findFreePorts} from './gateways.js';
import type {PlannedCall, PlannedRecord} from './planned-judge.js';
import {StandinServer, StandinStore} from './platform-standins.js';
import {sendTimedCall, TimedRuns, type TimedCall} from './timed-calls.js';

/** Time limit of all routes, in milliseconds. */
export const timeLimit = 15_000;

const serverCount = 4;

/** A request to a node, sent at a time of the monotonic clock. */
export type LateCall = Pick<TimedCall, 'id' | 'path' | 'parts' | 'partGap'> & {at: number; agent: Agent};

/** Nodes before one service. */
export class StoppingFleet {
	readonly record: PlannedRecord = {
		versions: [{sentAt: -Infinity, acknowledgedAt: -Infinity, handle: () => ({service: 'app', timeLimit})}], signals: [], ends: [], calls: [], pauses: [],
	};

	readonly runs = new TimedRuns();
	readonly #program: GatewayProgram;
	readonly #store = new StandinStore();
	readonly #servers: StandinServer[] = [];
	readonly #names = new Map<GatewayProcess, string>();
	#ports: number[] = [];
	#spawned = 0;

	constructor(program: GatewayProgram) {
		this.#program = program;
	}

	async start(): Promise<this> {
		this.#ports = await findFreePorts(6);
		await this.#store.start();
		const common = {
			host: 'shop.example', priority: 1, allowAnonymous: false, targetLatencyMs: 3000, timeoutMs: timeLimit, maxAttempts: 1, service: 'app',
		};
		this.#store.put('config', 'main', createConfig(1, {
			routes: [
				{
					...common, name: 'stream', pathPrefix: '/stream/', kind: 'streaming', gap_aim_ms: 1000,
				},
				{
					...common, name: 'once', pathPrefix: '/once/', kind: 'non_idempotent',
				},
				{
					...common, name: 'short', pathPrefix: '/short/', kind: 'non_idempotent',
				},
			],
			services: [{name: 'app', maxConnections: 300}],
		}));
		for (let index = 0; index < serverCount; index++) {
			const server = await new StandinServer(async (request, response) => this.runs.run({server: index, service: 'app'}, request, response)).start();
			this.#servers.push(server);
			this.#store.put('servers', `i-${index}`, {
				service: 'app', address: server.address, zone: 'north', version: 'v1', slots: 200, state: 'ready', coldRemainingMs: 0, sequence: 1,
			});
		}

		return this;
	}

	async stop(): Promise<void> {
		await this.#program.killAll();
		await Promise.all([...this.#servers, this.#store].map(async each => each.stop()));
	}

	/** Starts a node without waiting for it; the grace period is in milliseconds, the lifetime of address answers in seconds. */
	async spawnNode(grace: number, addressLifetime = 3): Promise<GatewayProcess> {
		const index = this.#spawned++;
		const network = `127.62.${process.pid % 256}`;
		const node = await this.#program.spawn({
			storeAddress: this.#store.address, index, ports: this.#ports, host: `${network}.${index + 1}`, seeds: [`${network}.1:${this.#ports[3]}`], grace: grace / 1000, addressLifetime,
		});
		this.#names.set(node, `node-${index}`);
		return node;
	}

	/** Starts a node and waits until it is ready. */
	async startNode(grace: number, addressLifetime?: number): Promise<GatewayProcess> {
		const node = await this.spawnNode(grace, addressLifetime);
		await node.waitUntilReady();
		return node;
	}

	/** Sends SIGTERM; SIGKILL follows after the grace period. Returns when the signal was sent. */
	signalStop(node: GatewayProcess, grace: number): number {
		const at = performance.now();
		const name = this.#findName(node);
		node.signal('SIGTERM');
		this.record.signals.push({
			node: name, life: 0, name: 'SIGTERM', at,
		});
		const killer = setTimeout(() => {
			node.signal('SIGKILL');
		}, grace);
		node.onEnd(() => {
			clearTimeout(killer);
			this.record.ends.push({
				node: name, life: 0, at: performance.now(), end: node.end!, stoppedAt: at,
			});
		});
		return at;
	}

	/** Sends a request to a node, and records what its caller saw; undefined when no connection was made. */
	async call(node: GatewayProcess, {at, path, id, ...call}: LateCall): Promise<PlannedCall | undefined> {
		await sleep(Math.max(0, at - performance.now()));
		const answer = await sendTimedCall({
			...call, id, path, address: node.callers, key: 'secret-key', patience: timeLimit,
		});
		if (answer === undefined) {
			return undefined;
		}

		const seen: PlannedCall = {
			id, node: this.#findName(node), life: 0, route: path.split('/')[1], key: 'secret-key', ...answer, ...this.runs.get(id),
		};
		this.record.calls.push(seen);
		return seen;
	}

	#findName(node: GatewayProcess): string {
		return this.#names.get(node)!;
	}
}

/** Whether a request ran without an answer for its caller. */
export function isCut({status, isComplete, service}: PlannedCall): boolean {
	return service !== undefined && (status >= 500 || !isComplete);
}
