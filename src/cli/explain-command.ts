/** `cresshook explain`: prints the decisions of all nodes about one request, and the cause of its outcome. */
import process from 'node:process';
import type {Command} from 'commander';
import {
	describeRequest, formatExplanation, readLogs, TimelineCollector,
} from '../logs/index.js';
import {exitCodes} from './exit-codes.js';

/** Adds the command. */
export function addExplainCommand(program: Command): void {
	program.command('explain <request>')
		.description('print what was decided for one request, in order across nodes, and its cause')
		.requiredOption('--logs <files...>', 'logs of all nodes: JSON lines, or such lines after a time in seconds and a node\'s name')
		.option('--json', 'print JSON')
		.action(printExplanation);
}

async function printExplanation(request: string, options: {logs: string[]; json?: boolean}): Promise<void> {
	const collector = new TimelineCollector(request);
	const read = await readLogs(options.logs, line => {
		collector.add(line);
	});
	read.caseOf({
		Left(problem) {
			process.stderr.write(`${problem}\n`);
			process.exitCode = exitCodes.usageError;
		},
		Right({files, lines, events}) {
			const timeline = collector.finish();
			if (timeline === undefined) {
				const seen = `none of ${lines} lines in ${files} ${files === 1 ? 'file' : 'files'}, ${events} of them events, is about it`;
				process.stderr.write(`${request}: ${seen}; give the caller's own id of that attempt, and the logs of all nodes at that time, with log.level "info" or "debug"\n`);
				process.exitCode = exitCodes.failed;
				return;
			}

			const explanation = describeRequest(timeline);
			process.stdout.write(options.json ? `${JSON.stringify(explanation)}\n` : formatExplanation(explanation));
		},
	});
}
