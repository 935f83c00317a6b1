import {execFileSync, spawn, type ChildProcess} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createLogger, systemClock} from '../src/common/index.js';
import {
	compareSettings, parseGatewaySettings, SettingsReloader, type GatewaySettings, type NodeStatus,
} from '../src/gateway/index.js';
import {AddressLifetime} from '../src/gateway/address-lifetime.js';
import {VirtualClock} from '../src/common/virtual-clock.js';
import {
	findFreePorts, GatewayFleet, send, waitUntil,
} from './helpers/gateways.js';
import {LogCapture} from './helpers/logs.js';
import {processHost} from './helpers/process-host.js';
import {createTextAnswer, decline} from './helpers/platform-standins.js';

/** Timeout of tests that bundle the program and run it as a process, in milliseconds. */
const processTimeout = 30_000;

/** The interval between two polls of the settings file plus a margin, in milliseconds. */
const pollTime = 2500;

const text = `
box = "edge-0"
region = "r"
availability_zone = "north"
heartbeat_port = 7001
metrics_port = 7002
[listen]
callers = "127.0.0.1:7003"
ready = "127.0.0.1:7004"
addresses = "127.0.0.1:7005"
peers = "127.0.0.1:7006"
[store]
address = "127.0.0.1:7007"
[stop]
grace_seconds = 4
[retry]
ratio = 0.2
slack = 20
window_seconds = 10
`;

let fleet: GatewayFleet;
let folder: string;
let program: ChildProcess | undefined;

beforeEach(async () => {
	fleet = new GatewayFleet();
	folder = await mkdtemp(join(tmpdir(), 'reload-'));
});

afterEach(async () => {
	program?.kill('SIGKILL');
	program = undefined;
	await fleet.stop();
	await rm(folder, {recursive: true});
});

function parse(changed: string): GatewaySettings {
	return parseGatewaySettings(changed).unsafeCoerce();
}

async function sleep(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}

async function readStatus(node = 0): Promise<NodeStatus> {
	await sleep(300);
	const {body} = await send(`${fleet.settings[node].listen.callers.split(':')[0]}:${fleet.settings[node].metrics_port}`, {path: '/status', method: 'GET'});
	return JSON.parse(body) as NodeStatus;
}

test.each([
	['address_lifetime_seconds', 'address_lifetime_seconds = 7\n', ''],
	['log.level', '', '[log]\nlevel = "debug"\n'],
	['seeds', 'seeds = ["127.0.0.9:7006"]\n', ''],
])('a changed %s applies at run time', (key, before, after) => {
	const {taken, waiting, inForce} = compareSettings(parse(text), parse(`${before}${text}${after}`));
	expect([taken, waiting]).toEqual([[key], []]);
	expect(inForce).toEqual(parse(`${before}${text}${after}`));
});

test.each([
	['retry.ratio', 'ratio = 0.2', 'ratio = 0.1'],
	['retry.slack', 'slack = 20', 'slack = 5'],
	['stop.grace_seconds', 'grace_seconds = 4', 'grace_seconds = 9'],
])('a changed value of %s applies at run time', (key, before, after) => {
	const {taken, waiting, inForce} = compareSettings(parse(text), parse(text.replace(before, after)));
	expect([taken, waiting]).toEqual([[key], []]);
	expect(inForce).toEqual(parse(text.replace(before, after)));
});

test.each([
	['box', '"edge-0"', '"edge-1"'],
	['region', '"r"', '"s"'],
	['availability_zone', '"north"', '"south"'],
	['heartbeat_port', '7001', '7101'],
	['metrics_port', '7002', '7102'],
	['listen.callers', '7003', '7103'],
	['listen.ready', '7004', '7104'],
	['listen.addresses', '7005', '7105'],
	['listen.peers', '7006', '7106'],
	['store.address', '7007', '7107'],
	['retry.window_seconds', 'window_seconds = 10', 'window_seconds = 20'],
	['first_start', 'region', 'first_start = true\nregion'],
	['cpu.share', '[stop]', '[cpu]\nshare = 0.5\n[stop]'],
])('a changed %s takes effect at the next start', (key, before, after) => {
	const {taken, waiting, inForce} = compareSettings(parse(text), parse(text.replace(before, after)));
	expect([taken, waiting]).toEqual([[], [key]]);
	expect(inForce).toEqual(parse(text));
});

test('of a file with changes of both kinds only those that can change at run time apply', () => {
	const {taken, waiting, inForce} = compareSettings(parse(text), parse(text.replace('slack = 20', 'slack = 5').replace('window_seconds = 10', 'window_seconds = 20')));
	expect([taken, waiting]).toEqual([['retry.slack'], ['retry.window_seconds']]);
	expect(inForce.retry).toEqual({ratio: 0.2, slack: 5, window_seconds: 10});
});

test('a running node applies a new lifetime of address answers', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	const ask = async () => {
		const {body} = await send(fleet.settings[0].listen.addresses, {path: '/v1/resolve?name=shop.example&region=r&zone=north', method: 'GET'});
		return body;
	};

	const before = await ask();
	fleet.gateways[0].changeSettings({...fleet.settings[0], address_lifetime_seconds: 5});
	const after = await ask();
	expect(before).not.toBe(after);
	expect(after).toBe(before.replace(/(?<=\D)1(?=[,}]|$)/, '5'));
});

test('a stopping node waits for address answers given with an earlier, longer lifetime', () => {
	const clock = new VirtualClock();
	const lifetime = new AddressLifetime(clock, 10);
	lifetime.change(2);
	expect([lifetime.seconds, lifetime.computeRemaining()]).toEqual([2, 10_000]);
	clock.advance(9000);
	expect(lifetime.computeRemaining()).toBe(2000);
	lifetime.change(30);
	expect(lifetime.computeRemaining()).toBe(30_000);
});

test('a running node applies a new grace period', async () => {
	const log = new LogCapture();
	fleet.loggers.push(createLogger('info', log));
	await fleet.start({
		runners: [{
			service: 'app',
			behaviour() {
			// Never answers.
			},
		}],
	});
	const held = fleet.call({path: '/once/'});
	await waitUntil(() => log.listEvents('placed').length === 1);
	fleet.gateways[0].changeSettings({...fleet.settings[0], stop: {grace_seconds: 0.5}});
	await fleet.gateways[0].stop();
	const [stopped] = log.listEvents('stopped');
	expect(stopped.took).toBeGreaterThan(400);
	expect(stopped.took).toBeLessThan(1000);
	await held;
});

test('a running node applies a new retry budget', async () => {
	const log = new LogCapture();
	fleet.loggers.push(createLogger('info', log));
	await fleet.start({runners: [{service: 'app', behaviour: decline}, {service: 'app', behaviour: decline}]});
	await fleet.call({path: '/again/'});
	const before = log.listEvents('retry').length;
	expect(before).toBeGreaterThan(0);
	fleet.gateways[0].changeSettings({...fleet.settings[0], retry: {ratio: 0, slack: 0, window_seconds: 10}});
	await fleet.call({path: '/again/'});
	expect(log.listEvents('retry')).toHaveLength(before);
	expect(log.listEvents('retry_refused')).toHaveLength(1);
	const {services} = await readStatus();
	expect(services.find(({service}) => service === 'app')?.retries?.left).toBe(0);
});

test('a running node applies a new log level', async () => {
	const log = new LogCapture();
	const logger = createLogger('info', log);
	fleet.loggers.push(logger);
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	fleet.gateways[0].changeSettings({...fleet.settings[0], log: {level: 'error'}});
	await fleet.call({path: '/once/'});
	expect(log.listEvents('call_ended')).toEqual([]);
	fleet.gateways[0].changeSettings({...fleet.settings[0], log: {level: 'info'}});
	await fleet.call({path: '/once/'});
	expect(log.listEvents('call_ended')).toHaveLength(1);
});

test('a running node discovers nodes through new seeds while the store is unresponsive', async () => {
	await fleet.store.start();
	fleet.store.trouble = 'silent';
	const ports = await findFreePorts(6);
	await fleet.addGateway({index: 0, ports, host: '127.0.1.1'});
	await fleet.addGateway({index: 1, ports, host: '127.0.1.2'});
	await sleep(1500);
	const alone = await readStatus();
	expect(alone.nodes.live).toBe(1);
	fleet.gateways[0].changeSettings({...fleet.settings[0], seeds: [fleet.settings[1].listen.peers]});
	await sleep(1500);
	const both = await readStatus();
	expect(both.nodes.live).toBe(2);
});

/** Creates a reloader of a file with the content `text`; returns its log and the settings it applies. */
async function createReloader(level = 'info') {
	const path = join(folder, 'node.toml');
	await writeFile(path, text);
	const log = new LogCapture();
	const logger = createLogger(level, log);
	const state = {inForce: parse(text)};
	const reloader = new SettingsReloader({
		path,
		clock: systemClock,
		logger,
		compare: changed => compareSettings(state.inForce, changed),
		change(changed) {
			state.inForce = compareSettings(state.inForce, changed).inForce;
			logger.level = state.inForce.log.level;
		},
	});
	return {
		path, log, state, reloader,
	};
}

test('a reload logs the settings that apply and those that need a restart, without those already in force', async () => {
	const {path, log, reloader} = await createReloader();
	await reloader.reload('signal');
	await writeFile(path, text.replace('slack = 20', 'slack = 5').replace('7003', '7103'));
	await reloader.reload('signal');
	await reloader.reload('signal');
	expect(log.listEvents('reloaded').map(({taken, waiting, msg}) => [taken, waiting, msg])).toEqual([
		[[], [], 'the settings file matches the settings in force'],
		[['retry.slack'], ['listen.callers'], 'a part of the changed settings is in force; the rest takes effect at the next start'],
		[[], ['listen.callers'], 'the changed settings take effect at the next start; start the node again'],
	]);
});

test('an invalid file changes nothing, and the log line names key, value and remedy', async () => {
	const {path, log, state, reloader} = await createReloader();
	await writeFile(path, text.replace('slack = 20', 'slack = "many"'));
	await reloader.reload('signal');
	expect(state.inForce).toEqual(parse(text));
	expect(log.listEvents('reloaded')).toEqual([]);
	const [{problems}] = log.listEvents('reload_refused');
	expect(problems).toEqual([expect.stringMatching(/^retry\.slack = "many": /)]);
	await rm(path);
	await reloader.reload('signal');
	expect(log.listEvents('reload_refused')[1].problems).toEqual([expect.stringContaining('give the path of a file that can be read')]);
});

test('a reload is logged before the log level rises and after it falls', async () => {
	const {path, log, reloader} = await createReloader();
	await writeFile(path, `${text}[log]\nlevel = "error"\n`);
	await reloader.reload('signal');
	await writeFile(path, text);
	await reloader.reload('signal');
	expect(log.listEvents('reloaded').map(({taken}) => taken)).toEqual([['log.level'], ['log.level']]);
});

test('a changed file is reloaded once without a signal; a missing file changes nothing', async () => {
	const {path, log, state, reloader} = await createReloader();
	const stopping = new AbortController();
	const watching = reloader.watch(stopping.signal);
	await sleep(pollTime);
	await writeFile(path, text.replace('slack = 20', 'slack = 5'));
	await waitUntil(() => state.inForce.retry.slack === 5);
	await rm(path);
	await sleep(pollTime * 2);
	stopping.abort();
	await watching;
	expect(log.listEvents('reloaded').map(({cause, taken}) => [cause, taken])).toEqual([['file', ['retry.slack']]]);
	expect(log.listEvents('reload_refused')).toEqual([]);
}, processTimeout);

test('a reload by signal is not repeated by the file poll', async () => {
	const {path, log, reloader} = await createReloader();
	const stopping = new AbortController();
	const watching = reloader.watch(stopping.signal);
	await sleep(100);
	await writeFile(path, text.replace('slack = 20', 'slack = 5'));
	await reloader.reload('signal');
	await sleep(pollTime * 2);
	stopping.abort();
	await watching;
	expect(log.listEvents('reloaded').map(({cause}) => cause)).toEqual(['signal']);
}, processTimeout);

test('SIGHUP makes the program reload its settings file and keep running', async () => {
	await fleet.store.start();
	const [callers, ready, addresses, peers, heartbeat, metrics] = await findFreePorts(6);
	let settings = text.replace('7007', fleet.store.address.split(':')[1]).replaceAll('127.0.0.1', processHost);
	for (const [before, after] of [['7001', heartbeat], ['7002', metrics], ['7003', callers], ['7004', ready], ['7005', addresses], ['7006', peers]]) {
		settings = settings.replace(String(before), String(after));
	}

	const path = join(folder, 'node.toml');
	const bundle = join(folder, 'gateway.cjs');
	await writeFile(path, settings);
	execFileSync('node_modules/.bin/esbuild', ['src/gateway-main.ts', '--bundle', '--platform=node', '--target=node20', '--format=cjs', `--outfile=${bundle}`, '--log-level=error']);
	const log = new LogCapture();
	program = spawn(process.execPath, [bundle, 'gateway', '--settings', path], {stdio: ['ignore', 'pipe', 'inherit']});
	program.stdout!.pipe(log);
	await waitUntil(() => log.listEvents('started').length === 1);
	await writeFile(path, settings.replace('slack = 20', 'slack = 5').replace('"north"', '"south"'));
	program.kill('SIGHUP');
	await waitUntil(() => log.listEvents('reloaded').length === 1);
	expect(log.listEvents('reloaded')[0]).toMatchObject({cause: 'signal', taken: ['retry.slack'], waiting: ['availability_zone']});
	const status = await send(`${processHost}:${metrics}`, {path: '/status', method: 'GET'});
	expect(status.status).toBe(200);
	expect(program.exitCode).toBeNull();
}, processTimeout);
