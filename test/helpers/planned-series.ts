/** Drawn series of planned work on gateway processes, under clients that keep their connections. */
import {Agent} from 'node:http';
import {
	appendFileSync, copyFileSync, readFileSync, renameSync, rmSync, writeFileSync,
} from 'node:fs';
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import seedrandom from 'seedrandom';
import type {GatewayProcess, GatewayProgram} from './gateway-process.js';
import {createConfig, engineSpec, findFreePorts} from './gateways.js';
import {
	plannedBounds, type Handling, type PlannedCall, type PlannedEnd, type PlannedRecord,
} from './planned-judge.js';
import {StandinServer, StandinStore} from './platform-standins.js';
import {sendTimedCall, TimedRuns} from './timed-calls.js';

/** Size of a series; times in milliseconds. */
export type PlannedSeriesOptions = {
	seed: string;
	nodes: number;
	clients: number;
	time: number;
	grace: number;
	/** Lifetime of address answers, in seconds. */
	addressLifetime: number;
	/** Longest work of a stream, and of a request that may run once; the route's time is longer. */
	longestStream: number;
	longestOnce: number;
	/** Whether the store fails for spans of a few seconds. */
	hasStoreTrouble: boolean;
};

/** Options of a short series. */
export const shortSeries = {
	grace: plannedBounds.grace, addressLifetime: 1, longestStream: 2600, longestOnce: 600, hasStoreTrouble: false,
};

/** Number of versions for which an added route stays. */
const routeLife = 5;

/** Time for which a client waits for an answer, in milliseconds: longer than a route's time and its slack. */
const patience = 18_000;
const routeTime = 15_000;

/** Time limits of the route of which the server never answers, by turns of the version, in milliseconds. */
const silentTimes = [700, 1400];

/** Time that a draining server goes on to serve, in milliseconds. */
const drainTime = 2500;

const eventGap = 50;

/** Interval at which pauses of this process are looked for, and the shortest pause that counts as a disruption of the store, in milliseconds. */
const pauseInterval = 20;
const minPause = 500;

/** Length of a long answer, and the rate at which its caller reads, in bytes and bytes a second: slower than its server, faster than a stop. */
const longAnswer = 5_000_000;
const readRate = 4_000_000;

/** Parts of an upload that arrives slowly, and the time between two, in milliseconds. */
const uploadParts = 8;
const uploadGap = 60;

type Kind = 'stream' | 'once' | 'again' | 'turn' | 'added' | 'keyed' | 'silent' | 'long' | 'upload';

/** How often each kind is drawn. */
const kindWeights: Record<Kind, number> = {
	stream: 25, once: 15, again: 8, turn: 20, added: 25, keyed: 7, silent: 6, long: 3, upload: 5,
};

function createRoutes(version: number): Array<Record<string, unknown>> {
	const common = {
		host: 'shop.example', priority: 1, allowAnonymous: false, targetLatencyMs: 2000, timeoutMs: routeTime, maxAttempts: 1, kind: 'non_idempotent', service: 'app',
	};
	const routes: Array<Record<string, unknown>> = [
		{kind: 'streaming', gap_aim_ms: 1000},
		{pathPrefix: '/once/'},
		{pathPrefix: '/again/', kind: 'idempotent', maxAttempts: 2},
		{pathPrefix: '/turn/', service: `turn-${version % 2}`},
		{pathPrefix: '/keyed/'},
		{pathPrefix: '/silent/', timeoutMs: silentTimes[version % 2]},
		{pathPrefix: '/long/', kind: 'idempotent'},
		{pathPrefix: '/upload/'},
	].map(route => ({...common, pathPrefix: '/stream/', ...route}));
	for (let added = Math.max(2, version - routeLife + 1); added <= version; added++) {
		routes.push({...common, pathPrefix: `/added${added}/`, kind: 'idempotent'});
	}

	return routes.map(route => ({...route, name: String(route.pathPrefix).split('/')[1]}));
}

/** Creates a version: routes are added and removed, a service comes and goes, a key is valid for two versions, a time limit changes. */
function createVersion(version: number): Record<string, unknown> {
	const services = ['app', `turn-${version % 2}`].map(name => ({name, maxConnections: 300}));
	return createConfig(version, {
		routes: createRoutes(version),
		services: version % 3 === 0 ? [...services, {name: 'extra', maxConnections: 9, engine: engineSpec}] : services,
		tenants: [{name: 'guild', apiKeys: ['secret-key', formatKey(version), formatKey(version - 1)]}],
	});
}

function formatKey(version: number): string {
	return `key-${version}`;
}

/** How a version handles a request. */
function handle(version: number, route: string, key: string): Handling {
	const found = createRoutes(version).find(({name}) => name === route);
	if (found === undefined || !['secret-key', formatKey(version), formatKey(version - 1), ''].includes(key)) {
		return 'refused';
	}

	return {service: String(found.service), timeLimit: Number(found.timeoutMs)};
}

/** One process of a node; before it listens, signals still end it. */
type Life = {name: string; index: number; life: number; process: GatewayProcess; isListening: boolean; stoppedAt?: number};

/** One series: nodes, servers, clients and what is done to them. */
export class PlannedSeries {
	readonly record: PlannedRecord = {
		versions: [], signals: [], ends: [], calls: [], pauses: [],
	};

	readonly #options: PlannedSeriesOptions;
	readonly #program: GatewayProgram;
	readonly #store = new StandinStore();
	readonly #servers: StandinServer[] = [];
	readonly #lives: Life[] = [];
	readonly #runs = new TimedRuns();
	#ports: number[] = [];
	#network = '';
	#isOver = false;
	#callCount = 0;
	/** Number of nodes that are being stopped and started. */
	#restarting = 0;
	/** Ends when the settings files are whole again. */
	#rewriting = Promise.resolve();

	constructor(program: GatewayProgram, options: PlannedSeriesOptions) {
		this.#program = program;
		this.#options = options;
	}

	/** Plays the series to its end; returns what was seen. */
	async play(): Promise<PlannedRecord> {
		await this.#start();
		const watching = this.#watchPauses();
		const clients = Array.from({length: this.#options.clients}, async (_, index) => this.#playClient(this.#createRandom(`client ${index}`)));
		const work = [this.#playRestarts(), this.#playReloads(), this.#playVersions(), this.#playDrains(), this.#playStoreTrouble()];
		await sleep(this.#options.time);
		this.#isOver = true;
		await Promise.all([...work, ...clients, watching]);
		for (const call of this.record.calls) {
			Object.assign(call, this.#runs.get(call.id));
		}

		return this.record;
	}

	async stop(): Promise<void> {
		this.#isOver = true;
		await this.#program.killAll();
		await Promise.all([...this.#servers, this.#store].map(async each => each.stop()));
	}

	/** Names what was seen: calls by status, signals, stops. */
	describe(): string {
		const {calls, signals, versions, ends} = this.record;
		const counts = new Map<string, number>();
		for (const {status, isComplete, ranAt} of calls) {
			const trouble = ranAt === undefined ? ' not run' : ' cut';
			const name = `${status}${isComplete ? '' : trouble}`;
			counts.set(name, (counts.get(name) ?? 0) + 1);
		}

		const stops = ends.map(({end, at, stoppedAt}) => `${end}@${Math.round(at - (stoppedAt ?? 0))}`);
		return [
			`seed ${this.#options.seed}: ${calls.length} requests`,
			[...counts].map(([name, count]) => `${name}: ${count}`).join(', '),
			`${signals.length} signals`,
			`${versions.length} versions`,
			`stops ${stops.join(' ')}`,
			`longest pause of the test ${Math.round(Math.max(0, ...this.record.pauses.map(({from, until}) => until - from)))} ms`,
		].join('; ');
	}

	/** Log lines of the nodes on a request, and on their stops. */
	listLogLines(ids: string[]): string[] {
		return this.#lives.flatMap(({name, life, process: {log}}) => log.text.split('\n')
			.filter(line => ids.some(id => line.includes(`"${id}"`)) || /"level":"fatal"|"event":"(?:stopp|closed)/u.test(line))
			.map(line => `${name}/${life} ${line}`));
	}

	#createRandom(part: string): () => number {
		return seedrandom(`${this.#options.seed} ${part}`);
	}

	async #start(): Promise<void> {
		const random = this.#createRandom('hosts');
		this.#network = `127.${65 + Math.floor(random() * 60)}.${process.pid % 256}`;
		await this.#store.start();
		this.#putVersion();
		for (const [index, service] of ['app', 'app', 'app', 'app', 'turn-0', 'turn-0', 'turn-1', 'turn-1'].entries()) {
			const server = await new StandinServer(async (request, response) => {
				await this.#runs.run({server: index, service}, request, response, request.url.startsWith('/long/') ? longAnswer : undefined);
			}).start();
			this.#servers.push(server);
			this.#putServer(index, service, 'ready');
		}

		this.#ports = await findFreePorts(6);
		await Promise.all(Array.from({length: this.#options.nodes}, async (_, index) => {
			const life = await this.#spawn(index);
			await life.process.waitUntilReady();
		}));
	}

	#putVersion(): void {
		const number = this.record.versions.length + 1;
		const sentAt = performance.now();
		this.#store.put('config', 'main', createVersion(number));
		this.record.versions.push({sentAt, acknowledgedAt: performance.now(), handle: (route, key) => handle(number, route, key)});
	}

	#putServer(index: number, service: string, state: 'ready' | 'draining', incarnation = 0): void {
		this.#store.put('servers', `i-${index}-${incarnation}`, {
			service, address: this.#servers[index].address, zone: 'north', version: 'v1', slots: 30, state, coldRemainingMs: 0, sequence: 1,
		});
	}

	async #spawn(index: number): Promise<Life> {
		await this.#rewriting;
		const host = `${this.#network}.${index + 1}`;
		const started = await this.#program.spawn({
			storeAddress: this.#store.address, index, ports: this.#ports, host, seeds: [`${this.#network}.1:${this.#ports[3]}`], grace: this.#options.grace / 1000, addressLifetime: this.#options.addressLifetime,
		});
		const name = `node-${index}`;
		const life: Life = {
			name, index, process: started, isListening: false, life: this.#lives.filter(other => other.name === name).length,
		};
		this.#lives.push(life);
		started.onEnd(() => {
			const end: PlannedEnd = {
				node: name, life: life.life, at: performance.now(), end: started.end!, stoppedAt: life.stoppedAt,
			};
			if (!this.#isOver || this.#restarting > 0) {
				this.record.ends.push(end);
			}
		});
		await started.waitUntilListening();
		life.isListening = true;
		return life;
	}

	#signal(life: Life, name: 'SIGTERM' | 'SIGINT' | 'SIGHUP'): void {
		const at = performance.now();
		if (name !== 'SIGHUP') {
			life.stoppedAt ??= at;
		}

		this.record.signals.push({
			node: life.name, life: life.life, name, at,
		});
		life.process.signal(name);
	}

	/** Records when this process, and with it the store and the servers, stands still. */
	async #watchPauses(): Promise<void> {
		while (!this.#isOver) {
			const from = performance.now();
			await sleep(pauseInterval);
			const until = performance.now();
			if (until - from > pauseInterval + minPause) {
				this.record.pauses.push({from, until});
			}
		}
	}

	/** The newest life of each node. */
	#listCurrent(): Life[] {
		return Array.from({length: this.#options.nodes}, (_, index) => this.#lives.findLast(life => life.index === index)!);
	}

	/** Stops and starts nodes: one, two or all of them at a time. */
	async #playRestarts(): Promise<void> {
		const random = this.#createRandom('restarts');
		while (!this.#isOver) {
			await sleep(random() * 800);
			const width = [1, 1, 1, 2, this.#options.nodes][Math.floor(random() * 5)];
			const first = Math.floor(random() * this.#options.nodes);
			const draws = Array.from({length: width}, (_, lane) => this.#createRandom(`restart ${random()} ${lane}`));
			await Promise.all(draws.map(async (draw, lane) => this.#restart((first + lane) % this.#options.nodes, draw)));
		}
	}

	async #restart(index: number, random: () => number): Promise<void> {
		this.#restarting++;
		await sleep(random() * 400);
		let life = this.#listCurrent()[index];
		await this.#stopLife(life, random);
		life = await this.#spawn(index);
		if (random() < 0.3) {
			await sleep(random() * 400);
			await this.#stopLife(life, random);
			life = await this.#spawn(index);
		}

		await life.process.waitUntilReady();
		this.#restarting--;
	}

	/** Sends SIGTERM or SIGINT, and further signals at any moment of the stop, the last second of the grace period included. */
	async #stopLife(life: Life, random: () => number): Promise<void> {
		const hasInterrupt = random() < 0.2;
		this.#signal(life, hasInterrupt ? 'SIGINT' : 'SIGTERM');
		const isOver = () => life.process.end !== undefined;
		const further = Array.from({length: Math.floor(random() * 4)}, (_, turn) => {
			// A second SIGINT is meant to end a process at once.
			const names = ['SIGTERM', 'SIGHUP', turn === 0 && !hasInterrupt ? 'SIGINT' : 'SIGHUP'] as const;
			return {name: names[Math.floor(random() * names.length)], after: random() * this.#options.grace};
		});
		const timers = further.map(({name, after}) => setTimeout(() => {
			if (!isOver()) {
				this.#signal(life, name);
			}
		}, after));
		const killer = setTimeout(() => {
			life.process.signal('SIGKILL');
		}, this.#options.grace);
		await life.process.waitForEnd(this.#options.grace * 2);
		for (const timer of [...timers, killer]) {
			clearTimeout(timer);
		}
	}

	/** Rewrites settings files and sends SIGHUP, before, during or after that, or not at all. */
	async #playReloads(): Promise<void> {
		const random = this.#createRandom('reloads');
		while (!this.#isOver) {
			await sleep(100 + (random() * 500));
			const life = this.#listCurrent()[Math.floor(random() * this.#options.nodes)];
			if (life.isListening && life.process.end === undefined) {
				this.#rewriting = this.#reload(life, random);
				await this.#rewriting;
			}
		}
	}

	async #reload(life: Life, random: () => number): Promise<void> {
		const {settingsFile: file} = life.process;
		const text = readFileSync(file, 'utf8');
		const changed = text.replace(/slack = \d+/u, `slack = ${80 + Math.floor(random() * 40)}`).replace(/address_lifetime_seconds = [\d.]+/u, `address_lifetime_seconds = ${this.#options.addressLifetime + (random() / 10)}`);
		const [kind, hasSignal] = [random(), random() < 0.8];
		const signal = () => {
			if (hasSignal && life.process.end === undefined) {
				this.#signal(life, 'SIGHUP');
			}
		};

		if (kind < 0.15) {
			appendFileSync(file, '\n');
		} else if (kind < 0.3) {
			writeFileSync(file, changed.slice(0, Math.floor(random() * changed.length)));
		} else if (kind < 0.45) {
			writeFileSync(file, changed.slice(0, Math.floor(random() * changed.length)));
			signal();
			await sleep(random() * 50);
		} else if (kind < 0.55) {
			rmSync(file);
		} else if (kind < 0.7) {
			writeFileSync(file, changed.replace('slack =', 'slack = "many" #'));
		} else {
			writeFileSync(`${file}.new`, changed);
			renameSync(`${file}.new`, file);
		}

		signal();
		await sleep(random() * 300);
		// A start always finds a whole file; a missing one is put back by a copy.
		writeFileSync(`${file}.new`, changed);
		copyFileSync(`${file}.new`, file);
		signal();
	}

	async #playVersions(): Promise<void> {
		const random = this.#createRandom('versions');
		while (!this.#isOver) {
			// At times several within the bound of one, at times one alone for longer.
			await sleep(random() < 0.5 ? 200 + (random() * 400) : 2300 + (random() * 1000));
			this.#putVersion();
		}
	}

	/** The store is silent, busy or slow for a while. */
	async #playStoreTrouble(): Promise<void> {
		const random = this.#createRandom('store');
		while (!this.#isOver && this.#options.hasStoreTrouble) {
			await sleep(2000 + (random() * 4000));
			this.#store.trouble = (['silent', 'busy', 'slow'] as const)[Math.floor(random() * 3)];
			await sleep(500 + (random() * 2500));
			this.#store.trouble = 'none';
		}
	}

	/** A server drains, leaves, and once it has nothing to do another one starts at its address. */
	async #playDrains(): Promise<void> {
		const random = this.#createRandom('drains');
		for (let incarnation = 1; !this.#isOver; incarnation++) {
			await sleep(random() * 1000);
			// One of the first three: the last one of the service stays.
			const index = Math.floor(random() * 3);
			const name = this.#store.listNames('servers').find(each => each.startsWith(`i-${index}-`))!;
			const spec = this.#store.get('servers', name) as Record<string, unknown>;
			this.#store.put('servers', name, {...spec, state: 'draining'});
			await sleep(drainTime);
			this.#store.remove('servers', name);
			while (this.#runs.countRunning(index) > 0) {
				await sleep(eventGap);
			}

			this.#putServer(index, 'app', 'ready', incarnation);
		}
	}

	async #playClient(random: () => number): Promise<void> {
		let life: Life | undefined;
		let agent = new Agent({keepAlive: true, maxSockets: 1});
		while (!this.#isOver) {
			await sleep(random() * 250);
			if (life === undefined || random() < 0.03) {
				agent.destroy();
				agent = new Agent({keepAlive: true, maxSockets: 1});
				life = this.#listCurrent()[Math.floor(random() * this.#options.nodes)];
			}

			if (life.process.end !== undefined) {
				// A new connection to its address is one to its successor.
				life = this.#listCurrent()[life.index];
			}

			const call = await this.#call(life, agent, random);
			if (call !== undefined) {
				this.record.calls.push(call);
			}

			// After a refusal or a closed connection, clients go to another node.
			if (call === undefined || !call.isComplete || call.status === 503) {
				life = undefined;
			}
		}

		agent.destroy();
	}

	/** Sends one request; returns undefined if no connection was made. */
	async #call(life: Life, agent: Agent, random: () => number): Promise<PlannedCall | undefined> {
		const kind = drawKind(random);
		const version = this.record.versions.length;
		const route = kind === 'added' ? `added${Math.max(2, version - Math.floor(random() * (routeLife + 1)))}` : kind;
		const key = kind === 'keyed' ? formatKey(version - Math.floor(random() * 3)) : 'secret-key';
		const id = `c${++this.#callCount}`;
		const time = Math.round(kind === 'stream' ? 100 + (random() * (this.#options.longestStream - 100)) : random() * (kind === 'once' ? this.#options.longestOnce : 600));
		const answer = await sendTimedCall({
			id,
			agent,
			address: life.process.callers,
			path: `/${route}/${time}`,
			key,
			patience,
			...(kind === 'upload' && {parts: uploadParts, partGap: uploadGap}),
			...(kind === 'long' && {readRate}),
		});
		return answer === undefined
			? undefined
			: {
				id, node: life.name, life: life.life, route, key, ...answer,
			};
	}
}

function drawKind(random: () => number): Kind {
	const entries = Object.entries(kindWeights) as Array<[Kind, number]>;
	let left = random() * entries.reduce((sum, [, weight]) => sum + weight, 0);
	return entries.find(([, weight]) => {
		left -= weight;
		return left < 0;
	})![0];
}
