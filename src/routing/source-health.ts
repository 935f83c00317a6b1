/** Number of recent answers whose minimum time counts, so that a single late answer after a silence does not make the source slow. */
const answerSampleSize = 3;

/** Shares between the followers of one source that it may be silent, that it answers again, and how fast it answers. */
export class SourceHealth {
	#answerTimes: number[] = [];
	readonly #suspicionListeners = new Set<() => void>();
	readonly #recoveryListeners = new Set<() => void>();
	readonly #assignmentListeners = new Set<() => void>();

	/** Adds a listener for failed or late calls of a follower; returns a function that removes it. */
	addSuspicionListener(listener: () => void): () => void {
		return addListener(this.#suspicionListeners, listener);
	}

	/** Adds a listener for the first answer of a suspected source; returns a function that removes it. */
	addRecoveryListener(listener: () => void): () => void {
		return addListener(this.#recoveryListeners, listener);
	}

	/** Adds a listener for the assignment of this node to follow the source; returns a function that removes it. */
	addAssignmentListener(listener: () => void): () => void {
		return addListener(this.#assignmentListeners, listener);
	}

	/** Notifies that this node is assigned to follow the source. */
	notifyAssigned(): void {
		notifyAll(this.#assignmentListeners);
	}

	/** Minimum time of the last answers, in milliseconds; 0 until there are enough. */
	get minAnswerTime(): number {
		return this.#answerTimes.length < answerSampleSize ? 0 : Math.min(...this.#answerTimes);
	}

	/** Records the time that an answer took, or its upper bound, in milliseconds. */
	recordAnswerTime(time: number): void {
		this.#answerTimes = [...this.#answerTimes, time].slice(-answerSampleSize);
	}

	/** Notifies that a call failed or is late. */
	notifySuspected(): void {
		notifyAll(this.#suspicionListeners);
	}

	/** Notifies that the source answers again. */
	notifyRecovered(): void {
		notifyAll(this.#recoveryListeners);
	}
}

function addListener(listeners: Set<() => void>, listener: () => void): () => void {
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
