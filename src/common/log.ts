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
const buffering = {minLength: 8192, periodicFlush: 200};

/** Bytes of lines that wait for a reader at most: some thousand lines, and a hundredth of a small box's memory. */
const maxBufferedBytes = 2 * 1024 * 1024;

/** What a line of lost lines says. */
const droppedLinesMessage = 'log lines were dropped: nobody read the output fast enough';

/**
 * Opens a file descriptor for logs, standard output by default.
 *
 * Written without waiting: a reader of the logs that is slow would else hold the loop,
 * and with it every stream. When too much waits, lines are dropped and counted, and the
 * count is logged when there is room again. What is still gathered is written when the
 * process exits.
 */
export function openLogOutput(fd = 1): DestinationStream {
	const output = pino.destination({
		fd, sync: false, maxLength: maxBufferedBytes, ...buffering,
	});
	let dropped = 0;
	output.on('drop', () => {
		dropped++;
	});
	output.on('drain', () => {
		if (dropped > 0) {
			const line = {
				level: 'warn', time: new Date().toISOString(), event: 'log_lines_dropped', dropped, msg: droppedLinesMessage,
			};
			dropped = 0;
			output.write(`${JSON.stringify(line)}\n`);
		}
	});
	process.once('exit', () => {
		output.flushSync();
	});
	return output;
}

/** A logger that writes nothing. */
export function createSilentLogger(): Logger {
	return pino({level: 'silent'});
}
