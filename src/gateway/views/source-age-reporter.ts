/** Reports the time since the source last answered, on every node, watcher or not. */
import type {Logger} from '../../common/index.js';
import type {FleetState, FollowedKind} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';

/** Age of the last answer to any node above which a warning is logged, in milliseconds: longer than a long poll, and than ages take to spread through the fleet. */
const ageLogThreshold = 4000;

/** Dependencies of the reporter. */
export type SourceAgeReporterParts = {
	logger: Logger;
	metrics: GatewayMetrics;
	state: FleetState;
	/** Whether this node watches the source itself. */
	isWatcher: () => boolean;
};

/** Sets the metrics of the source's age, and logs when it crosses the threshold. */
export class SourceAgeReporter {
	readonly #parts: SourceAgeReporterParts;
	/** Kinds of items whose age above the threshold has been logged. */
	readonly #loggedKinds = new Set<FollowedKind>();

	constructor(parts: SourceAgeReporterParts) {
		this.#parts = parts;
	}

	/** Updates metrics and logs; called at each heartbeat. */
	tick(): void {
		const {metrics, state, isWatcher} = this.#parts;
		for (const kind of state.followedKinds) {
			const nodeAge = isWatcher() ? state.sourceAgeTracker.measureLocalAge(kind) : undefined;
			const fleetAge = state.sourceAgeTracker.measureFleetAge(kind);
			metrics.setSourceAge(kind, 'node', nodeAge);
			metrics.setSourceAge(kind, 'fleet', fleetAge);
			this.#logAge(kind, nodeAge, fleetAge);
		}
	}

	#logAge(kind: FollowedKind, nodeAge: number | undefined, fleetAge: number | undefined): void {
		if (fleetAge === undefined) {
			return;
		}

		const fields = {
			items: kind, age: fleetAge, ownAge: nodeAge, configVersion: this.#parts.state.configVersion, serversRevision: this.#parts.state.serversRevision,
		};
		if (fleetAge > ageLogThreshold && !this.#loggedKinds.has(kind)) {
			this.#loggedKinds.add(kind);
			this.#parts.logger.warn({event: 'source_unheard', ...fields}, 'no node has had an answer from the source for this long; the last data read stays in use');
		} else if (fleetAge <= ageLogThreshold && this.#loggedKinds.delete(kind)) {
			this.#parts.logger.info({event: 'source_heard', ...fields}, 'a node has had an answer from the source again');
		}
	}
}
