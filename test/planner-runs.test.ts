/** Model runs of the planner: any order of asks, notes, deaths, changes of servers and takeovers; fast-check shrinks what fails. */
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {BackendServerId, BoxId, PlanId} from '../src/common/index.js';
import {Planner, type Plan, type Trouble} from '../src/planning/index.js';
import {
	createPlanRequest, createIds, createServers, engine, shortOptions,
} from './helpers/planning.js';

const seed = 20_261_203;

/** Kept after a request's time before its plan is forgotten unasked, and the age from which a plan its node does not know is, in milliseconds: as the planner states them. */
const planMargin = 1000;
const reconcileAge = 500;

const serverCount = 5;
const nodes = ['edge-1', 'edge-2'] as BoxId[];

/** A plan that is held, by what its planner was told. */
type HeldPlan = {plan: Plan; since: number; isLong: boolean};

/** What must be so: the plans in progress, and the servers that take work. */
class PlansModel {
	now = 0;
	readonly plans: HeldPlan[] = [];
	servers = new Set<BackendServerId>(createServers(serverCount).map(server => server.id));

	prune(): void {
		this.forget(({plan, since}) => since + plan.request.timeLeft + planMargin < this.now);
	}

	forget(isOver: (held: HeldPlan) => boolean): void {
		const kept = this.plans.filter(held => !isOver(held));
		this.plans.splice(0, this.plans.length, ...kept);
	}

	pick(index: number): HeldPlan | undefined {
		return this.plans[index % Math.max(1, this.plans.length)];
	}
}

/** The planner that decides at the moment. */
class Deciding {
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

/** Memory that long prompts hold at each server. */
function sumHeld(plans: HeldPlan[]): Map<BackendServerId, number> {
	const held = new Map<BackendServerId, number>();
	for (const {plan, isLong} of plans) {
		const parts = isLong ? [{server: plan.server, heldTokens: plan.ownTokens}, ...plan.helpers] : [];
		for (const {server, heldTokens} of parts) {
			held.set(server, (held.get(server) ?? 0) + heldTokens);
		}
	}

	return held;
}

function checkCounts(model: PlansModel, {planner}: Deciding): void {
	expect(planner.planCount).toBe(model.plans.length);
	expect(planner.shortCount).toBe(model.plans.filter(held => !held.isLong).length);
}

/** A step of a run; `act` does it to both. */
class PlanStep implements fc.Command<PlansModel, Deciding> {
	constructor(readonly name: string, readonly words: unknown, readonly act: (model: PlansModel, real: Deciding) => void) {}

	check(): boolean {
		return true;
	}

	run(model: PlansModel, real: Deciding): void {
		this.act(model, real);
		checkCounts(model, real);
	}

	toString(): string {
		return `${this.name} ${JSON.stringify(this.words)}`;
	}
}

type AskWords = {isLong: boolean; tokens: number; node: number; patience: number; excluded: readonly number[]};

function decide(words: AskWords): PlanStep {
	return new PlanStep('ask', words, (model, {planner}) => {
		const excluded = words.excluded.map(index => createServers(serverCount)[index].id);
		const promptTokens = words.isLong ? words.tokens * 20 : words.tokens;
		const decided = planner.decide(createPlanRequest(promptTokens, {
			...(words.isLong ? {} : shortOptions), node: nodes[words.node], patience: words.patience, timeLeft: words.patience, excluded,
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
			model.plans.push({plan, since: model.now, isLong: words.isLong});
			if (words.isLong) {
				const held = sumHeld(model.plans);
				expect(used.filter(server => held.get(server)! > engine.memoryTokens)).toEqual([]);
			}
		});
	});
}

function note(kind: 'started' | 'ended', index: number): PlanStep {
	return new PlanStep(kind, index, (model, {planner}) => {
		const held = model.pick(index);
		planner.recordEvent({planId: held?.plan.planId ?? 'never made' as PlanId, kind}, model.now);
		if (kind === 'ended') {
			model.forget(each => each === held);
		}
	});
}

function fail(index: number, trouble: Trouble): PlanStep {
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

/** Servers leave, are overwritten, and come back; what runs there goes on. */
function setServers(mask: number): PlanStep {
	return new PlanStep('servers', mask, (model, {planner}) => {
		const servers = createServers(serverCount).filter((_, index) => Math.floor(mask / (2 ** index)) % 2 === 1);
		model.servers = new Set(servers.map(server => server.id));
		planner.setServers(servers, engine);
	});
}

function killNode(index: number): PlanStep {
	return new PlanStep('node died', index, (model, {planner}) => {
		planner.releaseNode(nodes[index], model.now);
		model.forget(({plan}) => plan.request.node === nodes[index]);
	});
}

function reconcile(index: number, known: number): PlanStep {
	return new PlanStep('node tells its plans', [index, known], (model, {planner}) => {
		const active = new Set(model.plans.filter((_, place) => place % known !== 0).map(({plan}) => plan.planId));
		const isLost = ({plan, since}: HeldPlan) => plan.request.node === nodes[index] && !active.has(plan.planId) && since < model.now - reconcileAge;
		const lost = model.plans.filter(held => isLost(held)).length;
		expect(planner.reconcile(nodes[index], active, model.now)).toBe(lost);
		model.forget(isLost);
	});
}

/** Another node decides from now on: it is told of the plans, some of them twice. */
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
	}).map(words => decide(words)),
	fc.record({
		isLong: fc.constant(true), tokens: fc.integer({min: 5000, max: 30_000}), node: fc.nat(1), patience: fc.constant(60_000), excluded: fc.constant([]),
	}).map(words => decide(words)),
	fc.nat(20).map(index => note('started', index)),
	fc.nat(20).map(index => note('ended', index)),
	fc.tuple(fc.nat(20), troubles).map(([index, trouble]) => fail(index, trouble)),
	fc.integer({min: 1, max: (2 ** serverCount) - 1}).map(mask => setServers(mask)),
	fc.nat(1).map(index => killNode(index)),
	fc.tuple(fc.nat(1), fc.integer({min: 1, max: 3})).map(([index, known]) => reconcile(index, known)),
	fc.constant(undefined).map(() => takeOver()),
	fc.integer({min: 1, max: 4000}).map(milliseconds => wait(milliseconds)),
];

test('whatever is asked, told and lost, a planner holds just the plans in progress, at servers that take work, within their memory', () => {
	fc.assert(fc.property(fc.commands(steps, {maxCommands: 80, size: '+1'}), commands => {
		fc.modelRun(() => ({model: new PlansModel(), real: new Deciding()}), commands);
	}), {seed, numRuns: 300});
});
