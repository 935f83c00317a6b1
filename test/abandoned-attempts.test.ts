import {expect, test} from '@jest/globals';
import type {BackendServerId, CrashTrait, RequestFingerprint} from '../src/common/index.js';
import type {Plan, Planner} from '../src/planning/index.js';
import {
	createPlanRequest, createPlanner, createServers, engine, planNow, shortOptions,
} from './helpers/planning.js';

const fingerprint = 'fingerprint-a' as RequestFingerprint;

/** Places a request and stops its attempt. */
function abandonAttempt(planner: Planner, now: number, isUnanswered = true): Plan {
	const plan = planNow(planner, createPlanRequest(500, {...shortOptions, fingerprint}), now);
	planner.recordEvent({planId: plan.planId, kind: 'ended', isUnanswered}, now + 50);
	return plan;
}

function reportCrash(planner: Planner, server: BackendServerId, now: number): CrashTrait[] {
	planner.recordEvent({
		planId: 'plan-other' as Plan['planId'], kind: 'server_ended', server, fingerprint: 'fingerprint-other' as RequestFingerprint,
	}, now);
	return planner.attributeCrash(server, now, 1000);
}

test('counts a crash for a request that was stopped shortly before it', () => {
	const planner = createPlanner();
	for (const start of [0, 10_000, 20_000]) {
		const {server} = abandonAttempt(planner, start);
		expect(reportCrash(planner, server, start + 200)).toEqual([fingerprint]);
		planner.setServers(createServers(18).filter(({id}) => id !== server), engine);
	}

	expect(planner.classifyTraits([fingerprint], 21_000).kind).toBe('rejected');
});

test('counts an expired entry for a request that was stopped up to five seconds before', () => {
	const planner = createPlanner();
	const {server} = abandonAttempt(planner, 0);
	expect(planner.listAbandonedServers()).toEqual([server]);
	expect(planner.attributeCrash(server, 4000)).toEqual([fingerprint]);
	expect(planner.listAbandonedServers()).toEqual([]);
});

test('counts no crash for a request that was stopped long before it or was not sent', () => {
	const planner = createPlanner();
	const {server} = abandonAttempt(planner, 0);
	expect(reportCrash(planner, server, 1500)).toEqual([]);
	abandonAttempt(planner, 10_000, false);
	expect(planner.classifyTraits([fingerprint], 11_000)).toEqual({kind: 'clean', crashes: 0});
});

test('counts no crash for a request whose server is leaving', () => {
	const planner = createPlanner();
	const plan = planNow(planner, createPlanRequest(500, {...shortOptions, fingerprint}), 0);
	planner.setServers(createServers(18).filter(({id}) => id !== plan.server), engine);
	planner.recordEvent({planId: plan.planId, kind: 'ended', isUnanswered: true}, 50);
	expect(planner.listAbandonedServers()).toEqual([]);
});

test('counts an expired entry for a request whose node was killed', () => {
	const planner = createPlanner();
	const {server, request} = planNow(planner, createPlanRequest(500, {...shortOptions, fingerprint}), 0);
	planner.releaseNode(request.node, 1300);
	expect(planner.attributeCrash(server, 2500)).toEqual([fingerprint]);
});
