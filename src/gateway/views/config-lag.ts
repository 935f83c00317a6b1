/** Measures how long a node has been behind the newest configuration announced by its peers. Pure. */

/** Tracks when newer configuration versions were first announced. */
export class ConfigLag {
	/** Time of the first announcement by version, in ascending order of versions. */
	readonly #firstSeen = new Map<number, number>();

	/** The newest version announced so far; 0 before the first. */
	get newest(): number {
		return [...this.#firstSeen.keys()].at(-1) ?? 0;
	}

	/** Records a version that a peer announces. */
	observe(version: number, now: number): void {
		if (version > this.newest) {
			this.#firstSeen.set(version, now);
		}
	}

	/** Time since a version newer than this node's was first announced, in milliseconds; 0 when there is none. */
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
