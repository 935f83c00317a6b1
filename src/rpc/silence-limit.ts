/** A time limit on silence: an answer may take long, but not without a sign that it is on its way. */
import type {Clock} from '../common/index.js';

/** A limit that counts anew with each sign. */
export type SilenceLimit = {
	/** Fires after a silence, or with its parent. */
	signal: AbortSignal;
	/** Notes a sign: a part of the answer has come. */
	hear(): void;
	/** Stops the timer. */
	cancel(): void;
};

/** Makes a limit; `longest` is the silence that is borne, in milliseconds. */
export function createSilenceLimit(clock: Clock, longest: number, parent: AbortSignal): SilenceLimit {
	const controller = new AbortController();
	const abort = () => {
		controller.abort();
	};

	let timer = clock.setTimer(longest, abort);
	parent.addEventListener('abort', abort);
	if (parent.aborted) {
		abort();
	}

	return {
		signal: controller.signal,
		hear() {
			timer.cancel();
			timer = clock.setTimer(longest, abort);
		},
		cancel() {
			timer.cancel();
			parent.removeEventListener('abort', abort);
		},
	};
}
