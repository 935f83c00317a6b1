/** Tells the followers of one source that it may be silent, as soon as one of them finds it so. */
export class SourceDoubt {
	readonly #listeners = new Set<() => void>();

	/** Calls back when a follower doubts the source, until the function that is returned is called. */
	addListener(listener: () => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Tells all that listen now. */
	tell(): void {
		for (const listener of this.#listeners) {
			listener();
		}
	}
}
