/** The nodes, servers and the store of a run, each a process of its own, with links between them that can be disturbed. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {request as sendRequest} from 'undici';
import {createConfig} from '../test/helpers/gateways.js';
import {Link, pause} from './link.js';
import type {LinkKind} from './plan.js';
import {Processes, type SoakProcess} from './processes.js';
import {keptVersions, type RunRecords} from './records.js';
import {findSteadyPorts} from './steady-ports.js';

/** Where the bundles are; `npm run soak` makes them. */
const gatewayProgram = 'target/cresshook.cjs';
const standinProgram = 'dist/soak-standin.cjs';
const detourModule = 'dist/soak-detour.cjs';

/** Grace of a planned stop, in seconds. */
const graceSeconds = 4;

/** The same in milliseconds. */
export const stopGrace = graceSeconds * 1000;

/** Time between the end of a process and its next start, in milliseconds. */
const restartPause = 300;

/** Time from a server's crash to the start of the next one, in milliseconds. */
const crashPause = 1500;

/** Time for an answer of the store, and between two tries of a change, in milliseconds. */
const storeTimeout = 1500;
const changePause = 100;

/** Time between two writes of an entry of nobody, in milliseconds. */
const foreignPause = 400;

/** Time in which each node must use just the ready servers once all is calm, in milliseconds: a watch of calm times, and the grace of servers that lapsed in an outage. */
const settleTime = 8000;

/** Services whose turn changes with each version of the configuration. */
const versionServices = ['turn-0', 'turn-1', 'turn-2'];

/** What another writer may leave in the place of an entry: no object, fields missing or of another type, a state that nobody knows. */
const foreignSpecs: unknown[] = [
	'ready',
	{state: 'ready'},
	{
		service: 'app', address: 9, zone: 'north', version: 'v1', slots: 'many', state: 'ready', coldRemainingMs: 0, sequence: 1,
	},
	{
		service: 'app', address: '127.0.0.1:9', zone: 'north', version: 'v1', slots: 4, state: 'resting', coldRemainingMs: 0, sequence: 1,
	},
	{
		service: 'app', address: '127.0.0.1:9', zone: 'north', version: 'v1', slots: 4, state: 'ready', coldRemainingMs: 0, sequence: 1, born: 'today',
	},
];

/** Path of the route that a version adds. */
export function formatAddedPath(version: number): string {
	return `/added/${version}/`;
}

/** The key that a version adds. */
export function formatAddedKey(version: number): string {
	return `key-${version}`;
}

/** Ports of one node; they stay through its lives. */
type NodePorts = {callers: number; ready: number; addresses: number; peers: number; heartbeat: number; metrics: number};

/** One node. */
export type SoakNode = {
	name: string;
	ports: NodePorts;
	callersLink: Link;
	storeLink: Link;
	/** From the other nodes. */
	peersLink: Link;
	process: SoakProcess;
	/** Whether it is being stopped or started again. */
	isChanging: boolean;
};

/** Where a node lives, whichever life it is in. */
type NodePlace = Omit<SoakNode, 'process' | 'isChanging'>;

/** One life of a backend server; `id` is its name and its start. */
export type SoakServer = {id: string; name: string; service: string; link: Link; port: number; process: SoakProcess};

/** Sizes of a fleet. */
export type FleetSize = {nodes: number; modelServers: number; fillerRoutes: number};

/** Everything that runs. */
export class SoakFleet {
	readonly nodes: SoakNode[] = [];
	servers: SoakServer[] = [];
	readonly processes: Processes;
	readonly #folder: string;
	readonly #records: RunRecords;
	readonly #size: FleetSize;
	readonly #links: Link[] = [];
	readonly #replaced = new Set<SoakServer>();
	#store: SoakProcess | undefined;
	#storeAddress = '';
	/** Ports of links by the ports that they lead to, for connections between nodes. */
	#detours: Record<string, number> = {};
	#version = 0;
	#serverCount = 0;
	#changing: Promise<void> | undefined;
	#isOver = false;

	constructor(folder: string, records: RunRecords, size: FleetSize) {
		this.#folder = folder;
		this.#records = records;
		this.#size = size;
		this.processes = new Processes(folder);
	}

	/** Starts everything and waits until all nodes are ready. */
	async start(): Promise<void> {
		this.#store = this.processes.start('store', standinProgram, ['store']);
		const line = await this.#store.waitForLine(({address}) => address !== undefined);
		this.#storeAddress = String(line.address);
		await this.changeConfig();
		const services = [...Array.from({length: this.#size.modelServers}, () => 'model'), 'app', 'app', ...versionServices];
		this.servers = await Promise.all(services.map(async service => this.#startServer(service)));
		const places: NodePlace[] = [];
		for (let index = 0; index < this.#size.nodes; index++) {
			places.push(await this.#findPlace(`edge-${index}`));
		}

		this.#detours = Object.fromEntries(places.map(({ports, peersLink}) => [ports.peers, peersLink.port]));
		this.nodes.push(...places.map(place => ({...place, process: this.#startNode(place), isChanging: false})));

		await Promise.all(this.nodes.map(async node => waitUntilReady(node)));
	}

	/** Rejects when the store's process ends, which no fault makes it do. */
	async watchStore(): Promise<never> {
		await this.#store?.ended;
		throw new Error('the stand-in store ended by itself; its log says why');
	}

	/** Writes the next version of the configuration as the operator does, after those before it: written over a later one, an earlier one would stand there. */
	async changeConfig(): Promise<void> {
		const earlier = this.#changing;
		this.#changing = this.#changeAfter(earlier);
		await this.#changing;
	}

	/** Gives the store a trouble, or takes it off. */
	tellStore(order: Record<string, unknown>): void {
		this.#store?.send(order);
	}

	/** The server with a number; those of the versions stay, without them nobody could tell which version is in force. */
	findServer(target: number): SoakServer {
		const servers = this.servers.filter(server => !versionServices.includes(server.service));
		return servers[target % servers.length];
	}

	/** The link of a kind with a number. */
	findLink(kind: LinkKind, target: number): {link: Link; node?: SoakNode; server?: SoakServer} {
		if (kind === 'server') {
			const server = this.findServer(target);
			return {link: server.link, server};
		}

		const node = this.nodes[target % this.nodes.length];
		return {link: {callers: node.callersLink, store: node.storeLink, peers: node.peersLink}[kind], node};
	}

	/** The link of a kind with a number, or all of the kind. */
	findLinks(kind: LinkKind, target: number, isEach: boolean): Array<ReturnType<SoakFleet['findLink']>> {
		if (!isEach) {
			return [this.findLink(kind, target)];
		}

		return kind === 'server'
			? this.servers.map(server => ({link: server.link, server}))
			: this.nodes.map((_, index) => this.findLink(kind, index));
	}

	/** Starts a node's next life when the present one has ended. */
	async restartNode(node: SoakNode): Promise<void> {
		await node.process.ended;
		await pause(restartPause);
		node.process = this.#startNode(node);
		await waitUntilReady(node);
	}

	/** Starts another server in the place of one. */
	async replaceServer(server: SoakServer): Promise<void> {
		await this.#putInPlace(server, async () => this.#startServer(server.service));
	}

	/** Starts another life of a server whose process has ended: same name, same address. */
	async restartServer(server: SoakServer): Promise<void> {
		await this.#putInPlace(server, async () => this.#startLife(server));
	}

	/**
	 * Writes over the entry of a server, which writes its own again soon, and an entry of nobody, which is written
	 * again until the end: a node that takes no change because of it must be seen to.
	 */
	async writeForeignEntries({name}: SoakServer, draw: number): Promise<void> {
		const spec = foreignSpecs[draw % foreignSpecs.length];
		await this.#writeEntry('PUT', `/${name}`, {metadata: {name}, spec});
		void this.#keepForeignEntry(`foreign-${draw}`, spec);
	}

	/** Asks each node how many servers it uses; noted where that does not become the number of those that are ready. */
	async listUnusedServers(): Promise<void> {
		const ready = this.servers.filter(server => !server.process.isEnded).length;
		await Promise.all(this.nodes.map(async node => {
			let usable = await readUsableServers(node);
			for (let waited = 0; usable !== ready && waited < settleTime; waited += changePause) {
				await pause(changePause);
				usable = await readUsableServers(node);
			}

			if (usable !== ready) {
				this.#records.unusedServers.push({node: node.name, usable, ready});
			}
		}));
	}

	/** Asks each live server which memory it still has set aside. */
	async listLeftMemory(): Promise<void> {
		for (const server of this.servers) {
			if (!server.process.isEnded) {
				const answer = await sendRequest(`http://127.0.0.1:${server.port}/v1/report`, {headersTimeout: 2000});
				const {tickets} = await answer.body.json() as {tickets: Array<{id: string}>};
				this.#records.leftMemory.push(...tickets.map(({id}) => ({server: server.id, reservation: id})));
			}
		}
	}

	/** Ends all processes and links. */
	async stop(): Promise<void> {
		this.#isOver = true;
		await this.processes.stop();
		for (const link of this.#links) {
			link.close();
		}
	}

	/** It is recorded when the store has taken it. */
	async #changeAfter(earlier: Promise<void> | undefined): Promise<void> {
		await earlier;
		const number = ++this.#version;
		const service = versionServices[number % versionServices.length];
		const added = Array.from({length: Math.min(keptVersions, number)}, (_, index) => number - index);
		const spec = createConfig(number, {tenants: [{name: 'guild', apiKeys: ['secret-key']}, {name: 'newcomers', apiKeys: added.map(version => formatAddedKey(version))}]});
		const route = {
			host: 'shop.example', priority: 1, allowAnonymous: false, targetLatencyMs: 300, name: 'turn', pathPrefix: '/turn/', kind: 'idempotent', timeoutMs: 1500, maxAttempts: 2, service,
		};
		const config = {
			...spec,
			routes: [
				...spec.routes as unknown[],
				route,
				...added.map(version => ({
					...route, name: `added-${version}`, pathPrefix: formatAddedPath(version), service: 'app',
				})),
				...Array.from({length: this.#size.fillerRoutes}, (_, index) => ({...route, name: `filler-${index}`, pathPrefix: `/filler/${index}/`})),
			],
			services: [...spec.services as unknown[], ...versionServices.map(name => ({name, maxConnections: 99}))],
		};
		const body = JSON.stringify({metadata: {name: 'main'}, spec: config});
		const sentAt = Date.now();
		while (!await this.#writeConfig(number, body)) {
			await pause(changePause);
		}

		this.#records.changes.push({at: Date.now(), sentAt, version: {number, service}});
	}

	/** The store takes it away as often, since it has no count that goes on. */
	async #keepForeignEntry(name: string, spec: unknown): Promise<void> {
		while (!this.#isOver) {
			await this.#writeEntry('POST', '', {metadata: {name}, spec});
			await pause(foreignPause);
		}
	}

	#noteLine(server: string, service: string, line: Record<string, unknown>): void {
		const at = Number(line.at);
		const node = String(line.node);
		switch (line.event) {
			case 'run': {
				this.#records.runs.push({
					id: String(line.id), server, service, node, at,
				});
				break;
			}

			case 'limited': {
				this.#records.limitedArrivals.push({
					server, node, at, limit: Number(line.limit), namedAt: Number(line.namedAt),
				});
				break;
			}

			case 'crash': {
				this.#noteCrash(server, line);
				break;
			}

			case 'leaving': {
				this.#records.changes.push({at, sentAt: at, leaving: server});
				break;
			}

			default:
		}
	}

	#noteCrash(server: string, line: Record<string, unknown>): void {
		const hasCrashed = line.hasCrashed === true;
		this.#records.crashes.push({
			request: String(line.request), server, node: String(line.node), at: Number(line.at), hasCrashed,
		});
		if (hasCrashed) {
			this.#records.faults.push({
				kind: 'request_crash', server, from: Number(line.at), to: Number(line.at) + crashPause,
			});
			void this.#replaceCrashed(server);
		}
	}

	async #replaceCrashed(id: string): Promise<void> {
		await pause(crashPause);
		const server = this.servers.find(each => each.id === id);
		if (server !== undefined && !this.#isOver) {
			await this.replaceServer(server);
		}
	}

	/** Only once: another fault may have ended the same life, and what it starts would be one server too many. */
	async #putInPlace(server: SoakServer, start: () => Promise<SoakServer>): Promise<void> {
		if (!this.servers.includes(server) || this.#replaced.has(server)) {
			return;
		}

		this.#replaced.add(server);
		const next = await start();
		this.servers = this.servers.map(each => each === server ? next : each);
	}

	/** Whether the store has acknowledged it; written again, it changes nothing. */
	async #writeConfig(number: number, body: string): Promise<boolean> {
		const target = `http://${this.#storeAddress}/v1/objects/config`;
		try {
			const created = number === 1 ? await sendRequest(target, {method: 'POST', body, headersTimeout: storeTimeout}) : undefined;
			await created?.body.dump();
			const answer = await sendRequest(`${target}/main`, {method: 'PUT', body, headersTimeout: storeTimeout});
			await answer.body.dump();
			return answer.statusCode < 300;
		} catch {
			// The store is one of the things that fail here.
			return false;
		}
	}

	async #openLink(findTarget: () => number): Promise<Link> {
		const link = await new Link(findTarget).open();
		this.#links.push(link);
		return link;
	}

	async #findPlace(name: string): Promise<NodePlace> {
		const [callers, ready, addresses, peers, heartbeat, metrics] = await findSteadyPorts(6);
		const ports = {
			callers, ready, addresses, peers, heartbeat, metrics,
		};
		const callersLink = await this.#openLink(() => callers);
		const storeLink = await this.#openLink(() => Number(this.#storeAddress.split(':')[1]));
		const peersLink = await this.#openLink(() => peers);
		return {
			name, ports, callersLink, storeLink, peersLink,
		};
	}

	#startNode({name, ports, storeLink}: NodePlace): SoakProcess {
		const file = path.join(this.#folder, `${name}.toml`);
		writeFileSync(file, `
box = "${name}"
region = "r"
availability_zone = "north"
heartbeat_port = ${ports.heartbeat}
metrics_port = ${ports.metrics}
address_lifetime_seconds = 1
[listen]
callers = "127.0.0.1:${ports.callers}"
ready = "127.0.0.1:${ports.ready}"
addresses = "127.0.0.1:${ports.addresses}"
peers = "127.0.0.1:${ports.peers}"
[store]
address = "${storeLink.address}"
[stop]
grace_seconds = ${graceSeconds}
[retry]
ratio = 0.2
slack = 100
window_seconds = 10
`);
		// A node tells the others the very address that it listens on, so their way through the link is put in from outside.
		return this.processes.start(name, gatewayProgram, ['gateway', '--settings', file], {NODE_OPTIONS: `--require ${path.resolve(detourModule)}`, SOAK_DETOURS: JSON.stringify(this.#detours)});
	}

	/** The store is one of the things that fail here; then nobody has written. */
	async #writeEntry(method: 'PUT' | 'POST', path: string, object: unknown): Promise<void> {
		try {
			const answer = await sendRequest(`http://${this.#storeAddress}/v1/objects/servers${path}`, {method, body: JSON.stringify(object), headersTimeout: storeTimeout});
			await answer.body.dump();
		} catch {}
	}

	async #startServer(service: string): Promise<SoakServer> {
		const name = `i-${++this.#serverCount}`;
		const [port] = await findSteadyPorts(1);
		const link = await this.#openLink(() => port);
		return this.#startLife({
			name, service, link, port,
		});
	}

	async #startLife({name, service, link, port}: Pick<SoakServer, 'name' | 'service' | 'link' | 'port'>): Promise<SoakServer> {
		const born = Date.now();
		const id = `${name}@${born}`;
		const started = this.processes.start(id, standinProgram, [
			'server', '--id', name, '--born', String(born), '--service', service, '--store', this.#storeAddress, '--advertise', link.address, '--port', String(port),
		]);
		started.listen(line => {
			this.#noteLine(id, service, line);
		});
		await started.waitForLine(({address}) => address !== undefined);
		return {
			id, name, service, link, port, process: started,
		};
	}
}

/** Not a number when the node does not answer: it may have found its port taken by another process of the machine. */
async function readUsableServers(node: SoakNode): Promise<number> {
	try {
		const answer = await sendRequest(`http://127.0.0.1:${node.ports.metrics}/metrics`, {headersTimeout: 2000});
		return Number(/usable_servers"\} (\d+)/u.exec(await answer.body.text())?.[1]);
	} catch {
		return Number.NaN;
	}
}

async function waitUntilReady(node: SoakNode): Promise<void> {
	for (let attempt = 0; attempt < 300; attempt++) {
		try {
			const answer = await sendRequest(`http://127.0.0.1:${node.ports.ready}/v1/readyz`, {headersTimeout: 500});
			await answer.body.dump();
			if (answer.statusCode === 200) {
				return;
			}
		} catch {
			// It does not listen yet.
		}

		await pause(50);
	}

	// Judged further, the run would blame the fleet for a port that another process of the machine took.
	throw new Error(`${node.name} was not ready in time; its log says why`);
}
