/** Writes one log line and the metrics for each decision of a dispatcher. */
import type {
	BackendServerId, Failure, Logger, Metrics, PoolId,
} from '../../common/index.js';
import {countTokens, type AdmitRequest} from './messages.js';
import type {Placement} from './placement.js';

/** Dependencies of a decision log. */
export type DecisionLogParts = {
	pool: PoolId;
	term: number;
	logger: Logger;
	metrics: Metrics;
};

/** Logs decisions. A dispatcher knows only the lengths and hashes of prompts, so none can reach the log. */
export class DecisionLog {
	readonly #parts: DecisionLogParts;

	constructor(parts: DecisionLogParts) {
		this.#parts = parts;
	}

	/** Logs the placement of a request; `waited` is in milliseconds. */
	logPlacement(request: AdmitRequest, placement: Placement, choice: BackendServerId, details: {waited: number; openCount: number}): void {
		this.#parts.metrics.recordTiming('queue.wait', details.waited, {pool: this.#parts.pool});
		if (!this.#parts.logger.isLevelEnabled('info')) {
			return;
		}

		this.#parts.logger.info({
			...describeRequest(request),
			event: 'placement',
			term: this.#parts.term,
			weighed: placement.candidates.map(candidate => ({
				server: candidate.server.id, freeTokens: candidate.freeTokens, cachedTokens: candidate.cachedTokens, firstToken: Math.round(candidate.firstToken),
			})),
			weighedCount: details.openCount,
			choice,
			reason: placement.reason,
			waited: Math.round(details.waited),
		}, 'request placed');
	}

	/** Logs the refusal of a request. */
	logRefusal(request: AdmitRequest, failure: Failure): void {
		this.#parts.metrics.incrementCounter('refusals', {pool: this.#parts.pool, kind: failure.kind});
		this.#parts.logger.info({
			...describeRequest(request), event: 'refusal', term: this.#parts.term, kind: failure.kind, reason: failure.message,
		}, 'request refused');
	}
}

function describeRequest(request: AdmitRequest): Record<string, unknown> {
	return {
		request: request.requestId,
		organisation: request.organisation,
		service: request.service,
		promptTokens: request.promptTokens,
		tokens: countTokens(request),
	};
}
