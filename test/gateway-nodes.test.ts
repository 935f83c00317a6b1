import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createLogger, type ServiceName} from '../src/common/index.js';
import {
	createConfig, GatewayFleet, send, waitUntil,
} from './helpers/gateways.js';
import {sendRaw as sendBytes} from './helpers/calls.js';
import {LogCapture} from './helpers/logs.js';
import {createTextAnswer, decline, streamEvents} from './helpers/platform-standins.js';

/** Timeout of tests in which a node waits for the end of a five-second watch, in milliseconds. */
const watchTimeout = 15_000;

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

async function askAddresses(node: number): Promise<string[]> {
	const answer = await send(fleet.settings[node].listen.addresses, {path: '/v1/resolve?name=shop.example&region=r&zone=north', method: 'GET'});
	return (JSON.parse(answer.body) as {addresses: string[]}).addresses;
}

async function startTwo(): Promise<void> {
	await fleet.start({nodes: 2, runners: [{service: 'app', behaviour: createTextAnswer('yes')}, {service: 'model', behaviour: streamEvents(2)}]});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === 2));
}

test('nodes discover each other by their registrations, and callers get the addresses of both', async () => {
	await startTwo();
	const addresses = await askAddresses(0);
	expect(addresses.sort()).toEqual(fleet.settings.map(settings => settings.listen.callers).sort());
});

test('both nodes serve calls, whichever of them schedules', async () => {
	await startTwo();
	const answers = await Promise.all([0, 1].flatMap(node => [
		fleet.call({path: '/once/'}, node), fleet.call({path: '/stream/', headers: {'cresshook-token-usage': '5000,80'}}, node),
	]));
	expect(answers.map(answer => [answer.status, answer.isComplete])).toEqual([[200, true], [200, true], [200, true], [200, true]]);
});

test('a node that reaches no other node does not send all calls to the first server', async () => {
	await fleet.start({nodes: 0, runners: ['app', 'app', 'app'].map(service => ({service, behaviour: createTextAnswer('yes')}))});
	await fleet.addGateway({seeds: ['127.0.1.8:9', '127.0.1.9:9'], isFirstStart: false});
	await waitUntil(() => fleet.gateways[0].isReady);
	for (let count = 0; count < 24; count++) {
		const answer = await fleet.call({path: '/once/'});
		expect(answer.status).toBe(200);
	}

	expect(fleet.runners.map(runner => runner.receivedRequests.length).filter(seen => seen > 0)).toHaveLength(3);
});

test('when a node crashes, the other keeps serving and soon is the only address for callers', async () => {
	await startTwo();
	await fleet.gateways[0].close();
	const started = Date.now();
	const answers = await Promise.all([1, 2, 3].map(async () => fleet.call({path: '/once/'}, 1)));
	expect(answers.map(answer => answer.status)).toEqual([200, 200, 200]);
	expect(Date.now() - started).toBeLessThan(1000);
	await waitUntil(() => fleet.gateways[1].listReadyNodes().length === 1, 3000);
});

test('callers no longer get the address of a node that stops', async () => {
	await startTwo();
	const stopped = fleet.gateways[0].stop();
	await waitUntil(() => fleet.gateways[1].listReadyNodes().length === 1, 1000);
	expect(await askAddresses(1)).toEqual([fleet.settings[1].listen.callers]);
	await stopped;
});

test('the readiness endpoint follows start and stop of the node', async () => {
	await fleet.start({runners: []});
	fleet.store.put('servers', 'i-9', {
		service: 'app', address: '127.0.0.1:9', zone: 'north', version: 'v1', slots: 1, state: 'ready', coldRemainingMs: 0, sequence: 1,
	});
	const ready = async () => {
		const answer = await send(fleet.settings[0].listen.ready, {path: '/v1/readyz', method: 'GET'});
		return answer.status;
	};

	expect(await ready()).toBe(200);
	const stopped = fleet.gateways[0].stop();
	expect(await ready()).toBe(503);
	await stopped;
});

/** Whether three watchers are chosen and have all their watches open: at the start every node watches, until it knows the others. */
function hasChosenWatchers(): boolean {
	return fleet.gateways.filter(gateway => gateway.isWatcher).length === 3 && fleet.store.waitingWatches === 6;
}

test('of eight nodes three follow the store, and the others know of changes as soon', async () => {
	await fleet.start({nodes: 8, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await waitUntil(hasChosenWatchers);
	fleet.store.put('config', 'main', createConfig(2));
	fleet.putServer(0, 'app', 'draining');
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.configVersion === 2 && gateway.state.listServers('app' as ServiceName).length === 0), 1500);
	await waitUntil(hasChosenWatchers, 1000);
}, watchTimeout);

test('ten nodes that start together for the first time become ready with the view of their seed node', async () => {
	await fleet.start({nodes: 0, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await fleet.startTogether(10);
	await waitUntil(() => fleet.gateways.every(gateway => gateway.isReady && gateway.listReadyNodes().length === 10), 4000);
	// The seed node's lists and watches of each kind, its registration and its lookup of the others.
	expect(fleet.store.calls.length).toBeLessThanOrEqual(8);
	await waitUntil(hasChosenWatchers, 6000);
	fleet.store.put('config', 'main', createConfig(2));
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.configVersion === 2), 1500);
}, watchTimeout);

test('nodes that start for the first time and reach no seed node read from the store themselves', async () => {
	await fleet.start({nodes: 0, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await Promise.all([1, 2].map(async index => fleet.addGateway({index, host: `127.0.2.${index}`, seeds: ['127.0.2.9:9']})));
	await waitUntil(() => fleet.gateways.every(gateway => gateway.isReady), 6000);
}, watchTimeout);

test('a node that joins a running fleet lists once and neither watches nor registers', async () => {
	await fleet.start({nodes: 0, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await fleet.startTogether(7);
	await waitUntil(hasChosenWatchers, 8000);
	const watchers = fleet.settings.filter((_, index) => fleet.gateways[index].isWatcher).map(settings => settings.box);
	await waitUntil(() => watchers.every(name => fleet.store.listNames('cresshook-nodes').includes(name)), 3000);
	// Each node that registers looks up the others once, right after it.
	await waitUntil(() => fleet.store.calls.filter(call => call === 'GET /v1/objects/cresshook-nodes').length === fleet.store.listNames('cresshook-nodes').length, 1000);
	const before = fleet.store.calls.length;
	const joined = await fleet.addJoiningGateway();
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === 8), 3000);
	await new Promise(resolve => {
		setTimeout(resolve, 2500);
	});
	expect(joined.isWatcher).toBe(false);
	const asked = fleet.store.calls.slice(before).filter(call => !call.includes('watch='));
	expect(asked.sort()).toEqual(['GET /v1/objects/config', 'GET /v1/objects/servers']);
}, watchTimeout);

test('other nodes take over when watchers of the store end', async () => {
	await fleet.start({nodes: 8, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await waitUntil(hasChosenWatchers);
	const ended = fleet.gateways.filter(gateway => gateway.isWatcher).slice(0, 2);
	await Promise.all(ended.map(async gateway => gateway.close()));
	const left = fleet.gateways.filter(gateway => !ended.includes(gateway));
	fleet.store.put('config', 'main', createConfig(2));
	await waitUntil(() => left.every(gateway => gateway.state.configVersion === 2), 1500);
	await waitUntil(() => left.filter(gateway => gateway.isWatcher).length === 3, 4000);
}, watchTimeout);

test('when all watchers of the store end at once, other nodes take over and receive a change within four seconds', async () => {
	await fleet.start({nodes: 8, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await waitUntil(hasChosenWatchers);
	const ended = fleet.gateways.filter(gateway => gateway.isWatcher);
	await Promise.all(ended.map(async gateway => gateway.close()));
	const left = fleet.gateways.filter(gateway => !ended.includes(gateway));
	fleet.store.put('config', 'main', createConfig(2));
	await waitUntil(() => left.every(gateway => gateway.state.configVersion === 2), 4000);
	await waitUntil(() => left.filter(gateway => gateway.isWatcher).length === 3, 1000);
}, watchTimeout);

test('a node takes a newer configuration from another node without the store', async () => {
	await startTwo();
	const other = fleet.gateways[1];
	other.state.applyConfig({...other.state.table!.config, version: 99}, 'test');
	await waitUntil(() => fleet.gateways[0].state.configVersion === 99, 3000);
});

test('nodes list again after the store lost its history, and keep their state meanwhile', async () => {
	await startTwo();
	fleet.store.put('config', 'main', createConfig(3));
	fleet.store.forgetHistory();
	fleet.store.put('config', 'main', createConfig(4));
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.configVersion === 4), 3000);
	const answer = await fleet.call({path: '/once/'});
	expect(answer.status).toBe(200);
});

test('metrics are served as text', async () => {
	await startTwo();
	await fleet.call({path: '/once/'});
	const answer = await send(`${fleet.settings[0].listen.callers.split(':')[0]}:${fleet.settings[0].metrics_port}`, {path: '/metrics', method: 'GET'});
	expect(answer.body).toContain('cresshook_calls_total{service="app",outcome="whole"} 1');
	expect(answer.body).toContain('cresshook_first_seconds_bucket');
	expect(answer.body).toContain('cresshook_config_behind_seconds 0\n');
});

test('malformed request heads are rejected and never reach a server', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('no')}]});
	const [host, port] = fleet.settings[0].listen.callers.split(':');
	const sendRaw = async (text: string) => sendBytes(host, Number(port), text);
	const head = 'POST /once/ HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer secret-key\r\nCresshook-Attempt-Id: x\r\n';
	const answers = await Promise.all([
		sendRaw(`${head}Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd`),
		sendRaw(`${head}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n`),
		sendRaw(`${head}X-Long: ${'a'.repeat(70_000)}\r\n\r\n`),
		sendRaw('nonsense\r\n\r\n'),
		sendRaw(`${head}Transfer-Encoding: chunked\r\n\r\nzz\r\n`),
	]);
	expect(answers.map(answer => answer.split(' ')[1])).toEqual(['400', '400', '431', '400', '400']);
	expect(fleet.runners[0].receivedRequests).toHaveLength(0);
	const after = await fleet.call({path: '/once/'});
	expect(after.body).toBe('no');
});

test('a body over the limit is rejected', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('no')}]});
	const answer = await fleet.call({path: '/once/', body: 'a'.repeat(1_000_001)});
	expect(answer.status).toBe(413);
	expect(fleet.runners[0].receivedRequests).toHaveLength(0);
});

/**
 * Guards against a wrong bypass: the scheduling node rightly refuses a retry that excludes the only server of a service.
 * The asking node must not conclude that it lacks servers (`decider_passed_over`) and bypass it for 600 ms.
 */
test('a scheduling node that knows only servers excluded by the request is not bypassed', async () => {
	const logs = [new LogCapture(), new LogCapture()];
	fleet.loggers.push(...logs.map(log => createLogger('info', log)));
	await fleet.start({nodes: 2, runners: [{service: 'app', behaviour: decline}]});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === 2));
	const answers = await Promise.all([0, 1].map(async node => fleet.call({path: '/again/'}, node)));
	expect(answers.map(answer => answer.status)).toEqual([503, 503]);
	expect(logs.flatMap(log => log.listEvents('refused')).map(({excluded}) => excluded)).toEqual([['i-0'], ['i-0']]);
	expect(logs.flatMap(log => log.listEvents('decider_passed_over'))).toEqual([]);
});
