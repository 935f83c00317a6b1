/**
 * Measures how memory, time and traffic of a node grow, with a least-squares fit over four sizes or more.
 * docs/CAPACITY.md extrapolates from the slopes to the size expected in two years.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {
	linearRegression, linearRegressionLine, quantile, rSquared,
} from 'simple-statistics';
import {
	createSilentLogger, formatPoolId, hashSecret, randomIdSource, NoopMetrics, systemClock, VirtualClock, waitFor,
	type BackendServerId, type Incarnation, type OrganisationId, type RequestId, type ServiceName,
} from '../src/common/index.js';
import {FleetView} from '../src/node/config/index.js';
import {
	Dispatcher, EqualDirectory, type AdmitRequest, type ServerState,
} from '../src/node/dispatch/index.js';
import {Members} from '../src/node/membership/index.js';
import {platformObjectSchema, type PlatformObject, type PlatformObjectInput} from '../src/store/index.js';
import {NodeClients} from '../src/rpc/index.js';
import {StandinFleet, standinFleet} from '../src/standin/index.js';

type Point = [size: number, value: number];

async function main(): Promise<void> {
	print('quantity                                         points (size: value)                                            slope        intercept   r2');
	measureOrganisations();
	measureNodes();
	measureDecisions();
	await measureMessages();
}

function measureOrganisations(): void {
	const sizes = [3500, 7000, 14_000, 28_000];
	const views = sizes.map(size => ({size, ...buildView(Array.from({length: size}, (_, index) => describeOrganisation(index)))}));
	report('memory of organisations, KiB', views.map(({size, bytes}): Point => [size, bytes / 1024]));
	report('a full list of organisations, ms', views.map(({size, milliseconds}): Point => [size, milliseconds]));
	report('one change of an organisation, ms', views.map(({size, view}): Point => [size, timeChange(view, size)]));
	report('looking a key up, us', views.map(({size, view}): Point => [size, timeEach(2000, index => {
		view.findKeyOwner(`sk-${index % size}`);
	}) * 1000]));
}

function measureNodes(): void {
	const sizes = [50, 100, 200, 400];
	const views = sizes.map(size => ({size, ...buildView(Array.from({length: size}, (_, index) => describeNode(index)))}));
	report('memory of nodes, KiB', views.map(({size, bytes}): Point => [size, bytes / 1024]));
	report('members after a change, ms', views.map(({size, view}): Point => {
		const members = new Members(view);
		return [size, timeEach(50, index => {
			members.recordReachability('x' as Incarnation, index % 2 === 0);
			members.listReady();
		})];
	}));
	report('members without a change, us', views.map(({size, view}): Point => {
		const members = new Members(view);
		return [size, timeEach(5000, () => {
			members.isReady('x' as Incarnation);
		}) * 1000];
	}));
}

function measureDecisions(): void {
	const decide = (engines: number, waiting: number): number => quantile(timeDecisions(engines, waiting), 0.99);
	report('admit and place, us p99, by engines', [16, 64, 200, 600].map((engines): Point => [engines, decide(engines, 0)]));
	report('the same with 1,000 waiting, by engines', [16, 64, 200, 600].map((engines): Point => [engines, decide(engines, 1000)]));
	report('the same at 64 engines, by waiting', [0, 250, 500, 1000, 2000].map((waiting): Point => [waiting, decide(64, waiting)]));
	report('release and serve the queue, us p99, by waiting', [0, 250, 500, 1000, 2000].map((waiting): Point => [waiting, quantile(timeReleases(64, waiting), 0.99)]));
}

/** Measures the bytes per call of each kind of message, in both directions and with headers. */
async function measureMessages(): Promise<void> {
	const fleet = new StandinFleet({clock: systemClock, random: Math.random, nodes: 2});
	await fleet.start();
	while (fleet.nodes.some(node => node.readStatus().readyNodes.length < 2) || fleet.nodes.flatMap(node => node.readStatus().pools).length < 2) {
		await waitFor(systemClock, 50);
	}

	const pool = formatPoolId(standinFleet.service as unknown as ServiceName, standinFleet.region);
	const node = fleet.nodes.find(candidate => candidate.readStatus().pools.some(status => status.pool === pool))!;
	const client = new NodeClients(standinFleet.secret, systemClock);
	const entry = fleet.nodes[0].incarnation;
	const countEach = async (count: number, call: (index: number) => Promise<unknown>): Promise<number> => {
		await call(0);
		const before = client.countBytes();
		for (let index = 1; index <= count; index++) {
			await call(index);
		}

		return (client.countBytes() - before) / count;
	};

	const peer = client.findClient(node.nodeUrl);
	const ping = await countEach(100, async () => peer.ping.query());
	const admission = await countEach(100, async index => peer.admit.mutate({pool, request: {...describeRequest(index, 2000), entry}}));
	const heartbeat = await countEach(100, async () => peer.acceptHeartbeat.mutate({
		pool, entry, entryUrl: node.nodeUrl, activeCount: 4, released: [0, 1, 2, 3].map(() => randomIdSource.createUuid() as never),
	}));
	print(`bytes of a ping: ${ping.toFixed(0)}, of an admission with 8 prefixes: ${admission.toFixed(0)}, of a heartbeat with 4 releases: ${heartbeat.toFixed(0)}`);
	await client.close();
	await fleet.stop();
}

function buildView(objects: PlatformObjectInput[]): {view: FleetView; bytes: number; milliseconds: number} {
	const parsed = objects.map((object, index): PlatformObject => platformObjectSchema.parse({...object, metadata: {...object.metadata, resourceVersion: index + 1}}));
	const text = JSON.stringify(parsed);
	parsed.length = 0;
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const start = performance.now();
	const view = new FleetView();
	applyText(view, text);
	const milliseconds = performance.now() - start;
	globalThis.gc?.();
	return {view, bytes: process.memoryUsage().heapUsed - before, milliseconds};
}

/** A separate function, so that no stack frame keeps the list alive while memory is measured. */
function applyText(view: FleetView, text: string): void {
	const objects = (JSON.parse(text) as unknown[]).map(object => platformObjectSchema.parse(object));
	view.applyList({objects, resourceVersion: objects.length});
}

function timeChange(view: FleetView, size: number): number {
	return timeEach(20, index => {
		const object = platformObjectSchema.parse({...describeOrganisation(index), metadata: {name: `organisation-${index}`, resourceVersion: size + 1 + index}});
		view.applyEvent({type: 'MODIFIED', object});
	});
}

function timeEach(count: number, work: (index: number) => void): number {
	const start = performance.now();
	for (let index = 0; index < count; index++) {
		work(index);
	}

	return (performance.now() - start) / count;
}

/** Builds a pool with free memory on every engine, but on none enough for the waiting requests. */
function buildPool(engines: number, waiting: number): {dispatcher: Dispatcher; clock: VirtualClock} {
	const clock = new VirtualClock();
	const dispatcher = new Dispatcher({
		pool: formatPoolId('m' as ServiceName, 'r'), term: 1, clock, ids: randomIdSource, logger: createSilentLogger(), metrics: new NoopMetrics(), directory: new EqualDirectory(),
	});
	dispatcher.setServers(Array.from({length: engines}, (_, index): ServerState => ({
		id: `engine-${index}` as BackendServerId, url: 'http://10.0.0.1:8000', availabilityZone: 'a', capacity: 450_000, prefillRate: 20_000, tokenInterval: 30, open: true,
	})));
	dispatcher.open();
	for (let index = 0; index < engines; index++) {
		void dispatcher.admit(describeRequest(index, 300_000));
	}

	for (let index = 0; index < waiting; index++) {
		void dispatcher.admit({...describeRequest(engines + index, 250_000), patience: 10_000_000});
	}

	return {dispatcher, clock};
}

function timeDecisions(engines: number, waiting: number): number[] {
	const {dispatcher, clock} = buildPool(engines, waiting);
	const times: number[] = [];
	for (let index = 0; index < 3000; index++) {
		const request = describeRequest(1_000_000 + index, 2000);
		const start = performance.now();
		void dispatcher.admit(request);
		times.push((performance.now() - start) * 1000);
		clock.advance(100);
		const [first] = dispatcher.ledger.listGrants().slice(engines, engines + 1);
		dispatcher.ledger.release(first.grant.grantId);
	}

	return times.slice(1000);
}

function timeReleases(engines: number, waiting: number): number[] {
	const {dispatcher, clock} = buildPool(engines, waiting);
	const times: number[] = [];
	for (let index = 0; index < 1500; index++) {
		void dispatcher.admit(describeRequest(1_000_000 + index, 2000));
		clock.advance(100);
		const [last] = dispatcher.ledger.listGrants().slice(engines, engines + 1);
		const start = performance.now();
		dispatcher.reclaim(last.grant.grantId);
		times.push((performance.now() - start) * 1000);
	}

	return times.slice(500);
}

function describeRequest(index: number, promptTokens: number): AdmitRequest {
	return {
		requestId: `0abcfdf3ccc47404.${index.toString(36)}` as RequestId,
		organisation: `organisation-${index % 40}` as OrganisationId,
		service: standinFleet.service as unknown as ServiceName,
		entry: '0abcfdf3ccc47404.aHR0cDovLzEwLjAuMC4xOjgwODI' as Incarnation,
		promptTokens,
		outputTokens: 300,
		patience: 60_000,
		excluded: [],
		prefixes: {hashes: Array.from({length: 8}, (_, part) => `k3j5h2g8f7d${index % 20}${part}`), firstTokens: 256},
	};
}

function describeOrganisation(index: number): PlatformObjectInput {
	return {
		kind: 'Organisation',
		metadata: {name: `organisation-${index}`},
		spec: {partner: 'meteotessera', keyHashes: [hashSecret(`sk-${index}`)], services: ['bollettino-llm', 'tessere-app']},
	};
}

function describeNode(index: number): PlatformObjectInput {
	return {
		kind: 'Node',
		metadata: {name: `box-${index}`},
		spec: {
			incarnation: `0abcfdf3ccc4${index.toString(16).padStart(4, '0')}.aHR0cDovLzEwLjAuMC4xOjgwODI`, region: 'sic-east', availabilityZone: 'catania-a', callerUrl: 'http://10.0.0.1:8080', nodeUrl: 'http://10.0.0.1:8082', state: 'ready',
		},
	};
}

function report(name: string, points: Point[]): void {
	const fit = linearRegression(points);
	const quality = rSquared(points, linearRegressionLine(fit));
	const shown = points.map(([size, value]) => `${size}: ${value.toPrecision(3)}`).join('  ');
	print(`${name.padEnd(47)}  ${shown.padEnd(78)}  ${fit.m.toPrecision(3).padStart(9)}  ${fit.b.toPrecision(3).padStart(9)}  ${quality.toFixed(2)}`);
}

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- bundled as CommonJS
