/** One call of a caller, as the node that took it knows it. */
import type {RequestFingerprint} from '../../common/index.js';
import type {Organisation, Route, ServiceSpec} from '../../routing/index.js';
import type {CallHead} from '../wire.js';

/** A call, resolved against the configuration. */
export type Call = {
	head: CallHead;
	body: Uint8Array | undefined;
	/** Identifies the request across retries of its caller. */
	fingerprint: RequestFingerprint;
	route: Route;
	service: ServiceSpec;
	organisation?: Organisation;
	/** When it arrived, by the monotonic clock. */
	arrived: number;
	/** Version of the configuration it was resolved by. */
	configVersion: number;
};
