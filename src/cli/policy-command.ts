/** `cresshook policy`: checks policies and simulates them on a trace. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import type {Command} from 'commander';
import {Left, type Either} from 'purify-ts';
import {parse} from 'smol-toml';
import {readErrorMessage} from '../common/index.js';
import {compilePolicy, formatPolicyProblem, type PolicyTexts} from '../policy/index.js';
import {
	measureReplay, readTrace, replayTrace, variants, type Measures,
} from '../replay/index.js';
import {exitCodes} from './exit-codes.js';

/** Adds the commands. */
export function addPolicyCommands(program: Command): void {
	const policy = program.command('policy').description('check and try policies');
	policy.command('check <file>')
		.description('check a TOML file of programs; says program, line, column and mend')
		.option('--json', 'print the problems as JSON')
		.action(checkPolicy);
	policy.command('try <file>')
		.description('show what a policy would have changed on a trace')
		.requiredOption('--trace <file>', 'trace to replay')
		.requiredOption('--partner <name>', 'partner whose policy it is')
		.option('--json', 'print JSON')
		.action(tryPolicy);
}

/** Reads a policy file; returns its programs, or one line for each problem. */
async function readPolicy(file: string): Promise<Either<string[], PolicyTexts>> {
	let texts: Record<string, unknown>;
	try {
		texts = parse(await readFile(file, 'utf8'));
	} catch (error) {
		return Left([`${file}: ${readErrorMessage(error).split('\n', 1)[0]}`]);
	}

	const nonStrings = Object.entries(texts).filter(([, text]) => typeof text !== 'string');
	if (nonStrings.length > 0) {
		return Left(nonStrings.map(([name]) => `${name}: write the program as a text in quotes`));
	}

	return compilePolicy(texts as PolicyTexts)
		.map(() => texts as PolicyTexts)
		.mapLeft(problems => problems.map(problem => formatPolicyProblem(problem)));
}

function reportProblems(file: string, problems: string[], isJson = false): void {
	if (isJson) {
		process.stdout.write(`${JSON.stringify({file, problems})}\n`);
	} else {
		process.stderr.write(`${problems.join('\n')}\n`);
	}

	process.exitCode = exitCodes.usageError;
}

async function checkPolicy(file: string, options: {json?: boolean}): Promise<void> {
	const read = await readPolicy(file);
	if (read.isLeft()) {
		reportProblems(file, read.extract(), options.json);
		return;
	}

	process.stdout.write(options.json ? `${JSON.stringify({file, problems: []})}\n` : `${file}: no problems\n`);
}

async function tryPolicy(file: string, options: {trace: string; partner: string; json?: boolean}): Promise<void> {
	const read = await readPolicy(file);
	if (read.isLeft()) {
		reportProblems(file, read.extract(), options.json);
		return;
	}

	const texts = read.extract() as PolicyTexts;

	const trace = await readTrace(options.trace);
	const without = measureReplay(await replayTrace(trace, variants.ours()));
	const fleet = {...trace.fleet, policies: {...trace.fleet.policies, [options.partner]: texts as Record<string, string>}};
	const withPolicy = measureReplay(await replayTrace({...trace, fleet}, variants.ours()));
	process.stdout.write(options.json ? `${JSON.stringify({without, with: withPolicy})}\n` : formatComparison(without, withPolicy));
}

function formatComparison(without: Measures, withPolicy: Measures): string {
	const rows: Array<[string, (measures: Measures) => string]> = [
		['answered whole', measures => `${(measures.goodput * 100).toFixed(1)}%`],
		['short first token p95, ms', measures => measures.shortFirstToken.p95.toFixed(0)],
		['medium first token p95, ms', measures => measures.mediumFirstToken.p95.toFixed(0)],
		['long first token p95, ms', measures => measures.longFirstToken.p95.toFixed(0)],
		['refused by policy', measures => String(measures.failures.policy_refused ?? 0)],
		['other failures', measures => String(Object.entries(measures.failures).reduce((sum, [kind, count]) => sum + (kind === 'policy_refused' ? 0 : count), 0))],
	];
	const lines = rows.map(([name, read]) => `${name.padEnd(28)}${read(without).padStart(12)}${read(withPolicy).padStart(12)}`);
	return `${['measure'.padEnd(28) + 'without'.padStart(12) + 'with'.padStart(12), ...lines].join('\n')}\n`;
}
