/** `npm run soak`: runs with random faults against real processes, by seed. */
import {mkdirSync, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Command, Option} from 'commander';
import {faultKinds, type FaultKind} from './plan.js';
import {runOnce} from './run.js';

type Options = {seed: number; seeds: number; seconds: number; nodes: number; servers: number; kinds?: FaultKind[]; logs?: string};

async function runSeeds(options: Options): Promise<void> {
	let failed = 0;
	for (let {seed} = options; seed < options.seed + options.seeds; seed++) {
		const folder = options.logs === undefined ? mkdtempSync(path.join(tmpdir(), 'cresshook-soak-')) : path.join(options.logs, String(seed));
		mkdirSync(folder, {recursive: true});
		const result = await runOnce({
			seed, length: options.seconds * 1000, size: {nodes: options.nodes, modelServers: options.servers}, folder, kinds: options.kinds,
		});
		failed += result.violations.length > 0 ? 1 : 0;
		process.stdout.write(`${JSON.stringify({...result, violations: result.violations.slice(0, 20), broken: result.violations.length})}\n`);
		if (options.logs === undefined) {
			rmSync(folder, {recursive: true});
		}
	}

	process.stdout.write(`${options.seeds - failed} of ${options.seeds} seeds kept every promise\n`);
	process.exit(failed > 0 ? 1 : 0); // eslint-disable-line unicorn/no-process-exit -- sockets of processes that were killed may keep the loop alive
}

async function main(): Promise<void> {
	const program = new Command('soak');
	program
		.option('--seed <seed>', 'first seed', Number, Date.now() % 1_000_000)
		.option('--seeds <count>', 'how many seeds, one after the other', Number, 1)
		.option('--seconds <seconds>', 'traffic of each run', Number, 25)
		.option('--nodes <count>', 'nodes', Number, 6)
		.option('--servers <count>', 'model servers', Number, 6)
		.option('--logs <folder>', 'keep the logs of all processes there')
		.addOption(new Option('--kinds <kinds...>', 'only these kinds of fault').choices(faultKinds))
		.action(runSeeds);
	await program.parseAsync(process.argv);
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- the bundle is CommonJS
