/** How long callers may keep an answer that names this node; it may change while the node runs. */
import type {Clock} from '../common/index.js';

/** The lifetime of address answers. */
export class AddressLifetime {
	readonly #clock: Clock;
	#seconds: number;
	/** When the last answer with an earlier, longer lifetime runs out. */
	#earlierExpiry = -Infinity;

	constructor(clock: Clock, seconds: number) {
		this.#clock = clock;
		this.#seconds = seconds;
	}

	/** What answers state from now on, in seconds. */
	get seconds(): number {
		return this.#seconds;
	}

	/** Changes the lifetime; answers that are out keep theirs. */
	change(seconds: number): void {
		this.#earlierExpiry = Math.max(this.#earlierExpiry, this.#clock.readMonotonic() + (this.#seconds * 1000));
		this.#seconds = seconds;
	}

	/** Time until every answer given so far has run out, in milliseconds. */
	computeRemaining(): number {
		return Math.max(this.#seconds * 1000, this.#earlierExpiry - this.#clock.readMonotonic());
	}
}
