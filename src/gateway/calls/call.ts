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

/** Whether requests of a route may run again after a failure. */
export function canRepeat({kind, canResume, attempts}: Route): boolean {
	return attempts > 1 && (kind === 'repeatable' || (kind === 'stream' && canResume));
}
