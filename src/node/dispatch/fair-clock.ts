/**
 * Start-time fair queueing (Goyal, Vin, Cheng, 1996) over flows with weights. Pure.
 *
 * Each flow has a finish tag: the virtual time at which what it has been given
 * is paid for. The flow with the least start tag is served next. A flow that
 * was idle begins at the present virtual time, so that idleness saves nothing up.
 */
export class FairClock<Flow> {
	#virtual = 0;
	readonly #finish = new Map<Flow, number>();

	/** Start tag of a flow's next piece of work. */
	readStart(flow: Flow): number {
		return Math.max(this.#virtual, this.#finish.get(flow) ?? 0);
	}

	/** Charges a flow for work that begins now. Cost in token-seconds, weight above 0. */
	charge(flow: Flow, cost: number, weight: number): void {
		const start = this.readStart(flow);
		this.#virtual = start;
		this.#finish.set(flow, start + (cost / weight));
	}

	/** Corrects a charge when the true cost is known: positive when it was more. */
	correct(flow: Flow, difference: number, weight: number): void {
		const finish = this.#finish.get(flow);
		if (finish !== undefined) {
			this.#finish.set(flow, finish + (difference / weight));
		}
	}

	/** Forgets flows that are paid for: their tags say nothing any more. */
	prune(): void {
		for (const [flow, finish] of this.#finish) {
			if (finish <= this.#virtual) {
				this.#finish.delete(flow);
			}
		}
	}

	/** Number of flows remembered. */
	get size(): number {
		return this.#finish.size;
	}
}
