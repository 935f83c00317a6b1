/** Runs nodes and all simulated services in one process, for `cresshook dev`, tests and benchmarks. */
import {
	createSilentLogger, hashSecret, randomIdSource, NoopMetrics, type Clock, type IdSource, type Logger, type Metrics,
} from '../common/index.js';
import {Node} from '../node/index.js';
import {HttpPlatform, type PlatformObjectInput} from '../store/index.js';
import {parseSettings, type Settings} from '../settings/index.js';
import {FaultyNetwork} from './faulty-network.js';
import {StandinEngine, type StandinEngineOptions} from './standin-engine.js';
import {StandinPlain} from './standin-plain.js';
import {StandinPlatform} from './standin-platform.js';

/** Size of a stand-in fleet, and its dependencies. */
export type StandinFleetOptions = {
	clock: Clock;
	/** Uniform random numbers from 0 up to 1. */
	random: () => number;
	ids?: IdSource;
	logger?: Logger;
	metrics?: Metrics;
	/**
	 * Number of engines of the service `bollettino-llm`.
	 *
	 * @default 3
	 */
	engines?: number;
	/**
	 * Number of gateway nodes.
	 *
	 * @default 2
	 */
	nodes?: number;
	engineOptions?: Partial<StandinEngineOptions>;
	/** Overrides in the spec of the service `bollettino-llm`. */
	service?: Record<string, unknown>;
	/** Modifies the settings of each node before it starts. */
	adjust?: (settings: Settings) => void;
	/**
	 * Caller port of the first node; further nodes use the ports that follow.
	 *
	 * @default 0 (free ports)
	 */
	firstPort?: number;
};

/** Names and secrets of the stand-in fleet. */
export const standinFleet = {
	region: 'sic-east',
	zones: ['catania-a', 'catania-b', 'siracusa'],
	service: 'bollettino-llm',
	plainService: 'tessere-app',
	organisation: 'porto-catania',
	key: 'sk-porto-catania-demo',
	otherOrganisation: 'vigna-etnea',
	otherKey: 'sk-vigna-etnea-demo',
	operatorToken: 'operator-demo-token',
	secret: 'a-secret-shared-by-all-nodes',
} as const;

/** Gateway nodes, engines, a plain service and a platform in one process. */
export class StandinFleet {
	readonly platform: StandinPlatform;
	readonly plain: StandinPlain;
	readonly engines: StandinEngine[] = [];
	readonly engineUrls: string[] = [];
	readonly nodes: Node[] = [];
	readonly network = new FaultyNetwork();
	plainUrl = '';
	platformUrl = '';
	readonly #options: StandinFleetOptions;
	readonly #running = new Set<Node>();

	constructor(options: StandinFleetOptions) {
		this.#options = options;
		this.platform = new StandinPlatform(options.clock);
		this.plain = new StandinPlain(options.clock);
	}

	/** Starts the simulated services, stores the platform objects, and starts the nodes. */
	async start(): Promise<void> {
		this.platformUrl = await this.platform.start();
		this.plainUrl = await this.plain.start();
		for (let index = 0; index < (this.#options.engines ?? 3); index++) {
			await this.addEngine();
		}

		for (const object of this.#listObjects()) {
			this.platform.putObject(object);
		}

		for (let index = 0; index < (this.#options.nodes ?? 2); index++) {
			await this.addNode();
		}
	}

	/** Adds an engine to the service. */
	async addEngine(): Promise<StandinEngine> {
		const engine = new StandinEngine({clock: this.#options.clock, capacity: 200_000, ...this.#options.engineOptions});
		const url = await engine.start();
		const index = this.engines.length;
		this.engines.push(engine);
		this.engineUrls.push(url);
		this.platform.putObject({
			kind: 'BackendServer',
			metadata: {name: `engine-${index + 1}`},
			spec: {
				service: standinFleet.service, url, availabilityZone: pickZone(index), capacity: this.#options.engineOptions?.capacity ?? 200_000, checksOrders: true,
			},
		});
		return engine;
	}

	/** Starts a node, by default on a new box. */
	async addNode(box = `box-${this.nodes.length + 1}`): Promise<Node> {
		const {clock, random} = this.#options;
		const settings = this.#createSettings(box, this.nodes.length);
		const node = new Node({
			settings,
			platform: new HttpPlatform(this.platformUrl, clock),
			clock,
			random,
			ids: this.#options.ids ?? randomIdSource,
			logger: this.#options.logger ?? createSilentLogger(),
			metrics: this.#options.metrics ?? new NoopMetrics(),
			clients: this.network.createClients(box, settings.nodes.secret, clock),
		});
		await node.start();
		this.network.addNode(box, node.nodeUrl);
		this.nodes.push(node);
		this.#running.add(node);
		return node;
	}

	/** Stops a node abruptly, as a killed process: it sends nothing more to peers, callers or servers. */
	async killNode(node: Node): Promise<void> {
		this.#running.delete(node);
		await node.crash();
	}

	/** Stops all nodes abruptly, then the simulated services. */
	async stop(): Promise<void> {
		await Promise.all([...this.#running].map(async node => node.crash()));
		await Promise.all([...this.engines.map(async engine => engine.stop()), this.plain.stop(), this.platform.stop()]);
	}

	#createSettings(box: string, index: number): Settings {
		const firstPort = this.#options.firstPort ?? 0;
		const settings = parseSettings(`
			box = "${box}"
			region = "${standinFleet.region}"
			availability_zone = "${pickZone(index)}"
			callers = {host = "127.0.0.1", port = ${firstPort === 0 ? 0 : firstPort + index}}
			operators = {host = "127.0.0.1", teams = [{partner = "meteotessera", token_hash = "${hashSecret(standinFleet.operatorToken)}"}]}
			nodes = {host = "127.0.0.1", secret = "${standinFleet.secret}"}
			platform = {url = "${this.platformUrl}"}
		`).unsafeCoerce();
		this.#options.adjust?.(settings);
		return settings;
	}

	#listObjects(): PlatformObjectInput[] {
		const bounds = {defaultBound: 60_000, longestBound: 600_000};
		const common = {partner: 'meteotessera', region: standinFleet.region};
		return [
			{
				kind: 'Service',
				metadata: {name: standinFleet.service},
				spec: {
					...common, type: 'engine', ...bounds, defaultOutputTokens: 16, ...this.#options.service,
				},
			},
			{
				kind: 'Service',
				metadata: {name: standinFleet.plainService},
				spec: {
					...common, type: 'plain', pathPrefix: '/tessere', ...bounds,
				},
			},
			{
				kind: 'BackendServer',
				metadata: {name: 'tessere-1'},
				spec: {
					service: standinFleet.plainService, url: this.plainUrl, availabilityZone: pickZone(0), capacity: 64,
				},
			},
			{
				kind: 'Organisation',
				metadata: {name: standinFleet.organisation},
				spec: {partner: 'meteotessera', keyHashes: [hashSecret(standinFleet.key)], services: [standinFleet.service, standinFleet.plainService]},
			},
			{
				kind: 'Organisation',
				metadata: {name: standinFleet.otherOrganisation},
				spec: {partner: 'meteotessera', keyHashes: [hashSecret(standinFleet.otherKey)], services: [standinFleet.plainService]},
			},
		];
	}
}

function pickZone(index: number): string {
	return standinFleet.zones[index % standinFleet.zones.length];
}
