/** A time limit on silence: an answer may take long, but not without a sign that it is on its way. */
import type {Clock} from '../common/index.js';

/** A limit that counts anew with each sign. */
export type IdleTimeout = {
	/** Fires after a silence, or with its parent. */
	signal: AbortSignal;
	/** Notes a sign: a part of the answer has come. */
	restart(): void;
	/** Stops the timer. */
	cancel(): void;
};

/** Makes a limit; `longest` is the silence that is borne, in milliseconds. */
export function createIdleTimeout(clock: Clock, maxIdleTime: number, parent: AbortSignal): IdleTimeout {
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	let timer = clock.setTimer(maxIdleTime, abort);
	parent.addEventListener('abort', abort);
	if (parent.aborted) {
		abort();
	}

	return {
		signal: controller.signal,
		restart() {
			timer.cancel();
			timer = clock.setTimer(maxIdleTime, abort);
		},
		cancel() {
			timer.cancel();
			parent.removeEventListener('abort', abort);
		},
	};
}
