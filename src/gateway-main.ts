/** Entry point of the program that only runs gateways: it loads nothing that they do not use. */
import process from 'node:process';
import {Command} from 'commander';
import {addGatewayCommand} from './cli/gateway-command.js';

async function main(): Promise<void> {
	const program = new Command('cresshook');
	addGatewayCommand(program);
	await program.parseAsync(process.argv);
}

void main(); // eslint-disable-line unicorn/prefer-top-level-await -- the one file is CommonJS, as a single executable needs
