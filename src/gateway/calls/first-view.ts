/**
 * Holds calls that come before a node that has just started knows the fleet.
 *
 * Load pattern: all nodes lose power or are killed together and are back within a second; their
 * callers, who try twice, call again at once and meet nodes whose view is some tens of milliseconds
 * away. Refused, they have used up their second try.
 */
import type {Clock} from '../../common/index.js';
import type {FleetState} from '../../routing/index.js';

/** Time for which a call is held at most, in milliseconds: a list is answered within a few tens, and a source that is away is noticed in a second. */
const maxHoldTime = 1000;

/** Waits until calls can be served, or nothing speaks for it any more: the source is known to be away, or the time is over. */
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
