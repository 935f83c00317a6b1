/** Streams the log files of many nodes line by line, since a day of logs may not fit in memory. */
import {createReadStream} from 'node:fs';
import {parse} from 'node:path';
import {createInterface} from 'node:readline';
import {Left, Right, type Either} from 'purify-ts';
import {readErrorMessage} from '../common/index.js';
import {parseLogLine, type LogLine} from './log-line.js';

/** Numbers of files, lines and events read. */
export type ReadCounts = {files: number; lines: number; events: number};

/** Passes each event of the files to `accept`; returns a message if a file cannot be read. */
export async function readLogs(files: string[], accept: (line: LogLine) => void): Promise<Either<string, ReadCounts>> {
	const counts = {files: files.length, lines: 0, events: 0};
	for (const file of files) {
		try {
			for await (const text of createInterface({input: createReadStream(file, 'utf8'), crlfDelay: Infinity})) {
				counts.lines++;
				const line = parseLogLine(text, parse(file).name);
				if (line !== undefined) {
					counts.events++;
					accept(line);
				}
			}
		} catch (error) {
			return Left(`${file}: give the path of a log file that can be read: ${readErrorMessage(error)}`);
		}
	}

	return Right(counts);
}
