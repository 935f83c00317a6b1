import {expect, test} from '@jest/globals';
import {
	createLogger, VirtualClock, type BackendServerId, type ServiceName, type AvailabilityZone,
} from '../src/common/index.js';
import {FleetState, Follower, type BackendServer} from '../src/routing/index.js';
import {LogMemory} from './helpers/logs.js';
import {passTime, StandinSource} from './helpers/sources.js';

/** A follower of a source on a virtual clock, and what it has read. */
type Followed = {clock: VirtualClock; source: StandinSource; state: FleetState; seen: string[]; log: LogMemory; stop: () => Promise<void>};

async function startFollower(): Promise<Followed> {
	const clock = new VirtualClock();
	const log = new LogMemory();
	const logger = createLogger('info', log);
	const state = new FleetState(clock, logger);
	const source = new StandinSource(clock);
	source.put('first');
	const seen: string[] = [];
	const follower = new Follower({
		name: 'items',
		source,
		state,
		asksSource: () => true,
		onList({items}) {
			seen.push(...items.filter(item => !seen.includes(item)));
		},
		onChanges({changes}) {
			seen.push(...changes.map(change => change.name).filter(name => !seen.includes(name)));
		},
	}, {clock, logger, random: () => 0.5});
	const stopping = new AbortController();
	const running = follower.run(stopping.signal);
	await passTime(clock, 100);
	return {
		clock, source, state, seen, log, async stop() {
			stopping.abort();
			await passTime(clock, 20);
			await running;
		},
	};
}

function createServer(id: string): BackendServer {
	return {
		id: id as BackendServerId, service: 'app' as ServiceName, address: '10.0.0.1:80', availabilityZone: 'a' as AvailabilityZone, slots: 4, isLeaving: false,
	};
}

test('the log says for how long a lost source has been silent, and how many calls it left unanswered', async () => {
	const {clock, source, log, stop} = await startFollower();
	source.fallSilent();
	await passTime(clock, 20_000);
	source.recover();
	await passTime(clock, 13_000);
	await stop();
	const [lost] = log.listLines('source_lost');
	const [back] = log.listLines('source_back');
	expect(lost.sinceAnswer).toBeGreaterThan(0);
	expect(back.sinceAnswer).toBeGreaterThanOrEqual(20_000);
	expect(back.unanswered).toBeGreaterThan(1);
});

test('the log names an entry that is passed over because a newer view is known', () => {
	const log = new LogMemory();
	const state = new FleetState(new VirtualClock(), createLogger('info', log));
	state.applyServerList({items: [], revision: 8}, 'source');
	state.applyServerChanges([{name: 'i-1', item: createServer('i-1'), revision: 7}], 9, 'source');
	expect(log.listLines('server_passed_over').map(({server, changedAt, serversRevision}) => [server, changedAt, serversRevision])).toEqual([['i-1', 7, 8]]);
});

/** Milliseconds until an item has been seen, in steps of ten. */
async function measureUntilSeen({clock, seen}: Followed, name: string): Promise<number> {
	const started = clock.readMonotonic();
	while (!seen.includes(name) && clock.readMonotonic() - started < 20_000) {
		await passTime(clock, 10);
	}

	return clock.readMonotonic() - started;
}

// All open connections may fall silent at once, without a reset, while new ones are answered. The follower
// waited for its watch of five seconds and 1.2 more before it asked again, so a change of that moment was
// known up to 6.2 s later: a watch that went out last at 31.6 s was given up at 37.8 s, by the log lines
// source_lost and config_applied of one node.
test('when the connection of a watch falls silent for good, a change of that moment is known within two seconds', async () => {
	const followed = await startFollower();
	followed.source.cutSilently();
	followed.source.put('second');
	expect(await measureUntilSeen(followed, 'second')).toBeLessThan(2000);
	await followed.stop();
});
