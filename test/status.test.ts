import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createLogger} from '../src/common/index.js';
import type {NodeStatus} from '../src/gateway/index.js';
import {runCommand} from './helpers/commands.js';
import {
	findFreePorts, GatewayFleet, send, waitUntil,
} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {createTextAnswer, decline, streamEvents} from './helpers/platform-standins.js';

/** Time for which a node's status is cached, in milliseconds. */
const cacheTime = 250;

/** Maximum size of a status, in bytes. */
const maxStatusBytes = 256 * 1024;

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

function findAddress(node = 0): string {
	return `${fleet.settings[node].listen.callers.split(':')[0]}:${fleet.settings[node].metrics_port}`;
}

async function sleep(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

async function readStatus(node = 0): Promise<NodeStatus> {
	const {code, out, error} = await runCommand('status', findAddress(node), '--json');
	expect([code, error]).toEqual([0, '']);
	return JSON.parse(out) as NodeStatus;
}

test('the status shows the scheduling nodes, the live nodes and their versions', async () => {
	await fleet.start({nodes: 2, runners: [{service: 'model', behaviour: streamEvents(2)}]});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === 2));
	await sleep(cacheTime);
	const [first, second] = [await readStatus(0), await readStatus(1)];
	expect([first, second].map(status => [status.node.name, status.phase, status.nodes.live, status.node.configVersion])).toEqual([['edge-0', 'ready', 2, 1], ['edge-1', 'ready', 2, 1]]);
	expect(first.nodes.listed).toEqual([{
		...second.node, configVersion: 1, serversRevision: expect.any(Number),
	}]);
	expect(first.nodes.listed[0].life).toMatch(/^[\w-]{6}$/);
	for (const [index, {service}] of first.services.entries()) {
		const [one, other] = [first.services[index], second.services[index]];
		expect(service).toBe(['model', 'app'][index]);
		expect(one.decider.name).toBe(other.decider.name);
		expect([one.decider.isSelf, other.decider.isSelf].filter(Boolean)).toHaveLength(1);
	}

	expect(first.omitted).toEqual({services: 0, nodes: 0});
});

test('the status of a scheduling node shows the load and health of its servers and the remaining retries', async () => {
	await fleet.start({
		runners: [{
			service: 'app',
			behaviour() {
			// Never answers.
			},
		}, {service: 'model', behaviour: streamEvents(2)}],
	});
	const pending = fleet.call({path: '/once/'});
	await fleet.call({path: '/stream/', headers: {'cresshook-token-usage': '5000,80'}});
	await sleep(cacheTime);
	const {services, calls} = await readStatus();
	const app = services.find(({service}) => service === 'app');
	expect(calls).toBe(1);
	expect(app).toMatchObject({
		plans: 1, waiting: 0, usableServers: 1, servers: [{
			server: 'i-0', work: 1, writers: 1, slots: 11, restsFor: 0, isDoubtful: false,
		}],
	});
	// A lone node holds the whole retry history: 0.35 of the slack of 100 plus the credit of its request, only part of which counts soon after the start.
	expect(app?.retries).toMatchObject({requests: 1, retries: 0});
	expect(app?.retries?.left).toBeGreaterThan(0);
	expect(app?.retries?.left).toBeLessThanOrEqual(35);
	for (const socket of fleet.runners[0].sockets) {
		socket.destroy();
	}

	await pending;
	await sleep(cacheTime);
	const after = await readStatus();
	expect(after.calls).toBe(0);
	const [server] = after.services.find(({service}) => service === 'app')!.servers;
	expect(server.work).toBe(0);
	expect(server.restsFor).toBeGreaterThan(0);
});

test('retries that were granted are counted against the budget', async () => {
	const log = new LogCapture();
	fleet.loggers.push(createLogger('info', log));
	await fleet.start({runners: [{service: 'app', behaviour: decline}, {service: 'app', behaviour: decline}]});
	await fleet.call({path: '/again/'});
	await sleep(cacheTime);
	const {services} = await readStatus();
	const {retries} = services.find(({service}) => service === 'app')!;
	expect(log.listEvents('retry').length).toBeGreaterThan(0);
	expect(retries).toMatchObject({requests: 1, retries: log.listEvents('retry').length});
});

test('the text output shows the same facts', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	await fleet.call({path: '/once/'});
	await sleep(cacheTime);
	const {code, out} = await runCommand('status', findAddress());
	expect(code).toBe(0);
	expect(out).toMatch(/^edge-0 \(life [\w-]{6}, north\): ready, 0 calls in progress\n/);
	expect(out).toMatch(/\nconfiguration 1, servers' revision \d+; 1 servers take new work, 0 entries of other writers\nfollows the store\n/);
	expect(out).toContain('service app: decided by edge-0, this node\n');
	expect(out).toMatch(/ {2}retries: \d+ left; 0 of 1 requests in the window, memory of \d+% of the fleet\n/);
	expect(out).toContain('    i-0: 0 of 11 places, 0 write, 0 tokens held; well\n');
});

test('a status is cached for polling clients and stays small with any number of servers', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	for (let index = 1; index <= 1500; index++) {
		fleet.store.put('servers', `i-x${index}`, {
			service: 'app', address: `127.0.0.1:${1 + (index % 9)}`, zone: 'north', version: 'v1', slots: 11, state: 'ready', coldRemainingMs: 0, sequence: 1,
		});
	}

	await waitUntil(() => fleet.gateways[0].state.usableServers === 1501);
	await fleet.call({path: '/once/'});
	await sleep(cacheTime);
	const askedAt = performance.now();
	const texts = await Promise.all(Array.from({length: 50}, async () => send(findAddress(), {path: '/status', method: 'GET'})));
	// A status is cached for `cacheTime`; on a busy machine the answers may span several cached ones.
	const readings = 1 + Math.floor((performance.now() - askedAt) / cacheTime);
	expect(new Set(texts.map(({body}) => body)).size).toBeLessThanOrEqual(readings);
	expect(texts[0].body.length).toBeLessThan(maxStatusBytes);
	const {services} = JSON.parse(texts[0].body) as NodeStatus;
	const app = services.find(({service}) => service === 'app')!;
	expect([app.usableServers, app.servers.length]).toEqual([1501, 512]);
	const {out} = await runCommand('status', findAddress());
	expect(out).toContain('  1501 servers take new work, 512 of them below\n');
});

test('the command exits with 1 for an unreachable node and with 2 for an invalid address; both messages name the remedy', async () => {
	const [port] = await findFreePorts(1);
	const absent = await runCommand('status', `127.0.0.1:${port}`);
	expect(absent.code).toBe(1);
	expect(absent.error).toMatch(/^127\.0\.0\.1:\d+: no status: .*ECONNREFUSED.*; see whether the node runs, and give its IP and the metrics_port of its settings\n$/);
	const wrong = await runCommand('status', 'edge-0');
	expect([wrong.code, wrong.error]).toEqual([2, 'edge-0: give IP:PORT of the node\'s metrics listener, such as 10.0.0.5:9464 (metrics_port of its settings)\n']);
	const without = await runCommand('status');
	expect(without.code).toBe(2);
});

test('the command exits with 1 and shows the HTTP status when the address is not the metrics listener', async () => {
	await fleet.start({runners: []});
	const {code, error} = await runCommand('status', fleet.settings[0].listen.ready);
	expect(code).toBe(1);
	expect(error).toContain('it answered 404');
});
