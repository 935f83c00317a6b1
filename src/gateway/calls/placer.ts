/** Where plans come from: a planner that decides for all nodes, or this node's own when that one does not answer. */
import type {Either} from 'purify-ts';
import type {BackendServerId, Failure, ServiceName} from '../../common/index.js';
import type {
	Plan, PlanEvent, PlanRequest, RetryRequest,
} from '../../planning/index.js';

/** A plan, and who made it. */
export type Placement = {
	plan: Plan;
	/** Whether the planner of all nodes decided, or this node by its own view. */
	decidedBy: 'planner' | 'self' | 'fallback';
};

/** A place, or when to ask again. */
export type PlacementAnswer = Placement | {askAgainIn: number};

/** Gives requests their places. */
export abstract class Placer {
	/** Asks for a place. */
	abstract place(request: PlanRequest): Promise<Either<Failure, PlacementAnswer>>;

	/** Takes one retry out of the fleet's budget; false when none is left. */
	abstract takeRetry(request: RetryRequest): Promise<boolean>;

	/** Notes the request limit that a server's answer names, in requests a second; undefined when it names none. */
	abstract recordLimit(service: ServiceName, server: BackendServerId, requestsPerSecond: number | undefined): void;

	/** Tells how a plan goes on. */
	abstract report(plan: Plan, note: PlanEvent): void;
}
