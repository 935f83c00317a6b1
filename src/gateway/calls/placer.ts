/** Source of plans: the scheduling node's planner, or this node's own when that one does not answer. */
import type {Either} from 'purify-ts';
import type {BackendServerId, Failure, ServiceName} from '../../common/index.js';
import type {
	Plan, PlanEvent, PlanRequest, RetryRequest,
} from '../../planning/index.js';
import type {ServerNotice} from './server-notice.js';

/** A plan and which planner made it. */
export type Placement = {
	plan: Plan;
	/** Whether the planner of the scheduling node made it, or the one of this node. */
	decidedBy: 'planner' | 'self' | 'fallback';
};

/** A placement, or the delay in milliseconds before the next ask. */
export type PlacementAnswer = Placement | {askAgainIn: number};

/** Assigns requests to backend servers. */
export abstract class Placer {
	/** Requests a placement. */
	abstract place(request: PlanRequest): Promise<Either<Failure, PlacementAnswer>>;

	/** Takes one retry from the fleet's budget; false when none is left. */
	abstract takeRetry(request: RetryRequest): Promise<boolean>;

	/** Records what a server has stated about itself in an answer. */
	abstract recordNotice(service: ServiceName, server: BackendServerId, notice: ServerNotice): void;

	/** Whether a server has asked this node for rest, which has not ended. */
	abstract isResting(service: ServiceName, server: BackendServerId): boolean;

	/** Reports the progress of a plan. */
	abstract report(plan: Plan, note: PlanEvent): void;
}
