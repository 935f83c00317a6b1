/** Structured logs: JSON lines through pino. */
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

/** A logger that writes nothing. */
export function createSilentLogger(): Logger {
	return pino({level: 'silent'});
}
