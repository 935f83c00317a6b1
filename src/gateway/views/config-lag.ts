/** For how long a node has been behind the newest configuration that it has heard of. Pure. */

/** Versions that were heard of and are newer than the own one. */
export class ConfigLag {
	/** When each was first heard of, by the clock, in the order of the versions. */
	readonly #firstSeen = new Map<number, number>();

	/** The newest version that was heard of; 0 before the first. */
	get newest(): number {
		return [...this.#firstSeen.keys()].at(-1) ?? 0;
	}

	/** Takes the version that another node tells. */
	observe(version: number, now: number): void {
		if (version > this.newest) {
			this.#firstSeen.set(version, now);
		}
	}

	/** Time since a version newer than the own one was first heard of, in milliseconds; 0 when there is none. */
	measure(own: number, now: number): number {
		const oldestNewer = [...this.#firstSeen].find(([version]) => version > own);
		for (const version of [...this.#firstSeen.keys()].slice(0, -1)) {
			if (version <= own) {
				this.#firstSeen.delete(version);
			}
		}

		return oldestNewer === undefined ? 0 : now - oldestNewer[1];
	}
}
