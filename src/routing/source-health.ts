/** Answers that must all be slow for a source to count as slow. */
const answerSampleSize = 3;

/** What the followers of one source tell each other of it: that it may be silent, and that it answers. */
export class SourceHealth {
	#answerTimes: number[] = [];
	readonly #suspicionListeners = new Set<() => void>();
	readonly #recoveryListeners = new Set<() => void>();
	readonly #assignmentListeners = new Set<() => void>();

	/** Calls back when a follower has lost a call, until the function that is returned is called. */
	addSuspicionListener(listener: () => void): () => void {
		return addListener(this.#suspicionListeners, listener);
	}

	/** Calls back when a source that was doubted has answered, until the function that is returned is called. */
	addRecoveryListener(listener: () => void): () => void {
		return addListener(this.#recoveryListeners, listener);
	}

	/** Calls back when this node is to follow the source from now on, until the function that is returned is called. */
	addAssignmentListener(listener: () => void): () => void {
		return addListener(this.#assignmentListeners, listener);
	}

	/** Tells that this node is to follow the source. */
	notifyAssigned(): void {
		notifyAll(this.#assignmentListeners);
	}

	/** Time that the source took for each of its last answers at least, in milliseconds: one that came late after a silence does not make it slow. */
	get minAnswerTime(): number {
		return this.#answerTimes.length < answerSampleSize ? 0 : Math.min(...this.#answerTimes);
	}

	/** Notes the time that an answer took, or the most that it can have taken. */
	recordAnswerTime(time: number): void {
		this.#answerTimes = [...this.#answerTimes, time].slice(-answerSampleSize);
	}

	/** Tells that a call was lost. */
	notifySuspected(): void {
		notifyAll(this.#suspicionListeners);
	}

	/** Tells that the source answers again. */
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
