import {
	afterEach, expect, test,
} from '@jest/globals';
import {createLogger, Metrics, type MetricTags} from '../src/common/index.js';
import {standinFleet} from '../src/standin/index.js';
import {sendChat, buildChatBody} from './helpers/calls.js';
import {TestFleet} from './helpers/fleet.js';
import {LogCapture} from './helpers/logs.js';

let fleet: TestFleet;

afterEach(async () => {
	await fleet.stop();
});

/** Records the names and tags of metrics. */
class MemoryMetrics extends Metrics {
	readonly seen = new Map<string, MetricTags[]>();

	override incrementCounter(name: string, tags: MetricTags = {}): void {
		this.#add(name, tags);
	}

	override recordTiming(name: string, _milliseconds: number, tags: MetricTags = {}): void {
		this.#add(name, tags);
	}

	override recordGauge(name: string, _value: number, tags: MetricTags = {}): void {
		this.#add(name, tags);
	}

	override close(): void {
		this.#add('closed', {});
	}

	#add(name: string, tags: MetricTags): void {
		this.seen.set(name, [...this.seen.get(name) ?? [], tags]);
	}
}

async function startLogged(): Promise<{memory: LogCapture; metrics: MemoryMetrics}> {
	const memory = new LogCapture();
	const metrics = new MemoryMetrics();
	fleet = await new TestFleet({
		engines: 2, nodes: 1, logger: createLogger('debug', memory), metrics,
	}).startReady();
	return {memory, metrics};
}

test('a placement is logged in one line with the candidates, the choice and the reason', async () => {
	const {memory} = await startLogged();
	await fleet.settle(sendChat(fleet.nodes[0].callerUrl));
	const [line] = memory.listEvents('placement');
	expect(line).toMatchObject({
		organisation: standinFleet.organisation,
		service: standinFleet.service,
		weighed: [{server: 'engine-1'}, {server: 'engine-2'}],
		choice: 'engine-1',
		reason: 'least-first-token',
	});
	expect(line.promptTokens).toBeGreaterThan(0);
	expect(memory.listEvents('request_ended')[0]).toMatchObject({request: line.request, outcome: 'whole'});
});

test('a refusal is logged in one line with its kind and reason', async () => {
	const {memory} = await startLogged();
	await fleet.settle(sendChat(fleet.nodes[0].callerUrl, {max_tokens: 300_000}));
	expect(memory.listEvents('refusal')).toMatchObject([{kind: 'prompt_too_large', organisation: standinFleet.organisation}]);
});

test('prompts and keys are never logged', async () => {
	const {memory} = await startLogged();
	fleet.engines[0].faults = {cutAfter: 1, forget: true};
	const secretPrompt = 'the valley of the seven wells';
	await fleet.settle(sendChat(fleet.nodes[0].callerUrl, {messages: [{role: 'user', content: secretPrompt}], stream: true}));
	await fleet.settle(sendChat(fleet.nodes[0].callerUrl, {...buildChatBody(), messages: secretPrompt}));
	expect(memory.text.length).toBeGreaterThan(100);
	for (const secret of [secretPrompt, standinFleet.key, standinFleet.secret, standinFleet.operatorToken]) {
		expect(memory.text).not.toContain(secret);
	}
});

test('the metrics that operators use are emitted', async () => {
	const {metrics} = await startLogged();
	fleet.engines[0].faults = {refuse: true};
	await fleet.settle(Promise.all([1, 2].map(async () => sendChat(fleet.nodes[0].callerUrl))));
	await fleet.settle(sendChat(fleet.nodes[0].callerUrl, {max_tokens: 300_000}));
	await fleet.advanceTime(10_100);
	expect(metrics.seen.get('first_token')?.[0]).toEqual({service: standinFleet.service, length: 'to-2k'});
	for (const name of ['short_slowdown', 'queue.wait', 'refusals', 'retries', 'failures', 'control_bytes', 'pool.waiting', 'platform_reachable']) {
		expect([...metrics.seen.keys()]).toContain(name);
	}
});
