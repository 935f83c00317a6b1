/** What a node's parts for one service have in common. */
import type {Clock, Logger, ServiceName} from '../../common/index.js';
import type {Planner} from '../../planning/index.js';
import type {FleetState} from '../../routing/index.js';
import type {PlanUpdateSender} from './plan-update-sender.js';

/** What a part of one service needs. */
export type ServiceParts = {
	service: ServiceName;
	planner: Planner;
	clock: Clock;
	logger: Logger;
	state: FleetState;
	updates: PlanUpdateSender;
};
