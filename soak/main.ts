/** `npm run soak`: runs real processes under random faults drawn from a seed. */
import {
	existsSync, mkdirSync, mkdtempSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {Command, Option} from 'commander';
import {parse} from 'smol-toml';
import {matchKnown} from './known-red.js';
import {faultKinds, type FaultKind} from './plan.js';
import type {Violation} from './records.js';
import {runOnce} from './run.js';

/** Seeds that exposed faults before, with their causes. */
const regressionsFile = 'soak/regressions.toml';

/** Known failures, which CI passes over. */
const knownRedFile = 'KNOWN-RED.txt';

/** Maximum number of violations of each promise that are printed per run. */
const maxPrinted = 5;

/** Command-line options. */
type Options = {
	seed: number;
	seeds: number;
	seconds: number;
	nodes: number;
	servers: number;
	routes: number;
	kinds: FaultKind[];
	without: FaultKind[];
	logs?: string;
	regressions?: boolean;
};

/** A run to execute; sizes default to the command-line options. */
type SeedRun = {seed: number; seconds: number; nodes?: number; servers?: number};

function listRuns(options: Options): SeedRun[] {
	if (options.regressions === true) {
		return (parse(readFileSync(regressionsFile, 'utf8')) as {seed: SeedRun[]}).seed;
	}

	return Array.from({length: options.seeds}, (_, index) => ({seed: options.seed + index, seconds: options.seconds}));
}

/** Executes a run and returns whether it had no violations, or in CI only known ones. The logs of a run with violations are kept. */
async function runSeed(run: SeedRun, options: Options): Promise<boolean> {
	const {
		seed, seconds, nodes = options.nodes, servers = options.servers,
	} = run;
	const folder = options.logs === undefined ? mkdtempSync(path.join(tmpdir(), 'cresshook-soak-')) : path.join(options.logs, String(seed));
	mkdirSync(folder, {recursive: true});
	const result = await runOnce({
		seed, length: seconds * 1000, size: {nodes, modelServers: servers, fillerRoutes: options.routes}, folder, kinds: options.kinds.filter(kind => !options.without.includes(kind)),
	});
	process.stdout.write(`${JSON.stringify({...result, violations: selectPrinted(result.violations), broken: result.violations.length})}\n`);
	if (result.violations.length > 0) {
		process.stdout.write(`seed ${seed}: logs and records in ${folder}\n`);
	} else if (options.logs === undefined) {
		rmSync(folder, {recursive: true});
	}

	return listNew(seed, result.violations).length === 0;
}

/** Returns the first violations of each promise. */
function selectPrinted(violations: Violation[]): Violation[] {
	return violations.filter((violation, index) => violations.slice(0, index).filter(({promise}) => promise === violation.promise).length < maxPrinted);
}

/** In CI, prints the known violations and returns the others. */
function listNew(seed: number, violations: Violation[]): Violation[] {
	if (!process.env.CI || !existsSync(knownRedFile)) {
		return violations;
	}

	const {known, unknown} = matchKnown(readFileSync(knownRedFile, 'utf8'), seed, violations);
	for (const line of known) {
		process.stdout.write(`known red, passed over: ${line}\n`);
	}

	return unknown;
}

async function runSeeds(options: Options): Promise<void> {
	const runs = listRuns(options);
	let kept = 0;
	for (const run of runs) {
		kept += await runSeed(run, options) ? 1 : 0;
	}

	process.stdout.write(`${kept} of ${runs.length} seeds kept every promise\n`);
	process.exit(kept < runs.length ? 1 : 0); // eslint-disable-line unicorn/no-process-exit -- sockets of killed processes may keep the event loop alive
}

async function main(): Promise<void> {
	const program = new Command('soak');
	program
		.option('--seed <seed>', 'first seed', Number, Date.now() % 1_000_000)
		.option('--seeds <count>', 'number of seeds, run one after the other', Number, 1)
		.option('--seconds <seconds>', 'duration of the traffic of each run', Number, 25)
		.option('--nodes <count>', 'nodes', Number, 6)
		.option('--servers <count>', 'model servers', Number, 6)
		.option('--routes <count>', 'additional routes without traffic', Number, 0)
		.option('--logs <folder>', 'keep the logs of all processes in this folder')
		.option('--regressions', `run the seeds of ${regressionsFile} instead`)
		.addOption(new Option('--kinds <kinds...>', 'only these kinds of fault').choices(faultKinds).default(faultKinds, 'all'))
		.addOption(new Option('--without <kinds...>', 'without these kinds of fault').choices(faultKinds).default([], 'none'))
		.action(runSeeds);
	await program.parseAsync(process.argv);
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- the bundle is CommonJS
