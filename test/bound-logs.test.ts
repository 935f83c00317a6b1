import {Buffer} from 'node:buffer';
import {execFileSync} from 'node:child_process';
import {
	constants, mkdtempSync, openSync, readSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect, test} from '@jest/globals';
import {createLogger, openLogOutput} from '../src/common/index.js';

/** Number of lines of about 1 kB, five times the maximum buffer size in total. */
const lineCount = 10_000;

/** Reads from a pipe until no data has arrived for a while. */
async function readAll(fd: number): Promise<string> {
	const buffer = Buffer.alloc(65_536);
	let text = '';
	for (let idle = 0; idle < 30;) {
		try {
			text += buffer.toString('utf8', 0, readSync(fd, buffer));
			idle = 0;
		} catch {
			idle++;
			await new Promise(resolve => {
				setTimeout(resolve, 20);
			});
		}
	}

	return text;
}

test('when the log output is not read, lines are dropped and counted without blocking', async () => {
	const folder = mkdtempSync(path.join(tmpdir(), 'cresshook-log-'));
	const pipe = path.join(folder, 'pipe');
	execFileSync('mkfifo', [pipe]);
	const fd = openSync(pipe, constants.O_RDWR + constants.O_NONBLOCK);
	try {
		const logger = createLogger('info', openLogOutput(fd));
		const started = Date.now();
		for (let index = 0; index < lineCount; index++) {
			logger.info({event: 'test', index, filling: 'x'.repeat(1000)});
		}

		expect(Date.now() - started).toBeLessThan(2000);
		const text = await readAll(fd);
		const lines = text.trim().split('\n').map(line => JSON.parse(line) as {event: string; dropped?: number});
		const kept = lines.filter(line => line.event === 'test').length;
		const dropped = lines.filter(line => line.event === 'log_lines_dropped').reduce((sum, line) => sum + (line.dropped ?? 0), 0);
		expect(kept).toBeGreaterThan(1000);
		expect(dropped).toBeGreaterThan(1000);
		expect(kept + dropped).toBe(lineCount);
	} finally {
		// The descriptor stays open, because the output may write to it until the process exits.
		rmSync(folder, {recursive: true});
	}
});
