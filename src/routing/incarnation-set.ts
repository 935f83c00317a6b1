/** A set of incarnations of backend servers, which forgets them after a time. Pure except for the clock. */
import type {BackendServerId, Clock} from '../common/index.js';

/** Remembers incarnations, also while they have no entry. */
export class IncarnationSet {
	readonly #clock: Clock;
	readonly #retention: number;
	/** When each incarnation was last added, by the monotonic clock; least recent first. */
	readonly #addedAt = new Map<BackendServerId, number>();

	/** `retention` is the time for which an incarnation is remembered after it was added last, in milliseconds. */
	constructor(clock: Clock, retention: number) {
		this.#clock = clock;
		this.#retention = retention;
	}

	/** Adds an incarnation; returns whether it is new. */
	add(id: BackendServerId): boolean {
		this.#prune();
		const isNew = !this.#addedAt.delete(id);
		this.#addedAt.set(id, this.#clock.readMonotonic());
		return isNew;
	}

	delete(id: BackendServerId): void {
		this.#addedAt.delete(id);
	}

	has(id: BackendServerId): boolean {
		this.#prune();
		return this.#addedAt.has(id);
	}

	list(): BackendServerId[] {
		this.#prune();
		return [...this.#addedAt.keys()];
	}

	#prune(): void {
		const now = this.#clock.readMonotonic();
		for (const [id, addedAt] of this.#addedAt) {
			if (now - addedAt <= this.#retention) {
				return;
			}

			this.#addedAt.delete(id);
		}
	}
}
