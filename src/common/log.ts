/** Structured logs: JSON lines through pino. */
import process from 'node:process';
import {pino, type Logger, type DestinationStream} from 'pino';

export type {Logger} from 'pino';

/** Makes the root logger of a process. Prompts and keys are never passed to it. */
export function createLogger(level: string, destination?: DestinationStream): Logger {
	const options = {
		level,
		base: undefined,
		timestamp: () => `,"time":"${new Date().toISOString()}"`,
		formatters: {level: (label: string) => ({level: label})},
	};
	return destination === undefined ? pino(options) : pino(options, destination);
}

/** Bytes of lines gathered before they are written, and the longest they wait in milliseconds. */
const gathering = {minLength: 8192, periodicFlush: 200};

/**
 * Opens standard output for logs.
 *
 * Written without waiting: a reader of the logs that is slow would else hold the loop,
 * and with it every stream. What is still gathered is written when the process exits.
 */
export function openLogOutput(): DestinationStream {
	const output = pino.destination({fd: 1, sync: false, ...gathering});
	process.once('exit', () => {
		output.flushSync();
	});
	return output;
}

/** A logger that writes nothing. */
export function createSilentLogger(): Logger {
	return pino({level: 'silent'});
}
