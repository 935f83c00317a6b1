/** A fleet of stand-ins on a virtual clock, over real loopback sockets. */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {jest} from '@jest/globals';
import {VirtualClock} from '../../src/common/index.js';
import {StandinFleet, standinFleet, type StandinFleetOptions} from '../../src/standin/index.js';

/**
 * Real time for a test on the virtual clock, in milliseconds: a guard against a hang only.
 *
 * What bounds these tests is virtual time (`mostSteps`); two of them take 2.7 and 3.7 s of
 * real time alone and passed 5 s beside a load of 17 on eight cores.
 */
const realTimeGuard = 30_000;

jest.setTimeout(realTimeGuard);

/** Turns of the event loop given to sockets before time moves on. */
const turnsPerStep = 12;
const defaultStep = 5;
const maxSteps = 60_000;

/** A fleet under test. */
export class TestFleet extends StandinFleet {
	readonly clock: VirtualClock;

	constructor(options: Partial<StandinFleetOptions> = {}) {
		const clock = new VirtualClock();
		super({clock, random: createRandom(), ...options});
		this.clock = clock;
	}

	/** Starts and waits until every node is ready and every pool is decided somewhere. */
	async startReady(): Promise<this> {
		await this.start();
		await this.waitUntil(() => this.nodes.every(node => node.phase === 'ready' && node.readStatus().readyNodes.length === this.nodes.length)
			&& this.nodes.flatMap(node => node.readStatus().pools).length >= 2
			&& this.nodes.every(node => node.view.list('DispatcherTerm').length >= 2));
		return this;
	}

	/** Lets virtual time pass while sockets work, until something settles. */
	async settle<Result>(work: Promise<Result>): Promise<Result> {
		let isSettled = false;
		const watch = async () => {
			try {
				await work;
			} finally {
				isSettled = true;
			}
		};

		watch().catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then
		await this.waitUntil(() => isSettled);
		return work;
	}

	/** Lets virtual time pass while sockets work, until a condition holds. */
	async waitUntil(condition: () => boolean, stepMilliseconds = defaultStep): Promise<void> {
		for (let step = 0; step < maxSteps; step++) {
			for (let turn = 0; turn < turnsPerStep; turn++) {
				await waitForTurn();
				if (condition()) {
					return;
				}
			}

			this.clock.advance(stepMilliseconds);
		}

		throw new Error(`the condition did not come to hold in ${maxSteps * stepMilliseconds} ms of virtual time`);
	}

	/** Lets virtual time pass while sockets work. */
	async advanceTime(milliseconds: number, stepMilliseconds = defaultStep): Promise<void> {
		const end = this.clock.readMonotonic() + milliseconds;
		await this.waitUntil(() => this.clock.readMonotonic() >= end, stepMilliseconds);
	}

	/** Tokens of memory that all engines hold. */
	countHeldTokens(): number {
		return this.engines.reduce((sum, engine) => sum + engine.heldTokens, 0);
	}

	/** The node that decides for the engine service's pool. */
	findDispatcherNode(): number {
		return this.nodes.findIndex(node => node.phase !== 'stopped' && node.readStatus().pools.some(pool => pool.pool.startsWith(standinFleet.service)));
	}
}

/** A small linear congruential generator: the same numbers in every run. */
export function createRandom(seed = 1): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}
