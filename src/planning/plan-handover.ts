/**
 * Which nodes have reported their running plans to this scheduling node. Pure.
 *
 * Load pattern: the scheduling node stops, and its successor gets requests before it knows what the other nodes run. With three of 35 plans
 * known, a prompt of 381,000 tokens is prefilled on six servers that decode thirty streams, and all of them stall for seconds.
 */

/** A node, identified by its process. */
export type ReportingProcess = {life: string};

/** Processes whose plans are known. */
export class PlanHandover {
	readonly #reported = new Set<string>();

	/** Records that all running plans of a process are known. */
	record(life: string): void {
		this.#reported.add(life);
	}

	/** Forgets all reports: another node schedules now, and its plans are not known here. */
	reset(): void {
		this.#reported.clear();
	}

	/** Counts the live processes whose plans are known; drops those that have ended. */
	countKnown(live: ReportingProcess[]): number {
		const lives = new Set(live.map(({life}) => life));
		for (const life of this.#reported) {
			if (!lives.has(life)) {
				this.#reported.delete(life);
			}
		}

		return this.#reported.size;
	}
}
