/** Nodes that exchange their views over loopback sockets, each behind its own link proxy. */
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

/** Options of the link to a node: `rate` in bytes per millisecond. */
export type LinkOptions = {rate?: number; logger?: Logger};

/** Serves only views. */
class ViewService extends PeerService {
	readonly #answers: ViewResponder;

	constructor(state: FleetState) {
		super();
		this.#answers = new ViewResponder(state);
	}

	override decide(): never {
		throw new Error('only views are served here');
	}

	override grantRetry(): never {
		throw new Error('only views are served here');
	}

	override adopt(): never {
		throw new Error('only views are served here');
	}

	override takeServers(known: {revision: number}) {
		return this.#answers.takeServers(known);
	}

	override takeConfig(known: {version: number}) {
		return this.#answers.takeConfig(known);
	}
}

/** Returns a loopback address per node, so that its ports do not clash with those of links and outgoing connections. */
function findHost(index: number): string {
	return `127.0.4.${index + 1}`;
}

/** A node behind a link proxy. */
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

/** A fleet of linked nodes. */
export class LinkedFleet {
	readonly nodes: LinkedNode[] = [];

	/** Starts nodes and waits until they have discovered each other. */
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

	/** Applies a configuration and server list to all nodes. */
	applyToAll(config: RoutingConfig, servers: BackendServer[]): void {
		for (const {state} of this.nodes) {
			state.applyServerList({items: servers, revision: 1}, 'source');
			state.applyConfig(config, 'source');
		}
	}

	/** Silences the open connections of all links. */
	loseConnections(max?: number): void {
		for (const {link} of this.nodes) {
			link.silenceConnections(max);
		}
	}

	/** Measures the time until a condition holds at all nodes, in milliseconds. */
	async measure(condition: (state: FleetState) => boolean): Promise<number> {
		const startedAt = performance.now();
		await waitUntil(() => this.nodes.every(({state}) => condition(state)), measureTimeout);
		return performance.now() - startedAt;
	}

	async stop(): Promise<void> {
		await Promise.all(this.nodes.map(async node => node.stop()));
	}
}

/** Timeout of a measurement, in milliseconds. */
const measureTimeout = 15_000;
