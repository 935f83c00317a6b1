/** Idle timeout: limits the time between two chunks of a response, not its total duration. */
import type {Clock} from '../common/index.js';

/** Timeout that is restarted by each sign of progress. */
export type IdleTimeout = {
	/** Aborts when the idle time is exceeded, or together with its parent. */
	signal: AbortSignal;
	/** Restarts the timeout; call it for each chunk received. */
	restart(): void;
	/** Stops the timer. */
	cancel(): void;
};

/** Creates an idle timeout; `maxIdleTime` is in milliseconds. */
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
