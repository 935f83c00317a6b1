import {expect, test} from '@jest/globals';
import {createLogger, VirtualClock} from '../src/common/index.js';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {SourceAgeReporter} from '../src/gateway/views/index.js';
import {FleetState, SourceAgeTracker} from '../src/routing/index.js';
import {LogCapture} from './helpers/logs.js';

test('the fleet\'s age is the lowest age announced by any node, and grows from then on', () => {
	const clock = new VirtualClock();
	const tracker = new SourceAgeTracker(clock);
	expect([tracker.measureLocalAge('servers'), tracker.measureFleetAge('servers')]).toEqual([undefined, undefined]);
	clock.advance(5000);
	tracker.mergeAges({configuration: 3000, servers: undefined});
	tracker.mergeAges({configuration: 1000, servers: 200});
	tracker.mergeAges({configuration: 2000, servers: 4000});
	clock.advance(500);
	expect(tracker.measureFleetAges()).toEqual({configuration: 1500, servers: 700});
	tracker.recordAnswer('configuration');
	clock.advance(40);
	expect([tracker.measureLocalAge('configuration'), tracker.measureFleetAge('configuration'), tracker.measureLocalAge('servers')]).toEqual([40, 40, undefined]);
});

test('a node that does not watch the source logs once that no node gets answers, and once that one does again', async () => {
	const clock = new VirtualClock();
	const log = new LogCapture();
	const logger = createLogger('info', log);
	const state = new FleetState(clock, logger);
	const metrics = new GatewayMetrics();
	const report = new SourceAgeReporter({
		logger, metrics, state, isWatcher: () => false,
	});
	state.sourceAgeTracker.mergeAges({configuration: 100, servers: 100});
	for (let tick = 0; tick < 20; tick++) {
		clock.advance(250);
		state.sourceAgeTracker.mergeAges({configuration: undefined, servers: 300});
		report.tick();
	}

	expect(log.listEvents('source_unheard').map(({items, age, configVersion}) => ({items, age, configVersion}))).toEqual([{items: 'configuration', age: 4100, configVersion: 0}]);
	expect(await metrics.formatText()).toContain('cresshook_source_age_seconds{items="configuration",by="fleet"} 5.1');
	expect(await metrics.formatText()).not.toContain('by="node"');
	state.sourceAgeTracker.mergeAges({configuration: 250, servers: 300});
	report.tick();
	expect(log.listEvents('source_heard').map(({items, age}) => ({items, age}))).toEqual([{items: 'configuration', age: 250}]);
});
