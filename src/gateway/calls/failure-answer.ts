/** Error responses to callers. */
import {Buffer} from 'node:buffer';
import {findAnswer, formatErrorBody, type Failure} from '../../common/index.js';
import type {CallHead, GatewayWire} from '../wire.js';
import type {CallSink} from './call-sink.js';

/** Sends a failure as the complete response; returns its status. */
export function sendFailure(sink: CallSink, wire: GatewayWire, failure: Failure, requestId: CallHead['requestId'] | undefined): number {
	const {status} = findAnswer(failure);
	const body = JSON.stringify(formatErrorBody(failure));
	sink.sendHead(status, {
		'content-type': 'application/json',
		'content-length': String(Buffer.byteLength(body)),
		...wire.formatFailureHeaders(failure, requestId),
	}, true);
	sink.end(body);
	return status;
}
