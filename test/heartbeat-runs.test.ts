/** Model-based tests of heartbeats: nodes that start, crash, pause and resume, over a network that drops, repeats and delays datagrams and partitions. */
import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import seedrandom from 'seedrandom';
import {createSilentLogger, VirtualClock} from '../src/common/index.js';
import {
	decodeHeartbeat, encodeHeartbeat, type Peer, type Heartbeat, type PeerView,
} from '../src/gateway/peers/heartbeat.js';
import {heartbeatInterval, Peers} from '../src/gateway/peers/peers.js';
import {createPeer} from './helpers/peers.js';

const seed = 20_261_203;

const nodeCount = 4;

/** Heartbeat intervals until all nodes must be detected: two seconds, and one second until candidates are retried. */
const settleIntervals = 14;

const view: PeerView = {
	configVersion: 1, serversRevision: 1, serversDigest: 'x', sourceAges: {configuration: 250, servers: undefined},
};

/** One process of a node. */
type SimulatedNode = {self: Peer; peers: Peers; isPaused: boolean; queue: Array<{message: Uint8Array; from: string}>};

type Datagram = {message: Uint8Array; from: string; to: string; dueAt: number};

/** Expected state: the running nodes, their current process and whether they accept calls. */
type FleetModel = {nodes: Map<number, {life: number; isReady: boolean; isPaused: boolean}>; lives: number};

/** Simulated nodes and the datagrams in flight between them. */
class SimulatedFleet {
	readonly clock = new VirtualClock();
	readonly nodes = new Map<string, SimulatedNode>();
	/** Network faults to apply to the datagrams sent next, drawn by the test run; no faults once these are used up. */
	faults: number[] = [];
	readonly partitions = new Set<string>();
	readonly #random = seedrandom('beats');
	#inFlight: Datagram[] = [];

	start(index: number, life: number): void {
		const self = createPeer(`n${index}`, {life: `${index}.${life}`});
		const peers = new Peers({
			clock: this.clock, logger: createSilentLogger(), self: () => this.nodes.get(self.beatAddress)?.self ?? self, view: () => view, random: this.#random,
		});
		for (let other = 0; other < nodeCount; other++) {
			peers.addCandidate(`n${other}:3`);
		}

		this.nodes.set(self.beatAddress, {
			self, peers, isPaused: false, queue: [],
		});
	}

	/** Runs one heartbeat interval, in which all nodes send one after the other. */
	runInterval(): void {
		for (const [address, node] of this.nodes) {
			this.clock.advance(heartbeatInterval / this.nodes.size);
			this.#deliverDue();
			if (!node.isPaused) {
				this.#send(address, node.peers.createHeartbeats());
			}
		}
	}

	/** Resumes a paused process, which reads its queued datagrams before it sends the next heartbeat. */
	resume(address: string): void {
		const node = this.nodes.get(address)!;
		node.isPaused = false;
		for (const {message, from} of node.queue.splice(0)) {
			this.#accept(address, message, from);
		}
	}

	#send(from: string, heartbeats: ReturnType<Peers['createHeartbeats']>): void {
		for (const {heartbeat, addresses} of heartbeats) {
			const message = encodeHeartbeat(heartbeat);
			expectNoNegativeAges(heartbeat);
			for (const to of addresses) {
				this.#sendDatagram({message, from, to});
			}
		}
	}

	/** Sends a datagram: fault 0 drops it, 1 delays it, 2 also delivers a late copy; the seven others do nothing. */
	#sendDatagram(datagram: Omit<Datagram, 'dueAt'>): void {
		const fault = this.faults.pop() ?? 9;
		if (fault === 0 || this.partitions.has(formatLink(datagram.from, datagram.to))) {
			return;
		}

		const now = this.clock.readMonotonic();
		this.#inFlight.push({...datagram, dueAt: now + (fault === 1 ? 120 : 0)});
		if (fault === 2) {
			this.#inFlight.push({...datagram, dueAt: now + 300});
		}

		this.#deliverDue();
	}

	#deliverDue(): void {
		const now = this.clock.readMonotonic();
		const due = this.#inFlight.filter(datagram => datagram.dueAt <= now);
		this.#inFlight = this.#inFlight.filter(datagram => datagram.dueAt > now);
		for (const {message, from, to} of due) {
			const node = this.nodes.get(to);
			if (node?.isPaused) {
				node.queue.push({message, from});
			} else if (node !== undefined) {
				this.#accept(to, message, from);
			}
		}
	}

	#accept(address: string, message: Uint8Array, from: string): void {
		this.#send(address, this.nodes.get(address)!.peers.accept(decodeHeartbeat(message), from));
	}
}

/** Checks for negative ages: they would be encoded as 0 and keep a dead node alive. */
function expectNoNegativeAges(heartbeat: Heartbeat): void {
	expect(heartbeat.others.filter(entry => entry.age < 0)).toEqual([]);
}

/** Names the link between two addresses, in either direction. */
function formatLink(left: string, right: string): string {
	return left < right ? `${left} ${right}` : `${right} ${left}`;
}

/** A step of a test run. */
class FleetStep implements fc.Command<FleetModel, SimulatedFleet> {
	constructor(readonly name: string, readonly parameters: unknown, readonly apply: (model: FleetModel, real: SimulatedFleet) => void) {}

	check(): boolean {
		return true;
	}

	run(model: FleetModel, real: SimulatedFleet): void {
		this.apply(model, real);
		for (const {peers, self} of real.nodes.values()) {
			const names = peers.listLive().map(peer => peer.name);
			expect(new Set(names).size).toBe(names.length);
			expect(names).not.toContain(self.name);
		}
	}

	toString(): string {
		return `${this.name} ${JSON.stringify(this.parameters)}`;
	}
}

function start(index: number): FleetStep {
	return new FleetStep('start', index, (model, real) => {
		model.lives++;
		model.nodes.set(index, {life: model.lives, isReady: true, isPaused: false});
		real.nodes.delete(`n${index}:3`);
		real.start(index, model.lives);
	});
}

function kill(index: number): FleetStep {
	return new FleetStep('kill', index, (model, real) => {
		model.nodes.delete(index);
		real.nodes.delete(`n${index}:3`);
	});
}

function leave(index: number): FleetStep {
	return new FleetStep('leave', index, (model, real) => {
		const node = model.nodes.get(index);
		if (node !== undefined) {
			node.isReady = false;
			const life = real.nodes.get(`n${index}:3`)!;
			life.self = {...life.self, isReady: false};
		}
	});
}

function pause(index: number): FleetStep {
	return new FleetStep('pause', index, (model, real) => {
		const node = model.nodes.get(index);
		if (node !== undefined) {
			node.isPaused = true;
			real.nodes.get(`n${index}:3`)!.isPaused = true;
		}
	});
}

function resume(index: number): FleetStep {
	return new FleetStep('resume', index, (model, real) => {
		const node = model.nodes.get(index);
		if (node?.isPaused) {
			node.isPaused = false;
			real.resume(`n${index}:3`);
		}
	});
}

function switchPartition(left: number, right: number): FleetStep {
	return new FleetStep('partition or heal', [left, right], (_model, real) => {
		const link = formatLink(`n${left}:3`, `n${right}:3`);
		if (!real.partitions.delete(link)) {
			real.partitions.add(link);
		}
	});
}

function passIntervals(count: number, faults: number[]): FleetStep {
	return new FleetStep('intervals', [count, faults], (_model, real) => {
		real.faults = [...faults];
		for (let interval = 0; interval < count; interval++) {
			real.runInterval();
		}

		real.faults = [];
	});
}

/** Resumes all nodes, heals all partitions and waits: each node must then know exactly the running processes and whether they accept calls. */
function settle(model: FleetModel, real: SimulatedFleet): void {
	real.partitions.clear();
	for (const index of model.nodes.keys()) {
		resume(index).run(model, real);
	}

	for (let interval = 0; interval < settleIntervals; interval++) {
		real.runInterval();
	}

	for (const [own] of model.nodes) {
		const others = [...model.nodes].filter(([index]) => index !== own).map(([index, {life, isReady}]) => [`n${index}`, {life: `${index}.${life}`, isReady}]);
		const known = real.nodes.get(`n${own}:3`)!.peers.listLive().map(({name, life, isReady}) => [name, {life, isReady}]);
		expect([own, Object.fromEntries(known)]).toEqual([own, Object.fromEntries(others)]);
	}
}

const nodeIndex = fc.nat(nodeCount - 1);

const steps = [
	nodeIndex.map(index => start(index)),
	nodeIndex.map(index => kill(index)),
	nodeIndex.map(index => leave(index)),
	nodeIndex.map(index => pause(index)),
	nodeIndex.map(index => resume(index)),
	fc.tuple(nodeIndex, nodeIndex).map(([left, right]) => switchPartition(left, right)),
	fc.tuple(fc.integer({min: 1, max: 3}), fc.array(fc.nat(9), {maxLength: 60})).map(([count, faults]) => passIntervals(count, faults)),
	fc.tuple(fc.integer({min: 1, max: 10}), fc.array(fc.nat(9), {maxLength: 60})).map(([count, faults]) => passIntervals(count, faults)),
];

test('all nodes finally know exactly the running processes after starts, crashes, pauses, partitions and lost datagrams', () => {
	fc.assert(fc.property(fc.commands(steps, {maxCommands: 40, size: '+1'}), commands => {
		const model: FleetModel = {nodes: new Map(), lives: 0};
		const real = new SimulatedFleet();
		for (let index = 0; index < nodeCount - 1; index++) {
			start(index).run(model, real);
		}

		fc.modelRun(() => ({model, real}), commands);
		settle(model, real);
	}), {seed, numRuns: 250});
});

/** Any JSON value. */
const anyValue = fc.jsonValue({maxDepth: 1});

/** Heads as another program or another version of this one may encode them; most can be decoded. */
const anyHead = fc.record({
	from: fc.oneof({weight: 8, arbitrary: fc.tuple(fc.constantFrom('n1', '0.1', '', 'too long a life', 'é€😀'), fc.oneof(fc.nat(70_000), fc.maxSafeNat()))}, anyValue),
	view: fc.oneof({weight: 8, arbitrary: fc.constant([1, 1, 'x'])}, anyValue),
	described: fc.array(fc.oneof({weight: 12, arbitrary: fc.constantFrom('n1', 'n2', 'a:1', '').map(life => createPeer('n1', {life}))}, anyValue), {maxLength: 2}),
	wanted: fc.oneof({weight: 8, arbitrary: fc.array(fc.constantFrom('0.1', 'n1', '', 'never heard of'), {maxLength: 3})}, anyValue),
});

const anyEntries = fc.oneof(
	fc.uint8Array({maxLength: 24}),
	{
		weight: 5,
		arbitrary: fc.array(fc.tuple(fc.constantFrom('n1    ', 'n2    ', '      ', '0.1   '), fc.nat(255)), {maxLength: 3})
			.map(entries => Buffer.concat(entries.map(([life, age]) => Buffer.from(`${life}\0${String.fromCodePoint(age)}`, 'latin1')))),
	},
);

const anyDatagram = fc.oneof(
	fc.uint8Array({maxLength: 60}),
	{weight: 8, arbitrary: fc.tuple(anyHead, anyEntries).map(([head, entries]) => Buffer.concat([Buffer.from(`${JSON.stringify(head)}\n`), entries]))},
);

test('any datagram is rejected or decoded, and the heartbeats sent after it can be encoded', () => {
	let read = 0;
	fc.assert(fc.property(fc.array(anyDatagram, {maxLength: 12}), datagrams => {
		const fleet = new SimulatedFleet();
		fleet.start(0, 1);
		const {peers} = fleet.nodes.get('n0:3')!;
		for (const datagram of datagrams) {
			const heartbeat = decodeIfHeartbeat(datagram);
			read += heartbeat === undefined ? 0 : 1;
			const answers = heartbeat === undefined ? [] : peers.accept(heartbeat, 'n1:3');
			fleet.clock.advance(heartbeatInterval);
			for (const outgoing of [...answers, ...peers.createHeartbeats()]) {
				expect(decodeHeartbeat(encodeHeartbeat(outgoing.heartbeat)).from).toEqual(outgoing.heartbeat.from);
			}
		}
	}), {seed, numRuns: 500});
	expect(read).toBeGreaterThan(500);
});

function decodeIfHeartbeat(datagram: Uint8Array): Heartbeat | undefined {
	try {
		return decodeHeartbeat(datagram);
	} catch {
		return undefined;
	}
}
