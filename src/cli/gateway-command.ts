/** `cresshook gateway`: runs a gateway node on the platform. */
import process from 'node:process';
import type {Command} from 'commander';
import {CallWire, PlatformSource} from '../../platform/index.js';
import {
	createLogger, openLogOutput, randomIdSource, readErrorMessage, systemClock, type Logger,
} from '../common/index.js';
import {
	closeEarlyListener, Gateway, loadStartSettings, SettingsReloader, type GatewaySettings,
} from '../gateway/index.js';
import {formatProblem} from '../settings/index.js';
import {exitCodes} from './exit-codes.js';
import {ProcessSignals} from './process-signals.js';

/** Adds the command. */
export function addGatewayCommand(program: Command): void {
	program.command('gateway')
		.description('run a node of the routed path on the platform')
		.requiredOption('--settings <file>', 'settings file, TOML')
		.option('--early-callers <address>', 'IP:PORT of listen.callers, opened by the loader before the program is loaded')
		.action(async (options: {settings: string}) => {
			const loaded = await loadStartSettings(options.settings, systemClock);
			if (loaded.isLeft()) {
				for (const problem of loaded.extract()) {
					process.stderr.write(`${formatProblem(problem)}\n`);
				}

				closeEarlyListener();
				process.exitCode = exitCodes.usageError;
				return;
			}

			await runGateway(loaded.extract() as GatewaySettings, options.settings);
		});
}

async function runGateway(settings: GatewaySettings, path: string): Promise<void> {
	const logger = createLogger(settings.log.level, openLogOutput());
	const signals = new ProcessSignals(logger);
	const gateway = new Gateway({
		settings,
		source: new PlatformSource(settings.store.address, logger, systemClock),
		wire: new CallWire(),
		clock: systemClock,
		ids: randomIdSource,
		logger,
		random: Math.random,
	});
	try {
		await gateway.start();
	} catch (error) {
		logger.fatal({event: 'start_failed', reason: readErrorMessage(error)}, 'the node could not start; check the addresses of its listeners');
		closeEarlyListener();
		await gateway.close();
		process.exit(exitCodes.failed); // eslint-disable-line unicorn/no-process-exit -- callers' open connections must not delay the exit
	}

	const unused = closeEarlyListener();
	if (unused !== undefined) {
		logger.warn({event: 'early_listener_unused', address: unused, callers: settings.listen.callers}, 'the address of --early-callers is not listen.callers of the settings; make them alike');
	}

	logger.info({
		event: 'started', box: settings.box, zone: settings.availability_zone, callers: settings.listen.callers, store: settings.store.address,
	}, 'the node listens');
	const watching = new AbortController();
	const reloader = new SettingsReloader({
		path,
		clock: systemClock,
		logger,
		compare: changed => gateway.compareSettings(changed),
		change(changed) {
			gateway.changeSettings(changed);
		},
	});
	signals.activate({
		stop(signalledAt) {
			void stopGateway(gateway, signalledAt);
		},
		reload() {
			void reloader.reload('signal');
		},
	});
	void reloader.watch(watching.signal);
	await waitForEnd(gateway, logger);
	watching.abort();
}

async function stopGateway(gateway: Gateway, signalledAt?: number): Promise<void> {
	await gateway.stop(signalledAt);
	process.exit(exitCodes.done); // eslint-disable-line unicorn/no-process-exit -- pending log output must not delay the exit
}

async function waitForEnd(gateway: Gateway, logger: Logger): Promise<void> {
	try {
		await gateway.running;
	} catch (error) {
		logger.fatal({event: 'gateway_failed', reason: readErrorMessage(error)}, 'a part of the node failed too often; the process ends so that it is started again');
		process.exitCode = exitCodes.failed;
		await gateway.close();
	}
}
