/** `cresshook rehearse`: simulates the gateway's planner on randomly generated days, to compare scheduling policies. */
import process from 'node:process';
import {InvalidArgumentError, type Command} from 'commander';
import {
	drawDay, measureRouted, replayRouted, workloads, type RoutedMeasures, type Workload,
} from '../replay/routed/index.js';
import {exitCodes} from './exit-codes.js';

type RehearseOptions = {workload: string[]; seeds: number; from: number; calm?: boolean; json?: boolean};

/** Adds the command. */
export function addRehearseCommand(program: Command): void {
	const names = workloads.map(workload => workload.name);
	program.command('rehearse')
		.description('run the planner of the routed path over drawn days on a virtual clock and print what it brought')
		.option('--workload <names...>', `workloads: ${names.join(', ')}`, names)
		.option('--seeds <count>', 'days of each workload', parseCount, 10)
		.option('--from <seed>', 'first seed', parseCount, 0)
		.option('--calm', 'no server is lost and no node restarts')
		.option('--json', 'print JSON')
		.action(rehearse);
}

function rehearse(options: RehearseOptions): void {
	const rows = [];
	for (const name of options.workload) {
		const workload = workloads.find(candidate => candidate.name === name);
		if (workload === undefined) {
			process.stderr.write(`--workload ${name}: use one of ${workloads.map(candidate => candidate.name).join(', ')}\n`);
			process.exitCode = exitCodes.usageError;
			return;
		}

		rows.push({name, ...measureDays(options.calm ? {...workload, losses: 0, hasRestart: false} : workload, options)});
	}

	process.stdout.write(options.json ? `${JSON.stringify(rows)}\n` : rows.map(row => formatRow(row)).join(''));
}

/** Returns the means over the days of one workload. */
function measureDays(workload: Workload, {seeds, from}: RehearseOptions): Omit<RoutedMeasures, 'flows'> {
	const sums = {
		brought: 0, worstWindows: 0, worstFlow: 0, weighted: 0,
	};
	for (let seed = from; seed < from + seeds; seed++) {
		const day = drawDay(workload, String(seed));
		const measures = measureRouted(workload, day, replayRouted(workload, day));
		sums.brought += measures.brought / seeds;
		sums.worstWindows += measures.worstWindows / seeds;
		sums.worstFlow += measures.worstFlow / seeds;
		sums.weighted += measures.weighted / seeds;
	}

	return sums;
}

function formatRow({
	name, brought, worstWindows, worstFlow, weighted,
}: Omit<RoutedMeasures, 'flows'> & {name: string}): string {
	return `${name.padEnd(8)} brought ${brought.toFixed(3)}, worst windows ${worstWindows.toFixed(3)}, worst kind ${worstFlow.toFixed(3)}, weighted ${weighted.toFixed(3)}\n`;
}

function parseCount(text: string): number {
	const count = Number(text);
	if (!Number.isInteger(count) || count < 0) {
		throw new InvalidArgumentError('give a whole number of 0 or more');
	}

	return count;
}
