import {
	afterAll, afterEach, beforeAll, beforeEach, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {PlatformSource} from '../platform/index.js';
import {
	createSilentLogger, isAddress, systemClock, VirtualClock, type AvailabilityZone,
} from '../src/common/index.js';
import {BackendExchange} from '../src/gateway/calls/backend-exchange.js';
import {BackendPool} from '../src/gateway/calls/backend-pool.js';
import {FleetState, ZoneEvacuations, type ServersSnapshot} from '../src/routing/index.js';
import {formatPacked, parsePacked} from '../src/rpc/packed-text.js';
import {GatewayProgram, type GatewayProcess} from './helpers/gateway-process.js';
import {createConfig, findFreePorts, send} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createTextAnswer, StandinServer, StandinStore} from './helpers/platform-standins.js';

/** Timeout of tests with processes, in milliseconds. */
const processTimeout = 30_000;

/** Most processor time for which the event loop of a node may be occupied by one entry, in milliseconds. */
const maxEntryWork = 100;

/** Most processor time for which the event loop of a node may be occupied, in milliseconds: callers get their answer within it after their time is over. */
const maxWork = 500;

/** Time within which a change must take effect, in milliseconds. */
const maxChangeTime = 2000;

/** Time after which nodes have registered and have sent heartbeats to all that they know, in milliseconds. */
const registrationTime = 3500;

/** Maximum size of the log of a node in a test, in characters. */
const maxLogLength = 200_000;

/** The reading node, and one that cannot reach the store and follows the first. */
const hosts = ['127.0.3.1', '127.0.3.2'];

const serverSpec = {
	service: 'app', address: '127.0.3.9:1', zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 1,
};

/** An entry of another writer. */
type OddEntry = {kind: string; name: string; spec: unknown; metadata?: Record<string, unknown>};

let program: GatewayProgram;
let store: StandinStore;
let servers: StandinServer[];
let nodes: GatewayProcess[];

beforeAll(() => {
	program = new GatewayProgram();
}, processTimeout);

afterAll(() => {
	program.remove();
});

beforeEach(async () => {
	store = await new StandinStore().start();
	for (const [name, raw] of rawTexts) {
		store.rawTexts.set(name, raw);
	}

	store.put('config', 'main', createConfig(1));
	servers = await Promise.all(['a', 'b'].map(async name => new StandinServer(createTextAnswer(name)).start()));
	for (const index of servers.keys()) {
		putServer(index, 'ready');
	}
}, processTimeout);

afterEach(async () => {
	await program.killAll();
	await Promise.all([...servers, store].map(async standin => standin.stop()));
});

function putServer(index: number, state: 'ready' | 'draining'): void {
	store.put('servers', `i-${index}`, {...serverSpec, address: servers[index].address, state});
}

async function startNodes(): Promise<void> {
	const ports = await findFreePorts(6);
	const [unusedPort] = await findFreePorts(1);
	nodes = await Promise.all(hosts.map(async (host, index) => program.spawn({
		index, host, ports, seeds: hosts.map(each => `${each}:${ports[3]}`), storeAddress: index === 0 ? store.address : `${host}:${unusedPort}`,
	})));
	await Promise.all(nodes.map(async node => node.waitUntilReady()));
}

function putAll(entries: OddEntry[], prefix: string): void {
	for (const {kind, name, spec, metadata} of entries) {
		store.put(kind, kind === 'servers' || kind === 'cresshook-nodes' ? prefix + name : name, spec, metadata);
	}
}

/** Returns the statuses of requests to both nodes. */
async function callNodes(path: string, count = 1): Promise<number[]> {
	const answers = await Promise.all(nodes.flatMap(node => Array.from({length: count}, async () => send(node.callers, {path}))));
	return answers.map(({status}) => status);
}

async function waitForStatus(path: string, wanted: number): Promise<number> {
	const since = performance.now();
	while (performance.now() - since < maxChangeTime) {
		const statuses = await callNodes(path);
		if (statuses.every(status => status === wanted)) {
			break;
		}

		await pause(20);
	}

	return performance.now() - since;
}

/** Changes the configuration and lets a server leave; both must be known in time at both nodes. */
async function checkChanges(version: number): Promise<void> {
	const {routes} = createConfig(version) as {routes: Array<Record<string, unknown>>};
	store.put('config', 'main', createConfig(version, {routes: [...routes, {...routes[2], name: 'added', pathPrefix: '/added/'}]}));
	expect(await waitForStatus('/added/x', 200)).toBeLessThan(maxChangeTime);
	putServer(0, 'draining');
	await pause(maxChangeTime);
	const before = servers[0].receivedRequests.length;
	expect(new Set(await callNodes('/again/x', 20))).toEqual(new Set([200]));
	expect(servers[0].receivedRequests).toHaveLength(before);
}

function nest(levels: number): string {
	return '['.repeat(levels) + ']'.repeat(levels);
}

function nestObjects(levels: number): string {
	return '{"a":'.repeat(levels) + '0' + '}'.repeat(levels);
}

/** Values that are sent as they are; a store takes objects of a megabyte. */
const rawTexts: Array<[string, string]> = [
	['deep-10000', nest(10_000)],
	['deep-objects', nestObjects(10_000)],
	['deep-500000', nest(500_000)],
	['more-items', `0}${',{}'.repeat(350_000)},{"spec":0`],
	['more-events', `0},"gone":false}${',{}'.repeat(350_000)},{"object":{"spec":0`],
	['number-1e400', '1e400'],
	['number-9e15', '9e15'],
	['number-minus-0', '-0'],
	['number-digits', '9'.repeat(100_000)],
];

const deepValues = ['deep-10000', 'deep-objects'];
const oddAddresses = [
	'127.0.3.9:0',
	'127.0.3.9:65536',
	'127.0.3.9:99999',
	'127.0.3.9:99999999999',
	'127.0.3.9:-1',
	'127.0.3.9:1e3',
	'127.0.3.9:',
	'127.0.3.9',
	':80',
	'127.0.3.9 :80',
	'[::1]:80',
	'::1:80',
	'a%zz:80',
	'user@127.0.3.9:80',
	'a/b:80',
	'?:80',
	'#:80',
	String.raw`a\b:80`,
	'a\0b:80',
	'<>:80',
	`${'x'.repeat(100_000)}:80`,
	'\uD800:80',
	'999.999.999.999:80',
];

const oddNumbers = ['number-1e400', 'number-9e15', 'number-minus-0', 'number-digits', 1e308, -1e308, 2 ** 53, (2 ** 53) - 1, 2 ** 31, 2 ** 40, 4e9, -5, 0.5];
const oddNames = ['__proto__', 'constructor', 'toString', '', 'a/b', '../main', 'a b', 'a\0b', 'a\r\nb: c', '\uD800', 'x'.repeat(300_000), 'ü', '💥', '%2f', '?watch=1', '\uDC00\uD800'];

function createEntries(kind: string, specs: unknown[]): OddEntry[] {
	return specs.map((spec, index) => ({kind, name: `odd-${index}`, spec}));
}

function changeEachField(value: unknown, fields = Object.keys(serverSpec)): Array<typeof serverSpec> {
	return fields.map(field => ({...serverSpec, [field]: value}));
}

function createNestedConfig(): Record<string, unknown> {
	const {routes} = createConfig(1) as {routes: unknown[]};
	return createConfig(1, {deep: 'deep-10000', other: 'deep-500000', routes: [...routes, 'deep-10000', {name: 'deep-objects'}]});
}

const numberFields = ['slots', 'coldRemainingMs', 'sequence', 'born', 'version'];

const cases: Array<[name: string, createOdd: () => OddEntry[], pageSize?: number]> = [
	['deep nesting among nodes', () => createEntries('cresshook-nodes', deepValues.flatMap(deep => [deep, {deep}, {peerAddress: deep}, {peerAddress: [deep]}]))],
	['values that are no text among nodes', () => createEntries('cresshook-nodes', [5, null, true, {}, [], {toString: 1}].flatMap(peerAddress => [{peerAddress}, peerAddress]))],
	['addresses of nodes', () => createEntries('cresshook-nodes', oddAddresses.flatMap(peerAddress => [{peerAddress}, peerAddress]))],
	['addresses of servers', () => createEntries('servers', oddAddresses.map(address => ({...serverSpec, address})))],
	['names that no header field can hold', () => oddNames.filter(name => !/^[!-~]{1,99}$/u.test(name)).map(name => ({kind: 'servers', name, spec: serverSpec}))],
	['other names', () => oddNames.map(name => ({kind: 'servers', name, spec: {...serverSpec, service: 'other'}}))],
	['names on pages of their own', () => oddNames.map(name => ({kind: 'servers', name, spec: {}})), 1],
	['names of nodes', () => oddNames.map(name => ({kind: 'cresshook-nodes', name, spec: {peerAddress: '127.0.3.9:80'}})), 1],
	['names of services and zones', () => createEntries('servers', oddNames.flatMap(name => [{...serverSpec, service: name}, {...serverSpec, service: 'other', zone: name}]))],
	['numbers', () => createEntries('servers', oddNumbers.flatMap(number => changeEachField(number, numberFields)).map(spec => ({...spec, service: 'other'})))],
	['slots, in use', () => createEntries('servers', oddNumbers.map(slots => ({...serverSpec, slots})))],
	['deep nesting', () => createEntries('servers', deepValues.flatMap(deep => [deep, {deep}, {...serverSpec, service: 'other', deep}, ...changeEachField(deep)]))],
	['deep nesting in the configuration', () => [
		...createEntries('config', [...deepValues, 'deep-500000', {deep: 'deep-10000'}]),
		{
			kind: 'config', name: 'main', spec: createNestedConfig(), metadata: {made: 'deep-10000'},
		},
	]],
	['thousands of entries', () => createEntries('servers', Array.from({length: 5000}, (_, index) => ({...serverSpec, address: `127.0.3.9:${index + 65_536}`})))],
];

test.each(cases)('odd entries of another writer do not end or stop a node: %s', async (_name, createOdd, pageSize = 500) => {
	store.pageSize = pageSize;
	const odd = createOdd();
	putAll(odd, '');
	await startNodes();
	let isOver = false;
	const work = Promise.all(nodes.map(async node => node.measureLongestWork(() => isOver)));
	try {
		await pause(registrationTime / 2);
		putAll(odd, 'z-');
		await pause(registrationTime / 2);
		expect(nodes.map(node => node.end)).toEqual([undefined, undefined]);
		expect(new Set(await callNodes('/once/x', 20))).toEqual(new Set([200]));
		await checkChanges(2);
	} finally {
		isOver = true;
	}

	expect(Math.max(...await work)).toBeLessThan(maxWork);
	expect(nodes.map(node => node.end)).toEqual([undefined, undefined]);
	expect(nodes.map(node => node.log.listEvents('child_restarted'))).toEqual([[], []]);
	expect(Math.max(...nodes.map(node => node.log.text.length))).toBeLessThan(maxLogLength);
}, processTimeout);

test('an entry of half a million levels does not occupy a node', async () => {
	await startNodes();
	let isOver = false;
	const work = Promise.all(nodes.map(async node => node.measureLongestWork(() => isOver)));
	for (let index = 0; index < 6; index++) {
		store.put('servers', `odd-${index}`, {...serverSpec, service: 'other', deep: 'deep-500000'});
		await pause(500);
	}

	isOver = true;
	expect(Math.max(...await work)).toBeLessThan(maxEntryWork);
	await checkChanges(2);
}, processTimeout);

test('a megabyte of empty entries does not occupy a node', async () => {
	store.put('servers', 'odd', 'more-items');
	await startNodes();
	let isOver = false;
	const work = Promise.all(nodes.map(async node => node.measureLongestWork(() => isOver)));
	await pause(500);
	store.forgetHistory();
	await pause(1000);
	store.remove('servers', 'odd');
	store.forgetHistory();
	await pause(500);
	store.put('servers', 'odd', 'more-events');
	await pause(1000);
	store.remove('servers', 'odd');
	store.forgetHistory();
	await pause(500);
	isOver = true;
	expect(Math.max(...await work)).toBeLessThan(maxEntryWork);
	await checkChanges(2);
}, processTimeout);

test('changes that are too long for one answer are listed', async () => {
	const source = new PlatformSource(store.address, createSilentLogger());
	const call = {signal: new AbortController().signal, isOnNewConnection: false, onData() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	store.pageSize = 1;
	store.put('servers', 'i-2', {...serverSpec, other: 'x'.repeat(1_000_000)});
	for (let index = 0; index < 40; index++) {
		store.put('servers', 'i-3', {...serverSpec, other: 'x'.repeat(1_000_000)});
	}

	const followed = await source.servers.follow({revision: 1, wait: 0}, call);
	expect(followed.swap().unsafeCoerce().kind).toBe('history_lost');
	const listed = await source.servers.list(call);
	expect(listed.unsafeCoerce().items).toHaveLength(4);
	await source.close();
});

test('an evacuation with a long name does not keep later ones from other nodes', () => {
	const parts = {clock: new VirtualClock(), logger: createSilentLogger(), onChange() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	const [reader, other] = [new ZoneEvacuations(parts), new ZoneEvacuations(parts)];
	const names = ['south', 'x'.repeat(1_000_000), 'y'.repeat(3990), 'north'] as AvailabilityZone[];
	reader.applyList({items: names.map((zone, index) => ({zone, position: index + 1})), revision: 4}, 'source');
	other.applySnapshot(reader.takeSnapshot()!, 'node');
	expect([other.has(names[0]), other.has(names[3])]).toEqual([true, true]);
});

// Nodes of an earlier build pass such addresses on.
test('a request to an address that is none fails as not sent', async () => {
	const pool = new BackendPool(systemClock);
	const outcomes = await Promise.all(oddAddresses.map(async address => new Promise(resolve => {
		pool.dispatch(address, {
			method: 'GET', path: '/', headers: {}, body: undefined,
		}, new BackendExchange({
			onHead: resolve, onData: resolve, onEnd() {}, onError(_error, wasSent) { // eslint-disable-line @typescript-eslint/no-empty-function
				resolve(wasSent);
			},
		}));
	})));
	expect(new Set(outcomes)).toEqual(new Set([false]));
	await pool.close();
});

const oddValue = fc.oneof(
	fc.constantFrom(...oddAddresses, ...oddNames, ...rawTexts.map(([name]) => name).filter(name => !name.startsWith('more-') && name !== 'deep-500000'), null, true, 0, -1, 1e300, 2 ** 53),
	fc.string({unit: 'binary', maxLength: 20}),
	fc.anything({maxDepth: 2}).filter(value => typeof value !== 'bigint').map(value => JSON.parse(JSON.stringify(value) ?? 'null') as unknown),
);

const oddSpec = fc.oneof(oddValue, fc.dictionary(fc.constantFrom(...Object.keys(serverSpec), 'born', 'peerAddress'), oddValue, {maxKeys: 3}).map(changes => ({...serverSpec, ...changes})));

const oddObjects = fc.array(fc.tuple(fc.oneof(fc.constantFrom(...oddNames), fc.string({unit: 'binary', maxLength: 20})), oddSpec), {maxLength: 8});

test('among drawn entries sound servers and nodes are read, and a request can be sent to each server that another node knows from them', async () => {
	const call = {signal: new AbortController().signal, isOnNewConnection: false, onData() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
	await fc.assert(fc.asyncProperty(oddObjects, fc.integer({min: 1, max: 4}), async (objects, pageSize) => {
		const own = await new StandinStore().start();
		own.pageSize = pageSize;
		for (const [name, raw] of rawTexts) {
			own.rawTexts.set(name, raw);
		}

		own.put('servers', 'i-1', serverSpec);
		own.put('cresshook-nodes', 'edge-1', {peerAddress: '127.0.3.9:80'});
		for (const [name, spec] of objects) {
			own.put('servers', `o${name}`, spec);
			own.put('cresshook-nodes', `o${name}`, spec);
		}

		const source = new PlatformSource(own.address, createSilentLogger());
		const [reader, other] = [new FleetState(systemClock, createSilentLogger()), new FleetState(systemClock, createSilentLogger())];
		const listed = await source.servers.list(call);
		const followed = await source.servers.follow({revision: 1, wait: 0}, call);
		const registered = await source.listNodes(call);
		reader.applyServerList(listed.unsafeCoerce(), 'source');
		other.applyServers(parsePacked<ServersSnapshot>(formatPacked(reader.getServersSnapshot(0))), 'node');
		expect(followed.isRight()).toBe(true);
		expect(registered.unsafeCoerce().map(({name}) => name)).toContain('edge-1');
		expect(listed.unsafeCoerce().items.map(({name}) => name)).toContain('i-1');
		expect(other.describeServers()).toBe(reader.describeServers());
		const {items} = other.getServersSnapshot(0)!;
		for (const {address, name, slots} of items) {
			expect([isAddress(address), /^[!-~]+$/u.test(name), slots <= 10_000]).toEqual([true, true, true]);
		}

		await source.close();
		await own.stop();
	}), {seed: 82, numRuns: 150});
}, processTimeout);
