import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	createSilentLogger, VirtualClock, type AvailabilityZone, type BoxId,
} from '../src/common/index.js';
import {listCallerAddresses} from '../src/gateway/addresses.js';
import {EventFrames} from '../src/gateway/event-frames.js';
import {heartbeatEvery, Peers, type PeerInfo} from '../src/gateway/peers.js';
import {RetryWindow} from '../src/gateway/retry-window.js';

test('whole events come out unchanged however the bytes are cut', () => {
	const events = ['id: 1\ndata: a\n\n', 'data: no id\n\n', 'id:2\r\ndata: b\r\n\r\n', 'id: 30\ndata: two\ndata: lines\n\n'];
	const text = Buffer.from(events.join(''));
	fc.assert(fc.property(fc.array(fc.integer({min: 0, max: text.length})), cuts => {
		const frames = new EventFrames();
		const edges = [0, ...[...cuts].sort((left, right) => left - right), text.length];
		const found = edges.slice(1).flatMap((end, index) => frames.push(text.subarray(edges[index], end)));
		return JSON.stringify(found.map(frame => [frame.id, Buffer.from(frame.bytes).toString()]))
			=== JSON.stringify([[1, events[0]], [undefined, events[1]], [2, events[2]], [30, events[3]]]) && frames.restLength === 0;
	}), {seed: 7, numRuns: 300});
});

test('an event that has not ended is held back', () => {
	const frames = new EventFrames();
	expect(frames.push(Buffer.from('id: 1\ndata: a\n'))).toHaveLength(0);
	expect(frames.restLength).toBe(14);
});

test('an event without end is given up', () => {
	const frames = new EventFrames();
	expect(() => frames.push(Buffer.alloc(5_000_000, 'a'))).toThrow('longer than');
});

test('retries stay within the ratio and this node\'s part of the slack, in every window', () => {
	const window = new RetryWindow({ratio: 0.2, slack: 100, window: 10_000});
	for (let index = 0; index < 100; index++) {
		window.addRequest(index * 10);
	}

	let taken = 0;
	while (window.takeRetry(1000, 5)) {
		taken++;
	}

	expect(taken).toBe(28);
	expect(window.takeRetry(9000, 5)).toBe(false);
	expect(window.takeRetry(12_000, 5)).toBe(true);
});

function createPeer(name: string, changes: Partial<PeerInfo> = {}): PeerInfo {
	return {
		name: name as BoxId,
		life: 'first',
		sequence: 1,
		availabilityZone: 'a' as AvailabilityZone,
		callerAddress: `${name}:1`,
		peerAddress: `${name}:2`,
		beatAddress: `${name}:3`,
		isReady: true,
		configVersion: 1,
		serversDigest: 'x',
		isSourceReachable: true,
		...changes,
	};
}

function createPeers(name: string): {peers: Peers; clock: VirtualClock; lost: string[]} {
	const clock = new VirtualClock();
	const peers = new Peers({clock, logger: createSilentLogger(), self: () => createPeer(name)});
	const lost: string[] = [];
	peers.addLostListener(peer => lost.push(peer.name));
	return {peers, clock, lost};
}

/** Lets time pass in beats. */
function passBeats(peers: Peers, clock: VirtualClock, count: number): void {
	for (let beat = 0; beat < count; beat++) {
		clock.advance(heartbeatEvery);
		peers.beat();
	}
}

test('a node that falls silent is left out within two seconds, and is back when it is heard', () => {
	const {peers, clock, lost} = createPeers('a');
	peers.accept({from: createPeer('b'), others: []});
	expect(peers.listReady().map(peer => peer.name)).toEqual(['a', 'b']);
	passBeats(peers, clock, 8);
	expect([peers.listReady().map(peer => peer.name), lost]).toEqual([['a'], ['b']]);
	peers.accept({from: createPeer('b'), others: []});
	expect(peers.listReady().map(peer => peer.name)).toEqual(['a', 'b']);
});

test('a node that leaves is out of the list at once', () => {
	const {peers} = createPeers('a');
	peers.accept({from: createPeer('b'), others: []});
	peers.accept({from: createPeer('b', {isReady: false, sequence: 2}), others: []});
	expect(peers.listReady().map(peer => peer.name)).toEqual(['a']);
	peers.accept({from: createPeer('c'), others: [{peer: createPeer('b'), age: 0}]});
	expect(peers.listReady().map(peer => peer.name)).toEqual(['a', 'c']);
});

test('a node that was started again is a new one', () => {
	const {peers, clock, lost} = createPeers('a');
	peers.accept({from: createPeer('b'), others: []});
	clock.advance(100);
	peers.accept({from: createPeer('b', {life: 'second', callerAddress: 'new:1'}), others: []});
	expect([lost, peers.listLive()[0].callerAddress]).toEqual([['b'], 'new:1']);
	peers.accept({from: createPeer('c'), others: [{peer: createPeer('b'), age: 900}]});
	expect(peers.listLive().find(peer => peer.name === 'b')?.life).toBe('second');
});

test('nodes find each other through one that knows both', () => {
	const {peers} = createPeers('a');
	peers.accept({from: createPeer('b'), others: [{peer: createPeer('c'), age: 200}]});
	expect(peers.beat().addresses.sort()).toEqual(['b:3', 'c:3']);
});

test('a process that stood still does not take the others for dead', () => {
	const {peers, clock, lost} = createPeers('a');
	peers.accept({from: createPeer('b'), others: []});
	passBeats(peers, clock, 1);
	clock.advance(4000);
	peers.beat();
	expect([lost, peers.listLive().length]).toEqual([[], 1]);
});

test('callers hear of their own zone first, and never of one address alone while there are more', () => {
	const nodes = [createPeer('a'), createPeer('b'), createPeer('c', {availabilityZone: 'z' as AvailabilityZone})];
	expect(listCallerAddresses(nodes, 'a' as AvailabilityZone)).toEqual(['a:1', 'b:1']);
	expect(listCallerAddresses(nodes, 'z' as AvailabilityZone)).toEqual(['a:1', 'b:1', 'c:1']);
	expect(listCallerAddresses([], 'a' as AvailabilityZone)).toEqual([]);
});
