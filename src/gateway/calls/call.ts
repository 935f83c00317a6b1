/** One request of a caller, as the node that received it handles it. */
import type {PromptPartTrait, RequestFingerprint} from '../../common/index.js';
import type {Organisation, Route, ServiceSpec} from '../../routing/index.js';
import type {CallHead} from '../wire.js';

/** A call, resolved against the configuration. */
export type Call = {
	head: CallHead;
	body: Uint8Array | undefined;
	/** Identifies the request across its caller's retries. */
	fingerprint: RequestFingerprint;
	/** Parts of its prompt that other requests may share. */
	parts: PromptPartTrait[];
	route: Route;
	service: ServiceSpec;
	organisation?: Organisation;
	/** When it arrived, by the monotonic clock, in milliseconds. */
	arrived: number;
	/** Version of the configuration that it was resolved with. */
	configVersion: number;
};

/** Whether requests of a route may run more than once. */
export function isRepeatable({kind, canResume}: Route): boolean {
	return kind === 'repeatable' || (kind === 'stream' && canResume);
}

/** Whether this node may run requests of a route again after a failure. */
export function canRepeat(route: Route): boolean {
	return route.attempts > 1 && isRepeatable(route);
}
