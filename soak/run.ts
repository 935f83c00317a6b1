/** One run: starts a fleet, sends traffic, disturbs it by its seed, and judges what was seen. */
import {
	SoakFleet, stopGrace, type FleetSize, type SoakNode, type SoakServer,
} from './fleet.js';
import {evaluateRun, type Violation} from './judge.js';
import {pause} from './link.js';
import {Load} from './load.js';
import {drawFaults, type Fault, type FaultKind} from './plan.js';
import {createRecords, type FaultRecord, type RunRecords} from './records.js';

/** What one run is. */
export type RunOptions = {
	seed: number;
	/** Milliseconds of traffic. */
	length: number;
	size: FleetSize;
	/** Folder for the logs of all processes. */
	folder: string;
	/**
	 * Kinds of fault that come.
	 *
	 * @default all
	 */
	kinds?: FaultKind[];
};

/** What came of it. */
export type RunResult = {seed: number; calls: number; whole: number; faults: number; processes: number; violations: Violation[]};

/** Calm time at the end, in milliseconds: reservations of dead nodes have run out by then. */
const calmEnd = 4500;

/** How long connections that were severed may stay in use at nodes that have not met them, in milliseconds. */
const severedMemory = 2000;

/** Limits that servers name, in requests a second. */
const namedLimits = [0, 0.5, 1, 2, 5];

/** Time between two changes while the store is silent to most nodes, in milliseconds. */
const partialChangeGap = 500;

/** How late the store's second answer may be believed to be over, in milliseconds. */
const recordMargin = 200;

/** Runs and judges. */
export async function runOnce(options: RunOptions): Promise<RunResult> {
	const records = createRecords();
	const fleet = new SoakFleet(options.folder, records, options.size);
	try {
		await fleet.start();
		return await Promise.race([playRun(fleet, records, options), fleet.watchStore()]);
	} finally {
		await fleet.stop();
	}
}

async function playRun(fleet: SoakFleet, records: RunRecords, options: RunOptions): Promise<RunResult> {
	const load = new Load(fleet, records, options.seed);
	const loading = load.run();
	const faults = drawFaults(options.seed, options.length, options.kinds);
	try {
		// Together, so that a fault that cannot be played ends the run when it comes, and not as an error that nobody waits for.
		await Promise.all([disturb({fleet, records, load}, faults), pause(options.length)]);
	} finally {
		load.stop();
	}

	await loading;
	await pause(calmEnd);
	await fleet.listLeftMemory();
	await fleet.listUnusedServers();
	return {
		seed: options.seed,
		calls: records.calls.length,
		whole: records.calls.filter(call => call.isComplete && call.status === 200).length,
		faults: faults.length,
		processes: fleet.processes.count,
		violations: evaluateRun(records, stopGrace),
	};
}

/** What faults are played on. */
type Played = {fleet: SoakFleet; records: RunRecords; load: Load};

async function disturb(played: Played, faults: Fault[]): Promise<void> {
	const start = Date.now();
	await Promise.all(faults.map(async fault => {
		await pause(start + fault.at - Date.now());
		await new Disturbance(played, fault).play();
	}));
}

/** One fault as it is played. */
class Disturbance {
	readonly #fleet: SoakFleet;
	readonly #records: RunRecords;
	readonly #load: Load;
	readonly #fault: Fault;

	constructor({fleet, records, load}: Played, fault: Fault) {
		this.#fleet = fleet;
		this.#records = records;
		this.#load = load;
		this.#fault = fault;
	}

	async play(): Promise<void> {
		const {kind, target} = this.#fault;
		const [what, ...rest] = kind.split('_');
		const how = rest.join('_');
		switch (what) {
			case 'node': {
				await this.#disturbNode(this.#fleet.nodes[target % this.#fleet.nodes.length], how);

				break;
			}

			case 'server': {
				const server = this.#fleet.findServer(target);
				await (how === 'limit' ? this.#limitServer(server) : this.#disturbServer(server, how));

				break;
			}

			case 'request': {
				await this.#load.repeatCrashing(`${target}-${this.#fault.at}`, this.#fault.duration);

				break;
			}

			case 'entry': {
				const server = this.#fleet.findServer(target);
				await this.#record({server: server.id}, async () => this.#fleet.writeForeignEntries(server, target));

				break;
			}

			case 'store': {
				await (how === 'partial' ? this.#silencePartly() : this.#disturbStore(how));

				break;
			}

			case 'link': {
				await (how === 'severed' ? this.#severLinks() : this.#disturbLink());

				break;
			}

			default: {await (kind === 'all_kill' ? Promise.all(this.#fleet.nodes.map(async node => this.#disturbNode(node, 'kill'))) : this.#fleet.changeConfig());
			}
		}
	}

	/** Records the fault from now until `end` has happened. */
	async #record(who: Pick<FaultRecord, 'node' | 'server' | 'served'>, during: () => Promise<void>): Promise<void> {
		const record: FaultRecord = {
			kind: this.#fault.kind, from: Date.now() - recordMargin, to: Number.POSITIVE_INFINITY, ...who,
		};
		this.#records.faults.push(record);
		await during();
		record.to = Date.now();
	}

	async #disturbNode(node: SoakNode, how: string): Promise<void> {
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

		node.isChanging = true;
		if (how === 'stop') {
			await this.#stopNode(node);
		} else {
			await this.#record({node: node.name}, async () => {
				await node.process.kill();
				await pause(this.#fault.duration);
				await this.#fleet.restartNode(node);
			});
		}

		node.isChanging = false;
	}

	async #stopNode(node: SoakNode): Promise<void> {
		const stop = {node: node.name, at: Date.now(), endedAt: Number.POSITIVE_INFINITY};
		this.#records.stops.push(stop);
		node.process.signal('SIGTERM');
		const isEnded = await Promise.race([node.process.ended, pause(stopGrace)]);
		if (isEnded !== true) {
			await node.process.kill();
		}

		stop.endedAt = Date.now();
		await this.#fleet.restartNode(node);
	}

	async #disturbServer(server: SoakServer, how: string): Promise<void> {
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

	/** Excuses nothing: a limited server serves what it is sent. */
	async #limitServer(server: SoakServer): Promise<void> {
		server.process.send({limit: namedLimits[this.#fault.target % namedLimits.length]});
		await pause(this.#fault.duration);
		server.process.send({});
	}

	async #disturbStore(how: string): Promise<void> {
		await this.#record({}, async () => {
			this.#fleet.tellStore(how === 'forget' ? {forget: true} : {trouble: how});
			await pause(this.#fault.duration);
			this.#fleet.tellStore({trouble: 'none'});
		});
	}

	/** One node is served: what changes meanwhile must be in force at all in time. */
	async #silencePartly(): Promise<void> {
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
	 * Excuses nothing but what a server was cut off from: every promise to callers holds on silent connections, too,
	 * and a configuration that changes right after must be in force in time.
	 */
	async #severLinks(): Promise<void> {
		const {link, target, duration} = this.#fault;
		const severed = this.#fleet.findLinks(link ?? 'store', target, target % 2 === 0);
		await Promise.all(severed.map(async each => {
			each.link.sever();
			if (each.server !== undefined) {
				await this.#record({server: each.server.id}, async () => pause(severedMemory));
			}
		}));
		await pause(duration);
		await this.#fleet.changeConfig();
	}

	async #disturbLink(): Promise<void> {
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
