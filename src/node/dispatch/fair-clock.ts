/**
 * Start-time fair queueing (Goyal, Vin, Cheng, 1996) over flows with weights. Pure.
 *
 * Each flow has a finish tag: the virtual time at which what it has been given
 * is paid for. The flow with the least start tag is served next. A flow that
 * was idle begins at the present virtual time, so that idleness saves nothing up.
 */
export class FairClock<Flow> {
	#virtualTime = 0;
	readonly #finishTags = new Map<Flow, number>();

	/** Start tag of a flow's next piece of work. */
	readStartTag(flow: Flow): number {
		return Math.max(this.#virtualTime, this.#finishTags.get(flow) ?? 0);
	}

	/** Charges a flow for work that begins now. Cost in token-seconds, weight above 0. */
	charge(flow: Flow, cost: number, weight: number): void {
		const start = this.readStartTag(flow);
		this.#virtualTime = start;
		this.#finishTags.set(flow, start + (cost / weight));
	}

	/** Corrects a charge when the true cost is known: positive when it was more. */
	correct(flow: Flow, difference: number, weight: number): void {
		const finish = this.#finishTags.get(flow);
		if (finish !== undefined) {
			this.#finishTags.set(flow, finish + (difference / weight));
		}
	}

	/** Forgets flows that are paid for: their tags say nothing any more. */
	prune(): void {
		for (const [flow, finish] of this.#finishTags) {
			if (finish <= this.#virtualTime) {
				this.#finishTags.delete(flow);
			}
		}
	}

	/** Number of flows remembered. */
	get size(): number {
		return this.#finishTags.size;
	}
}
