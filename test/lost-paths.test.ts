/*
A path between two nodes was lost, and work of a caller that waited was killed. The dispatcher took an entry that it
had not heard for six seconds for dead and cancelled what ran for it at the engines, though the entry, the engine and
the caller were well and other nodes saw the entry (`orphan_reclaimed`); a new dispatcher that could not ask an entry
for its grants cancelled its work after four seconds (`unclaimed_cancelled`).
*/
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {orderByRendezvous} from '../src/common/index.js';
import {standinFleet} from '../src/standin/index.js';
import {
	sendChat, buildTokenText, joinStream, type CallAnswer,
} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';

/** Tokens of a long answer: it is written for longer than any silence is borne. */
const longAnswer = 700;

/** Time between two tokens, in milliseconds. */
const tokenInterval = 25;

/** Time in which memory must be back, in milliseconds: the aim for work that nobody waits for. */
const reclaimTime = 10_000;

let fleet: TestFleet;

beforeEach(async () => {
	fleet = await new TestFleet({engines: 2, nodes: 4, engineOptions: {tokenInterval}}).startReady();
});

afterEach(async () => {
	await fleet.stop();
});

/** Names of boxes: the one that decides, the one that does so after it, and one that takes a call; the fourth sees all of them. */
function pickBoxes(): {dispatcher: string; entry: string; next: string; entryUrl: string} {
	const boxes = ['box-1', 'box-2', 'box-3', 'box-4'];
	const [dispatcher, next, entry] = orderByRendezvous(`${standinFleet.service}@${standinFleet.region}`, boxes, box => box);
	expect(boxes.indexOf(dispatcher)).toBe(fleet.findDispatcherNode());
	return {
		dispatcher, entry, next, entryUrl: fleet.nodes[boxes.indexOf(entry)].callerUrl,
	};
}

function cutBothDirections(one: string, other: string): void {
	fleet.network.cutPath(one, other);
	fleet.network.cutPath(other, one);
}

/** Starts a long answer, and waits until it runs. */
async function startLong(entryUrl: string, tokens = longAnswer): Promise<Array<Promise<CallAnswer>>> {
	const running = sendChat(entryUrl, {stream: true, max_tokens: tokens});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	await fleet.advanceTime(300);
	return [running];
}

test('an answer goes on while its entry cannot reach the dispatcher', async () => {
	const {dispatcher, entry, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	fleet.network.cutPath(entry, dispatcher);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('an answer goes on while its entry and the dispatcher cannot reach each other', async () => {
	const {dispatcher, entry, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	cutBothDirections(entry, dispatcher);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('an answer goes on when a new dispatcher cannot ask its entry', async () => {
	const {dispatcher, entry, next, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	cutBothDirections(entry, next);
	await fleet.killNode(fleet.nodes[Number(dispatcher.at(-1)) - 1]);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('a dispatcher that reaches nobody, not even the platform, cancels nothing of others', async () => {
	const {dispatcher, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	fleet.platform.faults = {down: true};
	fleet.platform.cutWatches();
	fleet.network.cut(dispatcher);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('memory of an answer that ended behind a lost path is free again within ten seconds', async () => {
	const {dispatcher, entry, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl, 100);
	cutBothDirections(entry, dispatcher);
	await fleet.settle(running);
	const countGrants = () => fleet.nodes.reduce((sum, node) => sum + node.readStatus().pools.reduce((held, pool) => held + pool.grants, 0), 0);
	expect(countGrants()).toBeGreaterThan(0);
	await fleet.advanceTime(reclaimTime);
	expect(countGrants()).toBe(0);
});

/*
Two nodes that did not reach each other, and no third one, took the pool's term from each other in turn: each saw the
holder as gone, wrote itself in, and found the other one's term a moment later (`term_started`, `term_ended`).
*/
test('two nodes that do not reach each other do not take a pool from each other in turn', async () => {
	const {dispatcher, entry, next} = pickBoxes();
	const boxes = ['box-1', 'box-2', 'box-3', 'box-4'];
	const fourth = boxes.findIndex(box => ![dispatcher, entry, next].includes(box));
	cutBothDirections(entry, next);
	await fleet.killNode(fleet.nodes[boxes.indexOf(dispatcher)]);
	await fleet.killNode(fleet.nodes[fourth]);
	await fleet.advanceTime(15_000);
	const terms = fleet.nodes[boxes.indexOf(next)].view.list('DispatcherTerm').map(({term}) => term);
	expect(Math.max(...terms)).toBeLessThanOrEqual(3);
});
