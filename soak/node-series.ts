/** Stops nodes as planned: one, in rolling restarts, and with several signals. */
import seedrandom from 'seedrandom';
import {stopGrace, type SoakFleet, type SoakNode} from './fleet.js';
import {pause} from './link.js';
import type {Fault, SignalStep} from './plan.js';
import type {RunRecords, StopRecord} from './records.js';

/** Maximum pauses of a rolling restart between two nodes, two configurations and two SIGHUPs, in milliseconds. */
const rollPause = 300;
const rollChangePause = 1500;
const rollReloadPause = 800;

/** Injects planned work on nodes. */
export class NodeSeries {
	readonly #fleet: SoakFleet;
	readonly #records: RunRecords;

	constructor(fleet: SoakFleet, records: RunRecords) {
		this.#fleet = fleet;
		this.#records = records;
	}

	/** Sends signals to a node, and waits for its end if it is asked to end; kills it after the grace period, as the platform does. */
	async signal(node: SoakNode, steps: SignalStep[] = [{name: 'SIGTERM', after: 0}]): Promise<void> {
		const {process} = node;
		let stop: StopRecord | undefined;
		for (const {name, after} of steps) {
			await Promise.race([process.ended, pause(after)]);
			if (process.isEnded) {
				break;
			}

			if (name === 'SIGHUP') {
				await this.#fleet.reloadNode(node, after);
				continue;
			}

			if (stop === undefined) {
				stop = {node: node.name, at: Date.now(), endedAt: Number.POSITIVE_INFINITY};
				this.#records.stops.push(stop);
			}

			process.signal(name);
		}

		if (stop === undefined) {
			return;
		}

		stop.wasKilled = await Promise.race([process.ended, pause(stop.at + stopGrace - Date.now())]) !== true;
		if (stop.wasKilled) {
			await process.kill();
		}

		stop.endedAt = Date.now();
		stop.exit = process.exit;
	}

	/** Stops a node and starts it again. */
	async restart(node: SoakNode): Promise<void> {
		await this.signal(node);
		await this.#fleet.restartNode(node);
	}

	/** Injects a drawn series of signals. */
	async injectSignals(node: SoakNode, {signals, isInStart}: Fault): Promise<void> {
		if (isInStart === true) {
			await this.signal(node);
			await this.#fleet.startNode(node);
			await node.process.waitForHandlers();
		}

		await this.signal(node, signals);
		await (node.process.isEnded ? this.#fleet.restartNode(node) : this.#fleet.waitForNode(node));
	}

	/** Restarts node after node, one or two at a time, while versions and settings change. */
	async injectRoll({target, at, duration}: Fault): Promise<void> {
		const random = seedrandom(`roll-${target}-${at}`);
		const until = Date.now() + duration;
		const repeat = async (maxPause: number, act: () => Promise<void>) => {
			while (Date.now() < until) {
				await act();
				await pause(random() * maxPause);
			}
		};

		const {nodes} = this.#fleet;
		let turn = target;
		const restartNext = async () => repeat(rollPause, async () => {
			await changeNode(nodes[turn++ % nodes.length], async node => this.restart(node));
		});
		const reload = async () => repeat(rollReloadPause, async () => {
			const node = nodes[Math.floor(random() * nodes.length)];
			if (!node.isChanging) {
				await this.#fleet.reloadNode(node, Math.floor(random() * 1000));
			}
		});
		const lanes = Array.from({length: 1 + (target % 2)}, async () => restartNext());
		await Promise.all([...lanes, reload(), repeat(rollChangePause, async () => this.#fleet.changeConfig())]);
	}
}

/** Changes a node unless it is being changed. */
export async function changeNode(node: SoakNode, change: (node: SoakNode) => Promise<void>): Promise<void> {
	if (node.isChanging) {
		return;
	}

	node.isChanging = true;
	await change(node);
	node.isChanging = false;
}
