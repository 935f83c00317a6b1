/** Simulates a plain service on virtual time whose servers fail a share of their answers. */
import type {BackendServerId, RequestFingerprint} from '../../src/common/index.js';
import {Planner, type PlanRequest} from '../../src/planning/index.js';
import {createIds, createPlanRequest, createServers} from './planning.js';

/** A simulated service: shares from 0 to 1, times in milliseconds. */
export type FailingServiceOptions = {
	servers: number;
	/** Requests per second. */
	rate: number;
	duration: number;
	seed: number;
	/** Share of failed answers of a server at a time; `index` is its place in the order of names. */
	findFailureShare: (index: number, now: number) => number;
	/** Working time of a server's good answers; 100 ms by default. */
	findWorkTime?: (index: number) => number;
	canRepeat?: boolean;
};

/** What came of the requests. */
export type FailingServiceOutcome = {
	requests: number;
	answered: number;
	sends: number;
	/** Times of the sends to each server. */
	sentAt: number[][];
	/** Share of the decisions, summed over servers, during which each server was avoided. */
	avoided: number[];
};

/** Time that a failed answer takes, in milliseconds. */
const failureTime = 2;

const slots = 6;

/** Runs the service; each request has two attempts. */
export function runFailingService(options: FailingServiceOptions): FailingServiceOutcome {
	const {servers: count, rate, duration, findFailureShare, findWorkTime = () => 100, canRepeat = true} = options;
	const servers = createServers(count).map(server => ({...server, slots}));
	const planner = new Planner({ids: createIds()});
	planner.setServers(servers, undefined);
	const random = createRandom(options.seed);
	const outcome: FailingServiceOutcome = {
		requests: 0, answered: 0, sends: 0, sentAt: servers.map(() => []), avoided: servers.map(() => 0),
	};
	const queue: Array<{at: number; run: () => void}> = [];
	const schedule = (at: number, run: () => void) => {
		const index = queue.findIndex(other => other.at > at);
		queue.splice(index === -1 ? queue.length : index, 0, {at, run});
	};

	const send = (request: PlanRequest, now: number) => {
		const decision = planner.decide(request, now).unsafeCoerce();
		if (decision.kind !== 'plan') {
			throw new Error('plain requests do not wait');
		}

		const {planId, server} = decision.plan;
		const index = servers.findIndex(({id}) => id === server);
		outcome.sends++;
		outcome.sentAt[index].push(now);
		const isFailed = random() < findFailureShare(index, now);
		const end = now + (isFailed ? failureTime : findWorkTime(index) * (0.5 + random()));
		schedule(end, () => {
			if (isFailed) {
				planner.recordEvent({
					planId, kind: 'failed', server, trouble: 'spoiled',
				}, end);
			} else {
				planner.recordEvent({planId, kind: 'started'}, end);
			}

			planner.recordEvent({planId, kind: 'ended', wasAnswered: true}, end);
			outcome.answered += isFailed ? 0 : 1;
			if (isFailed && request.excluded.length === 0 && canRepeat) {
				const excluded: BackendServerId[] = [server];
				send({...request, excluded, failedAt: excluded}, end);
			}
		});
	};

	for (let now = 0; now < duration; now += 1000 / rate * 2 * random()) {
		while (queue.length > 0 && queue[0].at <= now) {
			queue.shift()!.run();
		}

		const number = ++outcome.requests;
		send(createPlanRequest(0, {fingerprint: `f-${options.seed}-${number}` as RequestFingerprint, canRepeat}), now);
		for (const {server, isDoubtful} of planner.describeServers(now, count)) {
			outcome.avoided[servers.findIndex(({id}) => id === server)] += isDoubtful ? 1 : 0;
		}
	}

	while (queue.length > 0) {
		queue.shift()!.run();
	}

	outcome.avoided = outcome.avoided.map(decisions => decisions / outcome.requests);
	return outcome;
}

function createRandom(seed: number): () => number {
	let state = (seed * 7919) + 12_345;
	return () => {
		state = (state * 48_271) % 2_147_483_647;
		return state / 2_147_483_647;
	};
}
