/** A stand-in fleet on a virtual clock with real loopback sockets. */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {jest} from '@jest/globals';
import {VirtualClock} from '../../src/common/index.js';
import {StandinFleet, standinFleet, type StandinFleetOptions} from '../../src/standin/index.js';

/**
 * Real-time limit of a test on the virtual clock, in milliseconds; only a guard against hangs.
 *
 * These tests are limited by virtual time (`maxSteps`). Two of them take 2.7 and 3.7 s of real time
 * alone, and exceeded 5 s at a load of 17 on eight cores.
 */
const realTimeGuard = 30_000;

jest.setTimeout(realTimeGuard);

/** Turns of the event loop for socket I/O before virtual time advances. */
const turnsPerStep = 12;
/** Step by which virtual time advances, in milliseconds. */
const defaultStep = 5;
/** Maximum number of steps to wait for one condition. */
const maxSteps = 60_000;

/** A fleet under test. */
export class TestFleet extends StandinFleet {
	readonly clock: VirtualClock;

	constructor(options: Partial<StandinFleetOptions> = {}) {
		const clock = new VirtualClock();
		super({clock, random: createRandom(), ...options});
		this.clock = clock;
	}

	/** Starts the fleet and waits until every node is ready and every pool has a dispatcher. */
	async startReady(): Promise<this> {
		await this.start();
		await this.waitUntil(() => this.nodes.every(node => node.phase === 'ready' && node.readStatus().readyNodes.length === this.nodes.length)
			&& this.nodes.flatMap(node => node.readStatus().pools).length >= 2
			&& this.nodes.every(node => node.view.list('DispatcherTerm').length >= 2));
		return this;
	}

	/** Advances virtual time until a promise settles. */
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

	/** Advances virtual time, with socket I/O in between, until a condition holds. */
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

		throw new Error(`the condition was not met within ${maxSteps * stepMilliseconds} ms of virtual time`);
	}

	/** Advances virtual time by a duration, with socket I/O in between. */
	async advanceTime(milliseconds: number, stepMilliseconds = defaultStep): Promise<void> {
		const end = this.clock.readMonotonic() + milliseconds;
		await this.waitUntil(() => this.clock.readMonotonic() >= end, stepMilliseconds);
	}

	/** Counts the tokens held in memory by all engines. */
	countHeldTokens(): number {
		return this.engines.reduce((sum, engine) => sum + engine.heldTokens, 0);
	}

	/** Returns the index of the node that schedules the engine service's pool. */
	findDispatcherNode(): number {
		return this.nodes.findIndex(node => node.phase !== 'stopped' && node.readStatus().pools.some(pool => pool.pool.startsWith(standinFleet.service)));
	}
}

/** Creates a seeded linear congruential generator, so that every run uses the same numbers. */
export function createRandom(seed = 1): () => number {
	let state = seed;
	return () => {
		state = ((state * 1_103_515_245) + 12_345) % 2_147_483_648;
		return state / 2_147_483_648;
	};
}
