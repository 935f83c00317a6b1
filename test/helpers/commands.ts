/** Runs commands of the program within a test process. */
import process from 'node:process';
import {CommanderError} from 'commander';
import {createProgram, findExitCode} from '../../src/cli/index.js';

/** Output and exit code of a command. */
export type CommandEnd = {code: number; out: string; error: string};

/** Runs one command; restores the exit code of the test process afterwards. */
export async function runCommand(...args: string[]): Promise<CommandEnd> {
	const end: CommandEnd = {code: 0, out: '', error: ''};
	const {exitCode} = process;
	const [writeOut, writeError] = [process.stdout.write, process.stderr.write];
	process.stdout.write = text => {
		end.out += String(text);
		return true;
	};

	process.stderr.write = text => {
		end.error += String(text);
		return true;
	};

	process.exitCode = undefined;
	try {
		await createProgram().parseAsync(args, {from: 'user'});
		end.code = Number(process.exitCode ?? 0);
	} catch (error) {
		if (!(error instanceof CommanderError)) {
			throw error;
		}

		end.code = findExitCode(error);
	} finally {
		process.stdout.write = writeOut;
		process.stderr.write = writeError;
		process.exitCode = exitCode;
	}

	return end;
}
