/** What the followers of one source tell each other of it: that it may be silent, and that it answers. */
export class SourceHealth {
	readonly #doubtListeners = new Set<() => void>();
	readonly #answerListeners = new Set<() => void>();

	/** Calls back when a follower has lost a call, until the function that is returned is called. */
	addDoubtListener(listener: () => void): () => void {
		return addTo(this.#doubtListeners, listener);
	}

	/** Calls back when a source that was doubted has answered, until the function that is returned is called. */
	addAnswerListener(listener: () => void): () => void {
		return addTo(this.#answerListeners, listener);
	}

	/** Tells that a call was lost. */
	tellDoubt(): void {
		notifyAll(this.#doubtListeners);
	}

	/** Tells that the source answers again. */
	tellAnswer(): void {
		notifyAll(this.#answerListeners);
	}
}

function addTo(listeners: Set<() => void>, listener: () => void): () => void {
	listeners.add(listener);
	return () => {
		listeners.delete(listener);
	};
}

function notifyAll(listeners: Set<() => void>): void {
	for (const listener of listeners) {
		listener();
	}
}
