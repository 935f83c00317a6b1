/** A small deployment: six nodes in three zones, a store, eighteen model runners, three runners of an application, and clients. */
import {randomBytes} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {Caller, createAttemptId} from './caller.mjs';
import {findPorts, formatHost, Nodes} from './nodes.mjs';
import {Runner} from './runner.mjs';
import {Store} from './store.mjs';

const zones = ['catania-a', 'catania-b', 'siracusa'];

/** Names of the services, the host and the key of the configuration. */
export const names = {
	model: 'bollettino-llm', app: 'tessere-app', host: 'mts.example', key: 'key-of-the-first-tenant', tenant: 'porti',
};

/** The configuration, as on the users' sheets: a resumable streaming route, and a route of each plain kind. */
const config = JSON.parse(readFileSync(new URL('config.json', import.meta.url), 'utf8'));

/** Returns the configuration in a later version, with some of its parts changed. */
export function createConfig(version, changes = {}) {
	return {...config, version, ...changes};
}

/** Time in which the runs of a runner count for how busy it is, in milliseconds. */
const recentTime = 2000;

/** Share of requests to the application. */
const appShare = 0.14;

/** Creates a request of the kinds and sizes on the users' sheet. */
export function createCall() {
	const id = createAttemptId();
	if (Math.random() < appShare) {
		return {
			id, path: `/fetch/${id}`, deadline: 3000, body: 'x'.repeat(600),
		};
	}

	const headers = {'cresshook-model': 'm', 'cresshook-token-usage': '4960,1600', 'cresshook-prompt-prefix': `5c1e07a2:40,${id}:4920`};
	return {
		id, path: `/nowcast/${id}`, deadline: 10_000, body: 'x'.repeat(1200), headers,
	};
}

/** The deployment. */
export class Fleet {
	store = new Store();
	runners = [];
	callers = new Caller();
	answers = [];
	#record = [];
	#file;
	#startedAt = Date.now();
	#sending;
	#number = 0;

	constructor(file) {
		this.#file = file;
	}

	/** Starts everything; `options` are those of the runners by service. */
	async start({nodes = 6, models = 18, apps = 3, options = {}, storePorts = {}} = {}) {
		const [storePort] = await findPorts(formatHost(1), 1);
		await this.store.start(formatHost(1), storePort);
		this.store.put('config', 'main', createConfig(7));
		await Promise.all([
			...Array.from({length: models}, async (_, index) => this.addRunner(names.model, 'stream', {zone: zones[index % zones.length], ...options[names.model]})),
			...Array.from({length: apps}, async (_, index) => this.addRunner(names.app, 'plain', {zone: zones[index % zones.length], ...options[names.app]})),
		]);
		this.nodes = new Nodes(storePorts.address ?? this.store.address);
		await this.nodes.start(nodes, zones);
	}

	/** Starts a runner and has it registered. */
	async addRunner(service, kind, options = {}) {
		const number = ++this.#number;
		const host = formatHost(100 + number);
		const [port] = await findPorts(host, 1);
		const runner = new Runner({
			id: `i-${randomBytes(5).toString('hex')}`, service, kind, host, port, ...options,
		});
		await runner.start();
		this.runners.push(runner);
		this.store.put('servers', runner.id, runner.describe());
		return runner;
	}

	/** Writes a line to the record. */
	note(text, fields) {
		const line = `${((Date.now() - this.#startedAt) / 1000).toFixed(3)} ${text}${fields === undefined ? '' : ` ${JSON.stringify(fields)}`}`;
		this.#record.push(line);
	}

	/** Sends requests at a rate, each to a node drawn from `listNodes`, until `stopSending`. */
	sendSteadily(perSecond, listNodes, create) {
		const sending = {};
		this.#sending = sending;
		const send = () => {
			if (this.#sending !== sending) {
				return;
			}

			const nodes = listNodes();
			const node = nodes[Math.floor(Math.random() * nodes.length)];
			this.send(node.callers, create());
			setTimeout(send, (0.5 + Math.random()) * 1000 / perSecond);
		};

		send();
	}

	stopSending() {
		this.#sending = undefined;
	}

	async send(address, call) {
		const answer = await this.callers.send(address, {host: names.host, key: names.key, ...call});
		this.answers.push(answer);
		return answer;
	}

	/** The runners of a service, those that have run most lately first. */
	listBusiest(service) {
		const since = Date.now() - recentTime;
		const countRuns = ({runs}) => runs.filter(({at}) => at >= since).length;
		return this.runners.filter(runner => runner.service === service).sort((left, right) => countRuns(right) - countRuns(left));
	}

	/** The runner of a service that has run most. */
	findBusiest(service) {
		return this.listBusiest(service)[0];
	}

	/** All runs of all runners, in order. */
	listRuns() {
		return this.runners.flatMap(({runs}) => runs).sort((left, right) => left.at - right.at);
	}

	/** Notes the log lines of nodes with these events: what they believed, for whoever looks for the cause. */
	noteLogs(events) {
		const lines = this.nodes.list.flatMap(node => events.flatMap(event => this.nodes.readEvents(node, event).map(line => ({node: node.name, at: Date.parse(line.time), ...line}))));
		for (const {node, at, event, server, origin, msg} of lines.sort((left, right) => left.at - right.at)) {
			this.#record.push(`log ${((at - this.#startedAt) / 1000).toFixed(3)} ${[node, event, server, origin, msg].filter(Boolean).join(', ')}`);
		}
	}

	/** Writes the record: what was noted, sent, answered and run. */
	writeRecord() {
		const format = at => at === undefined ? '-' : ((at - this.#startedAt) / 1000).toFixed(3);
		const sent = [...this.answers].sort((left, right) => left.sentAt - right.sentAt)
			.map(({id, sentAt, endedAt, address, path, status, end}) => `sent ${format(sentAt)} ${id} ${path} to ${address}; answered ${format(endedAt)} ${status} ${end}`);
		const runs = this.listRuns().map(({id, at, endedAt, runner, node, end}) => `run ${format(at)} ${id} at ${runner} from ${node}; ended ${format(endedAt)} ${end}`);
		writeFileSync(this.#file, `${[...this.#record, '', ...sent, '', ...runs].join('\n')}\n`);
	}

	async stop() {
		this.stopSending();
		this.callers.close();
		await this.nodes?.stop();
		for (const runner of this.runners) {
			runner.stop();
		}

		this.store.stop();
	}
}

/** Exit codes of a case. */
const held = 0;
const broken = 1;
const couldNotRun = 2;

/** Runs a case: `play(fleet)` returns the sentences that say how the rule was broken. */
export async function runCase(file, play) {
	const fleet = new Fleet(file);
	let code = couldNotRun;
	try {
		const breaks = await play(fleet);
		for (const text of breaks) {
			fleet.note(`BROKEN: ${text}`);
		}

		code = breaks.length === 0 ? held : broken;
		fleet.note(code === held ? 'the rule held' : `the rule was broken ${breaks.length} times`);
		console.log(breaks.length === 0 ? 'the rule held' : `the rule was broken ${breaks.length} times, first: ${breaks[0]}`);
	} catch (error) {
		fleet.note(`could not run: ${error.stack}`);
		console.log(`could not run: ${error.message}`);
	} finally {
		await fleet.stop();
		fleet.writeRecord();
	}

	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- timers of ended runners must not delay the end
}

export {setTimeout as pause} from 'node:timers/promises';
