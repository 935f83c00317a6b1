/** What the followers of one source tell each other of it: that it may be silent, and that it answers. */
export class SourceHealth {
	#answerTime = 0;
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

	/** Time that the source takes for an answer of late, in milliseconds; after a slow one it falls by half with each that is quicker. */
	get answerTime(): number {
		return this.#answerTime;
	}

	/** Notes the time that an answer took. */
	noteAnswerTime(time: number): void {
		this.#answerTime = Math.max(time, this.#answerTime / 2);
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
