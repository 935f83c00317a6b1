// What is believed of a server's statements about itself in the heads of its answers.
import {expect, test} from '@jest/globals';
import {CallWire} from '../platform/index.js';
import type {BackendServerId} from '../src/common/index.js';
import {listNotices, type ServerNotice} from '../src/gateway/calls/server-notice.js';
import {RestingServers} from '../src/planning/index.js';

const server = 'i-1' as BackendServerId;

const echoed = {'cresshook-attempt-id': 'id-1'};
const signed = {'cresshook-response-seal': 'seal'};

function readNotices(kind: ServerNotice['kind'], status: number, headers: Record<string, string | string[]>): ServerNotice[] {
	return listNotices(new CallWire().readResponseHead(status, headers)).filter(notice => notice.kind === kind);
}

test.each([
	['a signed answer', 200, {...signed, 'server-leaving': '1'}],
	['an unsigned refusal of this request', 503, {...echoed, 'server-leaving': '1'}],
	['an answer with blanks around the value', 200, {...signed, 'server-leaving': ' 1 '}],
])('%s says that its server leaves', (_name, status, headers) => {
	expect(readNotices('leaving', status, headers)).toEqual([{kind: 'leaving'}]);
});

test.each([
	['another value', 200, {...signed, 'server-leaving': '0'}],
	['a word', 200, {...signed, 'server-leaving': 'true'}],
	['an empty value', 200, {...signed, 'server-leaving': ''}],
	['an answer of another server at the address', 421, {...signed, ...echoed, 'server-leaving': '1'}],
	['an answer to an unknown request without a seal', 503, {'server-leaving': '1'}],
])('%s does not say that a server leaves', (_name, status, headers) => {
	expect(readNotices('leaving', status, headers)).toEqual([]);
});

test.each([
	['whole seconds', '3', 3000],
	['a fraction', '0.25', 250],
])('a refusal with a rest of %s', (_name, text, time) => {
	expect(readNotices('rest', 503, {...echoed, 'retry-after': text})).toEqual([{kind: 'rest', time}]);
});

test.each([
	['a date', 503, 'Thu, 03 Dec 2026 16:00:00 GMT'],
	['a negative time', 503, '-3'],
	['no time', 503, '0'],
	['an empty value', 503, ''],
	['a word', 503, 'soon'],
	['an answer that is no refusal', 200, '3'],
	['an answer of another server at the address', 421, '3'],
])('%s is no rest', (_name, status, text) => {
	expect(readNotices('rest', status, {...signed, ...echoed, 'retry-after': text})).toEqual([]);
});

test('a rest is bounded, a longer one extends it and a shorter one does not end it', () => {
	const resting = new RestingServers();
	expect(resting.add({server, time: 3000}, 0)).toBe(true);
	expect(resting.add({server, time: 1000}, 1000)).toBe(false);
	expect(resting.computeRestLeft(server, 1000)).toBe(2000);
	expect(resting.list(2999)).toEqual([{server, time: 1}]);
	expect(resting.list(3000)).toEqual([]);
	expect(resting.add({server, time: 31_536_000_000}, 4000)).toBe(true);
	expect(resting.computeRestLeft(server, 4000)).toBe(300_000);
});
