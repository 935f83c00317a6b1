/** Applies the events of plans that this node runs, and sends them to the scheduling node in batches. */
import type {Clock, Logger, ServiceName} from '../../common/index.js';
import type {Plan, PlanEvent, Planner} from '../../planning/index.js';
import type {Peer} from '../peers/heartbeat.js';
import {logBackoff, logReadOverrun} from './decision-log.js';
import type {PlanUpdateSender} from './plan-update-sender.js';
import type {ServicePlans, ServicePlansRegistry} from './service-plans.js';

/** Time for which plan events are batched, in milliseconds. */
const eventBatchDelay = 8;

/** Dependencies of the reporter. */
export type PlanEventReporterParts = {
	clock: Clock;
	logger: Logger;
	services: ServicePlansRegistry;
	updates: PlanUpdateSender;
	self: () => Peer;
};

/** Events of the plans of all services. */
export class PlanEventReporter {
	readonly #parts: PlanEventReporterParts;

	constructor(parts: PlanEventReporterParts) {
		this.#parts = parts;
	}

	/** Applies an event of a plan that this node runs, and reports it to the other nodes that need it. */
	report(plan: Plan, event: PlanEvent): void {
		const {service} = plan.request;
		const plans = this.#parts.services.findPlans(service);
		const survival = event.kind === 'ended' && event.wasAnswered === true ? plans.crashes.createSurvival(plan) : undefined;
		this.apply(plans.planner, event);
		if (event.kind === 'ended') {
			plans.ownPlans.delete(plan.planId);
		}

		this.#queueEvent(service, plans, event);
		if (event.kind === 'server_ended') {
			plans.crashes.replicateOwn(event);
		} else if (survival !== undefined) {
			this.#queueEvent(service, plans, survival.event);
			this.#parts.updates.sendToSuccessors(service, survival.isKnownToAll, {notes: [survival.event]});
		}
	}

	/** Applies an event of any node to a planner. */
	apply(planner: Planner, event: PlanEvent): void {
		const report = planner.recordEvent(event, this.#parts.clock.readMonotonic());
		if (report === undefined) {
			return;
		}

		if ('backoff' in report) {
			logBackoff(this.#parts.logger, report);
		} else {
			logReadOverrun(this.#parts.logger, report);
		}
	}

	#queueEvent(service: ServiceName, plans: ServicePlans, event: PlanEvent): void {
		if (plans.scheduler !== undefined && plans.scheduler.name !== this.#parts.self().name) {
			plans.pendingEvents.push(event);
			plans.eventTimer ??= this.#parts.clock.setTimer(eventBatchDelay, () => {
				this.#sendEvents(service, plans);
			});
		}
	}

	#sendEvents(service: ServiceName, plans: ServicePlans): void {
		const {pendingEvents} = plans;
		plans.pendingEvents = [];
		plans.eventTimer = undefined;
		this.#parts.updates.sendToNode(plans.scheduler?.name, service, {notes: pendingEvents});
	}
}
