/** Answers that must all be slow for a source to count as slow. */
const countedAnswers = 3;

/** What the followers of one source tell each other of it: that it may be silent, and that it answers. */
export class SourceHealth {
	#times: number[] = [];
	readonly #doubtListeners = new Set<() => void>();
	readonly #answerListeners = new Set<() => void>();
	readonly #turnListeners = new Set<() => void>();

	/** Calls back when a follower has lost a call, until the function that is returned is called. */
	addDoubtListener(listener: () => void): () => void {
		return addTo(this.#doubtListeners, listener);
	}

	/** Calls back when a source that was doubted has answered, until the function that is returned is called. */
	addAnswerListener(listener: () => void): () => void {
		return addTo(this.#answerListeners, listener);
	}

	/** Calls back when this node is to follow the source from now on, until the function that is returned is called. */
	addTurnListener(listener: () => void): () => void {
		return addTo(this.#turnListeners, listener);
	}

	/** Tells that this node is to follow the source. */
	tellTurn(): void {
		notifyAll(this.#turnListeners);
	}

	/** Time that the source took for each of its last answers at least, in milliseconds: one that came late after a silence does not make it slow. */
	get answerTime(): number {
		return this.#times.length < countedAnswers ? 0 : Math.min(...this.#times);
	}

	/** Notes the time that an answer took, or the most that it can have taken. */
	noteAnswerTime(time: number): void {
		this.#times = [...this.#times, time].slice(-countedAnswers);
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
