import {readFileSync} from 'node:fs';
import {expect, test} from '@jest/globals';
import {
	errorTable, findAnswer, formatErrorBody, type ErrorAnswer, type ErrorKind,
} from '../src/common/index.js';

const rows = Object.entries(errorTable) as Array<[ErrorKind, ErrorAnswer]>;

test('docs/ERRORS.md documents exactly the existing error kinds', () => {
	const page = readFileSync('docs/ERRORS.md', 'utf8');
	const documented = [...page.matchAll(/^\| `(?<kind>\w+)` \| (?<status>\d+) \| (?<ran>\w+) \| (?<retry>[\d—]+) \|/gm)]
		.map(({groups}) => [groups?.kind, Number(groups?.status), groups?.ran, groups?.retry === '—' ? undefined : Number(groups?.retry)]);
	expect(documented).toEqual(rows.map(([kind, row]) => [kind, row.status, row.ran, row.retryAfterSeconds]));
});

test('only `owner_unreachable` suggests a retry although the request may have been executed', () => {
	const inviting = rows.filter(([, row]) => row.ran !== 'no' && row.retryAfterSeconds !== undefined).map(([kind]) => kind);
	expect(inviting).toEqual(['owner_unreachable']);
});

test('a failure overrides the defaults of its kind', () => {
	const failure = {
		kind: 'overloaded' as const, message: 'full', ran: 'maybe' as const, retryAfterSeconds: 7,
	};
	expect(findAnswer(failure)).toMatchObject({status: 503, ran: 'maybe', retryAfterSeconds: 7});
	expect(formatErrorBody(failure).error).toMatchObject({
		code: 'overloaded', ran: 'maybe', retry_after_seconds: 7, message: 'full',
	});
});
