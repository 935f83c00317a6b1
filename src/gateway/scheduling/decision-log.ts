/** Logs scheduling decisions and their inputs. */
import type {Either} from 'purify-ts';
import type {AvailabilityZone, Failure, Logger} from '../../common/index.js';
import type {
	BackoffReport, Decision, OverrunReport, PlanRequest, ShareReport,
} from '../../planning/index.js';
import {formatPosition} from '../../routing/index.js';

/** Inputs of a decision besides the request. */
export type DecisionInputs = {
	/** Number of plans in progress. */
	inProgress: number;
	configVersion: number;
	serversRevision: number;
	/** Number of nodes whose plans this node sees, and number of known nodes. */
	seen: number;
	known: number;
	/** Evacuated zones in which the service has servers; undefined when there are none. */
	evacuated?: AvailabilityZone[];
	/** Present only where organisations have shares. */
	share?: ShareReport;
};

/** Adds the evacuated zones of the service to a refusal for lack of servers. */
export function explainEvacuation(failure: Failure, evacuated: AvailabilityZone[]): Failure {
	return failure.kind === 'no_backend_server' && evacuated.length > 0
		? {...failure, message: `${failure.message}; its servers in evacuated availability zones get none: ${evacuated.join(', ')}`}
		: failure;
}

/** Logs a placement, a wait or a refusal. */
export function logDecision(logger: Logger, request: PlanRequest, decided: Either<Failure, Decision>, {share, ...inputs}: DecisionInputs): void {
	const fields = {
		request: request.requestId,
		service: request.service,
		node: request.node,
		promptTokens: request.promptTokens,
		waited: Math.round(request.waited),
		patience: Math.round(request.patience),
		excluded: request.excluded,
		fingerprint: request.crashes === undefined ? undefined : request.fingerprint,
		crashes: request.crashes?.length,
		...inputs,
		serversRevision: formatPosition(inputs.serversRevision),
		...(share !== undefined && {organisation: request.organisation, isScarce: share.isScarce, shareUsed: Math.round(share.shareUsed * 100) / 100}),
	};
	decided.caseOf({
		Left(failure) {
			logger.info({
				event: 'refused', ...fields, kind: failure.kind, reason: failure.message,
			}, 'refused a request');
		},
		Right(decision) {
			if (decision.kind === 'wait') {
				// A waiting request asks several times a second: only its first wait is logged at level info.
				const level = request.waited === 0 ? 'info' : 'debug';
				logger[level]({
					event: 'waits', ...fields, reason: decision.reason, askAgainIn: Math.round(decision.askAgainIn),
				}, 'a long prompt waits to be read');
				return;
			}

			const {plan} = decision;
			logger.info({
				event: 'placed',
				...fields,
				objective: Math.round(plan.request.objective),
				server: plan.server,
				avoided: plan.avoided,
				helpers: plan.helpers.length,
				readers: plan.helpers.length === 0 ? undefined : [plan.server, ...plan.helpers.map(helper => helper.server)],
				startIn: Math.round(plan.startIn),
				expectedFirst: Math.round(plan.expectedFirst),
				plannedPause: plan.pause === undefined ? undefined : Math.round(plan.pause.length),
				bearablePause: plan.pause === undefined ? undefined : Math.round(plan.pause.bearable),
			}, 'placed a request');
		},
	});
}

/** Logs a prompt read that exceeded its planned time: it also paused the streams on its servers for longer. */
export function logReadOverrun(logger: Logger, {plan, predicted, took, allowedOverrun}: OverrunReport): void {
	logger.info({
		event: 'read_overran',
		request: plan.request.requestId,
		service: plan.request.service,
		promptTokens: plan.request.promptTokens,
		server: plan.server,
		helpers: plan.helpers.length,
		predicted: Math.round(predicted),
		took: Math.round(took),
		allowedOverrun: Math.round(allowedOverrun * 100) / 100,
	}, 'reading a long prompt took longer than planned');
}

/** Logs a server that is put into backoff, with the node whose attempt failed. */
export function logBackoff(logger: Logger, {server, trouble, node, backoff}: BackoffReport): void {
	logger.info({
		event: 'server_backoff', server, trouble, node, backoff: Math.round(backoff),
	}, 'a backend server gets no requests for a time');
}
