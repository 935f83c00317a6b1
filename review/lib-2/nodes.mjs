/** Starts nodes of the system as the deploy file does: one process each, on a loopback address of its own. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';

/** Program and arguments of `deploy/system.toml`, with the settings file and the callers' address filled in. */
const formatArguments = (settings, callers) => [
	'--max-semi-space-size=1',
	'--max-old-space-size=128',
	'--liftoff-only',
	'target/cresshook.cjs',
	'gateway',
	'--settings',
	settings,
	'--early-callers',
	callers,
];

/** Time within which nodes must be ready, in milliseconds. */
const startTime = 15_000;

/** Bounds of the users' sheets. */
export const bounds = {
	contact: 3000, drainTimeout: 2000, configApply: 2000, graceSeconds: 8, lossSlack: 200,
};

/** A part of 127.0.0.0/8 that other cases on the machine hardly use. */
const network = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;

/** Returns the loopback address of a number. */
export function formatHost(number) {
	return `${network}.${number}`;
}

/** Finds ports that are free on an address. */
export async function findPorts(host, count) {
	const servers = await Promise.all(Array.from({length: count}, async () => new Promise(resolve => {
		const server = createServer();
		server.listen(0, host, () => {
			resolve(server);
		});
	})));
	const ports = servers.map(server => server.address().port);
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}

/** The nodes of a deployment. */
export class Nodes {
	list = [];
	#folder = mkdtempSync(path.join(tmpdir(), 'cresshook-review-'));
	#store;
	#ports;

	constructor(store) {
		this.#store = store;
	}

	/** Starts nodes in turn over the zones and waits until all are ready. */
	async start(count, zones) {
		this.#ports = await findPorts(formatHost(10), 6);
		for (let index = 0; index < count; index++) {
			const zone = zones[index % zones.length];
			this.list.push({name: `edge-${zone}-${1 + Math.floor(index / zones.length)}`, zone, host: formatHost(10 + index)});
		}

		for (const node of this.list) {
			this.launch(node, true);
		}

		await Promise.all(this.list.map(async node => this.waitUntilReady(node)));
	}

	/** Starts the process of a node. */
	launch(node, isFirstStart = false) {
		const settings = path.join(this.#folder, `${node.name}.toml`);
		const [callers] = this.#ports;
		writeFileSync(settings, this.format(node, isFirstStart));
		const log = openSync(path.join(this.#folder, `${node.name}.log`), 'a');
		node.callers = `${node.host}:${callers}`;
		node.process = spawn(process.execPath, formatArguments(settings, node.callers), {stdio: ['ignore', log, log]});
		node.hasEnded = new Promise(resolve => {
			node.process.once('exit', resolve);
		});
	}

	/** Formats settings as `deploy/settings.toml.template` does. */
	format({name, zone, host}, isFirstStart) {
		const [callers, ready, addresses, peers, heartbeat, metrics] = this.#ports;
		const seeds = this.list.slice(0, 3).map(seed => `"${seed.host}:${peers}"`);
		return `box = "${name}"
region = "sic-east"
availability_zone = "${zone}"
seeds = [${seeds.join(',')}]
first_start = ${isFirstStart}
heartbeat_port = ${heartbeat}
metrics_port = ${metrics}

[cpu]
share = 0.675
cores = 1

[listen]
callers = "${host}:${callers}"
ready = "${host}:${ready}"
addresses = "${host}:${addresses}"
peers = "${host}:${peers}"

[store]
address = "${this.#store}"

[stop]
grace_seconds = ${bounds.graceSeconds}

[retry]
ratio = 0.2
slack = 100
window_seconds = 10
`;
	}

	/** Whether the readiness check of a node answers 200. */
	async isReady({host}) {
		return new Promise(resolve => {
			const request = get({
				host, port: this.#ports[1], path: '/v1/readyz', agent: false, timeout: 500,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.once('timeout', () => {
				request.destroy();
			});
			request.once('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady(node) {
		const until = Date.now() + startTime;
		while (!await this.isReady(node)) {
			if (Date.now() > until) {
				throw new Error(`${node.name} is not ready`);
			}

			await pause(50);
		}
	}

	/** Log lines of a node with an event. */
	readEvents(node, event) {
		const text = readFileSync(path.join(this.#folder, `${node.name}.log`), 'utf8');
		return text.split('\n').filter(line => line.includes(`"event":"${event}"`)).map(line => JSON.parse(line));
	}

	/** Reads the status that a node gives on its metrics address. */
	async readStatus({host}) {
		const answer = await fetch(`http://${host}:${this.#ports[5]}/status`);
		return answer.json();
	}

	/** Nodes that watch the store for the others, by their own status. */
	async listWatchers() {
		const statuses = await Promise.all(this.list.map(async node => this.readStatus(node)));
		return this.list.filter((_, index) => statuses[index].isWatcher);
	}

	/** Name of the node that schedules the requests of a service, by the status of the first node. */
	async findScheduler(service) {
		const {services} = await this.readStatus(this.list[0]);
		return services.find(work => work.service === service)?.decider.name;
	}

	/** Ends all nodes and removes their files. */
	async stop() {
		for (const node of this.list) {
			node.process?.kill('SIGKILL');
		}

		await Promise.all(this.list.map(async ({hasEnded}) => hasEnded));
		rmSync(this.#folder, {recursive: true, force: true});
	}
}
