/** The time to live of address answers; it may change while the node runs. */
import type {Clock} from '../common/index.js';

/** Time for which callers may cache an answer that lists this node's address. */
export class AddressLifetime {
	readonly #clock: Clock;
	#seconds: number;
	/** When the last answer given with an earlier lifetime expires, by the monotonic clock in milliseconds. */
	#earlierExpiry = -Infinity;

	constructor(clock: Clock, seconds: number) {
		this.#clock = clock;
		this.#seconds = seconds;
	}

	/** Lifetime of new answers, in seconds. */
	get seconds(): number {
		return this.#seconds;
	}

	/** Changes the lifetime, in seconds, of new answers; earlier ones keep theirs. */
	change(seconds: number): void {
		this.#earlierExpiry = Math.max(this.#earlierExpiry, this.#clock.readMonotonic() + (this.#seconds * 1000));
		this.#seconds = seconds;
	}

	/** Time until every answer given so far has expired, in milliseconds. */
	computeRemaining(): number {
		return Math.max(this.#seconds * 1000, this.#earlierExpiry - this.#clock.readMonotonic());
	}
}
