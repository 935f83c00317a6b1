/** Simulates network partitions and paused processes between nodes. */
import type {Clock} from '../common/index.js';
import {NodeClients, type NodeRequest, type NodeResponse} from '../rpc/index.js';

/** Delivers, rejects or delays messages between boxes. */
export class FaultyNetwork {
	readonly #boxes = new Map<string, string>();
	readonly #cut = new Set<string>();
	/** One-way partitions: for each sending box, the boxes that it cannot reach. */
	readonly #cutPaths = new Map<string, Set<string>>();
	readonly #paused = new Map<string, Array<() => void>>();

	/** Registers the address of the node on a box. */
	addNode(box: string, nodeUrl: string): void {
		this.#boxes.set(new URL(nodeUrl).origin, box);
	}

	/** Partitions a box: messages from and to it fail immediately. */
	cut(box: string): void {
		this.#cut.add(box);
	}

	/** Partitions one direction: calls from the first box to the second fail immediately, calls the other way still succeed. */
	cutPath(from: string, to: string): void {
		const targets = this.#cutPaths.get(from) ?? new Set();
		this.#cutPaths.set(from, targets.add(to));
	}

	/** Holds back messages to a box as if its process were paused: senders get no reply until `restore` delivers them. */
	pause(box: string): void {
		this.#paused.set(box, []);
	}

	/** Ends the partition, the outgoing one-way partitions and the pause of a box, and delivers the messages held back. */
	restore(box: string): void {
		this.#cut.delete(box);
		this.#cutPaths.delete(box);
		const held = this.#paused.get(box) ?? [];
		this.#paused.delete(box);
		for (const release of held) {
			release();
		}
	}

	/** Creates the node clients of a box, which send through this network. */
	createClients(box: string, secret: string, clock: Clock): NodeClients {
		return new FaultyClients(this, box, {secret, clock});
	}

	/** Whether a partition blocks messages from a box to an address. */
	isCut(from: string, target: string): boolean {
		const to = this.#findBox(target);
		return this.#cut.has(from) || this.#cut.has(to) || this.#cutPaths.get(from)?.has(to) === true;
	}

	/** Resolves when the target resumes; undefined when it is not paused. */
	findPause(target: string): Promise<void> | undefined {
		const held = this.#paused.get(this.#findBox(target));
		return held === undefined
			? undefined
			: new Promise(resolve => {
				held.push(resolve);
			});
	}

	#findBox(target: string): string {
		return this.#boxes.get(new URL(target).origin) ?? '';
	}
}

class FaultyClients extends NodeClients {
	readonly #network: FaultyNetwork;
	readonly #box: string;

	constructor(network: FaultyNetwork, box: string, parts: {secret: string; clock: Clock}) {
		super(parts.secret, parts.clock);
		this.#network = network;
		this.#box = box;
	}

	protected override async send(target: string, init: NodeRequest): Promise<NodeResponse> {
		if (this.#network.isCut(this.#box, target)) {
			throw new Error('network partitioned: the target is unreachable');
		}

		const pause = this.#network.findPause(target);
		return pause === undefined ? super.send(target, init) : this.#sendLater(pause, target, init);
	}

	/** Delivers the request even if the sender aborts meanwhile, because a sent message cannot be recalled. */
	async #sendLater(pause: Promise<void>, target: string, init: NodeRequest): Promise<NodeResponse> {
		const deliver = async (): Promise<NodeResponse> => {
			await pause;
			return super.send(target, {...init, signal: undefined});
		};

		const aborted = new Promise<never>((_resolve, reject) => {
			init.signal?.addEventListener('abort', () => {
				reject(new Error('the request was aborted while the target was paused'));
			});
		});
		return Promise.race([deliver(), aborted]);
	}
}
