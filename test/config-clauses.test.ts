import {expect, test} from '@jest/globals';
import seedrandom from 'seedrandom';
import {StoreFleet} from './helpers/store-fleet.js';

/** Timeout of a test that simulates dozens of nodes, in milliseconds. */
const simulationTimeout = 120_000;

/** Time within which a change must be in force at every node while the store answers any of them, in milliseconds. */
const changeBound = 2000;

/** Duration of a run, in milliseconds. */
const runTime = 20_000;

const stepTime = 10;

/** A version, when it was stored, and the nodes at which it is not in force yet. */
type PendingVersion = {version: number; at: number; missing: Set<number>};

/** A fleet in whose run versions are stored one by one and in series, while the store stops answering some nodes. */
class ClauseRun {
	/** Times until versions were in force at a node above the bound, and versions that came back. */
	readonly violations: string[] = [];
	readonly #fleet: StoreFleet;
	readonly #random: () => number;
	#pending: PendingVersion[] = [];
	readonly #versions: number[];

	constructor(nodes: number, seed: string) {
		this.#random = seedrandom(seed);
		this.#fleet = new StoreFleet({nodes, seed});
		this.#versions = this.#fleet.nodes.map(() => 0);
	}

	async run(): Promise<string[]> {
		const fleet = await this.#fleet.start();
		const {clock} = fleet;
		const endsAt = clock.readMonotonic() + runTime;
		let nextVersionAt = clock.readMonotonic();
		let nextOutageAt = clock.readMonotonic();
		let series = 0;
		while (clock.readMonotonic() < endsAt) {
			if (clock.readMonotonic() >= nextVersionAt) {
				this.#storeVersion();
				series = series > 0 ? series - 1 : Math.floor(this.#random() * 1.3) * 5;
				nextVersionAt = clock.readMonotonic() + (series > 0 ? this.#draw(20, 200) : this.#draw(300, 2800));
			}

			if (clock.readMonotonic() >= nextOutageAt) {
				const duration = this.#draw(300, 4000);
				clock.setTimer(duration, this.#startOutage());
				nextOutageAt = clock.readMonotonic() + duration + this.#draw(0, 3000);
			}

			await fleet.pass(stepTime);
			this.#observe();
		}

		await fleet.stop();
		return this.violations;
	}

	#draw(min: number, max: number): number {
		return min + (this.#random() * (max - min));
	}

	#storeVersion(): void {
		this.#pending.push({version: this.#fleet.changeConfig(), at: this.#fleet.clock.readMonotonic(), missing: new Set(this.#versions.keys())});
	}

	/** Starts an outage for one follower, all of them, or a share of all nodes but one. */
	#startOutage(): () => void {
		const {followers, nodes} = this.#fleet;
		const share = this.#random();
		const spared = Math.floor(this.#random() * nodes.length);
		const some = nodes.map(({index}) => index).filter(index => index !== spared && this.#random() < share);
		const affected = [followers.slice(0, 1), followers, some][Math.floor(this.#random() * 3)];
		const kind = this.#random() < 0.7 ? undefined : (['configuration', 'servers'] as const)[Math.floor(this.#random() * 2)];
		return this.#fleet.startOutage(affected, {...(kind !== undefined && {kind}), isNewAnswered: this.#random() < 0.3});
	}

	#observe(): void {
		const now = this.#fleet.clock.readMonotonic();
		for (const {index, state} of this.#fleet.nodes) {
			if (state.configVersion < this.#versions[index]) {
				this.violations.push(`node ${index} went back from version ${this.#versions[index]} to ${state.configVersion}`);
			}

			this.#versions[index] = state.configVersion;
		}

		for (const {version, at, missing} of this.#pending) {
			for (const index of missing) {
				if (this.#versions[index] >= version) {
					missing.delete(index);
				} else if (now - at > changeBound) {
					missing.delete(index);
					this.violations.push(`node ${index} had version ${this.#versions[index]} ${now - at} ms after version ${version}`);
				}
			}
		}

		this.#pending = this.#pending.filter(({missing}) => missing.size > 0);
	}
}

const runs: Array<[nodes: number, seed: string]> = [[6, '1'], [6, '2'], [6, '3'], [6, '4'], [12, '5'], [12, '6'], [12, '7'], [40, '8']];

test.each(runs)('%d nodes have each version in time and none comes back while the store stops answering some of them (seed %s)', async (nodes, seed) => {
	expect(await new ClauseRun(nodes, seed).run()).toEqual([]);
}, simulationTimeout);
