import {readFile} from 'node:fs/promises';
import {expect, test} from '@jest/globals';
import {describeRequest, parseLogLine, TimelineCollector} from '../src/logs/index.js';

test('the causes quoted in docs/OPERATIONS.md match what explain returns for the quoted log lines', async () => {
	const page = await readFile('docs/OPERATIONS.md', 'utf8');
	const quoted = [...page.matchAll(/```json\n(?<lines>[^`]*)```\n\n`explain`: (?<cause>.*)\n/g)];
	expect(quoted).toHaveLength(3);
	for (const {groups} of quoted) {
		const lines = groups!.lines.trim().split('\n').map(text => parseLogLine(text, 'edge')!);
		const collector = new TimelineCollector(String(lines[0].fields.request));
		for (const line of lines) {
			collector.add(line);
		}

		expect(describeRequest(collector.finish()!).cause).toBe(groups!.cause);
	}
});
