/** A small deployment on loopback addresses: the project's program as the deploy file runs it, and stand-ins for the rest. */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {once} from 'node:events';
import {
	appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));

/** Longest run of a case, in milliseconds. */
const maxRunTime = 110_000;

/** Maximum number of breaks that the result names, the last ones. */
const maxNamed = 6;

const exitCodes = {held: 0, broken: 1, notRun: 2};

/** The bounds of the sheets of the small deployments, as the settings give them. */
const bounds = {
	graceS: 8, retryBudgetRatio: 0.2, retrySlack: 100, retryWindowS: 10,
};

const parts = JSON.parse(readFileSync(new URL('config.json', import.meta.url), 'utf8'));
const {host} = parts.route;

/** The pace and the memory of a model runner. */
export const {engine} = parts;

const [{apiKeys: [key]}] = parts.config.tenants;

/** A route of a kind; `changes` are its own fields. */
export function createRoute(kind, name, changes = {}) {
	return {
		...parts.route, ...(kind === 'streaming' && parts.stream), kind, name, pathPrefix: `/${name}/`, ...changes,
	};
}

/** The first configuration, with these routes. */
export function createConfig(routes, changes = {}) {
	return {...parts.config, routes, ...changes};
}

const standinHost = '127.0.0.1';

/** Waits. */
export async function pause(milliseconds) {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** One gateway process. */
class Node {
	#child;
	#fleet;

	constructor(fleet, fields, isMarked) {
		this.#fleet = fleet;
		this.fields = fields;
		this.isMarked = isMarked;
	}

	get callers() {
		return this.fields.listen.front;
	}

	/** How the process ended; undefined while it runs. */
	get exit() {
		const {exitCode, signalCode} = this.#child;
		return exitCode ?? signalCode ?? undefined;
	}

	start() {
		const settings = path.join(this.#fleet.folder, `${this.fields.nodeName}.toml`);
		writeFileSync(settings, fillTemplate(readFileSync(path.join(root, 'deploy/settings.toml.template'), 'utf8'), this.fields));
		const [, run] = /^run = "(.*)"$/m.exec(readFileSync(path.join(root, 'deploy/system.toml'), 'utf8'));
		const [program, ...words] = fillTemplate(run, this.fields).replace('/etc/cresshook/node.yaml', settings).split(' ');
		this.#child = spawn(program, words, {cwd: root, stdio: ['ignore', 'pipe', 'pipe']});
		for (const output of [this.#child.stdout, this.#child.stderr]) {
			output.on('data', chunk => {
				appendFileSync(path.join(this.#fleet.folder, `${this.fields.nodeName}.log`), chunk);
			});
		}

		this.#child.once('exit', (code, signal) => {
			this.#fleet.record(`node ${this.fields.nodeName} has ended: ${signal ?? `exit ${code}`}`);
		});
	}

	/** Sends a signal. */
	signal(name) {
		this.#fleet.record(`node ${this.fields.nodeName} gets ${name}`);
		this.#child.kill(name);
	}

	async waitForEnd() {
		if (this.exit === undefined) {
			await once(this.#child, 'exit');
		}
	}

	/** Waits until its readiness check answers 200. */
	async waitUntilReady() {
		for (;;) {
			if (this.exit !== undefined) {
				throw new Error(`node ${this.fields.nodeName} ended at its start`);
			}

			const status = await new Promise(resolve => {
				get(`http://${this.fields.listen.ready}/v1/readyz`, answer => {
					answer.resume();
					resolve(answer.statusCode);
				}).once('error', () => {
					resolve(0);
				});
			});
			if (status === 200) {
				return;
			}

			await pause(50);
		}
	}

	kill() {
		this.#child?.kill('SIGKILL');
	}
}

/** All processes and stand-ins of one case. */
export class Fleet {
	folder = mkdtempSync(path.join(tmpdir(), 'cresshook-review-'));
	store = new Store();
	nodes = [];
	runners = [];
	#recordFile;
	#startedAt = performance.now();

	constructor(recordFile) {
		this.#recordFile = recordFile;
		writeFileSync(recordFile, '');
	}

	/** Writes one line of the record, with the seconds since the start of the case. */
	record = line => {
		appendFileSync(this.#recordFile, `${((performance.now() - this.#startedAt) / 1000).toFixed(3).padStart(8)} ${line}\n`);
	};

	/** Starts the store with a configuration, runners as `{id, service, zone, work}`, and as many nodes as `nodes` says. */
	async start({config, runners, nodes}) {
		await this.store.start(standinHost);
		this.store.put('config', 'main', config);
		for (const options of runners) {
			const runner = new Runner({...options, store: this.store, record: this.record});
			this.runners.push(runner);
			await runner.start(standinHost);
		}

		const internal = await findFreePort(standinHost);
		// The ports of metrics are alike on all machines, so each run takes addresses of its own.
		const network = `127.${randomInt(20, 250)}.${randomInt(1, 250)}`;
		const hosts = Array.from({length: nodes}, (_, index) => `${network}.${index + 11}`);
		const control = await findFreePort(standinHost);
		for (const [index, ip] of hosts.entries()) {
			const listen = {control: `${ip}:${control}`};
			for (const name of ['front', 'ready', 'directory']) {
				listen[name] = `${ip}:${await findFreePort(ip)}`;
			}

			this.nodes.push(new Node(this, {
				nodeName: `edge-${index + 1}`,
				region: 'sic-east',
				zone: 'catania-a',
				seedNodes: hosts.slice(0, 3).map(seed => `${seed}:${control}`),
				bootstrap: true,
				internalPortRange: [internal, internal + 15],
				limits: {
					cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4200, linkMbps: 1000, diskMb: 0,
				},
				listen,
				platform: {address: this.store.address},
				bounds,
			}));
		}

		for (const node of this.nodes) {
			node.start();
		}

		for (const node of this.nodes) {
			await node.waitUntilReady();
		}

		// The nodes have heard of each other.
		await pause(2000);
	}

	/** Ends all processes and stand-ins that the case started. */
	stop() {
		for (const each of [...this.nodes.map(node => ({stop: () => node.kill()})), ...this.runners, this.store]) {
			each.stop();
		}

		if (process.env.KEEP_LOGS === undefined) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}
}

/** Header fields of a client's request; each has an id of its own. */
export function createHeaders(attempt, deadline) {
	return {
		host, authorization: `Bearer ${key}`, 'cresshook-attempt-id': attempt, 'cresshook-deadline-ms': deadline,
	};
}

/** Runs one case: `play(fleet, hasTrouble)` returns the ways in which the rule was broken, as sentences. */
export async function runCase(folder, play) {
	const fleet = new Fleet(path.join(folder, 'record.txt'));
	const hasTrouble = process.env.TROUBLE !== '0';
	const limit = setTimeout(() => {
		finish(exitCodes.notRun, 'the case took too long');
	}, maxRunTime);
	const finish = (code, result) => {
		clearTimeout(limit);
		fleet.record(`result: ${result}`);
		process.stdout.write(`${result}\n`);
		fleet.stop();
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- connections that are still open must not delay the end
	};

	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			finish(exitCodes.notRun, 'the case was stopped');
		});
	}

	try {
		const broken = await play(fleet, hasTrouble);
		finish(broken.length > 0 ? exitCodes.broken : exitCodes.held, broken.length > 0 ? `the rule was broken, ${broken.length} times: ${broken.slice(-maxNamed).join('; ')}` : 'the rule held');
	} catch (error) {
		finish(exitCodes.notRun, `the case could not run: ${error.stack}`);
	}
}

async function findFreePort(ip) {
	const server = createServer();
	server.listen(0, ip);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

/** Fills the gaps of a template with the platform's fields, as DEPLOY.md says: values, JSON, lists and conditions. */
function fillTemplate(text, fields) {
	const find = name => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value?.[part];
		}

		return value;
	};

	const filled = text.replaceAll(/{{#([\w.]+)}}(.*?){{\/\1}}/gs, (_, name, inner) => {
		const value = find(name);
		if (!Array.isArray(value)) {
			return value === undefined || value === false ? '' : inner;
		}

		return value.map((entry, index) => inner
			.replaceAll('{{.|json}}', JSON.stringify(entry))
			.replaceAll('{{,}}', index === value.length - 1 ? '' : ',')).join('');
	});
	return filled.replaceAll(/{{([\w.]+)(\|json)?}}/g, (_, name, isJson) => {
		const value = find(name) ?? '';
		return isJson === undefined ? String(value) : JSON.stringify(value);
	});
}
