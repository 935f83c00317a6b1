/** Writes down what was decided for a request, and from what. */
import type {Either} from 'purify-ts';
import type {Failure, Logger} from '../../common/index.js';
import type {Decision, OverrunReport, PlanRequest} from '../../planning/index.js';

/** What a decision was made from, besides the request. */
export type DecisionInputs = {
	/** Plans in progress. */
	inProgress: number;
	configVersion: number;
	serversRevision: number;
	/** Nodes whose plans this one sees, and those that it knows of. */
	seen: number;
	known: number;
};

/** Logs a place, a wait or a refusal. */
export function logDecision(logger: Logger, request: PlanRequest, decided: Either<Failure, Decision>, inputs: DecisionInputs): void {
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
	};
	decided.caseOf({
		Left(failure) {
			logger.info({
				event: 'refused', ...fields, kind: failure.kind, reason: failure.message,
			}, 'no place for a request');
		},
		Right(decision) {
			if (decision.kind === 'wait') {
				// A request that waits asks several times a second: its first wait is worth a line at the usual level.
				const level = request.waited === 0 ? 'info' : 'debug';
				logger[level]({
					event: 'waits', ...fields, reason: decision.reason, askAgainIn: Math.round(decision.askAgainIn),
				}, 'a long prompt waits for its turn');
				return;
			}

			const {plan} = decision;
			logger.info({
				event: 'placed',
				...fields,
				objective: Math.round(plan.request.objective),
				server: plan.server,
				helpers: plan.helpers.length,
				readers: plan.helpers.length === 0 ? undefined : [plan.server, ...plan.helpers.map(helper => helper.server)],
				startIn: Math.round(plan.startIn),
				expectedFirst: Math.round(plan.expectedFirst),
				plannedPause: plan.pause === undefined ? undefined : Math.round(plan.pause.length),
				bearablePause: plan.pause === undefined ? undefined : Math.round(plan.pause.bearable),
			}, 'a request has its place');
		},
	});
}

/** Logs a read that took longer than was planned with: those who write at its servers were silent for longer, too. */
export function logReadOverrun(logger: Logger, {plan, predicted, took, allowedOverrun: overrun}: OverrunReport): void {
	logger.info({
		event: 'read_overran',
		request: plan.request.requestId,
		service: plan.request.service,
		promptTokens: plan.request.promptTokens,
		server: plan.server,
		helpers: plan.helpers.length,
		predicted: Math.round(predicted),
		took: Math.round(took),
		allowedOverrun: Math.round(overrun * 100) / 100,
	}, 'a long prompt was read for longer than was planned with');
}
