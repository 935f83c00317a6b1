/** Runs the nodes, the servers and the store as separate processes, connected by links that can inject faults. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {request as sendRequest} from 'undici';
import {createConfig} from '../test/helpers/gateways.js';
import {
	Link, pause, type CutKind, type Cuts,
} from './link.js';
import type {LinkKind} from './plan.js';
import {Processes, type SoakProcess} from './processes.js';
import {keptVersions, type RunRecords} from './records.js';
import {findSteadyPorts} from './steady-ports.js';

/** Paths of the bundles, which `npm run soak` builds. */
const gatewayProgram = 'target/cresshook.cjs';
const standinProgram = 'dist/soak-standin.cjs';
/** First three parts of the source addresses of nodes. */
const sourceNetwork = '127.0.9';

const detourModule = 'dist/soak-detour.cjs';

/** Grace period of a graceful shutdown, in seconds. */
const graceSeconds = 4;

/** Grace period of a graceful shutdown, in milliseconds. */
export const stopGrace = graceSeconds * 1000;

/** Time between the end of a node process and its restart, in milliseconds. */
const restartPause = 300;

/** Time from a server crash to the start of its replacement, in milliseconds. */
const crashPause = 1500;

/** Maximum time for which a settings file is written in half, in milliseconds; shorter than `restartPause`. */
const halfWrittenTime = 50;

/** Interval for checking whether a node is being restarted, in milliseconds. */
const changingPoll = 50;

/** Timeout for a store response, and time between two attempts to write a change, in milliseconds. */
const storeTimeout = 1500;
const changePause = 100;

/** Time between two writes of a foreign entry, in milliseconds. */
const foreignPause = 400;

/** Depth of deeply nested entries, which the stand-in store still reads and writes. */
const oddDepth = 2000;

/** Time within which each node must use exactly the ready servers after the last fault, in milliseconds: one store watch without changes, plus the grace period of servers that expired in an outage. */
const settleTime = 8000;

/** Services that take turns with each configuration version. */
const versionServices = ['turn-0', 'turn-1', 'turn-2'];

/** Invalid entries of a foreign client: not an object, missing fields, fields of a wrong type, an unknown state. */
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

/** Odd entries of a foreign client, as JSON text: nested deeply, numbers too large, ports out of range. */
const oddSpecs = [
	`${'['.repeat(oddDepth)}${']'.repeat(oddDepth)}`,
	`{"service":"app","address":"127.0.0.1:9","zone":"north","version":"v1","slots":4,"state":"draining","coldRemainingMs":0,"sequence":1,"more":${'{"a":'.repeat(oddDepth)}1${'}'.repeat(oddDepth)}}`,
	...['"slots":1e308', '"slots":-4', '"sequence":1e30', '"coldRemainingMs":1e300', '"born":-1e300', '"address":"127.0.0.1:70000"', '"address":"127.0.0.1:-1"', '"address":"127.0.0.1:1e9"', '"address":"300.0.0.1:80"', '"address":"[::1:80"']
		.map(field => `{"service":"app","address":"127.0.0.1:9","zone":"north","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":1,${field}}`),
];

/** Returns the path of the route that a version adds. */
export function formatAddedPath(version: number): string {
	return `/added/${version}/`;
}

/** Returns the API key that a version adds. */
export function formatAddedKey(version: number): string {
	return `key-${version}`;
}

/** Availability zones that are evacuated; servers of the version services are in another one, since their responses show which version is active. */
export const evacuatedZones = ['south', 'west'];
const lastingZone = 'north';

/** Ports of one node; they stay the same across restarts. */
type NodePorts = {callers: number; ready: number; addresses: number; peers: number; heartbeat: number; metrics: number};

/** A gateway node and its links. */
export type SoakNode = {
	name: string;
	ports: NodePorts;
	callersLink: Link;
	storeLink: Link;
	/** Link from the other nodes. */
	peersLink: Link;
	/** Source address of its connections. */
	source: string;
	process: SoakProcess;
	/** Whether the node is being stopped or restarted. */
	isChanging: boolean;
};

/** The properties of a node that survive a restart. */
type NodeEndpoints = Omit<SoakNode, 'process' | 'isChanging'>;

/** One incarnation of a backend server; `id` consists of its name and its start time. */
export type SoakServer = {id: string; name: string; service: string; zone: string; link: Link; port: number; process: SoakProcess};

/** Numbers of nodes, model servers and additional routes without traffic. */
export type FleetSize = {nodes: number; modelServers: number; fillerRoutes: number};

/** All processes and links of a run. */
export class SoakFleet {
	readonly nodes: SoakNode[] = [];
	servers: SoakServer[] = [];
	readonly processes: Processes;
	readonly #folder: string;
	readonly #records: RunRecords;
	readonly #size: FleetSize;
	readonly #links: Link[] = [];
	/** Nodes that are cut from all servers, by the source address of their connections. */
	readonly #cuts = new Map<string, CutKind>();
	#endpointCount = 0;
	/** Odd entries; nodes may take those with a valid address for servers. */
	readonly #oddEntries = new Set<string>();
	readonly #replaced = new Set<SoakServer>();
	#store: SoakProcess | undefined;
	#storeAddress = '';
	/** Link ports by target port, for connections between nodes. */
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
		this.#store.listen(line => {
			this.#recordEvacuation(line);
		});
		const line = await this.#store.waitForLine(({address}) => address !== undefined);
		this.#storeAddress = String(line.address);
		await this.changeConfig();
		const services = [...Array.from({length: this.#size.modelServers}, () => 'model'), 'app', 'app', ...versionServices];
		this.servers = await Promise.all(services.map(async service => this.#startServer(service)));
		const places: NodeEndpoints[] = [];
		for (let index = 0; index < this.#size.nodes; index++) {
			places.push(await this.#allocateEndpoints(`edge-${index}`));
		}

		this.#detours = Object.fromEntries(places.map(({ports, peersLink}) => [ports.peers, peersLink.port]));
		this.nodes.push(...places.map(place => {
			const node = {...place, process: this.#startProcessOf(place), isChanging: false};
			void this.#watchNode(node);
			return node;
		}));

		await Promise.all(this.nodes.map(async node => waitUntilReady(node)));
	}

	/** Rejects when the store process ends, which no injected fault causes. */
	async watchStore(): Promise<never> {
		await this.#store?.ended;
		throw new Error('the stand-in store ended by itself; its log says why');
	}

	/** Writes the next configuration version, after all pending writes: reordered writes would leave an older version in the store. */
	async changeConfig(): Promise<void> {
		const earlier = this.#changing;
		this.#changing = this.#changeAfter(earlier);
		await this.#changing;
	}

	/** Sends a command to the store that starts or ends a fault. */
	sendToStore(order: Record<string, unknown>): void {
		this.#store?.send(order);
	}

	/** Returns a server by index. Servers of the version services are excluded: their responses show which version is active. */
	findServer(target: number): SoakServer {
		const servers = this.servers.filter(server => !versionServices.includes(server.service));
		return servers[target % servers.length];
	}

	/** Cuts nodes from all servers. */
	cutFromServers(nodes: SoakNode[], kind: CutKind): void {
		for (const {source} of nodes) {
			this.#cuts.set(source, kind);
			for (const {link} of kind === 'reset' ? this.servers : []) {
				link.resetFrom(source);
			}
		}
	}

	/** Restores the links of nodes to all servers. */
	restoreToServers(nodes: SoakNode[]): void {
		for (const {source} of nodes) {
			this.#cuts.delete(source);
		}
	}

	/** Returns a link of a kind by index. */
	findLink(kind: LinkKind, target: number): {link: Link; node?: SoakNode; server?: SoakServer} {
		if (kind === 'server') {
			const server = this.findServer(target);
			return {link: server.link, server};
		}

		const node = this.nodes[target % this.nodes.length];
		return {link: {callers: node.callersLink, store: node.storeLink, peers: node.peersLink}[kind], node};
	}

	/** Returns a link of a kind by index or, with `isEach`, all links of the kind. */
	findLinks(kind: LinkKind, target: number, isEach: boolean): Array<ReturnType<SoakFleet['findLink']>> {
		if (!isEach) {
			return [this.findLink(kind, target)];
		}

		return kind === 'server'
			? this.servers.map(server => ({link: server.link, server}))
			: this.nodes.map((_, index) => this.findLink(kind, index));
	}

	/** Restarts a node after its process has ended, and waits until it is ready. */
	async restartNode(node: SoakNode): Promise<void> {
		await this.startNode(node);
		await this.waitForNode(node);
	}

	/** Waits until a node is ready, or has ended by itself. */
	async waitForNode(node: SoakNode): Promise<void> {
		await Promise.race([waitUntilReady(node), node.process.ended]);
	}

	/** Starts a node after its process has ended. */
	async startNode(node: SoakNode): Promise<void> {
		await node.process.ended;
		await pause(restartPause);
		node.process = this.#startProcessOf(node);
	}

	/** Sends SIGHUP to a node after its settings file was rewritten; a first SIGHUP may come when half of the file is written. */
	async reloadNode(node: SoakNode, draw: number): Promise<void> {
		const text = this.#formatSettings(node, draw);
		if (draw % 3 === 0) {
			writeFileSync(this.#findSettingsFile(node), text.slice(0, text.length / 2));
			node.process.signal('SIGHUP');
			await pause(draw % halfWrittenTime);
		}

		writeFileSync(this.#findSettingsFile(node), text);
		this.#records.reloads.push({node: node.name, at: Date.now()});
		node.process.signal('SIGHUP');
	}

	/** Replaces a server by a new one with another name and address. */
	async replaceServer(server: SoakServer): Promise<void> {
		await this.#replaceOnce(server, async () => this.#startServer(server.service));
	}

	/** Restarts a server whose process has ended, with the same name and address. */
	async restartServer(server: SoakServer): Promise<void> {
		await this.#replaceOnce(server, async () => this.#startProcess(server));
	}

	/**
	 * Overwrites the entry of a server, which soon restores it, and adds an entry without a server, which is rewritten
	 * until the end of the run, so that a node that accepts no changes because of it is detected.
	 */
	async writeForeignEntries({name}: SoakServer, draw: number): Promise<void> {
		const spec = foreignSpecs[draw % foreignSpecs.length];
		await this.#writeEntry('PUT', `/${name}`, JSON.stringify({metadata: {name}, spec}));
		void this.#keepForeignEntry(`foreign-${draw}`, JSON.stringify(spec));
	}

	/** Adds an entry with values that no server has, which is rewritten until the end of the run. */
	writeOddEntry(draw: number): void {
		this.#oddEntries.add(`odd-${draw}`);
		void this.#keepForeignEntry(`odd-${draw}`, oddSpecs[draw % oddSpecs.length]);
	}

	/** Records each node whose number of usable servers does not reach the number of ready servers in time. */
	async listUnusedServers(): Promise<void> {
		const ready = this.servers.filter(server => !server.process.isEnded).length;
		const isRight = (usable: number) => usable >= ready && usable <= ready + this.#oddEntries.size;
		await Promise.all(this.nodes.map(async node => {
			let usable = await readUsableServers(node);
			for (let waited = 0; !isRight(usable) && waited < settleTime; waited += changePause) {
				await pause(changePause);
				usable = await readUsableServers(node);
			}

			if (!isRight(usable)) {
				this.#records.unusedServers.push({node: node.name, usable, ready});
			}
		}));
	}

	/** Records the memory reservations that running servers still hold. */
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

	/** Records a process of a node that ends without having been asked to. */
	async #watchEnd(node: string, started: SoakProcess): Promise<void> {
		await started.ended;
		if (!started.wasAskedToEnd && !this.#isOver) {
			this.#records.ownEnds.push({node, at: Date.now(), exit: started.exit});
		}
	}

	/** Restarts a node whose process has ended by itself. */
	async #watchNode(node: SoakNode): Promise<void> {
		while (!this.#isOver) {
			await node.process.ended;
			while (node.isChanging && !this.#isOver) {
				await pause(changingPoll);
			}

			if (node.process.isEnded && !this.#isOver) {
				node.isChanging = true;
				await this.restartNode(node);
				node.isChanging = false;
			}
		}
	}

	/** Writes a version after the earlier one, and records it when the store has accepted it. */
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

	/** Rewrites a foreign entry, because the store expires entries whose sequence number does not increase. */
	async #keepForeignEntry(name: string, spec: string): Promise<void> {
		while (!this.#isOver) {
			await this.#writeEntry('POST', '', `{"metadata":{"name":"${name}"},"spec":${spec}}`);
			await pause(foreignPause);
		}
	}

	#recordEvacuation(line: Record<string, unknown>): void {
		const {evacuations} = this.#records;
		const [zone, at] = [String(line.zone), Number(line.at)];
		if (line.event === 'evacuated') {
			evacuations.push({zone, at, endedAt: Number.POSITIVE_INFINITY});
		} else if (line.event === 'returned') {
			evacuations.findLast(evacuation => evacuation.zone === zone)!.endedAt = at;
		}
	}

	#recordLine(server: string, {service, zone}: Pick<SoakServer, 'service' | 'zone'>, line: Record<string, unknown>): void {
		const at = Number(line.at);
		const node = String(line.node);
		switch (line.event) {
			case 'run': {
				this.#records.runs.push({
					id: String(line.id), server, service, node, at, zone,
				});
				break;
			}

			case 'done': {
				this.#records.runs.findLast(run => run.id === line.id && run.server === server)!.doneAt = at;
				break;
			}

			case 'flood': {
				this.#records.flooded.add(String(line.id));
				break;
			}

			case 'limited': {
				this.#records.limitedArrivals.push({
					server, node, at, limit: Number(line.limit), namedAt: Number(line.namedAt),
				});
				break;
			}

			case 'crash': {
				this.#recordCrash(server, line);
				break;
			}

			case 'leaving': {
				this.#records.changes.push({at, sentAt: at, leaving: server});
				break;
			}

			default:
		}
	}

	#recordCrash(server: string, line: Record<string, unknown>): void {
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

	/** Replaces a server at most once: overlapping faults of one incarnation would otherwise start an extra server. */
	async #replaceOnce(server: SoakServer, start: () => Promise<SoakServer>): Promise<void> {
		if (!this.servers.includes(server) || this.#replaced.has(server)) {
			return;
		}

		this.#replaced.add(server);
		const next = await start();
		this.servers = this.servers.map(each => each === server ? next : each);
	}

	/** Returns whether the store has acknowledged the version; the write is idempotent. */
	async #writeConfig(number: number, body: string): Promise<boolean> {
		const target = `http://${this.#storeAddress}/v1/objects/config`;
		try {
			const created = number === 1 ? await sendRequest(target, {method: 'POST', body, headersTimeout: storeTimeout}) : undefined;
			await created?.body.dump();
			const answer = await sendRequest(`${target}/main`, {method: 'PUT', body, headersTimeout: storeTimeout});
			await answer.body.dump();
			return answer.statusCode < 300;
		} catch {
			// Store failures are injected.
			return false;
		}
	}

	async #openLink(findTarget: () => number, cuts?: Cuts): Promise<Link> {
		const link = await new Link(findTarget, cuts).open();
		this.#links.push(link);
		return link;
	}

	async #allocateEndpoints(name: string): Promise<NodeEndpoints> {
		const [callers, ready, addresses, peers, heartbeat, metrics] = await findSteadyPorts(6);
		const ports = {
			callers, ready, addresses, peers, heartbeat, metrics,
		};
		const callersLink = await this.#openLink(() => callers);
		const storeLink = await this.#openLink(() => Number(this.#storeAddress.split(':')[1]));
		const peersLink = await this.#openLink(() => peers);
		return {
			name, ports, callersLink, storeLink, peersLink, source: `${sourceNetwork}.${++this.#endpointCount}`,
		};
	}

	#findSettingsFile({name}: NodeEndpoints): string {
		return path.join(this.#folder, `${name}.toml`);
	}

	/** Settings of a node; `draw` varies one that is reloaded. */
	#formatSettings({name, ports, storeLink}: NodeEndpoints, draw = 0): string {
		return `
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
slack = ${100 + (draw % 10)}
window_seconds = 10
[evacuations]
apply_within_ms = 5000
`;
	}

	#startProcessOf(node: NodeEndpoints): SoakProcess {
		const {name, source} = node;
		const file = this.#findSettingsFile(node);
		writeFileSync(file, this.#formatSettings(node));
		// A node advertises the address it listens on, so the preloaded module redirects connections through the links.
		const started = this.processes.start(name, gatewayProgram, ['gateway', '--settings', file], {NODE_OPTIONS: `--require ${path.resolve(detourModule)}`, SOAK_DETOURS: JSON.stringify(this.#detours), SOAK_SOURCE: source});
		void this.#watchEnd(name, started);
		return started;
	}

	/** Writes an entry; errors are ignored, because store failures are injected. */
	async #writeEntry(method: 'PUT' | 'POST', path: string, body: string): Promise<void> {
		try {
			const answer = await sendRequest(`http://${this.#storeAddress}/v1/objects/servers${path}`, {method, body, headersTimeout: storeTimeout});
			await answer.body.dump();
		} catch {}
	}

	async #startServer(service: string): Promise<SoakServer> {
		const name = `i-${++this.#serverCount}`;
		const zones = [lastingZone, ...evacuatedZones];
		const zone = versionServices.includes(service) ? lastingZone : zones[this.#serverCount % zones.length];
		const [port] = await findSteadyPorts(1);
		const link = await this.#openLink(() => port, this.#cuts);
		return this.#startProcess({
			name, service, zone, link, port,
		});
	}

	async #startProcess({name, service, zone, link, port}: Pick<SoakServer, 'name' | 'service' | 'zone' | 'link' | 'port'>): Promise<SoakServer> {
		const born = Date.now();
		const id = `${name}@${born}`;
		const started = this.processes.start(id, standinProgram, [
			'server', '--id', name, '--born', String(born), '--service', service, '--zone', zone, '--store', this.#storeAddress, '--advertise', link.address, '--port', String(port),
		]);
		started.listen(line => {
			this.#recordLine(id, {service, zone}, line);
		});
		await started.waitForLine(({address}) => address !== undefined);
		return {
			id, name, service, zone, link, port, process: started,
		};
	}
}

/** Returns NaN when the node does not respond, for example because another process occupies its port. */
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
			// The node does not listen yet.
		}

		await pause(50);
	}

	// Continuing would report violations that come from a port occupied by another process.
	throw new Error(`${node.name} was not ready in time; its log says why`);
}
