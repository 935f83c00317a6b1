/** Incarnations of backend servers that are leaving. Pure except for the clock. */
import type {BackendServerId, Clock} from '../common/index.js';

/** How long an incarnation is remembered, in milliseconds: far longer than a leaving server runs. Ids are not reused, so this only bounds memory. */
const retention = 600_000;

/** Remembers which incarnations are leaving, also while they have no entry. */
export class LeavingServers {
	readonly #clock: Clock;
	/** When each incarnation was last said to be leaving, by the monotonic clock; least recent first. */
	readonly #lastSaidAt = new Map<BackendServerId, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Adds an incarnation; returns whether it is new. */
	add(id: BackendServerId): boolean {
		const isNew = !this.#lastSaidAt.delete(id);
		this.#lastSaidAt.set(id, this.#clock.readMonotonic());
		this.#prune();
		return isNew;
	}

	has(id: BackendServerId): boolean {
		return this.#lastSaidAt.has(id);
	}

	list(): BackendServerId[] {
		return [...this.#lastSaidAt.keys()];
	}

	#prune(): void {
		const now = this.#clock.readMonotonic();
		for (const [id, saidAt] of this.#lastSaidAt) {
			if (now - saidAt <= retention) {
				return;
			}

			this.#lastSaidAt.delete(id);
		}
	}
}
