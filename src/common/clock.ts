/** Time as a dependency, so that tests and replays can run on a virtual clock. */

/** A timer that has been set and can be cancelled. Cancelling twice is harmless. */
export type Timer = {
	cancel(): void;
};

/** A source of time. Durations and monotonic readings are in milliseconds. */
export type Clock = {
	/** Wall-clock time; may jump. */
	now(): Date;

	/** Milliseconds since an arbitrary start; never goes back. */
	readMonotonic(): number;

	/** Calls back once after a delay in milliseconds. */
	setTimer(delay: number, callback: () => void): Timer;
};

/** The clock of the operating system. */
export const systemClock: Clock = {
	now: () => new Date(),
	readMonotonic: () => performance.now(),
	setTimer(delay, callback) {
		const handle = setTimeout(callback, delay);
		return {
			cancel() {
				clearTimeout(handle);
			},
		};
	},
};

/**
 * Waits for a delay in milliseconds.
 *
 * Resolves early, without an error, when the signal is aborted.
 */
export async function waitFor(clock: Clock, delay: number, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			timer.cancel();
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = clock.setTimer(delay, finish);
		signal?.addEventListener('abort', finish);
	});
}

/**
 * Makes an abort signal that fires after a delay in milliseconds, or with its parent; `cancel` stops the timer.
 *
 * `AbortSignal.any` and `AbortSignal.timeout` of Node.js 20 are not used for this: joined
 * signals that nobody holds are collected before they fire, and the call waits for ever.
 */
export function createTimeout(clock: Clock, delay: number, parent?: AbortSignal): {signal: AbortSignal; cancel(): void} {
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	const timer = clock.setTimer(delay, abort);
	parent?.addEventListener('abort', abort);
	if (parent?.aborted === true) {
		abort();
	}

	return {
		signal: controller.signal,
		cancel() {
			timer.cancel();
			parent?.removeEventListener('abort', abort);
		},
	};
}

/**
 * A signal that fires with the first of several.
 *
 * In place of `AbortSignal.any`, for the reason given at `createTimeout`. `release` lets go of
 * the signals; call it where one of them outlives what is waited for.
 */
export function combineSignals(signals: AbortSignal[]): {signal: AbortSignal; release(): void} {
	const controller = new AbortController();
	const release = () => {
		for (const signal of signals) {
			signal.removeEventListener('abort', abort);
		}
	};

	const abort = () => {
		release();
		controller.abort();
	};

	for (const signal of signals) {
		signal.addEventListener('abort', abort);
	}

	if (signals.some(signal => signal.aborted)) {
		abort();
	}

	return {signal: controller.signal, release};
}
