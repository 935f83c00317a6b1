/**
 * Holds calls that arrive before a node that has just started has its first view of the fleet.
 *
 * Load pattern: all nodes are killed together and are back within a second. Callers retry once, at once, some tens of
 * milliseconds before the first view is there; a refusal would use up their only retry.
 */
import type {Clock} from '../../common/index.js';
import type {FleetState} from '../../routing/index.js';

/** Maximum time a call is held, in milliseconds: the source answers a list within a few tens, and its outage is detected within a second. */
const maxHoldTime = 1000;

/** Waits until calls can be served, the source is known to be down, or the maximum time has passed. */
export async function waitForFirstView(clock: Clock, state: FleetState): Promise<void> {
	if (state.isUsable || state.hasSourceOutage) {
		return;
	}

	await new Promise<void>(resolve => {
		const timer = clock.setTimer(maxHoldTime, () => {
			finish();
		});
		const removeListener = state.addListener(() => {
			if (state.isUsable || state.hasSourceOutage) {
				finish();
			}
		});
		const finish = () => {
			timer.cancel();
			removeListener();
			resolve();
		};
	});
}
