/** The network between nodes, with cuts and pauses that tests switch on. */
import type {Clock} from '../common/index.js';
import {NodeClients, type NodeRequest, type NodeResponse} from '../rpc/index.js';

/** Decides what becomes of messages between boxes. */
export class FaultyNetwork {
	readonly #boxes = new Map<string, string>();
	readonly #cut = new Set<string>();
	/** Boxes whose calls to another box fail, with those other boxes. */
	readonly #cutPaths = new Map<string, Set<string>>();
	readonly #paused = new Map<string, Array<() => void>>();

	/** Notes which box answers at an address. */
	addNode(box: string, nodeUrl: string): void {
		this.#boxes.set(new URL(nodeUrl).origin, box);
	}

	/** Cuts a box off: messages from and to it fail at once. */
	cut(box: string): void {
		this.#cut.add(box);
	}

	/** Cuts the way from a box to another one: calls of the first to the second fail at once, and the second may still call the first. */
	cutPath(from: string, to: string): void {
		const targets = this.#cutPaths.get(from) ?? new Set();
		this.#cutPaths.set(from, targets.add(to));
	}

	/** Holds messages to a box as a paused process does: their senders hear nothing, and they arrive when it wakes. */
	pause(box: string): void {
		this.#paused.set(box, []);
	}

	/** Ends a cut, a pause, or the cut ways from a box. */
	restore(box: string): void {
		this.#cut.delete(box);
		this.#cutPaths.delete(box);
		const held = this.#paused.get(box) ?? [];
		this.#paused.delete(box);
		for (const release of held) {
			release();
		}
	}

	/** Makes the clients of a box. */
	createClients(box: string, secret: string, clock: Clock): NodeClients {
		return new FaultyClients(this, box, {secret, clock});
	}

	/** Whether messages between a box and an address are cut. */
	isCut(from: string, target: string): boolean {
		const to = this.#findBox(target);
		return this.#cut.has(from) || this.#cut.has(to) || this.#cutPaths.get(from)?.has(to) === true;
	}

	/** Resolves when a message may arrive; undefined when nothing holds it. */
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
			throw new Error('the network is cut');
		}

		const pause = this.#network.findPause(target);
		return pause === undefined ? super.send(target, init) : this.#sendLater(pause, target, init);
	}

	/** The sender may give up, but what is sent arrives all the same. */
	async #sendLater(pause: Promise<void>, target: string, init: NodeRequest): Promise<NodeResponse> {
		const arrive = async (): Promise<NodeResponse> => {
			await pause;
			return super.send(target, {...init, signal: undefined});
		};

		const giveUp = new Promise<never>((_resolve, reject) => {
			init.signal?.addEventListener('abort', () => {
				reject(new Error('gave up'));
			});
		});
		return Promise.race([arrive(), giveUp]);
	}
}
