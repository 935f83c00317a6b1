/** What backend servers state about themselves in the heads of their answers. Pure. */
import type {ResponseHead} from '../wire.js';

/** One statement of a backend server about itself. */
export type ServerNotice =
	/** Its rate limit for all nodes together, in requests per second; undefined when it has none. */
	{kind: 'limit'; requestsPerSecond: number | undefined};

/** Lists the statements in the head of an answer to the request of an attempt. */
export function listNotices(head: ResponseHead): ServerNotice[] {
	// Without a limit, only a signed answer proves that an earlier limit was lifted.
	return head.requestLimit !== undefined || head.isSigned ? [{kind: 'limit', requestsPerSecond: head.requestLimit}] : [];
}
