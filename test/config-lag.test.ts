import {expect, test} from '@jest/globals';
import {createLogger, VirtualClock} from '../src/common/index.js';
import type {PeerClients} from '../src/gateway/peers/peer-rpc.js';
import {ConfigLag, ViewExchange} from '../src/gateway/views/index.js';
import {FleetState, SourceHealth} from '../src/routing/index.js';
import {LogCapture} from './helpers/logs.js';
import {createPeer} from './helpers/peers.js';
import {advanceClock} from './helpers/sources.js';
import {createRoutedConfig, createRoutes} from './helpers/viewing-fleet.js';

test('the lag counts from the first announcement of a newer version', () => {
	const lag = new ConfigLag();
	expect(lag.measure(1, 0)).toBe(0);
	lag.observe(1, 100);
	lag.observe(3, 200);
	lag.observe(3, 250);
	lag.observe(5, 400);
	lag.observe(2, 450);
	expect([lag.measure(1, 500), lag.newest]).toEqual([300, 5]);
	expect(lag.measure(3, 600)).toBe(200);
	expect(lag.measure(5, 700)).toBe(0);
	lag.observe(5, 800);
	expect(lag.measure(5, 900)).toBe(0);
});

/** Creates a node that is behind a peer which never answers. */
function createLaggingNode() {
	const clock = new VirtualClock();
	const memory = new LogCapture();
	const logger = createLogger('info', memory);
	const state = new FleetState(clock, logger);
	const stalled: string[] = [];
	const askOnNewConnection = async () => new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
	const exchange = new ViewExchange({
		clock,
		logger,
		state,
		clients: {askOnNewConnection} as unknown as PeerClients,
		self: () => createPeer('n0'),
		isFirstStart: false,
		health: new SourceHealth(),
		onStalled(part) {
			stalled.push(part);
		},
	});
	state.applyConfig(createRoutedConfig(1, createRoutes(3)), 'source');
	exchange.compareView(createPeer('n1'), {
		configVersion: 2, serversRevision: 0, serversDigest: '', sourceAges: {configuration: undefined, servers: undefined},
	});
	return {
		clock, memory, state, exchange, stalled,
	};
}

test('a lag above one second is logged once per version, with the nodes that have pending requests', async () => {
	const {clock, memory, exchange} = createLaggingNode();
	const listLagLines = () => memory.listEvents('config_behind').map(({version, newest, behind, asked}) => ({
		version, newest, behind, asked,
	}));
	await advanceClock(clock, 990);
	expect([exchange.reportLag(), listLagLines()]).toEqual([990, []]);
	await advanceClock(clock, 110);
	expect([exchange.reportLag(), exchange.reportLag()]).toEqual([1100, 1100]);
	expect(listLagLines()).toEqual([{
		version: 1, newest: 2, behind: 1100, asked: ['n1', 'n1'],
	}]);
	exchange.compareView(createPeer('n2'), {
		configVersion: 3, serversRevision: 0, serversDigest: '', sourceAges: {configuration: undefined, servers: undefined},
	});
	expect(exchange.reportLag()).toBe(1100);
	expect(listLagLines()).toHaveLength(2);
});

test('a newly announced peer is asked at once while another one stalls on two connections', async () => {
	const {clock, exchange, memory} = createLaggingNode();
	await advanceClock(clock, 1000);
	exchange.compareView(createPeer('n2'), {
		configVersion: 2, serversRevision: 0, serversDigest: '', sourceAges: {configuration: undefined, servers: undefined},
	});
	await advanceClock(clock, 200);
	exchange.reportLag();
	expect(memory.listEvents('config_behind')[0].asked).toEqual(['n1', 'n1', 'n2']);
});

test('each stalled request is counted and logged once and hedged; all end when the node has caught up', async () => {
	const {clock, memory, state, exchange, stalled} = createLaggingNode();
	await advanceClock(clock, 350);
	expect(stalled).toEqual(['config', 'config']);
	expect(memory.listEvents('config_missed').map(line => [line.node, line.silentFor])).toEqual([['n1', 100], ['n1', 200]]);
	state.applyConfig(createRoutedConfig(2, createRoutes(3)), 'source');
	await advanceClock(clock, 2000);
	expect(stalled).toHaveLength(2);
	expect(exchange.reportLag()).toBe(0);
});
