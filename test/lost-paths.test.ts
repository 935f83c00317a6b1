/*
Guards against cancelling live work after a partition between two nodes. A dispatcher without heartbeats from an entry node
for six seconds considered it dead and cancelled its requests at the engines, though entry node, engine and caller were
healthy and other nodes saw the entry node (`orphan_reclaimed`). A new dispatcher that could not ask an entry node for its
grants cancelled its requests after four seconds (`unclaimed_cancelled`).
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

/** Tokens of a long answer: generating it takes longer than any heartbeat timeout. */
const longAnswer = 700;

/** Time between two tokens, in milliseconds. */
const tokenInterval = 25;

/** Time within which memory of abandoned requests must be free again, in milliseconds. */
const reclaimTime = 10_000;

let fleet: TestFleet;

beforeEach(async () => {
	fleet = await new TestFleet({engines: 2, nodes: 4, engineOptions: {tokenInterval}}).startReady();
});

afterEach(async () => {
	await fleet.stop();
});

/** Names the dispatcher's box, the next dispatcher's and an entry node's; the fourth box reaches all of them. */
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

/** Starts a long answer and waits until it is being generated. */
async function startLong(entryUrl: string, tokens = longAnswer): Promise<Array<Promise<CallAnswer>>> {
	const running = sendChat(entryUrl, {stream: true, max_tokens: tokens});
	await fleet.waitUntil(() => fleet.countHeldTokens() > 0);
	await fleet.advanceTime(300);
	return [running];
}

test('an answer continues while its entry node cannot reach the dispatcher', async () => {
	const {dispatcher, entry, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	fleet.network.cutPath(entry, dispatcher);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('an answer continues while its entry node and the dispatcher cannot reach each other', async () => {
	const {dispatcher, entry, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	cutBothDirections(entry, dispatcher);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('an answer continues when a new dispatcher cannot reach its entry node', async () => {
	const {dispatcher, entry, next, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	cutBothDirections(entry, next);
	await fleet.killNode(fleet.nodes[Number(dispatcher.at(-1)) - 1]);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('a dispatcher cut off from all nodes and the platform cancels no requests of other nodes', async () => {
	const {dispatcher, entryUrl} = pickBoxes();
	const [running] = await startLong(entryUrl);
	fleet.platform.faults = {down: true};
	fleet.platform.cutWatches();
	fleet.network.cut(dispatcher);
	const answer = await fleet.settle(running);
	expect(joinStream(answer.text)).toBe(buildTokenText(longAnswer));
});

test('memory of an answer that ended during a partition is free again within ten seconds', async () => {
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
Guards against a pool's leadership alternating between two nodes that cannot reach each other, with no third node alive.
Each saw the leader as gone, started a term of its own and found the other one's shortly after (`term_started`,
`term_ended`).
*/
test('leadership of a pool does not alternate between two nodes that cannot reach each other', async () => {
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
