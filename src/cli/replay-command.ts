/** `cresshook trace` and `cresshook replay`: generate traces and simulate the scheduler on them. */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {InvalidArgumentError, Option, type Command} from 'commander';
import {
	formatTrace, generateTrace, listShortfalls, measureVariant, readOutcomes, readTrace, scenarioNames, variants, type Measures, type Percentiles, type ScenarioName,
} from '../replay/index.js';
import {exitCodes} from './exit-codes.js';

type GenerateOptions = {scenario: ScenarioName; seed: string; minutes: number; factor: number; engineDies?: boolean; out: string};

/** Adds the commands. */
export function addReplayCommands(program: Command): void {
	const trace = program.command('trace').description('make trace files');
	trace.command('generate')
		.addOption(new Option('--scenario <name>', 'kind of day').choices(scenarioNames).default('peaks'))
		.option('--seed <text>', 'the same seed makes the same trace', '1')
		.option('--minutes <count>', 'length', parseNumber, 10)
		.option('--factor <number>', 'multiplies the load', parseNumber, 1)
		.option('--engine-dies', 'an engine dies half way')
		.requiredOption('--out <file>', 'where to write it')
		.action(async (options: GenerateOptions) => {
			await writeFile(options.out, formatTrace(generateTrace(options)));
		});
	program.command('replay <trace>')
		.description('run the decisions over a trace on a virtual clock and print the measures')
		.option('--variant <names...>', `ways of deciding to compare: ${Object.keys(variants).join(', ')}`, ['ours'])
		.option('--all', 'compare every way')
		.option('--json', 'print JSON')
		.action(runReplay);
}

async function runReplay(path: string, options: {variant: string[]; all?: boolean; json?: boolean}): Promise<void> {
	const names = options.all ? Object.keys(variants) : options.variant;
	const unknown = names.find(name => !(name in variants));
	if (unknown !== undefined) {
		process.stderr.write(`--variant ${unknown}: use one of ${Object.keys(variants).join(', ')}\n`);
		process.exitCode = exitCodes.usageError;
		return;
	}

	const trace = await readTrace(path);
	const rows = [];
	for (const name of names) {
		rows.push({name, measures: await measureVariant(trace, variants[name])});
	}

	process.stdout.write(options.json ? `${JSON.stringify(rows)}\n` : formatTable(rows));
	// The expected outcomes apply to the production variant only.
	const ours = rows.find(row => row.name === 'ours');
	const shortfalls = ours === undefined ? [] : listShortfalls(ours.measures, await readOutcomes(path));
	if (shortfalls.length > 0) {
		process.stderr.write(`${shortfalls.join('\n')}\n`);
		process.exitCode = exitCodes.failed;
	}
}

function formatTable(rows: Array<{name: string; measures: Measures}>): string {
	const lines = ['variant                 goodput  short first ms p50/p95/p99     slowdown p50/p95/p99  medium p95  long p50/p95 s      shares'];
	for (const {name, measures} of rows) {
		const shares = Object.entries(measures.heldShares).map(([partner, share]) => `${partner.slice(0, 1)} ${share.toFixed(2)}`).join(' ');
		lines.push([
			name.padEnd(23),
			`${(measures.goodput * 100).toFixed(1)}%`.padStart(7),
			formatPercentiles(measures.shortFirstToken, 0).padEnd(26),
			formatPercentiles(measures.shortSlowdown, 2).padEnd(21),
			measures.mediumFirstToken.p95.toFixed(0).padStart(9),
			`${(measures.longFirstToken.p50 / 1000).toFixed(1)} / ${(measures.longFirstToken.p95 / 1000).toFixed(1)}`.padStart(14),
			shares,
			Object.entries(measures.failures).map(([kind, count]) => `${kind} ${count}`).join(', '),
		].join('  '));
	}

	return `${lines.join('\n')}\n`;
}

function formatPercentiles(values: Percentiles | undefined, digits: number): string {
	return values === undefined ? '' : [values.p50, values.p95, values.p99].map(value => value.toFixed(digits)).join(' / ');
}

function parseNumber(text: string): number {
	const value = Number(text);
	if (!(value > 0)) {
		throw new InvalidArgumentError('write a number above 0');
	}

	return value;
}
