/** Injected clock, so that tests and replays can run on virtual time. */

/** Handle of a scheduled callback. Cancelling it more than once has no effect. */
export type Timer = {
	cancel(): void;
};

/** Source of time. Durations and monotonic readings are in milliseconds. */
export type Clock = {
	/** Wall-clock time; may jump when the system clock is adjusted. */
	now(): Date;

	/** Milliseconds since an arbitrary start; never decreases. */
	readMonotonic(): number;

	/** Calls `callback` once after `delay` milliseconds. */
	setTimer(delay: number, callback: () => void): Timer;
};

/** Longest delay of a timer of Node.js, in milliseconds; with a longer one it fires at once. */
const maxTimerDelay = (2 ** 31) - 1;

/** Clock of the operating system. */
export const systemClock: Clock = {
	now: () => new Date(),
	readMonotonic: () => performance.now(),
	setTimer(delay, callback) {
		// After a pause of the process, Node.js runs timers before it reads what has arrived meanwhile, such as the answer that a time limit waits for.
		let afterReads: NodeJS.Immediate | undefined;
		const handle = setTimeout(() => {
			afterReads = setImmediate(callback);
		}, Math.min(delay, maxTimerDelay));
		return {
			cancel() {
				clearTimeout(handle);
				clearImmediate(afterReads);
			},
		};
	},
};

/**
 * Waits for `delay` milliseconds.
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
 * Creates a signal that aborts after `delay` milliseconds or together with its parent; `cancel` stops the timer.
 *
 * Does not use `AbortSignal.any` and `AbortSignal.timeout`: Node.js 20 may garbage-collect a combined
 * signal without other references before it fires, and the call then never times out.
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
 * Creates a signal that aborts as soon as any of the given signals does.
 *
 * Replaces `AbortSignal.any` for the reason given at `createTimeout`. `release` removes the
 * listeners; call it when one of the signals outlives the operation.
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
