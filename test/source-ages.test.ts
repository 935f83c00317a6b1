import {expect, test} from '@jest/globals';
import {createLogger, VirtualClock} from '../src/common/index.js';
import {GatewayMetrics} from '../src/gateway/gateway-metrics.js';
import {SourceReport} from '../src/gateway/views/index.js';
import {FleetState, SourceHeard} from '../src/routing/index.js';
import {LogMemory} from './helpers/logs.js';

test('the newest age that any node tells is the fleet\'s, and grows from then on', () => {
	const clock = new VirtualClock();
	const heard = new SourceHeard(clock);
	expect([heard.measureOwn('servers'), heard.measureFleet('servers')]).toEqual([undefined, undefined]);
	clock.advance(5000);
	heard.hear({configuration: 3000, servers: undefined});
	heard.hear({configuration: 1000, servers: 200});
	heard.hear({configuration: 2000, servers: 4000});
	clock.advance(500);
	expect(heard.describe()).toEqual({configuration: 1500, servers: 700});
	heard.noteAnswer('configuration');
	clock.advance(40);
	expect([heard.measureOwn('configuration'), heard.measureFleet('configuration'), heard.measureOwn('servers')]).toEqual([40, 40, undefined]);
});

test('a node that does not follow the source says once that no node hears it, and that one does again', async () => {
	const clock = new VirtualClock();
	const log = new LogMemory();
	const logger = createLogger('info', log);
	const state = new FleetState(clock, logger);
	const metrics = new GatewayMetrics();
	const report = new SourceReport({
		logger, metrics, state, isWatcher: () => false,
	});
	state.sourceHeard.hear({configuration: 100, servers: 100});
	for (let beat = 0; beat < 20; beat++) {
		clock.advance(250);
		state.sourceHeard.hear({configuration: undefined, servers: 300});
		report.tick();
	}

	expect(log.listLines('source_unheard').map(({items, age, configVersion}) => ({items, age, configVersion}))).toEqual([{items: 'configuration', age: 4100, configVersion: 0}]);
	expect(await metrics.formatText()).toContain('cresshook_source_age_seconds{items="configuration",by="fleet"} 5.1');
	expect(await metrics.formatText()).not.toContain('by="node"');
	state.sourceHeard.hear({configuration: 250, servers: 300});
	report.tick();
	expect(log.listLines('source_heard').map(({items, age}) => ({items, age}))).toEqual([{items: 'configuration', age: 250}]);
});
