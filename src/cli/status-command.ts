/** `cresshook status`: prints the status of a running gateway node. */
import process from 'node:process';
import type {Command} from 'commander';
import {fetch} from 'undici';
import {readErrorMessage} from '../common/index.js';
import {statusPath, type NodeStatus} from '../gateway/index.js';
import {exitCodes} from './exit-codes.js';
import {formatStatus} from './format-status.js';

/** Timeout of the status request, in milliseconds. */
const answerTimeout = 3000;

/** Matches an IP address or host name with a port. */
const addressPattern = /^[\w.-]+:\d{1,5}$/;

/** Adds the command. */
export function addStatusCommand(program: Command): void {
	program.command('status <address>')
		.description('print how a running gateway node stands; IP:PORT of its metrics listener')
		.option('--json', 'print JSON')
		.action(printStatus);
}

async function printStatus(address: string, options: {json?: boolean}): Promise<void> {
	if (!addressPattern.test(address)) {
		process.stderr.write(`${address}: give IP:PORT of the node's metrics listener, such as 10.0.0.5:9464 (metrics_port of its settings)\n`);
		process.exitCode = exitCodes.usageError;
		return;
	}

	try {
		const text = await fetchStatus(address);
		process.stdout.write(options.json ? `${text}\n` : formatStatus(JSON.parse(text) as NodeStatus));
	} catch (error) {
		process.stderr.write(`${address}: no status: ${readReason(error)}; see whether the node runs, and give its IP and the metrics_port of its settings\n`);
		process.exitCode = exitCodes.failed;
	}
}

async function fetchStatus(address: string): Promise<string> {
	const answer = await fetch(`http://${address}${statusPath}`, {signal: AbortSignal.timeout(answerTimeout)});
	const text = await answer.text();
	if (answer.status !== 200) {
		throw new Error(`it answered ${answer.status}, as no gateway of this version does`);
	}

	return text;
}

/** The cause of a failed fetch is more specific than its message. */
function readReason(error: unknown): string {
	const {cause} = error as {cause?: unknown};
	return readErrorMessage(cause ?? error);
}
