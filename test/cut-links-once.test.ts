// Nodes that are cut from backend servers while only one kind of request comes: none may rely on another kind to find the cut.
import {afterEach, expect, test} from '@jest/globals';
import {
	recoveryTime, requestKinds, silenceLimit, startCutFleet, type CutFleet,
} from './helpers/cut-fleet.js';
import {pause} from './helpers/pause.js';
import {cutStates} from './helpers/server-links.js';
import {loadSteadily} from './helpers/steady-load.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

let cut: CutFleet;

afterEach(async () => {
	await cut.stop();
});

const cuts = cutStates.flatMap(state => [1, 3].map(count => [state, count] as const));

// Guards against a cut that only requests which may be repeated find.
test.each(cuts)('once requests alone are served when links are %s at %i of 4 nodes', async (state, count) => {
	cut = await startCutFleet();
	await cut.expectServed('once', count, {
		change() {
			cut.setLinks(count, state);
		},
		settleTime: silenceLimit + recoveryTime,
	});
}, testTimeout);

test('once requests alone are served when links to the servers of their service are silent at 2 of 4 nodes', async () => {
	cut = await startCutFleet();
	await cut.expectServed('once', 2, {
		change() {
			cut.setLinks(2, 'silent', cut.listAddresses('app'));
		},
		settleTime: silenceLimit + recoveryTime,
	});
}, testTimeout);

// Guards against links that fail again as soon as one answer has passed.
test.each([['stream', 'silent'], ['once', 'silent'], ['once', 'refused']] as const)('%s requests alone are served when links are %s and open by turns at 2 of 4 nodes', async (kind, state) => {
	cut = await startCutFleet();
	const stop = new AbortController();
	const flap = async () => {
		for (let turn = 0; !stop.signal.aborted; turn++) {
			cut.setLinks(2, turn % 2 === 0 ? state : 'open');
			await pause(1000);
		}
	};

	try {
		await cut.expectServed(kind, 2, {
			change() {
				void flap();
			},
			settleTime: 4500,
			loadTime: 3000,
		});
	} finally {
		stop.abort();
	}
}, testTimeout);

test('once requests to servers that work longer than the silence limit are served over their own links', async () => {
	cut = await startCutFleet();
	cut.workTime = silenceLimit + 200;
	const responses = await loadSteadily(cut.fleet, {...requestKinds.once, rate: 10, duration: 3000});
	expect(cut.measureServed(responses, () => true)).toBe(1);
	expect(await cut.listFailedLinks()).toEqual([]);
}, testTimeout);
