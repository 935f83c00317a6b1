/** Entry point of the program: wires the command line, nothing else. */
import process from 'node:process';
import {CommanderError} from 'commander';
import {createProgram, findExitCode} from './cli/index.js';

async function main(): Promise<void> {
	const program = createProgram();
	try {
		await program.parseAsync(process.argv);
	} catch (error) {
		if (!(error instanceof CommanderError)) {
			throw error;
		}

		process.exitCode = findExitCode(error);
	}
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- the one file is CommonJS, as a single executable needs
