/** `cresshook settings`: validates settings files and hashes secrets for them. */
import process from 'node:process';
import {text} from 'node:stream/consumers';
import type {Command} from 'commander';
import {hashSecret} from '../common/index.js';
import {loadGatewaySettings} from '../gateway/index.js';
import {formatProblem, loadSettings} from '../settings/index.js';
import {exitCodes} from './exit-codes.js';

/** Adds the commands. */
export function addSettingsCommand(program: Command): void {
	const settings = program.command('settings').description('check settings files');
	settings.command('check <file>')
		.description('check a settings file; names the key, the value and the mend')
		.option('--json', 'print the problems as JSON')
		.option('--gateway', 'check the settings of a gateway, such as the platform renders them')
		.action(checkSettings);
	settings.command('hash')
		.description('read a key or token from standard input and print its hash')
		.action(async () => {
			const secret = await text(process.stdin);
			process.stdout.write(`${hashSecret(secret.trim())}\n`);
		});
}

async function checkSettings(file: string, options: {json?: boolean; gateway?: boolean}): Promise<void> {
	const loaded = options.gateway ? await loadGatewaySettings(file) : await loadSettings(file);
	const problems = loaded.swap().orDefault([]);
	if (options.json) {
		process.stdout.write(`${JSON.stringify({file, problems})}\n`);
	} else if (problems.length === 0) {
		process.stdout.write(`${file}: no problems\n`);
	}

	if (problems.length === 0) {
		return;
	}

	if (!options.json) {
		for (const problem of problems) {
			process.stderr.write(`${formatProblem(problem)}\n`);
		}
	}

	process.exitCode = exitCodes.usageError;
}
