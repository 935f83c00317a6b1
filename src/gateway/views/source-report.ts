/** Says for how long nobody has heard the source: at every node, also at those that do not follow it. */
import type {Logger} from '../../common/index.js';
import {followedKinds, type FleetState, type FollowedKind} from '../../routing/index.js';
import type {GatewayMetrics} from '../gateway-metrics.js';

/** Time for which no node has heard the source before a line says so, in milliseconds: longer than a call that waits, and than ages take to reach every node. */
const reportedAge = 4000;

/** What the report needs. */
export type SourceReportParts = {
	logger: Logger;
	metrics: GatewayMetrics;
	state: FleetState;
	/** Whether this node follows the source itself. */
	isWatcher: () => boolean;
};

/** Lines and figures on when the source was heard last. */
export class SourceReport {
	readonly #parts: SourceReportParts;
	/** What no node has heard for so long that a line has said so. */
	readonly #unheard = new Set<FollowedKind>();

	constructor(parts: SourceReportParts) {
		this.#parts = parts;
	}

	/** Called with each heartbeat. */
	tick(): void {
		const {metrics, state, isWatcher} = this.#parts;
		for (const kind of followedKinds) {
			const own = isWatcher() ? state.sourceAgeTracker.measureLocalAge(kind) : undefined;
			const fleet = state.sourceAgeTracker.measureFleetAge(kind);
			metrics.setSourceAge(kind, 'node', own);
			metrics.setSourceAge(kind, 'fleet', fleet);
			this.#logAge(kind, own, fleet);
		}
	}

	#logAge(kind: FollowedKind, own: number | undefined, fleet: number | undefined): void {
		if (fleet === undefined) {
			return;
		}

		const facts = {
			items: kind, age: fleet, ownAge: own, configVersion: this.#parts.state.configVersion, serversRevision: this.#parts.state.serversRevision,
		};
		if (fleet > reportedAge && !this.#unheard.has(kind)) {
			this.#unheard.add(kind);
			this.#parts.logger.warn({event: 'source_unheard', ...facts}, 'no node has heard the source for this long; what was read last stays in force');
		} else if (fleet <= reportedAge && this.#unheard.delete(kind)) {
			this.#parts.logger.info({event: 'source_heard', ...facts}, 'a node hears the source again');
		}
	}
}
