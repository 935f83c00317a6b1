/** `cresshook node`: runs an entry box. */
import process from 'node:process';
import type {Command} from 'commander';
import {
	createLogger, openLogOutput, randomIdSource, readErrorMessage, NoopMetrics, systemClock, type Logger,
} from '../common/index.js';
import {StatsdMetrics} from '../common/statsd-metrics.js';
import {Node} from '../node/index.js';
import {HttpPlatform} from '../store/index.js';
import {formatProblem, loadSettings, type Settings} from '../settings/index.js';
import {exitCodes} from './exit-codes.js';

/** Adds the command. */
export function addNodeCommand(program: Command): void {
	program.command('node')
		.description('run an entry box')
		.requiredOption('--settings <file>', 'settings file, TOML')
		.action(async (options: {settings: string}) => {
			const loaded = await loadSettings(options.settings);
			if (loaded.isLeft()) {
				for (const problem of loaded.extract()) {
					process.stderr.write(`${formatProblem(problem)}\n`);
				}

				process.exitCode = exitCodes.usageError;
				return;
			}

			await runNode(loaded.extract() as Settings);
		});
}

async function runNode(settings: Settings): Promise<void> {
	const logger = createLogger(settings.log.level, openLogOutput());
	const node = new Node({
		settings,
		platform: new HttpPlatform(settings.platform.url, systemClock),
		clock: systemClock,
		ids: randomIdSource,
		logger,
		metrics: settings.metrics === undefined ? new NoopMetrics() : new StatsdMetrics(settings.metrics.host, settings.metrics.port),
		random: Math.random,
	});
	try {
		await node.start();
	} catch (error) {
		logger.fatal({event: 'start_failed', reason: readErrorMessage(error)}, 'the node could not start; check the hosts and ports of its listeners');
		process.exitCode = exitCodes.failed;
		await node.crash();
		return;
	}

	logger.info({
		event: 'node_listening', box: settings.box, callers: node.callerUrl, operators: node.operatorUrl, nodes: node.nodeUrl,
	}, 'node listens');
	stopOnSignals(node, logger);
	await waitForEnd(node, logger);
}

/** The first signal starts a graceful shutdown, the second stops at once. */
function stopOnSignals(node: Node, logger: Logger): void {
	let signals = 0;
	const onSignal = async () => {
		signals++;
		if (signals === 1) {
			await node.stop();
			return;
		}

		logger.warn({event: 'node_stopped_at_once'}, 'second signal: the node stops at once');
		await node.stopNow();
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void onSignal();
		});
	}
}

async function waitForEnd(node: Node, logger: Logger): Promise<void> {
	try {
		await node.running;
	} catch (error) {
		logger.fatal({event: 'node_failed', reason: readErrorMessage(error)}, 'a part of the node failed too often; the process ends so that its box can start it again');
		process.exitCode = exitCodes.failed;
		await node.stopNow();
	}
}
