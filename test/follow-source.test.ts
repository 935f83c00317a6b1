import {expect, test} from '@jest/globals';
import seedrandom from 'seedrandom';
import {
	createLogger, createSilentLogger, VirtualClock, type BackendServerId, type BackendServerName, type ServiceName, type AvailabilityZone,
} from '../src/common/index.js';
import {
	FleetState, Follower, followTiming, reregistrationGrace, SourceHealth, type BackendServer,
} from '../src/routing/index.js';
import {LogCapture} from './helpers/logs.js';
import {advanceClock, StandinSource} from './helpers/sources.js';
import {StallingClock} from './helpers/stalling-clock.js';

/** Timing of a follower with a longer wait than in production, in milliseconds. */
const longTiming = {wait: 5000, retryDelay: 2000};

/** A running follower of a source on a virtual clock, and the items it has read. */
type FollowerSetup = {clock: VirtualClock; source: StandinSource; state: FleetState; seen: string[]; log: LogCapture; stop: () => Promise<void>};

/** Creates a follower that ignores what it reads. */
function createFollower(source: StandinSource, clock: VirtualClock): Follower<string> {
	const logger = createSilentLogger();
	return new Follower({
		name: 'configuration',
		timing: followTiming,
		health: new SourceHealth(),
		source,
		state: new FleetState(clock, logger),
		isAssigned: () => true,
		onList() {/* Nothing. */},
		onChanges() {/* Nothing. */},
	}, {clock, logger, random: () => 0.5});
}

async function startFollower({clock = new VirtualClock(), timing = followTiming, health = new SourceHealth()} = {}): Promise<FollowerSetup> {
	const log = new LogCapture();
	const logger = createLogger('info', log);
	const state = new FleetState(clock, logger);
	const source = new StandinSource(clock);
	source.put('first');
	const seen: string[] = [];
	const follower = new Follower({
		name: 'configuration',
		timing,
		health,
		source,
		state,
		isAssigned: () => true,
		onList({items}) {
			seen.push(...items.filter(item => !seen.includes(item)));
		},
		onChanges({changes}) {
			seen.push(...changes.map(change => change.name).filter(name => !seen.includes(name)));
		},
	}, {clock, logger, random: () => 0.5});
	const stopping = new AbortController();
	const running = follower.run(stopping.signal);
	await advanceClock(clock, 100);
	return {
		clock, source, state, seen, log, async stop() {
			stopping.abort();
			await advanceClock(clock, 20);
			await running;
		},
	};
}

function createServer(id: string): BackendServer {
	return {
		id: id as BackendServerId,
		name: id as BackendServerName,
		entryRevision: 0,
		service: 'app' as ServiceName, address: '10.0.0.1:80', availabilityZone: 'a' as AvailabilityZone, slots: 4, isLeaving: false,
	};
}

/** Runs a follower of a healthy source, for a node that can serve, in a process with stalls; times in milliseconds. */
async function followWithStalls(stalls: Array<{after: number; time: number}>): Promise<LogCapture> {
	const clock = new StallingClock();
	const log = new LogCapture();
	const logger = createLogger('info', log);
	const state = createUsableState(clock);
	const source = new StandinSource(clock.arrivalClock);
	const follower = new Follower({
		name: 'configuration',
		timing: followTiming,
		health: new SourceHealth(),
		source,
		state,
		isAssigned: () => true,
		onList() {/* Nothing. */},
		onChanges() {/* Nothing. */},
	}, {clock, logger, random: () => 0.5});
	const stopping = new AbortController();
	const running = follower.run(stopping.signal);
	for (const {after, time} of stalls) {
		await advanceClock(clock, after);
		await clock.stall(time);
	}

	await advanceClock(clock, 100);
	stopping.abort();
	await advanceClock(clock, 20);
	await running;
	return log;
}

/** Creates the state of a node that knows a configuration and a server. */
function createUsableState(clock: VirtualClock): FleetState {
	const state = new FleetState(clock, createSilentLogger());
	state.applyServerList({items: [createServer('i-1')], revision: 1}, 'source');
	state.applyConfig({
		version: 1, routes: [], services: [], organisations: [], limits: {
			headerBytes: 1000, bodyBytes: 1000, headerTime: 1000, idleTime: 1000,
		},
	}, 'source');
	return state;
}

// A node that mistakes its own stall for a silence of the source is needlessly replaced as a follower.
test('a process that stalls during a list does not mistake that for a silence of the source', async () => {
	const logs = await Promise.all([160, 300, 900, 2000].map(async time => followWithStalls([{after: 0, time}])));
	expect(logs.flatMap(log => [...log.listEvents('source_lost'), ...log.listEvents('source_checked')])).toEqual([]);
});

test('a process that stalls repeatedly does not mistake that for a silence of the source', async () => {
	const random = seedrandom('stalls');
	const drawStalls = () => Array.from({length: 30}, () => ({after: 10 * Math.floor(random() * 200), time: 10 * Math.floor(random() * 80)}));
	const logs = await Promise.all(Array.from({length: 40}, async () => followWithStalls(drawStalls())));
	expect(logs.flatMap(log => log.listEvents('source_lost'))).toEqual([]);
});

test('a silent source is detected in time by a process that stalls once', async () => {
	const clock = new StallingClock();
	const source = new StandinSource(clock.arrivalClock);
	const log = new LogCapture();
	source.stopAnswers();
	const follower = new Follower({
		name: 'configuration',
		timing: followTiming,
		health: new SourceHealth(),
		source,
		state: createUsableState(clock),
		isAssigned: () => true,
		onList() {/* Nothing. */},
		onChanges() {/* Nothing. */},
	}, {clock, logger: createLogger('info', log), random: () => 0.5});
	const stopping = new AbortController();
	const running = follower.run(stopping.signal);
	await clock.stall(200);
	await advanceClock(clock, 150);
	expect(log.listEvents('source_lost')).toHaveLength(1);
	stopping.abort();
	await advanceClock(clock, 20);
	await running;
});

test('the log states how long a lost source was silent, and the number of unanswered calls', async () => {
	const {clock, source, log, stop} = await startFollower();
	source.stopAnswers();
	await advanceClock(clock, 20_000);
	source.restoreAnswers();
	await advanceClock(clock, 13_000);
	await stop();
	const [lost] = log.listEvents('source_lost');
	const [back] = log.listEvents('source_back');
	expect(lost.sinceAnswer).toBeGreaterThan(0);
	expect(back.sinceAnswer).toBeGreaterThanOrEqual(20_000);
	expect(back.unanswered).toBeGreaterThan(1);
});

test('the log names an entry that is ignored because a newer revision is known', () => {
	const log = new LogCapture();
	const state = new FleetState(new VirtualClock(), createLogger('info', log));
	state.applyServerList({items: [], revision: 8}, 'source');
	state.applyServerChanges([{name: 'i-1', item: createServer('i-1'), revision: 7}], 9, 'source');
	expect(log.listEvents('server_passed_over').map(({server, changedAt, serversRevision}) => [server, changedAt, serversRevision])).toEqual([['i-1', 7, 8]]);
});

/** Measures the milliseconds until an item has been seen, in steps of ten. */
async function measureTimeUntilSeen({clock, seen}: FollowerSetup, name: string): Promise<number> {
	const started = clock.readMonotonic();
	while (!seen.includes(name) && clock.readMonotonic() - started < 20_000) {
		await advanceClock(clock, 10);
	}

	return clock.readMonotonic() - started;
}

// Guards against slow detection of dead connections: all open ones may die at once, without a reset, while new ones are
// answered. With a wait of five seconds and a timeout of 1.2 s more, a change was known up to 6.2 s late: a watch sent
// at 31.6 s was given up at 37.8 s, by the log lines source_lost and config_applied of one node.
test('when the connection of a watch dies, a change made then is known within two seconds', async () => {
	const followed = await startFollower();
	followed.source.dropCalls();
	followed.source.put('second');
	expect(await measureTimeUntilSeen(followed, 'second')).toBeLessThan(2000);
	await followed.stop();
});

// Guards against waiting for a watch that was sent during an outage: after a silence of nine seconds the source was
// back for 3.8 s before it was called again.
test('a change made when a silent source is back is known within a second after a silence of any length', async () => {
	for (const silence of [100, 1000, 3000, 9000, 31_000]) {
		const followed = await startFollower();
		followed.source.stopAnswers();
		await advanceClock(followed.clock, silence);
		followed.source.restoreAnswers();
		followed.source.put('second');
		expect(await measureTimeUntilSeen(followed, 'second')).toBeLessThan(silence < 2000 ? 2000 : 1000);
		await followed.stop();
	}
});

test('a source that answers a second late is still read', async () => {
	const followed = await startFollower();
	followed.source.answerTime = 1000;
	followed.source.put('second');
	expect(await measureTimeUntilSeen(followed, 'second')).toBeLessThan(3000);
	followed.source.put('third');
	expect(await measureTimeUntilSeen(followed, 'third')).toBeLessThan(3000);
	await followed.stop();
});

test('a lost watch of a healthy source is not an outage', async () => {
	const {clock, source, state, log, stop} = await startFollower();
	source.dropCalls();
	await advanceClock(clock, 4000);
	expect([state.hasSourceOutage, log.listEvents('source_lost').length, log.listEvents('source_checked').length]).toEqual([false, 0, 1]);
	await stop();
});

test('a silent source gets less than two calls a second, a healthy one less than one', async () => {
	const {clock, source, stop} = await startFollower();
	const countCalls = async (milliseconds: number) => {
		const before = source.calls.length;
		await advanceClock(clock, milliseconds);
		return source.calls.length - before;
	};

	expect(await countCalls(15_000)).toBeLessThan(15);
	source.stopAnswers();
	expect(await countCalls(15_000)).toBeLessThan(30);
	await stop();
});

test('an unexpected error of the source ends the follower, so that its supervisor restarts it', async () => {
	const {clock, source, stop} = await startFollower();
	await stop();
	source.list = async () => {
		throw new Error('a defect');
	};

	const follower = createFollower(source, clock);
	const running = follower.run(new AbortController().signal);
	await Promise.all([expect(running).rejects.toThrow('a defect'), advanceClock(clock, 1000)]);
});

// Guards against an error of one call that is thrown again by later ones, which ended a restarted follower at once.
test('a follower restarted after an unexpected error of its source continues', async () => {
	const clock = new VirtualClock();
	const source = new StandinSource(clock);
	const list = source.list.bind(source);
	let listed = 0;
	source.list = async call => {
		listed++;
		if (listed === 1) {
			throw new Error('a defect');
		}

		return list(call);
	};

	const follower = createFollower(source, clock);
	const stopping = new AbortController();
	await Promise.all([expect(follower.run(stopping.signal)).rejects.toThrow('a defect'), advanceClock(clock, 1000)]);
	const again = follower.run(stopping.signal);
	await advanceClock(clock, 1000);
	expect(source.calls.map(({kind}) => kind)).toContain('follow');
	stopping.abort();
	await advanceClock(clock, 20);
	await again;
});

test('servers whose entries disappear in a silence too short to be reported as an outage are kept for a while', async () => {
	const {clock, source, state, stop} = await startFollower();
	state.applyServerList({items: [createServer('i-1')], revision: 3}, 'source');
	source.stopAnswers();
	await advanceClock(clock, 2350);
	source.restoreAnswers();
	await advanceClock(clock, 700);
	expect(state.hasSourceOutage).toBe(false);
	state.applyServerChanges([{name: 'i-1', item: undefined}], 4, 'source');
	expect(state.listServers('app' as ServiceName)).toHaveLength(1);
	await stop();
});

test('a follower with a long wait learns of a change in time when another one suspects the source', async () => {
	const health = new SourceHealth();
	const short = await startFollower({health});
	const {clock} = short;
	const long = await startFollower({clock, health, timing: longTiming});
	short.source.dropCalls();
	long.source.dropCalls();
	long.source.put('second');
	expect(await measureTimeUntilSeen(long, 'second')).toBeLessThan(2000);
	expect(long.log.listEvents('source_checked')).toHaveLength(1);
	await advanceClock(clock, 4000);
	expect([short, long].map(({log}) => log.listEvents('source_checked').length)).toEqual([1, 1]);
	await Promise.all([short.stop(), long.stop()]);
});

// Guards against removing all servers after an outage: their entries expired while the store was unreachable, and a newly
// assigned follower, whose first list lacked them, reported them to all nodes as gone (`watcher_changed` and 15
// `server_gone` within 0.2 s), so that no call was served until they had registered again.
test('a newly assigned follower keeps servers that its first list lacks for a while', async () => {
	const clock = new VirtualClock();
	const log = createSilentLogger();
	const state = new FleetState(clock, log);
	state.applyServerList({items: [createServer('i-1')], revision: 3}, 'node b');
	let isAssigned = false;
	const follower = new Follower({
		name: 'servers',
		timing: longTiming,
		health: new SourceHealth(),
		source: new StandinSource(clock),
		state,
		isAssigned: () => isAssigned,
		onList() {
			state.applyServerList({items: [], revision: 9}, 'source');
		},
		onChanges() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	}, {clock, logger: log, random: () => 0.5});
	const stopping = new AbortController();
	const running = follower.run(stopping.signal);
	await advanceClock(clock, 6000);
	isAssigned = true;
	await advanceClock(clock, 600);
	expect([state.serversRevision, state.listServers('app' as ServiceName).length]).toEqual([9, 1]);
	await advanceClock(clock, reregistrationGrace);
	expect(state.listServers('app' as ServiceName)).toEqual([]);
	stopping.abort();
	await advanceClock(clock, 300);
	await running;
});

test('of two followers of a silent source one calls often, and the other one as soon as that gets an answer', async () => {
	const health = new SourceHealth();
	const frequent = await startFollower({health});
	const {clock} = frequent;
	const infrequent = await startFollower({clock, health, timing: longTiming});
	frequent.source.stopAnswers();
	infrequent.source.stopAnswers();
	await advanceClock(clock, 15_000);
	expect(infrequent.source.calls.length).toBeLessThan(frequent.source.calls.length / 2);
	frequent.source.restoreAnswers();
	infrequent.source.restoreAnswers();
	infrequent.source.put('second');
	expect(await measureTimeUntilSeen(infrequent, 'second')).toBeLessThan(1000);
	await Promise.all([frequent.stop(), infrequent.stop()]);
});

test('a source that rejects every long poll is not called without a delay, and its changes are known', async () => {
	const followed = await startFollower();
	followed.source.isCuttingWaits = true;
	await advanceClock(followed.clock, 2000);
	const before = followed.source.calls.length;
	await advanceClock(followed.clock, 5000);
	expect(followed.source.calls.length - before).toBeLessThan(40);
	followed.source.put('second');
	expect(await measureTimeUntilSeen(followed, 'second')).toBeLessThan(1000);
	await followed.stop();
});
