/** Says for how long nobody has heard the source: at every node, also at those that do not follow it. */
import type {Logger} from '../../common/index.js';
import {followedKinds, type FleetState, type FollowedKind} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';

/** Time for which no node has heard the source before a line says so, in milliseconds: longer than a call that waits, and than ages take to reach every node. */
const ageLogThreshold = 4000;

/** What the report needs. */
export type SourceAgeReporterParts = {
	logger: Logger;
	metrics: GatewayMetrics;
	state: FleetState;
	/** Whether this node follows the source itself. */
	isWatcher: () => boolean;
};

/** Lines and figures on when the source was heard last. */
export class SourceAgeReporter {
	readonly #parts: SourceAgeReporterParts;
	/** What no node has heard for so long that a line has said so. */
	readonly #loggedKinds = new Set<FollowedKind>();

	constructor(parts: SourceAgeReporterParts) {
		this.#parts = parts;
	}

	/** Called with each heartbeat. */
	tick(): void {
		const {metrics, state, isWatcher} = this.#parts;
		for (const kind of followedKinds) {
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
			this.#parts.logger.warn({event: 'source_unheard', ...fields}, 'no node has heard the source for this long; what was read last stays in force');
		} else if (fleetAge <= ageLogThreshold && this.#loggedKinds.delete(kind)) {
			this.#parts.logger.info({event: 'source_heard', ...fields}, 'a node hears the source again');
		}
	}
}
