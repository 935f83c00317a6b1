// Nodes that are cut from backend servers while only one kind of request that may run again comes.
import {afterEach, test} from '@jest/globals';
import {
	recoveryTime, silenceLimit, startCutFleet, type CutFleet,
} from './helpers/cut-fleet.js';
import {cutStates} from './helpers/server-links.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

let cut: CutFleet;

afterEach(async () => {
	await cut.stop();
});

const cuts = (['stream', 'repeatable'] as const).flatMap(kind => cutStates.flatMap(state => [1, 3].map(count => [kind, state, count] as const)));

// Guards against a cut that only another kind of request finds.
test.each(cuts)('%s requests alone are served when links are %s at %i of 4 nodes', async (kind, state, count) => {
	cut = await startCutFleet();
	await cut.expectServed(kind, count, {
		change() {
			cut.setLinks(count, state);
		},
		settleTime: silenceLimit + recoveryTime,
	});
}, testTimeout);
