import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import seedrandom from 'seedrandom';
import {
	createSilentLogger, systemClock, VirtualClock, type AvailabilityZone,
} from '../src/common/index.js';
import {
	decodeHeartbeat, encodeHeartbeat, type Peer, type Heartbeat, type GossipEntry, type PeerView,
} from '../src/gateway/peers/heartbeat.js';
import {PeerSocket} from '../src/gateway/peers/peer-socket.js';
import {heartbeatInterval, Peers} from '../src/gateway/peers/peers.js';
import {findFreePorts} from './helpers/gateways.js';
import {processHost} from './helpers/process-host.js';
import {createPeer} from './helpers/peers.js';

const view: PeerView = {
	configVersion: 1, serversRevision: 1, serversDigest: 'x', sourceAges: {configuration: 250, servers: undefined},
};

function createEntry(peer: Peer, age = 0): GossipEntry {
	return {
		life: peer.life, age, isReady: peer.isReady, isSourceReachable: peer.isSourceReachable, hearsSource: peer.hearsSource,
	};
}

function readHeartbeat(message: Uint8Array): Heartbeat {
	return decodeHeartbeat(message);
}

/** Creates a heartbeat of a node that describes itself. */
function createHeartbeat(peer: Peer, changes: Partial<Heartbeat> = {}): Heartbeat {
	return {
		from: createEntry(peer), view, others: [], described: [peer], wanted: [], ...changes,
	};
}

function createPeers(name: string): {peers: Peers; clock: VirtualClock; lost: string[]; receive: (heartbeat: Heartbeat) => ReturnType<Peers['accept']>} {
	const clock = new VirtualClock();
	const peers = new Peers({
		clock, logger: createSilentLogger(), self: () => createPeer(name), view: () => view, random: seedrandom('1'),
	});
	const lost: string[] = [];
	peers.addLostListener(peer => lost.push(peer.name));
	return {
		peers, clock, lost, receive: heartbeat => peers.accept(readHeartbeat(encodeHeartbeat(heartbeat)), 'sender:3'),
	};
}

/** Runs a number of heartbeat intervals. */
function passIntervals(peers: Peers, clock: VirtualClock, count: number): void {
	for (let interval = 0; interval < count; interval++) {
		clock.advance(heartbeatInterval);
		peers.createHeartbeats();
	}
}

function listReadyNames(peers: Peers): string[] {
	return peers.listReady().map(peer => peer.name).sort();
}

test('a silent node is removed from the ready nodes within two seconds and returns with its next heartbeat', () => {
	const {peers, clock, lost, receive} = createPeers('a');
	receive(createHeartbeat(createPeer('b')));
	expect(listReadyNames(peers)).toEqual(['a', 'b']);
	passIntervals(peers, clock, 8);
	expect([listReadyNames(peers), lost]).toEqual([['a'], ['b']]);
	receive(createHeartbeat(createPeer('b'), {described: []}));
	expect(listReadyNames(peers)).toEqual(['a', 'b']);
});

test('a node that shuts down is removed from the ready nodes at once, despite older entries', () => {
	const {peers, clock, receive} = createPeers('a');
	receive(createHeartbeat(createPeer('b')));
	clock.advance(100);
	receive(createHeartbeat(createPeer('b', {isReady: false})));
	expect(listReadyNames(peers)).toEqual(['a']);
	receive(createHeartbeat(createPeer('c'), {others: [createEntry(createPeer('b'), 50)]}));
	expect(listReadyNames(peers)).toEqual(['a', 'c']);
});

test('change listeners are called for a new node and a changed status only', () => {
	const {peers, clock, receive} = createPeers('a');
	let changes = 0;
	peers.addChangeListener(() => {
		changes++;
	});
	receive(createHeartbeat(createPeer('b')));
	clock.advance(100);
	receive(createHeartbeat(createPeer('b')));
	clock.advance(100);
	receive(createHeartbeat(createPeer('b', {isReady: false})));
	expect(changes).toBe(2);
});

test('a restarted node replaces its earlier process', () => {
	const {peers, clock, lost, receive} = createPeers('a');
	receive(createHeartbeat(createPeer('b')));
	clock.advance(100);
	receive(createHeartbeat(createPeer('b', {life: 'second', callerAddress: 'new:1'})));
	expect([lost, peers.listLive()[0].callerAddress]).toEqual([['b'], 'new:1']);
	receive(createHeartbeat(createPeer('c'), {others: [createEntry(createPeer('b'), 50)]}));
	expect(peers.listLive().find(peer => peer.name === 'b')?.life).toBe('second');
});

test('a description that arrives too early is requested again when the process is seen', () => {
	const {peers, clock, receive} = createPeers('a');
	receive(createHeartbeat(createPeer('b')));
	clock.advance(300);
	const second = createPeer('b', {life: 'second'});
	receive(createHeartbeat(createPeer('c'), {others: [createEntry(second, 400)], described: [createPeer('c'), second]}));
	expect(peers.listLive().find(peer => peer.name === 'b')?.life).toBe('b:1');
	clock.advance(100);
	const [answer] = receive(createHeartbeat(createPeer('c'), {others: [createEntry(second, 10)]}));
	expect(answer.heartbeat.wanted).toEqual(['second']);
	receive(createHeartbeat(createPeer('c'), {described: [second]}));
	expect(peers.listLive().find(peer => peer.name === 'b')?.life).toBe('second');
});

test('the description of an unknown process is requested, and sent to nodes that request it', () => {
	const {peers, clock, receive} = createPeers('a');
	const [asked] = receive(createHeartbeat(createPeer('b'), {others: [createEntry(createPeer('c'), 200)]}));
	expect([asked.heartbeat.wanted, asked.addresses]).toEqual([['c:1'], ['sender:3']]);
	clock.advance(250);
	receive(createHeartbeat(createPeer('b'), {described: [createPeer('c')]}));
	expect(listReadyNames(peers)).toEqual(['a', 'b', 'c']);
	const [described] = receive(createHeartbeat(createPeer('b'), {wanted: ['c:1', 'a:1', 'never heard of']}));
	expect(described.heartbeat.described.map(info => info.name)).toEqual(['c', 'a']);
});

test('a paused process does not mark the other nodes as lost', () => {
	const {peers, clock, lost, receive} = createPeers('a');
	receive(createHeartbeat(createPeer('b')));
	passIntervals(peers, clock, 1);
	clock.advance(4000);
	peers.createHeartbeats();
	expect([lost, peers.listLive().length]).toEqual([[], 1]);
});

// Guards against entries with a negative age. A process paused for some seconds reads queued heartbeats and then extends
// all timeouts by the pause, which must not move nodes just seen into the future: their heartbeat could not be encoded
// (`The value of "value" is out of range … Received -1`), and the node lost its heartbeat socket (`bind EADDRINUSE`).
test('a paused process that receives heartbeats before sending its own sends no negative ages', () => {
	const {peers, clock, receive} = createPeers('a');
	receive(createHeartbeat(createPeer('b')));
	receive(createHeartbeat(createPeer('c')));
	passIntervals(peers, clock, 1);
	clock.advance(4000);
	receive(createHeartbeat(createPeer('b')));
	const [outgoing] = peers.createHeartbeats();
	expect(outgoing.heartbeat.others.map(entry => [entry.life, entry.age])).toEqual([['b:1', 0], ['c:1', heartbeatInterval]]);
	expect(readHeartbeat(encodeHeartbeat(outgoing.heartbeat)).others).toHaveLength(2);
});

// A resumed node reports processes that ended during its pause as just seen. A newly started node must not take such a
// process for the current one of its name for long: it would ignore the running one until the ended one is removed after
// a minute. Shrunk counterexample of the model-based test: start 0, pause 2, start 1, three intervals.
test('an ended process reported as just seen hides the running one only until it times out', () => {
	const {peers, clock, receive} = createPeers('a');
	const present = createPeer('b', {life: 'second'});
	receive(createHeartbeat(present));
	clock.advance(100);
	receive(createHeartbeat(createPeer('c'), {others: [createEntry(createPeer('b'))], described: [createPeer('c'), createPeer('b')]}));
	for (let interval = 0; interval < 7; interval++) {
		passIntervals(peers, clock, 1);
		const [answer] = receive(createHeartbeat(present, {described: []}));
		if (answer?.heartbeat.wanted.includes('second')) {
			receive(createHeartbeat(present));
		}
	}

	expect(peers.listLive().find(peer => peer.name === 'b')?.life).toBe('second');
	receive(createHeartbeat(createPeer('c'), {others: [createEntry(createPeer('b'), 50)]}));
	expect(peers.listLive().find(peer => peer.name === 'b')?.life).toBe('second');
});

test('the socket is closed when a heartbeat cannot be encoded', async () => {
	const [port] = await findFreePorts(1);
	const parts = {
		clock: systemClock, logger: createSilentLogger(), host: processHost, port, onHeartbeat() {}, onPlanUpdate() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
	const broken = {
		createHeartbeats() {
			throw new RangeError('cannot be written');
		},
	} as unknown as Peers;
	for (const _ of [1, 2]) {
		await expect(new PeerSocket({...parts, peers: broken}).run(new AbortController().signal)).rejects.toThrow('cannot be written');
	}
});

test('rejects malformed heartbeats', () => {
	const write = (head: unknown, entries = '') => Buffer.from(`${JSON.stringify(head)}\n${entries}`, 'latin1');
	const head = {from: ['a', 3], view: [1, 1, 'x']};
	expect(decodeHeartbeat(write(head, 'b:1   \u0000\u0009')).others).toEqual([createEntry(createPeer('b', {isSourceReachable: false}), 10)]);
	expect(() => decodeHeartbeat(write(head, 'b:1   \u0000'))).toThrow('expected');
	expect(() => decodeHeartbeat(write({...head, view: [1, 1]}))).toThrow();
	expect(() => decodeHeartbeat(write({...head, from: ['a', -1]}))).toThrow();
	expect(() => decodeHeartbeat(Buffer.from('beat'))).toThrow('expected');
	expect(() => decodeHeartbeat(Buffer.from('beat\n'))).toThrow();
});

test('a decoded heartbeat equals the encoded one', () => {
	const entry = fc.record({
		life: fc.string({unit: fc.constantFrom(...'abcXYZ019-_'), minLength: 1, maxLength: 6}),
		age: fc.integer({min: 0, max: 8000}).map(tens => tens * 10),
		isReady: fc.boolean(),
		isSourceReachable: fc.boolean(),
		hearsSource: fc.boolean(),
	});
	fc.assert(fc.property(entry, fc.array(entry, {maxLength: 400}), fc.array(fc.string()), (from, others, wanted) => {
		const heartbeat = {
			from, view, others, described: [createPeer('d')].map(({isReady, isSourceReachable, hearsSource, ...info}) => info), wanted,
		};
		expect(readHeartbeat(encodeHeartbeat(heartbeat))).toEqual(heartbeat);
	}), {seed: 7, numRuns: 100});
});

/** A simulated fleet whose network drops a share of the datagrams. */
class SimulatedFleet {
	readonly clock = new VirtualClock();
	readonly nodes = new Map<string, Peers>();
	readonly lost = new Set<string>();
	sentBytes = 0;
	readonly #random = seedrandom('beats');
	readonly #lossShare: number;

	constructor(size: number, lossShare: number) {
		this.#lossShare = lossShare;
		for (let index = 0; index < size; index++) {
			const self = createPeer(`n${index}`, {availabilityZone: `zone-${index % 3}` as AvailabilityZone});
			const peers = new Peers({
				clock: this.clock, logger: createSilentLogger(), self: () => self, view: () => view, random: this.#random,
			});
			peers.addCandidate('n0:3');
			peers.addLostListener(peer => this.lost.add(peer.name));
			this.nodes.set(self.beatAddress, peers);
		}
	}

	/** Runs a number of intervals, in each of which all nodes send one after the other. */
	runIntervals(count: number): void {
		for (let interval = 0; interval < count; interval++) {
			for (const [address, node] of this.nodes) {
				this.clock.advance(heartbeatInterval / this.nodes.size);
				for (const outgoing of node.createHeartbeats()) {
					this.#deliver(address, outgoing);
				}
			}
		}
	}

	#deliver(sender: string, {heartbeat, addresses}: {heartbeat: Heartbeat; addresses: string[]}): void {
		const message = encodeHeartbeat(heartbeat);
		for (const address of addresses) {
			this.sentBytes += message.length;
			const answers = this.#random() < this.#lossShare ? [] : this.nodes.get(address)?.accept(readHeartbeat(message), sender) ?? [];
			for (const answer of answers) {
				this.#deliver(address, answer);
			}
		}
	}
}

test('sixty nodes discover each other through one, and a datagram loss of three percent marks none as lost', () => {
	const fleet = new SimulatedFleet(60, 0.03);
	fleet.runIntervals(16);
	expect([...fleet.nodes.values()].map(node => node.listLive().length)).toEqual(Array.from({length: 60}, () => 59));
	fleet.runIntervals(200);
	expect([...fleet.lost]).toEqual([]);
});

test('all nodes remove a dead node within two seconds', () => {
	const fleet = new SimulatedFleet(60, 0.03);
	fleet.runIntervals(16);
	fleet.nodes.delete('n7:3');
	fleet.runIntervals(8);
	expect([...fleet.nodes.values()].map(node => node.listLive().length)).toEqual(Array.from({length: 59}, () => 58));
});

test('an idle node among sixty sends less than eleven kilobytes a second', () => {
	const fleet = new SimulatedFleet(60, 0);
	fleet.runIntervals(20);
	fleet.sentBytes = 0;
	fleet.runIntervals(40);
	const seconds = 40 * heartbeatInterval / 1000;
	expect(fleet.sentBytes / 60 / seconds).toBeLessThan(11_000);
});
