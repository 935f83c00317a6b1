/** Executes one run: starts a fleet, sends traffic, injects the faults of the seed, and checks the records. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {monitorEventLoopDelay} from 'node:perf_hooks';
import {
	evacuatedZones, SoakFleet, stopGrace, type FleetSize, type SoakNode, type SoakServer,
} from './fleet.js';
import {floodKinds} from './floods.js';
import {evaluateRun} from './judge.js';
import {pause} from './link.js';
import {Load} from './load.js';
import {changeNode, NodeSeries} from './node-series.js';
import {drawFaults, type Fault, type FaultKind} from './plan.js';
import {
	createRecords, type FaultRecord, type RunRecords, type Violation,
} from './records.js';

/** Options of a run. */
export type RunOptions = {
	seed: number;
	/** Duration of the traffic, in milliseconds. */
	length: number;
	size: FleetSize;
	/** Folder for the logs of all processes. */
	folder: string;
	/**
	 * Kinds of fault to inject.
	 *
	 * @default all
	 */
	kinds?: FaultKind[];
};

/** Summary of a run: `whole` counts complete responses with status 200, `ownDelay` is the longest delay of the soak's own event loop in milliseconds. */
export type RunResult = {seed: number; calls: number; whole: number; faults: number; processes: number; ownDelay: number; violations: Violation[]};

/** File in the folder of a run with everything that was observed. */
const recordsFile = 'records.json';

/** Time without faults at the end of a run, in milliseconds; long enough for reservations of dead nodes to expire. */
const settleTime = 4500;

/** Time during which nodes may still use severed connections that they have not detected yet, in milliseconds. */
const severedExcuseTime = 2000;

/** Rate limits that servers announce, in requests per second. */
const rateLimits = [0, 0.5, 1, 2, 5];

/** Time between two configuration changes during a partial store outage, in milliseconds. */
const partialChangeGap = 500;

/** Time by which the recorded start of a fault precedes its injection, in milliseconds, because the end of the store's second response may be noticed late. */
const recordMargin = 200;

/** Executes a run and checks its records; rejects when the fleet fails to start or the store ends. */
export async function runOnce(options: RunOptions): Promise<RunResult> {
	const records = createRecords();
	const fleet = new SoakFleet(options.folder, records, options.size);
	try {
		await fleet.start();
		return await Promise.race([executeRun(fleet, records, options), fleet.watchStore()]);
	} finally {
		await fleet.stop();
	}
}

async function executeRun(fleet: SoakFleet, records: RunRecords, options: RunOptions): Promise<RunResult> {
	const load = new Load(fleet, records, options.seed);
	const delays = monitorEventLoopDelay();
	delays.enable();
	const loading = load.run();
	const faults = drawFaults(options.seed, options.length, options.kinds);
	try {
		// Awaited together, so that a failed injection ends the run at once instead of as an unhandled rejection.
		await Promise.all([injectFaults({fleet, records, load}, faults), pause(options.length)]);
	} finally {
		load.stop();
	}

	await loading;
	await pause(settleTime);
	await fleet.listLeftMemory();
	await fleet.listUnusedServers();
	writeFileSync(path.join(options.folder, recordsFile), JSON.stringify({...records, flooded: [...records.flooded]}));
	return {
		seed: options.seed,
		calls: records.calls.length,
		whole: records.calls.filter(call => call.isComplete && call.status === 200).length,
		faults: faults.length,
		processes: fleet.processes.count,
		ownDelay: Math.round(delays.max / 1e6),
		violations: evaluateRun(records, stopGrace),
	};
}

/** What a fault injector acts on. */
type FaultContext = {fleet: SoakFleet; records: RunRecords; load: Load};

async function injectFaults(played: FaultContext, faults: Fault[]): Promise<void> {
	const start = Date.now();
	await Promise.all(faults.map(async fault => {
		await pause(start + fault.at - Date.now());
		await new FaultInjector(played, fault).inject();
	}));
}

/** Injects one fault. */
class FaultInjector {
	readonly #fleet: SoakFleet;
	readonly #records: RunRecords;
	readonly #load: Load;
	readonly #series: NodeSeries;
	readonly #fault: Fault;

	constructor({fleet, records, load}: FaultContext, fault: Fault) {
		this.#fleet = fleet;
		this.#records = records;
		this.#load = load;
		this.#series = new NodeSeries(fleet, records);
		this.#fault = fault;
	}

	async inject(): Promise<void> {
		const {kind, target} = this.#fault;
		const [what, ...rest] = kind.split('_');
		const how = rest.join('_');
		switch (what) {
			case 'node': {
				await this.#injectNodeFault(this.#fleet.nodes[target % this.#fleet.nodes.length], how);

				break;
			}

			case 'server': {
				const server = this.#fleet.findServer(target);
				await (how === 'limit' || how === 'floods' ? this.#orderServer(server, how) : this.#injectServerFault(server, how));

				break;
			}

			case 'zone': {
				await this.#evacuateZone();

				break;
			}

			case 'request': {
				await this.#load.repeatCrashing(`${target}-${this.#fault.at}`, this.#fault.duration);

				break;
			}

			case 'nodes': {
				await (how === 'roll' ? this.#series.injectRoll(this.#fault) : this.#cutNodes());

				break;
			}

			case 'entry': {
				await this.#writeEntries(how);

				break;
			}

			case 'store': {
				await (how === 'partial' ? this.#injectPartialOutage() : this.#injectStoreFault(how));

				break;
			}

			case 'link': {
				await (how === 'severed' ? this.#severLinks() : this.#injectLinkFault());

				break;
			}

			default: {await (kind === 'all_kill' ? Promise.all(this.#fleet.nodes.map(async node => this.#injectNodeFault(node, 'kill'))) : this.#fleet.changeConfig());
			}
		}
	}

	/** Records the fault for as long as `during` runs. */
	async #record(who: Pick<FaultRecord, 'node' | 'server' | 'served'>, during: () => Promise<void>): Promise<void> {
		const record: FaultRecord = {
			kind: this.#fault.kind, from: Date.now() - recordMargin, to: Number.POSITIVE_INFINITY, ...who,
		};
		this.#records.faults.push(record);
		await during();
		record.to = Date.now();
	}

	async #injectNodeFault(node: SoakNode, how: string): Promise<void> {
		if (node.isChanging) {
			return;
		}

		if (how === 'pause') {
			await this.#record({node: node.name}, async () => {
				const paused = node.process;
				paused.signal('SIGSTOP');
				await pause(this.#fault.duration);
				paused.signal('SIGCONT');
			});
			return;
		}

		await changeNode(node, async () => {
			if (how === 'stop') {
				await this.#series.restart(node);
			} else if (how === 'signals') {
				await this.#series.injectSignals(node, this.#fault);
			} else {
				await this.#record({node: node.name}, async () => {
					await node.process.kill();
					await pause(this.#fault.duration);
					await this.#fleet.restartNode(node);
				});
			}
		});
	}

	async #injectServerFault(server: SoakServer, how: string): Promise<void> {
		await this.#record({server: server.id}, async () => {
			if (how === 'drain') {
				await this.#fleet.replaceServer(server);
				server.process.signal('SIGTERM');
				await server.process.ended;
			} else if (how === 'pause') {
				server.process.signal('SIGSTOP');
				await pause(this.#fault.duration);
				server.process.signal('SIGCONT');
			} else if (how.endsWith('reborn')) {
				server.process.signal(how === 'reborn' ? 'SIGTERM' : 'SIGKILL');
				await server.process.ended;
				await this.#fleet.restartServer(server);
			} else {
				await server.process.kill();
				await pause(this.#fault.duration);
				await this.#fleet.replaceServer(server);
			}
		});
	}

	/** Not recorded as a fault: a rate-limited server still serves every request, and a flooding one must not disturb the others. */
	async #orderServer(server: SoakServer, how: 'limit' | 'floods'): Promise<void> {
		const {target, duration} = this.#fault;
		server.process.send(how === 'limit' ? {limit: rateLimits[target % rateLimits.length]} : {flood: floodKinds[target % floodKinds.length]});
		await pause(duration);
		server.process.send(how === 'limit' ? {limit: 'none'} : {flood: 'none'});
	}

	/** Odd entries are not recorded as a fault: they are of no server. */
	async #writeEntries(how: string): Promise<void> {
		const {target} = this.#fault;
		if (how === 'odd') {
			this.#fleet.writeOddEntry(target);
			return;
		}

		const server = this.#fleet.findServer(target);
		await this.#record({server: server.id}, async () => this.#fleet.writeForeignEntries(server, target));
	}

	/** Not recorded as a fault: the servers of the other zones serve every request. */
	async #evacuateZone(): Promise<void> {
		const zone = evacuatedZones[this.#fault.target % evacuatedZones.length];
		this.#fleet.sendToStore({evacuate: zone});
		await pause(this.#fault.duration);
		this.#fleet.sendToStore({endEvacuation: zone});
	}

	/** Not recorded as a fault: the nodes that are not cut reach all servers. */
	async #cutNodes(): Promise<void> {
		const {nodes} = this.#fleet;
		const {target, duration} = this.#fault;
		const counts = [1, Math.ceil(nodes.length / 2), nodes.length - 1];
		const first = target % nodes.length;
		const cut = [...nodes.slice(first), ...nodes.slice(0, first)].slice(0, counts[target % counts.length]);
		const record = {nodes: cut.map(({name}) => name), from: Date.now(), to: Number.POSITIVE_INFINITY};
		this.#records.cuts.push(record);
		this.#fleet.cutFromServers(cut, target % 2 === 0 ? 'reset' : 'silent');
		await pause(duration);
		record.to = Date.now();
		this.#fleet.restoreToServers(cut);
	}

	async #injectStoreFault(how: string): Promise<void> {
		await this.#record({}, async () => {
			this.#fleet.sendToStore(how === 'forget' ? {forget: true} : {trouble: how});
			await pause(this.#fault.duration);
			this.#fleet.sendToStore({trouble: 'none'});
		});
	}

	/** The store still responds to one node; changes made meanwhile must take effect at all nodes in time. */
	async #injectPartialOutage(): Promise<void> {
		const {nodes} = this.#fleet;
		const {target, duration} = this.#fault;
		const served = nodes[target % nodes.length];
		const silent = nodes.filter(node => node !== served);
		await this.#record({served: [served.name]}, async () => {
			const until = Date.now() + duration;
			for (const node of silent) {
				node.storeLink.setFault({isSilentForth: true, isSilentBack: true});
			}

			while (Date.now() < until) {
				await this.#fleet.changeConfig();
				await pause(partialChangeGap);
			}

			for (const node of silent) {
				node.storeLink.clearFault();
			}
		});
	}

	/**
	 * Records a fault only for severed servers: stalled connections excuse no violation towards callers,
	 * and a configuration change right after must take effect in time.
	 */
	async #severLinks(): Promise<void> {
		const {link, target, duration} = this.#fault;
		const severed = this.#fleet.findLinks(link ?? 'store', target, target % 2 === 0);
		await Promise.all(severed.map(async each => {
			each.link.sever();
			if (each.server !== undefined) {
				await this.#record({server: each.server.id}, async () => pause(severedExcuseTime));
			}
		}));
		await pause(duration);
		await this.#fleet.changeConfig();
	}

	async #injectLinkFault(): Promise<void> {
		const {kind, link: linkKind, target, duration} = this.#fault;
		const {link, node, server} = this.#fleet.findLink(linkKind ?? 'callers', target);
		await this.#record({node: node?.name, server: server?.id}, async () => {
			if (kind === 'link_reset') {
				link.reset();
				return;
			}

			link.setFault({
				delay: kind === 'link_delay' ? Math.min(duration / 10, 200) : 0,
				isSilentBack: kind === 'link_silent' || kind === 'link_one_way',
				isSilentForth: kind === 'link_silent',
			});
			await pause(duration);
			link.clearFault();
		});
	}
}
