// Ten thousand routes came to eight nodes over one narrow link while the machine was busy: questions that were put
// beside a silent one were then answered side by side with it, and the link carried 1.81 MB where 1.32 MB were enough.
import {expect, test} from '@jest/globals';
import {VirtualClock, type BoxId} from '../src/common/index.js';
import type {PeerView} from '../src/gateway/peers/heartbeat.js';
import {ViewFetcher, type ViewRequest} from '../src/gateway/views/index.js';
import {createPeer} from './helpers/peers.js';
import {advanceClock} from './helpers/sources.js';

type SentRequest = {node: BoxId; at: number; request: ViewRequest; answer: () => void};

/** Questions of a node that is behind all others until an answer has come. */
function startFetcher() {
	const clock = new VirtualClock();
	const puts: SentRequest[] = [];
	let isBehind = true;
	const questions = new ViewFetcher({
		clock,
		isAhead: () => isBehind,
		onStalled() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		ask: async (peer, question) => new Promise(resolve => {
			question.signal.addEventListener('abort', () => {
				resolve();
			});
			puts.push({
				node: peer.name,
				at: clock.readMonotonic(),
				request: question,
				answer() {
					isBehind = false;
					resolve();
				},
			});
		}),
	});
	for (const name of ['n1', 'n2', 'n3']) {
		questions.observe(createPeer(name), {} as PeerView);
	}

	return {clock, puts, questions};
}

test('each silence is borne twice as long as the one before, and four questions are under way at most', async () => {
	const {clock, puts} = startFetcher();
	await advanceClock(clock, 1900);
	expect(puts.map(put => put.at)).toEqual([0, 100, 300, 700]);
	expect(new Set(puts.map(put => put.node))).toEqual(new Set(['n1', 'n2', 'n3']));
});

test('the first question that is heard ends the others, and is waited for while its parts keep coming', async () => {
	const {clock, puts} = startFetcher();
	await advanceClock(clock, 150);
	for (let part = 0; part < 20; part++) {
		puts[0].request.onData();
		await advanceClock(clock, 200);
	}

	expect(puts.map(put => put.request.signal.aborted)).toEqual([false, true]);
	await advanceClock(clock, 100);
	expect(puts).toHaveLength(3);
});

test('an answer ends all other questions', async () => {
	const {clock, puts, questions} = startFetcher();
	await advanceClock(clock, 350);
	puts[1].answer();
	await advanceClock(clock, 3000);
	expect(puts.map(put => put.request.signal.aborted)).toEqual([true, false, true]);
	expect(questions.pendingNodes).toEqual([]);
});
