/** Records what servers state about themselves in answers to this node, and reports to the scheduling node what it has to know. */
import type {
	BackendServerId, Clock, Logger, ServiceName,
} from '../../common/index.js';
import type {PlanRequest, RestingServer} from '../../planning/index.js';
import type {ServerNotice} from '../calls/server-notice.js';
import type {Peer} from '../peers/heartbeat.js';
import type {PlanUpdateSender} from './plan-update-sender.js';
import type {ServicePlansRegistry} from './service-plans.js';

/** Dependencies of the notices. */
export type ServerNoticesParts = {
	clock: Clock;
	logger: Logger;
	services: ServicePlansRegistry;
	updates: PlanUpdateSender;
	self: () => Peer;
};

/** Notices of the servers of all services. */
export class ServerNotices {
	readonly #parts: ServerNoticesParts;

	constructor(parts: ServerNoticesParts) {
		this.#parts = parts;
	}

	/** Records one statement of a server. */
	record(service: ServiceName, server: BackendServerId, notice: ServerNotice): void {
		switch (notice.kind) {
			case 'limit': {
				this.#recordLimit(service, server, notice.requestsPerSecond);
				break;
			}

			case 'cold': {
				this.#recordCold(service, server, notice.time);
				break;
			}

			case 'leaving': {
				this.#parts.services.findPlans(service).leaving.recordAnswer(server);
				break;
			}

			case 'rest': {
				this.#recordRest(service, {server, time: notice.time});
				break;
			}
		}
	}

	/** Whether a server has asked this node for rest, which has not ended. */
	isResting(service: ServiceName, server: BackendServerId): boolean {
		return this.#parts.services.findPlans(service).resting.computeRestLeft(server, this.#parts.clock.readMonotonic()) > 0;
	}

	/** Adds the leaving and resting servers known to this node: a request never goes to one of them, even if the scheduling node has not heard of it. */
	addTo(request: PlanRequest): PlanRequest {
		const plans = this.#parts.services.findPlans(request.service);
		const leaving = plans.leaving.list();
		const resting = plans.resting.list(this.#parts.clock.readMonotonic());
		return {...request, ...(leaving.length > 0 && {leaving}), ...(resting.length > 0 && {resting})};
	}

	#recordLimit(service: ServiceName, server: BackendServerId, requestsPerSecond: number | undefined): void {
		const {services, updates, self} = this.#parts;
		const plans = services.findPlans(service);
		const report = plans.limits.recordAnswer(server, requestsPerSecond, self().name);
		if (report !== undefined) {
			updates.sendToNode(plans.scheduler?.name, service, {limits: [report]});
		}
	}

	#recordCold(service: ServiceName, server: BackendServerId, time: number): void {
		const {services, updates} = this.#parts;
		const plans = services.findPlans(service);
		const report = plans.cold.recordAnswer(server, time);
		if (report !== undefined) {
			updates.sendToNode(plans.scheduler?.name, service, {cold: [report]});
		}
	}

	#recordRest(service: ServiceName, rest: RestingServer): void {
		const {clock, logger, services} = this.#parts;
		if (services.findPlans(service).resting.add(rest, clock.readMonotonic())) {
			logger.info({event: 'server_resting', service, ...rest}, 'a backend server asked this node to send it no requests for a while');
		}
	}
}
