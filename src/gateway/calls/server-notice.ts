/** What backend servers state about themselves in the heads of their answers. Pure. */
import type {ResponseHead} from '../wire.js';

/** One statement of a backend server about itself. */
export type ServerNotice =
	/** Its rate limit for all nodes together, in requests per second; undefined when it has none. */
	| {kind: 'limit'; requestsPerSecond: number | undefined}
	/** It is leaving: it takes no new requests and ends soon. */
	| {kind: 'leaving'}
	/** It is cold for a time in milliseconds; 0 when it is warm. */
	| {kind: 'cold'; time: number}
	/** It wants no requests from this node for a time in milliseconds. */
	| {kind: 'rest'; time: number};

/** Lists the statements in the head of an answer to the request of an attempt. */
export function listNotices(head: ResponseHead): ServerNotice[] {
	const notices: ServerNotice[] = [];
	// Without a limit, only a signed answer proves that an earlier limit was lifted.
	if (head.requestLimit !== undefined || head.isSigned) {
		notices.push({kind: 'limit', requestsPerSecond: head.requestLimit});
	}

	// It holds for the rest of the server's life, so the answer has to be one to this request.
	if (head.isLeaving && (head.isSigned || head.requestId !== undefined)) {
		notices.push({kind: 'leaving'});
	}

	// That it is warm lets load rise, so only a signed answer proves it.
	if (head.coldFor !== undefined && (head.coldFor > 0 || head.isSigned)) {
		notices.push({kind: 'cold', time: head.coldFor});
	}

	if (head.rest !== undefined && head.rest > 0) {
		notices.push({kind: 'rest', time: head.rest});
	}

	return notices;
}
