/**
 * Measures the time of one scheduling decision on the routed path, for a short and a long prompt and by number of
 * servers, with two running requests per server; without and with shares of 24 organisations.
 *
 * Reference (p50, two runs on eight cores, another benchmark running): short 0.013, 0.025 to 0.043 and 0.154 to 0.179 ms
 * at 60, 150 and 600 servers, long 0.28 to 0.40, 0.50 to 0.55 and 0.39 to 0.43 ms.
 */
import process from 'node:process';
import {performance} from 'node:perf_hooks';
import {quantile} from 'simple-statistics';
import type {
	AvailabilityZone, BackendServerId, BackendServerName, BoxId, OrganisationId, RequestId, ServiceName,
} from '../src/common/index.js';
import {Planner, type PlanRequest} from '../src/planning/index.js';
import {createCountingIds} from '../src/replay/counting-ids.js';
import {workloads} from '../src/replay/routed/index.js';

const service = 'model' as ServiceName;
const rounds = 400;
const warmupRounds = 200;
const organisations = 24;

function main(): void {
	const {engine} = workloads.find(workload => workload.name === 'large')!;
	for (const [count, sharesMemory] of [60, 150, 600].flatMap(servers => [[servers, undefined], [servers, 3000]] as const)) {
		const planner = new Planner({ids: createCountingIds(), engine, sharesMemory});
		planner.setServers(Array.from({length: count}, (_, index) => ({
			id: `i-${String(index).padStart(4, '0')}` as BackendServerId,
			name: `i-${String(index).padStart(4, '0')}` as BackendServerName,
			entryRevision: 1,
			service,
			address: `10.0.0.1:${index}`,
			availabilityZone: 'a' as AvailabilityZone,
			slots: engine.slots,
			isLeaving: false,
		})), engine);
		for (let index = 0; index < count * 2; index++) {
			planner.decide(describeRequest(5000, `held-${index}`), index);
		}

		const now = count * 2;
		const short = timeDecisions(planner, 5000, now);
		const long = timeDecisions(planner, 220_000, now + rounds + warmupRounds);
		process.stdout.write(`${count} servers${sharesMemory === undefined ? '' : ' with shares'}: short ${formatTimes(short)}, long ${formatTimes(long)}\n`);
	}
}

/** Times one decision per simulated millisecond, and ends each plan immediately; returns milliseconds. */
function timeDecisions(planner: Planner, promptTokens: number, from: number): number[] {
	return Array.from({length: rounds + warmupRounds}, (_, index) => {
		const now = from + index;
		const request = describeRequest(promptTokens, `asked-${now}`);
		const started = performance.now();
		const decided = planner.decide(request, now);
		const elapsed = performance.now() - started;
		decided.ifRight(decision => {
			if (decision.kind === 'plan') {
				planner.recordEvent({planId: decision.plan.planId, kind: 'ended'}, now);
			}
		});
		return elapsed;
	}).slice(warmupRounds);
}

function describeRequest(promptTokens: number, id: string): PlanRequest {
	return {
		requestId: id as RequestId,
		organisation: `organisation-${Number(id.split('-')[1]) % organisations}` as OrganisationId,
		service,
		node: 'entry' as BoxId,
		promptTokens,
		outputTokens: 1600,
		waited: 0,
		objective: promptTokens > 10_000 ? 4000 : 409,
		patience: 10_000,
		timeLeft: 15_000,
		longestPause: promptTokens > 10_000 ? 1200 : 300,
		excluded: [],
	};
}

function formatTimes(times: number[]): string {
	return `p50 ${quantile(times, 0.5).toFixed(3)} ms, p99 ${quantile(times, 0.99).toFixed(3)} ms`;
}

main();
