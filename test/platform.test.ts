import {Buffer} from 'node:buffer';
import {readdir, readFile} from 'node:fs/promises';
import {join} from 'node:path';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {CallWire, PlatformSource} from '../platform/index.js';
import {decodeConfig} from '../platform/decode-config.js';
import {decodeServer} from '../platform/decode-server.js';
import {
	createFailure, createLogger, createSilentLogger, createTimeout, systemClock, type BackendServerName, type OrganisationId,
} from '../src/common/index.js';
import type {BackendRequestHead} from '../src/gateway/index.js';
import type {BackendServer, SourceCall} from '../src/routing/index.js';
import {createConfig} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {LoopbackServer, StandinStore} from './helpers/platform-standins.js';

let store: StandinStore;
let source: PlatformSource;
const wire = new CallWire();
/** Options of a call that is never aborted. */
const call: SourceCall = {signal: new AbortController().signal, isOnNewConnection: false, onData() {}}; // eslint-disable-line @typescript-eslint/no-empty-function

/** Creates options of a call that is aborted after a time in milliseconds. */
function createCall(timeout: number): SourceCall {
	return {...call, signal: createTimeout(systemClock, timeout).signal};
}

beforeEach(async () => {
	openResources = [];
	store = await new StandinStore().start();
	source = new PlatformSource(store.address, createSilentLogger());
});

/** Further resources that a test has opened; closed after it, also when it fails. */
let openResources: Array<{close: () => Promise<void>}>;

afterEach(async () => {
	await Promise.all(openResources.map(async each => each.close()));
	await source.close();
	await store.stop();
});

/** Opens a source that reads from another store. */
async function openSourceAt(server: LoopbackServer): Promise<PlatformSource> {
	await server.start();
	const otherSource = new PlatformSource(server.address, createSilentLogger());
	openResources.push({
		async close() {
			await otherSource.close();
			await server.stop();
		},
	});
	return otherSource;
}

const serverSpec = {
	service: 'model', address: '10.0.0.1:80', zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 4,
};

test('a configuration is decoded into the gateway\'s types', () => {
	const config = decodeConfig(createConfig(7));
	expect(config.version).toBe(7);
	expect(config.routes.map(route => [route.kind, route.timeLimit, route.objective, route.longestPause, route.attempts, route.canResume])).toEqual([
		['stream', 5000, 300, 250, 3, true], ['once', 1500, 300, undefined, 1, false], ['repeatable', 1500, 300, undefined, 2, false],
	]);
	expect(config.services[0].engine).toMatchObject({readRate: 177, memoryTokens: 315_000, stepsPerPass: 51});
	expect(config.organisations).toEqual([{name: 'guild', keys: ['secret-key'], priority: undefined}]);
});

test('a route with several services keeps their weights', () => {
	const [route] = (createConfig(1).routes as Array<Record<string, unknown>>);
	const config = decodeConfig(createConfig(1, {routes: [{...route, service: undefined, backends: [{service: 'x', weight: 90}, {service: 'y', weight: 10}]}]}));
	expect(config.routes[0].services).toEqual([{service: 'x', weight: 90}, {service: 'y', weight: 10}]);
});

test('the longest silence of a stream is two seconds, four objectives or eight pauses, whichever is longest', () => {
	const [route] = (createConfig(1).routes as Array<Record<string, unknown>>);
	const silences = [{targetLatencyMs: 300, gap_aim_ms: 200}, {targetLatencyMs: 1500, gap_aim_ms: 600}, {targetLatencyMs: 300, gap_aim_ms: 600}].map(figures =>
		decodeConfig(createConfig(1, {routes: [{...route, kind: 'streaming', ...figures}]})).routes[0].longestSilence);
	expect(silences).toEqual([2000, 6000, 4800]);
	expect(decodeConfig(createConfig(1, {routes: [{...route, kind: 'idempotent'}]})).routes[0].longestSilence).toBeUndefined();
});

test('a configuration with a missing or invalid field is rejected with the name of the field', () => {
	expect(() => decodeConfig({...createConfig(1), version: 'seven'})).toThrow('version');
	expect(() => decodeConfig({...createConfig(1), routes: {name: 'r'}})).toThrow('routes');
	expect(() => decodeConfig({...createConfig(1), routes: [{name: 'r'}, 'r']})).toThrow('none of its routes');
});

test('an entry of a server is decoded, one with an unknown state is rejected', () => {
	const decode = (spec: unknown) => decodeServer({metadata: {name: 'i-1', revision: 7}, spec});
	expect(decode(serverSpec)).toEqual({
		id: 'i-1', name: 'i-1', entryRevision: 7, service: 'model', address: '10.0.0.1:80', availabilityZone: 'north', slots: 11, isLeaving: false,
	});
	expect(decode({...serverSpec, state: 'draining'}).isLeaving).toBe(true);
	expect(() => decode({...serverSpec, state: 'asleep'})).toThrow('state');
});

// Guards against an evacuation that is not seen because its object is not as expected: the name alone counts.
test('an evacuation is named like its zone, whatever its spec holds', async () => {
	for (const [name, spec] of Object.entries({
		a: {}, b: {state: 5}, c: 'text', d: undefined,
	})) {
		store.put('evacuations', name, spec);
	}

	const listed = await source.evacuations.list(call);
	expect(listed.unsafeCoerce()).toEqual({items: ['a', 'b', 'c', 'd'].map((zone, index) => ({zone, position: index + 1})), foreign: [], revision: 4});
	store.remove('evacuations', 'b');
	const followed = await source.evacuations.follow({revision: 3, wait: 10}, call);
	expect(followed.unsafeCoerce().changes).toEqual([{name: 'd', item: {zone: 'd', position: 4}, revision: 4}, {name: 'b', item: undefined, revision: 2}]);
});

test('all pages of a list are read', async () => {
	store.pageSize = 3;
	for (let index = 0; index < 10; index++) {
		store.put('servers', `i-${index}`, serverSpec);
	}

	const listed = await source.servers.list(call);
	const listing = listed.unsafeCoerce();
	expect([listing.items.length, listing.revision]).toEqual([10, 10]);
});

test('an object that cannot be decoded is reported as foreign, the others are listed', async () => {
	store.put('servers', 'i-1', serverSpec);
	store.put('servers', 'i-2', {service: 5});
	const listed = await source.servers.list(call);
	const listing = listed.unsafeCoerce();
	expect(listing.items.map(server => server.id)).toEqual(['i-1']);
	expect(listing.foreign).toEqual(['i-2']);
});

test('the id of a server is its name and its start time; a start time that is not an integer is rejected', () => {
	const decode = (born: unknown) => decodeServer({metadata: {name: 'i-1', revision: 7}, spec: {...serverSpec, born}});
	expect([undefined, 1_733_000_000_000, 0].map(born => decode(born).id)).toEqual(['i-1', 'i-1@1733000000000', 'i-1@0']);
	for (const born of ['1733000000000', 1.5, null, Number.NaN]) {
		expect(() => decode(born)).toThrow('born');
	}
});

test('an entry with a missing or invalid field is rejected with the name of the field', () => {
	for (const field of Object.keys(serverSpec)) {
		const spec = {...serverSpec, [field]: field === 'slots' ? '11' : []};
		expect(() => decodeServer({metadata: {name: 'i-1'}, spec})).toThrow(field);
		expect(() => decodeServer({metadata: {name: 'i-1'}, spec: {...serverSpec, [field]: undefined}})).toThrow(field);
	}

	expect(() => decodeServer({metadata: {name: 'i-1'}, spec: {...serverSpec, address: 'somewhere'}})).toThrow('address');
	expect(() => decodeServer({metadata: {name: 'i-1'}, spec: 'ready'})).toThrow();
});

test('valid servers are read from a list and from changes with arbitrary other values', async () => {
	await fc.assert(fc.asyncProperty(fc.array(fc.anything(), {maxLength: 4}), fc.array(fc.anything(), {maxLength: 4}), async (before, after) => {
		const own = {metadata: {name: 'i-1', revision: 3}, spec: serverSpec};
		const text = JSON.stringify([...before, own, ...after]);
		const items = JSON.parse(text) as unknown[];
		const server = await new LoopbackServer(async (request, response) => {
			const isWatch = request.url?.includes('watch') === true;
			const events = items.map(object => ({object}));
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(JSON.stringify(isWatch ? {events: [...events, ...items], at: 9} : {items, at: 9}));
		}).start();
		const otherSource = new PlatformSource(server.address, createSilentLogger());
		const [listed, followed] = await Promise.all([otherSource.servers.list(call), otherSource.servers.follow({revision: 1, wait: 0}, call)]);
		await otherSource.close();
		await server.stop();
		expect(listed.unsafeCoerce().items.map(server => server.id)).toEqual(['i-1']);
		expect(followed.unsafeCoerce().changes.flatMap(change => change.item?.id ?? [])).toEqual(['i-1']);
	}), {seed: 77, numRuns: 60});
});

test('an address with an invalid port is rejected', () => {
	for (const address of ['10.0.0.1:0', '10.0.0.1:65536', '10.0.0.1:99999']) {
		expect(() => decodeServer({metadata: {name: 'i-1'}, spec: {...serverSpec, address}})).toThrow('address');
	}

	expect(decodeServer({metadata: {name: 'i-1'}, spec: {...serverSpec, address: 'runner:65535'}}).address).toBe('runner:65535');
});

/** A store that serves raw bytes as objects, in pages of `pageSize` objects in the order of their names. */
class RawStore extends LoopbackServer {
	objects: Array<{name: string; bytes: Uint8Array}> = [];
	pageSize = 2;

	constructor() {
		super(async (request, response) => {
			const {searchParams} = new URL(request.url ?? '', 'http://store');
			const isWatch = searchParams.has('watch');
			const left = this.objects.filter(({name}) => name > (searchParams.get('sinceRevision') ?? ''));
			const page = isWatch ? this.objects : left.slice(0, this.pageSize);
			const items = page.map(({bytes}) => isWatch ? Buffer.concat([Buffer.from('{"object":'), bytes, Buffer.from('}')]) : bytes);
			const parts = items.flatMap((item, index) => index === 0 ? [item] : [Buffer.from(','), item]);
			response.writeHead(200, {'content-type': 'application/json'});
			response.end(Buffer.concat([
				Buffer.from(isWatch ? '{"events":[' : '{"items":['), ...parts, Buffer.from(`],"more":${left.length > this.pageSize},"at":9}`),
			]));
		});
	}
}

// Guards against an incomplete list: if a page of objects without valid names, with more pages to come, counts as the end
// of the list, all servers on later pages disappear from the view.
test('a list whose next page cannot be requested is a failure', async () => {
	const raw = new RawStore();
	const otherSource = await openSourceAt(raw);
	raw.objects = ['a', 'b', 'c'].map(name => ({name, bytes: Buffer.from(name === 'c' ? JSON.stringify({metadata: {name, revision: 3}, spec: serverSpec}) : '{"metadata":{"name":7}}')}));
	const listed = await otherSource.servers.list(call);
	expect(listed.swap().unsafeCoerce().kind).toBe('unreachable');
});

test('an object with a name and an invalid revision is foreign, in a list and as a change', async () => {
	const raw = new RawStore();
	const otherSource = await openSourceAt(raw);
	for (const revision of ['7', null, 1.5, -1, {}]) {
		raw.objects = [{name: 'i-1', bytes: Buffer.from(JSON.stringify({metadata: {name: 'i-1', revision}, spec: serverSpec}))}];
		const [listed, followed] = [await otherSource.servers.list(call), await otherSource.servers.follow({revision: 1, wait: 0}, call)];
		expect(listed.unsafeCoerce()).toMatchObject({items: [], foreign: ['i-1']});
		expect(followed.unsafeCoerce().changes).toMatchObject([{name: 'i-1', item: undefined, isForeign: true}]);
	}
});

/** Arbitrary values of a field, valid or not. */
const arbitraryField = fc.oneof(
	fc.constantFrom(undefined, null, '', 'ready', '10.0.0.9:80', '10.0.0.9:99999', -1, 0, 1.5, 1e300, 2 ** 53, true),
	fc.anything({maxDepth: 1}),
);

/** Entries of another writer: up to three fields missing or arbitrary, or no object at all. */
const foreignSpec = fc.oneof(
	fc.dictionary(fc.constantFrom(...Object.keys(serverSpec), 'born'), arbitraryField, {minKeys: 1, maxKeys: 3}).map(changes => ({...serverSpec, ...changes})),
	fc.anything({maxDepth: 2}),
);

/** Formats JSON in which infinite and big numbers are written as a store may write them. */
function formatWire(value: unknown): string {
	const text = JSON.stringify(value, (_key, field: unknown) => {
		if (typeof field === 'bigint') {
			return `#${field}#`;
		}

		return field === Infinity ? '#1e999#' : field;
	}) as string | undefined;
	return (text ?? 'null').replaceAll(/"#(?<number>[-\de]+)#"/gu, '$<number>');
}

const invalidText = fc.uint8Array({minLength: 1, maxLength: 4}).map(bytes =>
	Buffer.concat([Buffer.from('{"service":"'), Buffer.from(bytes.map(byte => (byte % 128) + 128)), Buffer.from('","state":"ready"}')]));

/** Whether a server is valid by the platform's specification; independent of the decoder. */
function isUsable(server: BackendServer): boolean {
	const [host, port, ...rest] = server.address.split(':');
	return server.service.length > 0 && Number.isSafeInteger(server.slots) && server.slots > 0 && rest.length === 0
		&& host !== '' && Number(port) > 0 && Number(port) <= 65_535 && server.entryRevision === 3;
}

test('among arbitrary entries of other writers, with invalid bytes and on any page, own servers are read, and each other entry is foreign or a valid server', async () => {
	const raw = new RawStore();
	const otherSource = await openSourceAt(raw);
	const specs = fc.array(fc.oneof({weight: 4, arbitrary: foreignSpec.map(spec => Buffer.from(formatWire(spec)))}, invalidText), {maxLength: 8});
	await fc.assert(fc.asyncProperty(specs, fc.nat(8), fc.integer({min: 1, max: 4}), async (others, ownPlace, pageSize) => {
		const written = [...others.slice(0, ownPlace), Buffer.from(formatWire(serverSpec)), ...others.slice(ownPlace)];
		raw.pageSize = pageSize;
		raw.objects = written.map((spec, index) => ({
			name: `i-${index}`, bytes: Buffer.concat([Buffer.from(`{"metadata":{"name":"i-${index}","revision":3,"made":{}},"spec":`), spec, Buffer.from('}')]),
		}));
		const own = `i-${Math.min(ownPlace, others.length)}`;
		const [listed, followed] = await Promise.all([otherSource.servers.list(call), otherSource.servers.follow({revision: 1, wait: 0}, call)]);
		const {items, foreign} = listed.unsafeCoerce();
		const {changes} = followed.unsafeCoerce();
		expect([...items.map(server => server.name), ...foreign ?? []].sort()).toEqual(raw.objects.map(({name}) => name));
		expect(items.filter(server => !isUsable(server))).toEqual([]);
		expect(items.map(server => server.name)).toContain(own);
		expect(changes.filter(change => change.isForeign).map(change => change.name)).toEqual(foreign);
		expect(changes.flatMap(change => change.item ?? [])).toEqual(items);
	}), {seed: 20_261_203, numRuns: 300});
});

test('an invalid page or list of events is a failure of kind unreachable', async () => {
	let text: Uint8Array = Buffer.from('');
	const otherSource = await openSourceAt(new LoopbackServer(async (_request, response) => {
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(text);
	}));
	const nearPages = ['{"items":[],"at":"9"}', '{"items":{},"at":9}', '{"items":[]}', '{"events":[],"at":1e999}', '{"items":[],"at":1e999}', '{"items":[],"at":9'];
	const body = fc.oneof(
		fc.uint8Array({maxLength: 30}),
		fc.anything({maxDepth: 2}).map(value => Buffer.from(formatWire(value))),
		fc.constantFrom(...nearPages).map(value => Buffer.from(value)),
	);
	await fc.assert(fc.asyncProperty(body, async bytes => {
		text = bytes;
		const [listed, followed] = await Promise.all([otherSource.servers.list(call), otherSource.servers.follow({revision: 1, wait: 0}, call)]);
		expect([listed, followed].map(result => result.isLeft() && result.extract().kind)).toEqual(['unreachable', 'unreachable']);
	}), {seed: 20_261_203, numRuns: 200});
});

test('changes after a revision are delivered as they are made, removals too', async () => {
	store.put('servers', 'i-1', serverSpec);
	const waiting = source.servers.follow({revision: 1, wait: 2000}, call);
	setTimeout(() => {
		store.remove('servers', 'i-1');
	}, 50);
	const followed = await waiting;
	const changes = followed.unsafeCoerce();
	expect(changes).toEqual({changes: [{name: 'i-1', item: undefined, revision: 1}], revision: 2});
});

// Guards against rejecting a whole configuration for one invalid route: such a route kept every later version from all
// nodes (`object_foreign` once per version, and no `config_applied`).
test('an invalid route affects no other route, key or later version', async () => {
	const log = new LogCapture();
	const own = new PlatformSource(store.address, createLogger('info', log));
	const config = createConfig(4);
	store.put('config', 'main', {...config, routes: [{name: 'odd', host: 'shop.example'}, ...config.routes as unknown[], 'odd'], tenants: [{}, ...config.tenants as unknown[]]});
	const listed = await own.configurations.list(call);
	const [read] = listed.unsafeCoerce().items;
	expect([read.version, read.routes.map(route => route.name), read.organisations.map(({name}) => name)]).toEqual([4, ['stream', 'once', 'again'], ['guild']]);
	await own.configurations.list(call);
	expect(log.listEvents('config_partly_read').map(({version, unread}) => ({version, unread}))).toEqual([
		{version: 4, unread: ['routes 0: pathPrefix, kind, timeoutMs', 'routes 4', 'tenants 0: name']},
	]);
	await own.close();
});

test('a watch without changes returns none', async () => {
	store.put('servers', 'i-1', serverSpec);
	const followed = await source.servers.follow({revision: 1, wait: 60}, call);
	const changes = followed.unsafeCoerce();
	expect(changes).toEqual({changes: [], revision: 1});
});

test('a lost history is distinguished from an unreachable store', async () => {
	store.put('servers', 'i-1', serverSpec);
	store.put('servers', 'i-2', serverSpec);
	store.forgetHistory();
	const lost = await source.servers.follow({revision: 1, wait: 60}, call);
	store.trouble = 'busy';
	const busy = await source.servers.list(call);
	expect([lost, busy].map(result => result.swap().unsafeCoerce().kind)).toEqual(['history_lost', 'unreachable']);
});

test('a call to a silent store ends when it is aborted', async () => {
	store.trouble = 'silent';
	const started = Date.now();
	const followed = await source.servers.follow({revision: 1, wait: 100}, createCall(500));
	expect(followed.swap().unsafeCoerce().kind).toBe('unreachable');
	expect(Date.now() - started).toBeLessThan(2500);
});

test('after an unanswered call the next one uses a new connection', async () => {
	store.put('config', 'main', createConfig(1));
	await Promise.all([source.configurations.list(call), source.servers.list(call)]);
	store.silenceConnections();
	const waiting = source.servers.follow({revision: 1, wait: 50}, createCall(500));
	const listed = await source.configurations.list({...createCall(500), isOnNewConnection: true});
	const lost = await waiting;
	expect([lost.isLeft(), listed.isRight()]).toEqual([true, true]);
});

test('a node registers over an entry of its previous incarnation', async () => {
	const registered = [await source.register({name: 'edge-1', peerAddress: '10.0.0.1:1'}, call), await source.register({name: 'edge-1', peerAddress: '10.0.0.2:1'}, call)];
	expect(registered.every(result => result.isRight())).toBe(true);
	const nodes = await source.listNodes(call);
	expect(nodes.unsafeCoerce()).toEqual([{name: 'edge-1', peerAddress: '10.0.0.2:1'}]);
});

const callHeaders = {
	host: 'shop.example',
	'cresshook-attempt-id': '9c41',
	'cresshook-deadline-ms': '10000',
	'cresshook-model': 'm',
	'cresshook-token-usage': '1460,80',
	'cresshook-prompt-prefix': '5c1e:800',
	'cresshook-tenant': 'forged',
	priority: '0',
	authorization: 'Bearer key',
	'last-event-id': '12',
	connection: 'keep-alive, x-hop',
	'x-hop': 'gone',
	'x-own': 'kept',
};

test('a caller\'s head is parsed, and fields that it may not set are dropped', () => {
	const head = wire.readCallHead('POST', '/a/?b', callHeaders).unsafeCoerce();
	expect(head).toMatchObject({
		requestId: '9c41', host: 'shop.example', key: 'key', timeLeft: 10_000, lastEventId: 12, promptTokens: 1460, outputTokens: 80, target: '/a/?b',
	});
	expect(Object.keys(head.headers).sort()).toEqual([
		'cresshook-attempt-id', 'cresshook-model', 'cresshook-prompt-prefix', 'cresshook-token-usage', 'host', 'x-own',
	]);
});

// The last part belongs to one request; a caller may state any number of parts, and malformed ones must not cost it the request.
test('parts of a prompt that others may share are read, bounded in number and length', () => {
	const read = (parts: string) => wire.readCallHead('POST', '/a/', {...callHeaders, 'cresshook-prompt-prefix': parts}).unsafeCoerce().sharedParts;
	expect(read('5c1e07a2:800,91BD3F06:410,e4402b7d:250')).toEqual(['5c1e07a2', '91bd3f06']);
	expect(read(' 5c : 800 , 91:410 ,e4:250')).toEqual(['91']);
	expect(read('e4402b7d:250')).toEqual([]);
	expect(read('')).toEqual([]);
	expect(read('x:1,5c:-1,5c,:9,,5c:9:9,5c:9,e4:1')).toEqual(['5c']);
	expect(read(`${'a'.repeat(33)}:1,5c:9,e4:1`)).toEqual(['5c']);
	expect(read(Array.from({length: 1000}, (_, index) => `${index}:1`).join(','))).toHaveLength(16);
});

// A negative count released memory that a server did not have, and one of three hundred digits made the estimated cost of
// prefill infinite, so that every long prompt was rejected for the ten seconds in which it counted as demand.
test('invalid token counts and event ids are treated as absent', () => {
	const read = (counts: string, lastEventId: string) => {
		const head = wire.readCallHead('POST', '/a/', {...callHeaders, 'cresshook-token-usage': counts, 'last-event-id': lastEventId}).unsafeCoerce();
		return [head.promptTokens, head.outputTokens, head.lastEventId];
	};

	expect(read('1460,80', '12')).toEqual([1460, 80, 12]);
	expect(read('-300000,-1', '-1')).toEqual([0, 0, undefined]);
	expect(read('1e308,1e9', '1e308')).toEqual([0, 0, undefined]);
	expect(read('0.5,Infinity', '1.5')).toEqual([0, 0, undefined]);
	expect(read(' 7 , 8 ,9', ' 3 ')).toEqual([7, 8, 3]);
	expect(read(',', 'last')).toEqual([0, 0, undefined]);
});

const headerText = fc.oneof(
	fc.string({maxLength: 20}),
	fc.oneof(fc.double(), fc.integer(), fc.bigInt()).map(String),
	fc.tuple(fc.double(), fc.double()).map(String),
	fc.constantFrom('', ' ', ',', '0x10', '1e400', 'Bearer ', 'Bearer k', 'keep-alive, x-own', 'close,,host', 'Cresshook-Attempt-Id'),
);

/** Fields that the gateway sets itself, and hop-by-hop fields: neither is forwarded. */
const writtenFields = new Set(['cresshook-deadline-ms', 'cresshook-tenant', 'cresshook-target-instance', 'helpers', 'priority', 'authorization', 'last-event-id']);
const connectionFields = new Set(['connection', 'keep-alive', 'te', 'upgrade', 'content-length', 'expect', 'trailer', 'transfer-encoding']);

/** Request heads with each field once, several times, or not at all. */
const arbitraryHead = fc.dictionary(
	fc.oneof({weight: 4, arbitrary: fc.constantFrom(...Object.keys(callHeaders), ...writtenFields, ...connectionFields)}, fc.stringMatching(/^x-[a-z]{1,4}$/)),
	fc.oneof({weight: 4, arbitrary: headerText}, fc.array(headerText, {maxLength: 3}), fc.constant(undefined)),
);

const arbitrarySend = fc.record({
	serverName: fc.constantFrom('i-1', 'i-2') as fc.Arbitrary<BackendServerName>,
	organisation: fc.option(fc.constant('guild' as OrganisationId), {nil: undefined}),
	timeLeft: fc.integer({min: 0, max: 60_000}),
	lastEventId: fc.option(fc.nat(), {nil: undefined}),
	urgency: fc.option(fc.integer({min: -3, max: 30}), {nil: undefined}),
	helpers: fc.array(fc.record({address: fc.constant('10.0.0.1:80'), reservation: fc.option(fc.constant('t1'), {nil: undefined})}), {maxLength: 2}),
});

test('an arbitrary head is parsed or rejected, and each send has exactly the fields of its own parameters', () => {
	fc.assert(fc.property(arbitraryHead, fc.array(arbitrarySend, {maxLength: 5}), (fields, sends) => {
		const read = wire.readCallHead('POST', '/a/', fields);
		if (read.isLeft()) {
			const firstValues = [fields['cresshook-attempt-id'], fields.host].flatMap(value => (Array.isArray(value) ? value[0] : value) ?? '');
			expect(firstValues).toContain('');
			return;
		}

		const call = read.unsafeCoerce();
		const before = structuredClone(call);
		expect([call.promptTokens, call.outputTokens, call.lastEventId ?? 0].every(count => Number.isSafeInteger(count) && count >= 0)).toBe(true);
		expect(call.timeLeft === undefined || Number.isFinite(call.timeLeft)).toBe(true);
		expect(Object.keys(call.headers).filter(name => writtenFields.has(name) || connectionFields.has(name))).toEqual([]);
		for (const send of sends) {
			const sent = wire.formatBackendRequest({call, ...send});
			const expected = {
				...call.headers,
				'cresshook-deadline-ms': String(send.timeLeft),
				'cresshook-target-instance': send.serverName,
				'cresshook-tenant': send.organisation,
				'last-event-id': send.lastEventId?.toString(),
				priority: send.urgency === undefined ? undefined : String(Math.min(9, Math.max(0, send.urgency))),
				helpers: send.helpers.length === 0 ? undefined : send.helpers.map(({address, reservation}) => reservation === undefined ? address : `${address}/${reservation}`).join(','),
			};
			expect(sent).toEqual(Object.fromEntries(Object.entries(expected).filter(([, value]) => value !== undefined)));
		}

		expect(call).toEqual(before);
	}), {seed: 20_261_203, numRuns: 2000});
});

test('a head without an id or a host is rejected', () => {
	expect(wire.readCallHead('GET', '/', {host: 'x'}).isLeft()).toBe(true);
	expect(wire.readCallHead('GET', '/', {'cresshook-attempt-id': 'x'}).isLeft()).toBe(true);
});

test('a request to a server names the server, the organisation, the remaining time and the helpers', () => {
	const call = wire.readCallHead('POST', '/a/', callHeaders).unsafeCoerce();
	const send: BackendRequestHead = {
		call, serverName: 'i-1' as BackendServerName, organisation: 'guild' as OrganisationId, timeLeft: 900, lastEventId: 14, urgency: 12,
		helpers: [{address: '10.0.0.1:80', reservation: 't1'}, {address: '10.0.0.2:80'}],
	};
	expect(wire.formatBackendRequest(send)).toMatchObject({
		'cresshook-target-instance': 'i-1', 'cresshook-tenant': 'guild', 'cresshook-deadline-ms': '900',
		'last-event-id': '14', helpers: '10.0.0.1:80/t1,10.0.0.2:80', priority: '9', 'cresshook-model': 'm',
	});
});

test('an answer\'s head shows whether it is genuine, declined, framed and encoded', () => {
	const read = (status: number, headers: Record<string, string>) => {
		const head = wire.readResponseHead(status, headers);
		return [head.isSigned, head.isDeclined, head.isFramed, head.isEncoded];
	};

	expect(read(200, {'cresshook-response-seal': 's', 'content-length': '3'})).toEqual([true, false, true, false]);
	expect(read(503, {'cresshook-not-executed': '1'})).toEqual([false, true, false, false]);
	expect(read(421, {'transfer-encoding': 'chunked'})).toEqual([false, true, true, false]);
	expect(read(200, {'content-encoding': 'gzip'})).toEqual([false, false, false, true]);
});

test('a failure states when to retry, in seconds with fractions', () => {
	const failure = createFailure('overloaded', 'full', {retryAfterSeconds: 0.251_34});
	expect(wire.formatFailureHeaders(failure, undefined)['retry-after']).toBe('0.251');
});

test('memory reservations and releases are formatted as the server expects them', () => {
	const reserve = wire.formatOrder({
		kind: 'reserve', reservation: 't1', tokens: 5, holdFor: 3000,
	});
	expect([reserve.path, JSON.parse(reserve.body)]).toEqual(['/v1/order', {
		op: 'reserve', id: 't1', tokens: 5, holdMs: 3000,
	}]);
	expect(JSON.parse(wire.formatOrder({kind: 'release', reservation: 't1'}).body)).toEqual({op: 'release', id: 't1'});
});

test('field and header names of the platform occur only in platform/', async () => {
	const fieldWords = /\btenants?\b|timeoutMs|targetLatencyMs|maxAttempts|allowAnonymous|kvCapacity|per_seq_ms|coldRemaining|holdMs|ttlS/;
	const headerWords = /cresshook-(?:attempt|response|token|prompt|deadline|target|not-exec|instance|tenant)/i;
	const all = await readdir('src', {recursive: true});
	const files = all.filter(file => file.endsWith('.ts'));
	const found = await Promise.all(files.map(async file => {
		const text = await readFile(join('src', file), 'utf8');
		return fieldWords.test(text) || headerWords.test(text) ? file : '';
	}));
	expect(files.length).toBeGreaterThan(50);
	expect(found.filter(file => file !== '')).toEqual([]);
});
