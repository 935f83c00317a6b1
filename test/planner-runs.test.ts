/** Model-based tests of the planner with random sequences of requests, events, node failures, server changes and takeovers. */
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {BackendServerId, BoxId, PlanId} from '../src/common/index.js';
import {Planner, type Plan, type Trouble} from '../src/planning/index.js';
import {
	createPlanRequest, createIds, createServers, engine, shortOptions,
} from './helpers/planning.js';

const seed = 20_261_203;

/** The planner's grace period after a request's deadline, and its minimum age for reconciling a plan, in milliseconds. */
const planMargin = 1000;
const reconcileAge = 500;

const serverCount = 5;
const nodes = ['edge-1', 'edge-2'] as BoxId[];

/** A plan in progress, according to the events sent to the planner. */
type ModelledPlan = {plan: Plan; since: number; isLong: boolean};

/** The expected state: the plans in progress, and the servers that accept work. */
class PlansModel {
	now = 0;
	readonly plans: ModelledPlan[] = [];
	servers = new Set<BackendServerId>(createServers(serverCount).map(server => server.id));

	prune(): void {
		this.remove(({plan, since}) => since + plan.request.timeLeft + planMargin < this.now);
	}

	remove(isOver: (held: ModelledPlan) => boolean): void {
		const kept = this.plans.filter(held => !isOver(held));
		this.plans.splice(0, this.plans.length, ...kept);
	}

	pick(index: number): ModelledPlan | undefined {
		return this.plans[index % Math.max(1, this.plans.length)];
	}
}

/** The current planner. */
class SchedulingNode {
	planner: Planner;
	readonly #ids = createIds();

	constructor() {
		this.planner = this.create();
	}

	create(): Planner {
		const planner = new Planner({ids: this.#ids, engine});
		planner.setServers(createServers(serverCount), engine);
		return planner;
	}
}

/** Sums the memory that long prompts occupy on each server. */
function sumMemory(plans: ModelledPlan[]): Map<BackendServerId, number> {
	const held = new Map<BackendServerId, number>();
	for (const {plan, isLong} of plans) {
		const parts = isLong ? [{server: plan.server, heldTokens: plan.ownTokens}, ...plan.helpers] : [];
		for (const {server, heldTokens} of parts) {
			held.set(server, (held.get(server) ?? 0) + heldTokens);
		}
	}

	return held;
}

function checkCounts(model: PlansModel, {planner}: SchedulingNode): void {
	expect(planner.planCount).toBe(model.plans.length);
	expect(planner.shortCount).toBe(model.plans.filter(held => !held.isLong).length);
}

/** A step of a run; `apply` applies it to the model and the planner. */
class PlanStep implements fc.Command<PlansModel, SchedulingNode> {
	constructor(readonly name: string, readonly args: unknown, readonly apply: (model: PlansModel, real: SchedulingNode) => void) {}

	check(): boolean {
		return true;
	}

	run(model: PlansModel, real: SchedulingNode): void {
		this.apply(model, real);
		checkCounts(model, real);
	}

	toString(): string {
		return `${this.name} ${JSON.stringify(this.args)}`;
	}
}

type DecideArgs = {isLong: boolean; tokens: number; node: number; patience: number; excluded: readonly number[]};

function decide(args: DecideArgs): PlanStep {
	return new PlanStep('decide', args, (model, {planner}) => {
		const excluded = args.excluded.map(index => createServers(serverCount)[index].id);
		const promptTokens = args.isLong ? args.tokens * 20 : args.tokens;
		const decided = planner.decide(createPlanRequest(promptTokens, {
			...(args.isLong ? {} : shortOptions), node: nodes[args.node], patience: args.patience, timeLeft: args.patience, excluded,
		}), model.now);
		model.prune();
		decided.ifRight(decision => {
			if (decision.kind === 'wait') {
				expect(decision.askAgainIn).toBeGreaterThan(0);
				return;
			}

			const {plan} = decision;
			const used = [plan.server, ...plan.helpers.map(helper => helper.server)];
			expect(new Set(used).size).toBe(used.length);
			expect(used.filter(server => !model.servers.has(server) || excluded.includes(server))).toEqual([]);
			expect([plan.startIn, plan.expectedFirst, plan.ownTokens].every(number => Number.isFinite(number) && number >= 0)).toBe(true);
			model.plans.push({plan, since: model.now, isLong: args.isLong});
			if (args.isLong) {
				const held = sumMemory(model.plans);
				expect(used.filter(server => held.get(server)! > engine.memoryTokens)).toEqual([]);
			}
		});
	});
}

function recordEvent(kind: 'started' | 'ended', index: number): PlanStep {
	return new PlanStep(kind, index, (model, {planner}) => {
		const held = model.pick(index);
		planner.recordEvent({planId: held?.plan.planId ?? 'never made' as PlanId, kind}, model.now);
		if (kind === 'ended') {
			model.remove(other => other === held);
		}
	});
}

function reportFailure(index: number, trouble: Trouble): PlanStep {
	return new PlanStep('failed', [index, trouble], (model, {planner}) => {
		const held = model.pick(index);
		if (held !== undefined) {
			const {planId, server} = held.plan;
			planner.recordEvent({
				planId, kind: 'failed', server, trouble,
			}, model.now);
		}
	});
}

/** Servers leave, are overwritten, and return; their plans continue. */
function setServers(mask: number): PlanStep {
	return new PlanStep('servers', mask, (model, {planner}) => {
		const servers = createServers(serverCount).filter((_, index) => Math.floor(mask / (2 ** index)) % 2 === 1);
		model.servers = new Set(servers.map(server => server.id));
		planner.setServers(servers, engine);
	});
}

function killNode(index: number): PlanStep {
	return new PlanStep('node failed', index, (model, {planner}) => {
		planner.releaseNode(nodes[index], model.now);
		model.remove(({plan}) => plan.request.node === nodes[index]);
	});
}

function reconcile(index: number, known: number): PlanStep {
	return new PlanStep('reconcile', [index, known], (model, {planner}) => {
		const active = new Set(model.plans.filter((_, place) => place % known !== 0).map(({plan}) => plan.planId));
		const isLost = ({plan, since}: ModelledPlan) => plan.request.node === nodes[index] && !active.has(plan.planId) && since < model.now - reconcileAge;
		const lost = model.plans.filter(held => isLost(held)).length;
		expect(planner.reconcile(nodes[index], active, model.now)).toBe(lost);
		model.remove(isLost);
	});
}

/** Another node starts scheduling and adopts the plans, some of them twice. */
function takeOver(): PlanStep {
	return new PlanStep('takeover', undefined, (model, real) => {
		const planner = real.create();
		planner.setServers(createServers(serverCount).filter(server => model.servers.has(server.id)), engine);
		const plans = model.plans.map(({plan}) => plan);
		planner.adopt(plans, model.now);
		planner.adopt(plans.slice(0, 2), model.now);
		for (const held of model.plans) {
			held.since = model.now;
		}

		real.planner = planner;
	});
}

function wait(milliseconds: number): PlanStep {
	return new PlanStep('wait', milliseconds, (model, {planner}) => {
		model.now += milliseconds;
		planner.prune(model.now);
		model.prune();
	});
}

const troubles = fc.constantFrom<Trouble>('full', 'unreached', 'silent', 'spoiled');

const steps = [
	fc.record({
		isLong: fc.boolean(), tokens: fc.integer({min: 1300, max: 20_000}), node: fc.nat(1), patience: fc.integer({min: 500, max: 30_000}), excluded: fc.array(fc.nat(serverCount - 1), {maxLength: 2}),
	}).map(args => decide(args)),
	fc.record({
		isLong: fc.constant(true), tokens: fc.integer({min: 5000, max: 30_000}), node: fc.nat(1), patience: fc.constant(60_000), excluded: fc.constant([]),
	}).map(args => decide(args)),
	fc.nat(20).map(index => recordEvent('started', index)),
	fc.nat(20).map(index => recordEvent('ended', index)),
	fc.tuple(fc.nat(20), troubles).map(([index, trouble]) => reportFailure(index, trouble)),
	fc.integer({min: 1, max: (2 ** serverCount) - 1}).map(mask => setServers(mask)),
	fc.nat(1).map(index => killNode(index)),
	fc.tuple(fc.nat(1), fc.integer({min: 1, max: 3})).map(([index, known]) => reconcile(index, known)),
	fc.constant(undefined).map(() => takeOver()),
	fc.integer({min: 1, max: 4000}).map(milliseconds => wait(milliseconds)),
];

test('for any sequence of events a planner holds exactly the plans in progress, on servers that accept work and within their memory', () => {
	fc.assert(fc.property(fc.commands(steps, {maxCommands: 80, size: '+1'}), commands => {
		fc.modelRun(() => ({model: new PlansModel(), real: new SchedulingNode()}), commands);
	}), {seed, numRuns: 300});
});
