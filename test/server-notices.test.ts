// What is believed of a server's statements about itself in the heads of its answers.
import {expect, test} from '@jest/globals';
import {CallWire} from '../platform/index.js';
import {listNotices, type ServerNotice} from '../src/gateway/calls/server-notice.js';

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
