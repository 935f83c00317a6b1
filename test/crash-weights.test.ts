import {expect, test} from '@jest/globals';
import type {BackendServerId, RequestFingerprint} from '../src/common/index.js';
import type {Plan, Planner} from '../src/planning/index.js';
import {
	createPlanRequest, createPlanner, createServers, engine, planNow, shortOptions,
} from './helpers/planning.js';

const fingerprint = 'fingerprint-a' as RequestFingerprint;

/** Places a request once on each of some servers, as its callers retry it before the first attempt has ended. */
function placeOnServers(planner: Planner, count: number): Plan[] {
	const plans: Plan[] = [];
	for (let index = 0; index < count; index++) {
		plans.push(planNow(planner, createPlanRequest(500, {
			...shortOptions, fingerprint, requestId: `r-${index}` as Plan['request']['requestId'], excluded: plans.map(plan => plan.server),
		}), index));
	}

	return plans;
}

/** Reports a crash of the server of a plan. */
function reportCrash(planner: Planner, {planId, server}: Plan, now: number): void {
	planner.recordEvent({
		planId, kind: 'server_ended', server, fingerprint,
	}, now);
}

/** Removes servers from the list. */
function removeServers(planner: Planner, gone: BackendServerId[]): void {
	planner.setServers(createServers(18).filter(({id}) => !gone.includes(id)), engine);
}

// A crash weighed less than nothing when attempts of the request were left at more crashed servers than there are others.
test('attempts at crashed servers do not excuse a request', () => {
	const planner = createPlanner();
	const plans = placeOnServers(planner, 12);
	removeServers(planner, plans.map(({server}) => server));
	for (const [index, plan] of plans.slice(0, 4).entries()) {
		reportCrash(planner, plan, 1000 * (index + 1));
	}

	expect(planner.classifyTraits([fingerprint], 5000).kind).toBe('rejected');
});

test('attempts at servers that have crashed and are still listed do not excuse a request', () => {
	const planner = createPlanner();
	for (const [index, plan] of placeOnServers(planner, 18).entries()) {
		reportCrash(planner, plan, 1000 + (index * 300));
	}

	expect(planner.classifyTraits([fingerprint], 8000).kind).toBe('rejected');
});

test('attempts at sound servers excuse a request', () => {
	const planner = createPlanner();
	for (const [index, plan] of placeOnServers(planner, 17).slice(0, 4).entries()) {
		reportCrash(planner, plan, 1000 + (index * 300));
	}

	expect(planner.classifyTraits([fingerprint], 3000).kind).toBe('suspect');
});
