/** Nodes that tell each other their views over loopback sockets, each behind a link of its own. */
import {
	createSilentLogger, systemClock, type AvailabilityZone, type Logger,
} from '../../src/common/index.js';
import {PeerClients, PeerService} from '../../src/gateway/peers/peer-rpc.js';
import {Peers, PeerSocket} from '../../src/gateway/peers/index.js';
import {openPeersServer, type OpenServer} from '../../src/gateway/servers.js';
import {ViewResponder, ViewExchange} from '../../src/gateway/views/index.js';
import {
	FleetState, SourceHealth, type BackendServer, type RoutingConfig,
} from '../../src/routing/index.js';
import {findFreePorts, waitUntil} from './gateways.js';
import {LinkProxy} from './link-proxy.js';
import {createPeer} from './peers.js';

/** How a node is reached: `rate` in bytes a millisecond. */
export type LinkOptions = {rate?: number; logger?: Logger};

/** Answers for views, and nothing else. */
class ViewService extends PeerService {
	readonly #answers: ViewResponder;

	constructor(state: FleetState) {
		super();
		this.#answers = new ViewResponder(state);
	}

	override decide(): never {
		throw new Error('only views are told here');
	}

	override grantRetry(): never {
		throw new Error('only views are told here');
	}

	override adopt(): never {
		throw new Error('only views are told here');
	}

	override takeServers(known: {revision: number}) {
		return this.#answers.takeServers(known);
	}

	override takeConfig(known: {version: number}) {
		return this.#answers.takeConfig(known);
	}
}

/** Each node has a host of its own: ports that links and outgoing connections take elsewhere cannot be its own. */
function findHost(index: number): string {
	return `127.0.4.${index + 1}`;
}

/** One node. */
export class LinkedNode {
	readonly name: string;
	readonly state: FleetState;
	readonly link: LinkProxy;
	readonly exchange: ViewExchange;
	readonly peers: Peers;
	readonly #clients = new PeerClients(systemClock);
	readonly #address: string;
	readonly #socket: PeerSocket;
	readonly #stop = new AbortController();
	#server: OpenServer | undefined;
	#running: Promise<void> | undefined;

	constructor(index: number, ports: number[], options: LinkOptions) {
		const logger = options.logger ?? createSilentLogger();
		this.name = `n${index}`;
		const host = findHost(index);
		this.#address = `${host}:${ports[0]}`;
		this.link = new LinkProxy(this.#address, options.rate);
		this.state = new FleetState(systemClock, logger);
		const self = () => createPeer(this.name, {
			life: this.name, availabilityZone: `zone-${index % 3}` as AvailabilityZone, peerAddress: this.link.address, beatAddress: `${host}:${ports[1]}`,
		});
		this.exchange = new ViewExchange({
			clock: systemClock, logger, state: this.state, clients: this.#clients, self, isFirstStart: false, health: new SourceHealth(), onStalled() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		this.peers = new Peers({
			clock: systemClock, logger, self, view: () => this.exchange.describeView(), random: Math.random,
		});
		this.#socket = new PeerSocket({
			clock: systemClock, logger, peers: this.peers, host, port: ports[1], onHeartbeat() {}, onPlanUpdate() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		});
		this.peers.addViewListener((peer, view) => {
			this.exchange.compareView(peer, view);
		});
		this.state.addListener(() => {
			this.#socket.announce();
		});
	}

	async start(): Promise<this> {
		await this.link.start();
		this.#server = await openPeersServer(this.#address, new ViewService(this.state));
		this.#running = this.#socket.run(this.#stop.signal);
		return this;
	}

	async stop(): Promise<void> {
		this.#stop.abort();
		await this.#running;
		await this.#clients.close();
		await this.link.stop();
		this.#server?.server.closeAllConnections();
		await this.#server?.close();
	}
}

/** A fleet of them. */
export class LinkedFleet {
	readonly nodes: LinkedNode[] = [];

	/** Starts nodes that know each other. */
	async start(count: number, options: LinkOptions = {}): Promise<this> {
		const ports = await findFreePorts(count * 2);
		for (let index = 0; index < count; index++) {
			const node = new LinkedNode(index, ports.slice(index * 2, (index * 2) + 2), options);
			node.peers.addCandidate(`${findHost(0)}:${ports[1]}`);
			this.nodes.push(await node.start());
		}

		await waitUntil(() => this.nodes.every(node => node.peers.countLive() === count - 1));
		return this;
	}

	/** Lets all know the same. */
	applyToAll(config: RoutingConfig, servers: BackendServer[]): void {
		for (const {state} of this.nodes) {
			state.applyServerList({items: servers, revision: 1}, 'source');
			state.applyConfig(config, 'source');
		}
	}

	/** Makes open connections of all links silent. */
	loseConnections(max?: number): void {
		for (const {link} of this.nodes) {
			link.silenceConnections(max);
		}
	}

	/** Time until a condition holds at all nodes, in milliseconds. */
	async measure(condition: (state: FleetState) => boolean): Promise<number> {
		const startedAt = performance.now();
		await waitUntil(() => this.nodes.every(({state}) => condition(state)), measureTimeout);
		return performance.now() - startedAt;
	}

	async stop(): Promise<void> {
		await Promise.all(this.nodes.map(async node => node.stop()));
	}
}

/** Time after which a measurement is given up, in milliseconds. */
const measureTimeout = 15_000;
