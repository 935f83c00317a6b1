/**
 * Start-time fair queueing (Goyal, Vin, Cheng, 1996) over weighted flows. Pure.
 *
 * A flow's finish tag is the virtual time at which its work so far is accounted for; the flow with the smallest start
 * tag is served next. A flow that was idle starts at the current virtual time, so that idle time earns no credit.
 */
export class FairClock<Flow> {
	#virtualTime = 0;
	readonly #finishTags = new Map<Flow, number>();

	/** Start tag of the next work of a flow. */
	readStartTag(flow: Flow): number {
		return Math.max(this.#virtualTime, this.#finishTags.get(flow) ?? 0);
	}

	/** Charges a flow for work that starts now. The cost is in token-seconds, the weight above 0. */
	charge(flow: Flow, cost: number, weight: number): void {
		const start = this.readStartTag(flow);
		this.#virtualTime = start;
		this.#finishTags.set(flow, start + (cost / weight));
	}

	/** Corrects a charge once the actual cost is known; `difference` is positive if it was higher, in token-seconds. */
	correct(flow: Flow, difference: number, weight: number): void {
		const finish = this.#finishTags.get(flow);
		if (finish !== undefined) {
			this.#finishTags.set(flow, finish + (difference / weight));
		}
	}

	/** Removes flows whose finish tag has passed: they would start at the current virtual time anyway. */
	prune(): void {
		for (const [flow, finish] of this.#finishTags) {
			if (finish <= this.#virtualTime) {
				this.#finishTags.delete(flow);
			}
		}
	}

	/** Number of tracked flows. */
	get size(): number {
		return this.#finishTags.size;
	}
}
