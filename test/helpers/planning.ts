/** Creates planners and requests for tests. */
import type {
	AvailabilityZone, BackendServerId, BackendServerName, BoxId, IdSource, RequestId, ServiceName,
} from '../../src/common/index.js';
import {
	Planner, type Decision, type Plan, type PlanRequest,
} from '../../src/planning/index.js';
import type {BackendServer, EngineProfile} from '../../src/routing/index.js';

/** Performance figures of a model server. */
export const engine: EngineProfile = {
	slots: 11,
	memoryTokens: 315_000,
	stepTime: 0.85,
	stepTimePerWriter: 0.006,
	stepTimePerThousandContext: 0.002_85,
	readRate: 177,
	timePerMillionPairs: 0.184,
	stepsPerPass: 51,
};

/** Creates ids by counting. */
export function createIds(): IdSource {
	let count = 0;
	return {createUuid: () => `plan-${++count}`};
}

/** Creates identical servers. */
export function createServers(count: number): BackendServer[] {
	return Array.from({length: count}, (_, index) => ({
		id: `i-${String(index).padStart(3, '0')}` as BackendServerId,
		name: `i-${String(index).padStart(3, '0')}` as BackendServerName,
		entryRevision: 1,
		service: 'model' as ServiceName,
		address: `10.0.0.${index}:80`,
		availabilityZone: 'a' as AvailabilityZone,
		slots: 11,
		isLeaving: false,
	}));
}

/** Creates a planner with identical servers. */
export function createPlanner(count = 18): Planner {
	const planner = new Planner({ids: createIds(), engine});
	planner.setServers(createServers(count), engine);
	return planner;
}

let requestCount = 0;

/** Creates a request for a long prompt, with changes. */
export function createPlanRequest(promptTokens: number, changes: Partial<PlanRequest> = {}): PlanRequest {
	return {
		requestId: `r-${++requestCount}` as RequestId,
		service: 'model' as ServiceName,
		node: 'edge-1' as BoxId,
		promptTokens,
		outputTokens: 1600,
		waited: 0,
		objective: 3000,
		patience: 15_000,
		timeLeft: changes.patience ?? 15_000,
		longestPause: 1000,
		excluded: [],
		...changes,
	};
}

/** Changes that make it a short request. */
export const shortOptions = {objective: 300, patience: 10_000, longestPause: 250};

/** The plan of a decision; throws on a wait. */
export function expectPlan(decision: Decision): Plan {
	if (decision.kind !== 'plan') {
		throw new Error(`expected a plan, got a wait for ${decision.reason}`);
	}

	return decision.plan;
}

/** Decides for a request and returns its plan; throws on a wait. */
export function planNow(planner: Planner, request: PlanRequest, now = 0): Plan {
	return expectPlan(planner.decide(request, now).unsafeCoerce());
}
