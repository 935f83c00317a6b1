/** `cresshook standin`: runs one stand-in as a separate process, for tests with several processes. */
import process from 'node:process';
import {readFile} from 'node:fs/promises';
import type {Command} from 'commander';
import {platformObjectSchema, type PlatformObjectInput} from '../store/index.js';
import {systemClock} from '../common/index.js';
import {StandinEngine, StandinPlain, StandinPlatform} from '../standin/index.js';

type EngineOptions = {port: number; capacity: number; prefillRate: number; step: number; tokenInterval: number};

/** Adds the commands. */
export function addStandinCommand(program: Command): void {
	const standin = program.command('standin').description('run one stand-in; for trials, not for service');
	standin.command('platform')
		.option('--port <port>', 'port', Number, 0)
		.option('--objects <file>', 'JSON file with a list of objects to begin with')
		.action(async (options: {port: number; objects?: string}) => {
			const platform = new StandinPlatform(systemClock);
			for (const object of await readObjects(options.objects)) {
				platform.putObject(object);
			}

			announce(await platform.start(options.port), platform);
		});
	standin.command('engine')
		.option('--port <port>', 'port', Number, 0)
		.option('--capacity <tokens>', 'tokens of memory', Number, 200_000)
		.option('--prefill-rate <tokens>', 'prompt tokens read a second', Number, 200_000)
		.option('--step <milliseconds>', 'time of one step', Number, 20)
		.option('--token-interval <milliseconds>', 'least time between two tokens of a request', Number, 0)
		.action(async (options: EngineOptions) => {
			const engine = new StandinEngine({
				clock: systemClock, capacity: options.capacity, prefillRate: options.prefillRate, stepMilliseconds: options.step, tokenInterval: options.tokenInterval,
			});
			announce(await engine.start(options.port), engine);
		});
	standin.command('plain')
		.option('--port <port>', 'port', Number, 0)
		.action(async (options: {port: number}) => {
			const plain = new StandinPlain(systemClock);
			announce(await plain.start(options.port), plain);
		});
}

async function readObjects(file: string | undefined): Promise<PlatformObjectInput[]> {
	if (file === undefined) {
		return [];
	}

	const objects = JSON.parse(await readFile(file, 'utf8')) as unknown[];
	return objects.map(object => platformObjectSchema.parse(object));
}

/** Prints the address as one JSON line, so that a script can read it. */
function announce(url: string, standin: {stop(): Promise<void>}): void {
	process.stdout.write(`${JSON.stringify({url})}\n`);
	process.once('SIGTERM', () => {
		void standin.stop();
	});
}
