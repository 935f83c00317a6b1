/** `cresshook report`: renders a day of logs as one HTML page. */
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import type {Command} from 'commander';
import {readErrorMessage} from '../common/index.js';
import {DayCollector, formatReport, readLogs} from '../logs/index.js';
import {exitCodes} from './exit-codes.js';

/** Adds the command. */
export function addReportCommand(program: Command): void {
	program.command('report <logs...>')
		.description('write one HTML page on the logs of all nodes: first events, pauses, waits, refusals, who decided, worth lost by reason')
		.option('--out <file>', 'where to write the page', 'report.html')
		.action(writeReport);
}

async function writeReport(logs: string[], options: {out: string}): Promise<void> {
	const collector = new DayCollector();
	const read = await readLogs(logs, line => {
		collector.add(line);
	});
	if (read.isLeft()) {
		process.stderr.write(`${read.extract()}\n`);
		process.exitCode = exitCodes.usageError;
		return;
	}

	const day = collector.finish();
	if (day === undefined) {
		process.stderr.write(`no call ended in the ${logs.length === 1 ? 'file' : `${logs.length} files`}; give the logs of gateways, with log.level "info" or "debug"\n`);
		process.exitCode = exitCodes.failed;
		return;
	}

	try {
		await writeFile(options.out, formatReport(day, logs));
	} catch (error) {
		process.stderr.write(`--out ${options.out}: give a path that can be written: ${readErrorMessage(error)}\n`);
		process.exitCode = exitCodes.usageError;
		return;
	}

	process.stdout.write(`${options.out}: ${day.calls.length} calls, ${(day.valueShare * 100).toFixed(1)}% of their worth brought\n`);
}
