/**
 * Measures the CPU time of the pieces of a node's work in a fleet of 82, each repeated in one process: heartbeats, the
 * choice of watchers, the list of servers, and a configuration of 2,050 routes. A node that has just started needs a
 * multiple of it, as its code is not compiled yet; `bench/fleet-node.ts` measures that.
 *
 * `docs/design/processor-time.md` has reference figures.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import seedrandom from 'seedrandom';
import {
	createSilentLogger, VirtualClock, type AvailabilityZone, type ServiceName,
} from '../src/common/index.js';
import {computeDigest} from '../src/gateway/digest.js';
import {decodeHeartbeat, encodeHeartbeat, type Heartbeat} from '../src/gateway/peers/heartbeat.js';
import {Peers} from '../src/gateway/peers/peers.js';
import {chooseWatchers, ViewResponder} from '../src/gateway/views/index.js';
import {
	FleetState, type BackendServer, type ConfigChanges, type RoutingConfig,
} from '../src/routing/index.js';
import {parsePacked} from '../src/rpc/packed-text.js';
import {decodeConfig} from '../platform/decode-config.js';
import {createConfig} from '../test/helpers/gateways.js';
import {createPeer} from '../test/helpers/peers.js';
import {createModelServer} from '../test/helpers/viewing-fleet.js';

const peerCount = 81;
const serverCount = 70;
const initialRoutes = 126;
const allRoutes = 2050;

const clock = new VirtualClock();
const logger = createSilentLogger();
const service = 'model' as ServiceName;
const view = {
	configVersion: 1, serversRevision: 1, serversDigest: 'x', sourceAges: {configuration: 10, servers: 10},
};
const others = Array.from({length: peerCount}, (_, index) => createPeer(`n${index}`, {life: `l${10_000 + index}`, availabilityZone: `zone-${index % 3}` as AvailabilityZone}));

/** Runs a piece of work `count` times after as many to warm up, and prints the time of one. */
function measure(name: string, count: number, work: (index: number) => void): void {
	for (let index = 0; index < count; index++) {
		work(index);
	}

	const started = performance.now();
	for (let index = count; index < count * 2; index++) {
		work(index);
	}

	process.stdout.write(`${name}: ${((performance.now() - started) / count).toFixed(3)} ms\n`);
}

function createHeartbeat(): Heartbeat {
	const entries = others.map(peer => ({...peer, age: 10 * Math.floor(Math.random() * 60)}));
	return {
		from: {...entries[0], age: 0}, view, others: entries.slice(1), described: [], wanted: [],
	};
}

function describeSpec(version: number, routes: number): Record<string, unknown> {
	const config = createConfig(version);
	const [first] = config.routes as Array<Record<string, unknown>>;
	return {
		...config,
		routes: Array.from({length: routes}, (_, index) => ({
			...first, name: `route-${index}`, host: `host-${index % 40}.example`, pathPrefix: `/part-${index}/`, targetLatencyMs: 300 + (index === version % routes ? version : 0),
		})),
	};
}

function createState(config?: RoutingConfig, servers?: BackendServer[]): FleetState {
	const state = new FleetState(clock, logger);
	if (config !== undefined) {
		state.applyConfig(config, 'source');
	}

	if (servers !== undefined) {
		state.applyServerList({items: servers, revision: 1}, 'source');
	}

	return state;
}

function measureHeartbeats(): void {
	const heartbeat = createHeartbeat();
	const message = encodeHeartbeat(heartbeat);
	measure('encode a heartbeat', 2000, () => encodeHeartbeat(heartbeat));
	measure('decode a heartbeat', 2000, () => decodeHeartbeat(message));
	const peers = new Peers({
		clock, logger, self: () => createPeer('self'), view: () => view, random: seedrandom('1'),
	});
	peers.accept({...heartbeat, described: others}, 'x:1');
	peers.accept({...heartbeat, described: others}, 'x:1');
	measure('apply a heartbeat', 2000, () => {
		clock.advance(80);
		peers.accept({...heartbeat, others: heartbeat.others.map(entry => ({...entry, age: 0}))}, 'x:1');
	});
	measure('create the heartbeats of an interval', 2000, () => peers.createHeartbeats());
	measure('choose the watchers', 1000, () => chooseWatchers(others));
}

function measureServers(): void {
	const servers = Array.from({length: serverCount}, (_, index) => createModelServer(index));
	const state = createState(undefined, servers);
	measure('describe the servers and compute the digest', 1000, () => computeDigest(state.describeServers(), 12));
	measure('list the servers of a service', 1000, () => state.listServers(service));
	let revision = 1;
	measure('apply a changed server', 1000, index => {
		revision++;
		state.applyServerChanges([{name: 'i-5', item: {...createModelServer(5, index % 2 === 0), entryRevision: revision}, revision}], revision, 'source');
	});
	const responder = new ViewResponder(state);
	measure('pack the servers for a node', 200, () => responder.takeServers({revision: 0}));
	const packed = responder.takeServers({revision: 0})!;
	measure('unpack and apply the servers of another node', 200, () => {
		createState().applyServers(parsePacked(packed), 'node');
	});
}

function measureConfigurations(): void {
	const specs = Array.from({length: 80}, (_, index) => describeSpec(index + 1, allRoutes));
	measure('decode 2,050 routes of the source', 20, index => decodeConfig(specs[index]));
	const configs = specs.map(spec => decodeConfig(spec));
	const state = createState(configs[0]);
	measure('apply a configuration with one changed route of 2,050', 20, index => {
		state.applyConfig(configs[index + 1], 'source');
	});
	measure('compute, pack, unpack and apply one changed route', 15, index => {
		const version = state.configVersion;
		state.applyConfig(configs[index + 45], 'source');
		const responder = new ViewResponder(state);
		parsePacked<ConfigChanges>(responder.takeConfig({version})!);
	});
	const responder = new ViewResponder(state);
	measure('pack 2,050 routes for a node', 10, () => new ViewResponder(state).takeConfig({version: 0}));
	const packed = responder.takeConfig({version: 0})!;
	const early = decodeConfig(describeSpec(1, initialRoutes));
	measure('unpack and apply 2,050 routes of another node', 10, () => {
		createState().applyConfigChanges(parsePacked(packed), 'node');
	});
	measure('apply 1,924 added routes', 10, () => {
		createState(early).applyConfig(configs[60], 'source');
	});
}

measureHeartbeats();
measureServers();
measureConfigurations();
