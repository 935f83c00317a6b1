/**
 * Measures the CPU time of one node of a fleet of 82, by what happens in the fleet: its start, silence, changes of
 * servers, changes of a configuration of 2,000 routes, and other nodes that start.
 *
 * The node is a separate process that runs the gateway bundle with the Node.js flags of the deploy file. This process
 * plays its 81 peers: it sends the heartbeats, answers the questions and asks those that they would.
 * `docs/design/processor-time.md` has reference figures. `CPU_PROFILE=FOLDER` in the environment writes a profile.
 */
import {createSocket} from 'node:dgram';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import type {FastifyInstance} from 'fastify';
import {
	createSilentLogger, systemClock, type AvailabilityZone, type BackendServerId, type BackendServerName, type BoxId, type PlanId, type RequestId, type ServiceName,
} from '../src/common/index.js';
import {computeDigest} from '../src/gateway/digest.js';
import {encodePlanUpdate} from '../src/gateway/peers/plan-update.js';
import {
	decodeHeartbeat, encodeHeartbeat, type GossipEntry, type Heartbeat, type PeerInfo,
} from '../src/gateway/peers/heartbeat.js';
import {PeerClients, PeerService} from '../src/gateway/peers/peer-rpc.js';
import {openPeersServer} from '../src/gateway/servers.js';
import {ViewResponder} from '../src/gateway/views/index.js';
import {FleetState, type BackendServer} from '../src/routing/index.js';
import {decodeConfig} from '../platform/decode-config.js';
import {createConfig, findFreePorts} from '../test/helpers/gateways.js';
import {StandinStore} from '../test/helpers/platform-standins.js';
import {processHost} from '../test/helpers/process-host.js';
import {BenchProcesses, readProcessorSeconds} from './processes.js';

/** The program of a node; `BENCH_PROGRAM` in the environment names that of another build, to compare with. */
const program = process.env.BENCH_PROGRAM ?? 'target/cresshook.cjs';

const peerCount = 81;
const serverCount = 70;
const initialRoutes = 126;
const allRoutes = 2050;

/** Heartbeats that each node receives: three targets per interval of 250 ms, six when the sender has a change to tell. */
const heartbeatsPerSecond = 12;
const heartbeatsPerChange = 6;

/** Requests per second of the fleet, and plans that run at a time. */
const requestsPerSecond = 65;
const runningPlans = 130;

const service = 'model' as ServiceName;
const answerTimeout = 2000;

function describePeer(index: number, port: number, cores: number, peersPort: number): PeerInfo {
	return {
		name: `box-${index}` as BoxId,
		life: `l${String(index).padStart(5, '0')}`,
		availabilityZone: ['north', 'south', 'west'][index % 3] as AvailabilityZone,
		callerAddress: `${processHost}:1`,
		peerAddress: `${processHost}:${peersPort}`,
		beatAddress: `${processHost}:${port}`,
		cores,
	};
}

function describeServer(index: number, revision: number, isLeaving = false): BackendServer {
	return {
		id: `i-${index}@${17_000_000}` as BackendServerId,
		name: `i-${index}` as BackendServerName,
		entryRevision: revision,
		service,
		address: `10.0.0.${index}:8000`,
		availabilityZone: 'north' as AvailabilityZone,
		slots: 8,
		isLeaving,
	};
}

function describeConfig(version: number, routes: number): Record<string, unknown> {
	const config = createConfig(version);
	const [first] = config.routes as Array<Record<string, unknown>>;
	return {
		...config,
		routes: Array.from({length: routes}, (_, index) => ({
			...first, name: `route-${index}`, host: `host-${index % 40}.example`, pathPrefix: `/part-${index}/`, targetLatencyMs: 300 + (index === version ? version : 0),
		})),
	};
}

/** The 81 other nodes, as one node sees them. */
class PlayedPeers extends PeerService {
	readonly state = new FleetState(systemClock, createSilentLogger());
	/** Number of heartbeats that the node has sent. */
	received = 0;
	readonly #responder = new ViewResponder(this.state);
	readonly #socket = createSocket('udp4');
	readonly #peers: PeerInfo[];
	readonly #host: string;
	readonly #port: number;
	#server: FastifyInstance | undefined;

	constructor(ports: {own: number; ownPeers: number; node: number}, cores: number) {
		super();
		this.#host = processHost;
		this.#port = ports.node;
		this.#peers = Array.from({length: peerCount}, (_, index) => describePeer(index, ports.own, cores, ports.ownPeers));
		this.#socket.on('message', message => {
			if (message[0] === 0x7B) {
				this.received++;
				this.#answer(decodeHeartbeat(message));
			}
		});
	}

	async start(): Promise<void> {
		const [{beatAddress, peerAddress}] = this.#peers;
		this.#server = await openPeersServer(peerAddress, this);
		await new Promise<void>(resolve => {
			this.#socket.bind(Number(beatAddress.split(':')[1]), this.#host, resolve);
		});
	}

	async stop(): Promise<void> {
		this.#socket.close();
		this.#server?.server.closeAllConnections();
		await this.#server?.close();
	}

	/** Sends heartbeats for a time, evenly. */
	async beat(time: number, perSecond: number): Promise<void> {
		const until = performance.now() + time;
		const started = performance.now();
		let sent = 0;
		while (performance.now() < until) {
			const due = Math.floor((performance.now() - started) * perSecond / 1000);
			for (; sent < due; sent++) {
				this.#sendHeartbeat(sent);
			}

			await delay(5);
		}
	}

	sendPlanUpdate(notes: string[], active?: string[], node = 0): void {
		this.#send(encodePlanUpdate({
			service, node: this.#peers[node].name, notes: notes.map(planId => ({planId: planId as PlanId, kind: 'started'})), active: active as PlanId[] | undefined,
		}));
	}

	override decide(): never {
		throw new Error('the peers decide nothing');
	}

	override grantRetry(): boolean {
		return false;
	}

	override adopt(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	override takeServers(known: {revision: number}) {
		return this.#responder.takeServers(known);
	}

	override takeConfig(known: {version: number}) {
		return this.#responder.takeConfig(known);
	}

	#answer({wanted}: Heartbeat): void {
		for (let start = 0; start < wanted.length; start += 12) {
			const described = this.#peers.filter(({life}) => wanted.slice(start, start + 12).includes(life));
			this.#send(encodeHeartbeat({...this.#createHeartbeat(0), others: [], described}));
		}
	}

	#sendHeartbeat(index: number): void {
		this.#send(encodeHeartbeat(this.#createHeartbeat(index % peerCount)));
	}

	#createHeartbeat(index: number): Heartbeat {
		const entries = this.#peers.map(({life}): GossipEntry => ({
			life, age: 10 * Math.floor(Math.random() * 60), isReady: true, isSourceReachable: true, hearsSource: false,
		}));
		const [from] = entries.splice(index, 1);
		return {
			from: {...from, age: 0},
			view: {
				configVersion: this.state.configVersion,
				serversRevision: this.state.serversRevision,
				serversDigest: computeDigest(this.state.describeServers(), 12),
				sourceAges: {configuration: 10, servers: 10},
			},
			others: entries,
			described: [],
			wanted: [],
		};
	}

	#send(message: Uint8Array): void {
		this.#socket.send(message, this.#port, this.#host);
	}
}

/** Runs one node among its peers. */
class FleetNodeBench {
	readonly #clients = new PeerClients(systemClock);
	readonly #store = new StandinStore();
	readonly #processes = new BenchProcesses();
	readonly #isDeciding: boolean;
	#peers!: PlayedPeers;
	#address = '';
	#pid = 0;
	#version = 1;
	#revision = 1;

	constructor(isDeciding: boolean) {
		this.#isDeciding = isDeciding;
	}

	async run(): Promise<void> {
		try {
			await this.#start();
			await this.#measure('quiet, per second', 10, async () => this.#peers.beat(10_000, heartbeatsPerSecond));
			await this.#measure('servers change 3.3 times a second, per second', 10, async () => this.#changeServers());
			await this.#measure('1,924 routes added, each time', 3, async () => this.#addRoutes());
			await this.#measure('one of 2,050 routes changes, each time', 20, async () => this.#changeRoutes());
			await this.#measure('the view for 81 starting nodes, each time', 3, async () => this.#serveStart());
			if (this.#isDeciding) {
				await this.#measure(`decisions on ${requestsPerSecond} requests a second, per second`, 10, async () => this.#decide());
			}
		} finally {
			this.#processes.stop();
			await this.#clients.close();
			await this.#peers.stop();
			await this.#store.stop();
		}
	}

	async #measure(name: string, count: number, work: () => Promise<void>): Promise<void> {
		const before = readProcessorSeconds(this.#pid);
		const {received} = this.#peers;
		await work();
		const used = (readProcessorSeconds(this.#pid) - before) * 1000 / count;
		process.stdout.write(`${this.#isDeciding ? 'deciding' : 'ordinary'} node: ${name}: ${used.toFixed(1)} ms; ${((this.#peers.received - received) / count).toFixed(1)} heartbeats sent\n`);
	}

	async #start(): Promise<void> {
		await this.#store.start();
		this.#store.put('config', 'main', describeConfig(1, initialRoutes));
		const ports = await findFreePorts(8);
		this.#peers = new PlayedPeers({own: ports[6], ownPeers: ports[7], node: ports[4]}, this.#isDeciding ? 0.1 : 4);
		await this.#peers.start();
		this.#applyConfig(initialRoutes);
		this.#peers.state.applyServerList({items: Array.from({length: serverCount}, (_, index) => describeServer(index, 1)), revision: 1}, 'source');
		const settings = this.#processes.writeFile('node.toml', describeSettings(ports, this.#store.address));
		const {flags} = /run = "node (?<flags>.*?) target/.exec(readFileSync('deploy/system.toml', 'utf8'))!.groups!;
		const profile = process.env.CPU_PROFILE === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${process.env.CPU_PROFILE}`];
		const {child, pid} = this.#processes.startProgram([...flags.split(' '), ...profile, program, 'gateway', '--settings', settings]);
		child.stdout!.resume();
		this.#pid = pid;
		this.#address = `${processHost}:${ports[3]}`;
		// A node that starts gets early heartbeats of the others that start with it.
		await this.#peers.beat(2500, heartbeatsPerSecond * 4);
		const used = readProcessorSeconds(pid) * 1000;
		process.stdout.write(`${this.#isDeciding ? 'deciding' : 'ordinary'} node: start and first 2.5 s: ${used.toFixed(0)} ms; ${this.#peers.received} heartbeats sent\n`);
	}

	#applyConfig(routes: number): void {
		this.#peers.state.applyConfig(decodeConfig(describeConfig(this.#version, routes)), 'source');
	}

	async #changeServers(): Promise<void> {
		for (let change = 0; change < 33; change++) {
			const revision = ++this.#revision;
			const index = change % serverCount;
			this.#peers.state.applyServerChanges([{name: `i-${index}`, item: describeServer(index, revision, change % 2 === 0), revision}], revision, 'source');
			await this.#peers.beat(300, heartbeatsPerSecond + (heartbeatsPerChange / 0.3));
		}
	}

	async #addRoutes(): Promise<void> {
		for (const routes of [allRoutes, initialRoutes, allRoutes, initialRoutes, allRoutes]) {
			this.#version++;
			this.#applyConfig(routes);
			await this.#peers.beat(600, heartbeatsPerSecond + (heartbeatsPerChange / 0.6));
		}
	}

	async #changeRoutes(): Promise<void> {
		for (let change = 0; change < 20; change++) {
			this.#version++;
			this.#applyConfig(allRoutes);
			await this.#peers.beat(500, heartbeatsPerSecond + (heartbeatsPerChange / 0.5));
		}
	}

	/** The nodes ask any node that is ahead, so each serves about one; a few serve many. */
	async #serveStart(): Promise<void> {
		for (let round = 0; round < 3; round++) {
			await Promise.all(Array.from({length: peerCount}, async () => this.#clients.ask(this.#address, answerTimeout, async (client, signal) => {
				await client.takeConfig.query({version: 0}, {signal});
				await client.takeServers.query({revision: 0}, {signal});
			})));
			await this.#peers.beat(200, heartbeatsPerSecond);
		}
	}

	async #decide(): Promise<void> {
		let planned: string[] = [];
		for (let second = 0; second < 10; second++) {
			for (let node = 0; node < peerCount; node++) {
				this.#peers.sendPlanUpdate([], planned.filter((_, index) => index % peerCount === node), node);
			}

			for (let index = 0; index < requestsPerSecond; index++) {
				const id = `plan-${second}-${index}`;
				const answer = await this.#clients.ask(this.#address, answerTimeout, async (client, signal) => client.decide.mutate({
					requestId: id as RequestId,
					service,
					node: `box-${index}` as BoxId,
					availabilityZone: 'north' as AvailabilityZone,
					promptTokens: 5000,
					outputTokens: 1600,
					waited: 0,
					objective: 300,
					patience: 2000,
					timeLeft: 60_000,
					longestPause: 250,
					route: 'stream',
					excluded: [],
				}, {signal}));
				if (answer?.decision?.kind === 'plan') {
					planned.push(answer.decision.plan.planId);
					this.#peers.sendPlanUpdate([answer.decision.plan.planId], undefined, index);
				}

				await this.#peers.beat(1000 / requestsPerSecond, heartbeatsPerSecond * 5);
			}

			planned = planned.slice(-runningPlans);
		}
	}
}

function describeSettings(ports: number[], storeAddress: string): string {
	return `
box = "edge-0"
region = "r"
availability_zone = "north"
heartbeat_port = ${ports[4]}
metrics_port = ${ports[5]}
seeds = ["${processHost}:${ports[7]}"]
first_start = false
[cpu]
share = 1
cores = 1
[listen]
callers = "${processHost}:${ports[0]}"
ready = "${processHost}:${ports[1]}"
addresses = "${processHost}:${ports[2]}"
peers = "${processHost}:${ports[3]}"
[store]
address = "${storeAddress}"
[stop]
grace_seconds = 4
[retry]
ratio = 0.2
slack = 240
window_seconds = 10
`;
}

async function delay(time: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

async function main(): Promise<void> {
	for (const isDeciding of [false, true]) {
		await new FleetNodeBench(isDeciding).run();
	}
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- bundled as CommonJS
