/** Dependencies shared by the classes that handle one service. */
import type {Clock, Logger, ServiceName} from '../../common/index.js';
import type {Planner} from '../../planning/index.js';
import type {FleetState} from '../../routing/index.js';
import type {PlanUpdateSender} from './plan-update-sender.js';

/** Dependencies of a class that handles one service. */
export type ServiceParts = {
	service: ServiceName;
	planner: Planner;
	clock: Clock;
	logger: Logger;
	state: FleetState;
	updates: PlanUpdateSender;
};
