/** `cresshook dev`: runs nodes and stand-ins for everything around them in one process. */
import process from 'node:process';
import type {Command} from 'commander';
import {createLogger, systemClock, waitFor} from '../common/index.js';
import {StandinFleet, standinFleet} from '../standin/index.js';

/** Interval between readiness checks, in milliseconds. */
const readyPollInterval = 20;

/** Adds the command. */
export function addDevCommand(program: Command): void {
	program.command('dev')
		.description('run stand-ins for the platform, engines and a plain service, and two nodes before them, in one process')
		.option('--engines <count>', 'number of engines', Number, 3)
		.option('--nodes <count>', 'number of nodes', Number, 2)
		.option('--log <level>', 'least level of log lines on standard error', 'warn')
		.action(async (options: {engines: number; nodes: number; log: string}) => {
			const fleet = new StandinFleet({
				clock: systemClock,
				random: Math.random,
				engines: options.engines,
				nodes: options.nodes,
				logger: createLogger(options.log, process.stderr),
				adjust(settings) {
					settings.entry.addressLifetimeSeconds = 2;
				},
			});
			await fleet.start();
			while (!isServing(fleet)) {
				await waitFor(systemClock, readyPollInterval);
			}

			printGuide(fleet);
			stopOnSignal(fleet);
		});
}

function isServing(fleet: StandinFleet): boolean {
	const pools = fleet.nodes.flatMap(node => node.readStatus().pools);
	return pools.length >= 2 && fleet.nodes.every(node => node.readStatus().readyNodes.length === fleet.nodes.length && node.view.list('DispatcherTerm').length >= 2);
}

function printGuide(fleet: StandinFleet): void {
	const [first] = fleet.nodes;
	const lines = [
		'cresshook dev is ready.',
		'',
		...fleet.nodes.map((node, index) => `  node ${index + 1}    callers ${node.callerUrl}   operators ${node.operatorUrl}`),
		...fleet.engineUrls.map((url, index) => `  engine ${index + 1}  ${url}`),
		`  plain     ${fleet.plainUrl}`,
		`  platform  ${fleet.platformUrl}`,
		'',
		'Stream an answer:',
		'',
		`  curl -N ${first.callerUrl}/v1/chat/completions -H 'authorization: Bearer ${standinFleet.key}' -H 'content-type: application/json'`
		+ ` -d '{"model":"${standinFleet.service}","stream":true,"messages":[{"role":"user","content":"Nowcast for tile 37"}]}'`,
		'',
		'See how a node stands:',
		'',
		`  curl -s ${first.operatorUrl}/v1/status -H 'authorization: Bearer ${standinFleet.operatorToken}'`,
		'',
		'Control-C stops.',
		'',
	];
	process.stdout.write(lines.join('\n'));
}

function stopOnSignal(fleet: StandinFleet): void {
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.once(signal, () => {
			void fleet.stop();
		});
	}
}
