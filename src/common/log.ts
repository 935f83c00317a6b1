/** Structured logging: JSON lines written by pino. */
import process from 'node:process';
import {pino, type Logger, type DestinationStream} from 'pino';

export type {Logger} from 'pino';

/** Creates the root logger of a process. Prompts and API keys must never be logged. */
export function createLogger(level: string, destination?: DestinationStream): Logger {
	const options = {
		level,
		base: undefined,
		timestamp: () => `,"time":"${new Date().toISOString()}"`,
		formatters: {level: (label: string) => ({level: label})},
	};
	return destination === undefined ? pino(options) : pino(options, destination);
}

/** Bytes that are buffered before a write, and the maximum delay of a write in milliseconds. */
const buffering = {minLength: 8192, periodicFlush: 200};

/** Maximum bytes of unwritten lines: some thousand lines, and one hundredth of the memory of a small box. */
const maxBufferedBytes = 2 * 1024 * 1024;

/** Message of the line that reports dropped lines. */
const droppedLinesMessage = 'log lines were dropped: the output was not read fast enough';

/**
 * Opens a file descriptor for logs, standard output by default.
 *
 * Writes are asynchronous, because a slow log reader would otherwise block the event loop and
 * with it every stream. When the buffer is full, lines are dropped; their number is logged once
 * the buffer has drained. Buffered lines are flushed when the process exits.
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

/** Creates a logger that discards all lines. */
export function createSilentLogger(): Logger {
	return pino({level: 'silent'});
}
