/** Command line interface. */
import {Command} from 'commander';
import {addDevCommand} from './dev-command.js';
import {exitCodes} from './exit-codes.js';
import {addExplainCommand} from './explain-command.js';
import {addGatewayCommand} from './gateway-command.js';
import {addPolicyCommands} from './policy-command.js';
import {addReplayCommands} from './replay-command.js';
import {addNodeCommand} from './node-command.js';
import {addRehearseCommand} from './rehearse-command.js';
import {addReportCommand} from './report-command.js';
import {addSettingsCommand} from './settings-command.js';
import {addStandinCommand} from './standin-command.js';
import {addStatusCommand} from './status-command.js';

/** Creates the program with all its commands. */
export function createProgram(): Command {
	const program = new Command('cresshook')
		.description('serving layer for language-model prompts of very unlike lengths')
		.version('0.1.0')
		// Set before the commands are added, since they inherit it.
		.exitOverride();
	addNodeCommand(program);
	addGatewayCommand(program);
	addDevCommand(program);
	addSettingsCommand(program);
	addPolicyCommands(program);
	addReplayCommands(program);
	addRehearseCommand(program);
	addStandinCommand(program);
	addExplainCommand(program);
	addStatusCommand(program);
	addReportCommand(program);
	return program;
}

/** Returns the exit code for an error thrown by commander. */
export function findExitCode(error: {exitCode: number}): number {
	return error.exitCode === 0 ? exitCodes.done : exitCodes.usageError;
}
