import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import {CallWire} from '../platform/index.js';
import type {OrganisationId} from '../src/common/index.js';
import {computeFingerprint} from '../src/gateway/calls/index.js';
import type {CallHead} from '../src/gateway/index.js';

const wire = new CallWire();
const [guild, harbour] = ['guild', 'harbour'] as OrganisationId[];

function readHead(headers: Record<string, string> = {}): CallHead {
	return wire.readCallHead('POST', '/stream/1', {host: 'shop.example', 'cresshook-attempt-id': 'id-1', ...headers}).unsafeCoerce();
}

/** Creates a body of 200 kB that differs from others only in the middle. */
function createLongBody(mark: string): Uint8Array {
	const body = Buffer.alloc(200_000, 'x');
	body.write(mark, 100_000);
	return body;
}

test('a retry with other prompt headers has the same fingerprint', () => {
	const body = Buffer.from('body');
	const first = computeFingerprint(readHead({'cresshook-prompt-prefix': 'aa:100,bb:200'}), guild, body);
	expect(computeFingerprint(readHead(), guild, body)).toBe(first);
	expect(computeFingerprint(readHead({'cresshook-prompt-prefix': 'aa:100'}), guild, body)).toBe(first);
});

test('equal requests of two callers have different fingerprints', () => {
	const body = Buffer.from('body');
	expect(computeFingerprint(readHead(), guild, body)).not.toBe(computeFingerprint(readHead(), harbour, body));
});

test('long bodies that differ in the middle have different fingerprints', () => {
	expect(computeFingerprint(readHead(), guild, createLongBody('a'))).not.toBe(computeFingerprint(readHead(), guild, createLongBody('b')));
});
