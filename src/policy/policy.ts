/**
 * Compiles and evaluates policies: short CEL programs that set the weights, limits and order of a partner's requests.
 *
 * Programs are type-checked when applied. They have no loops and a bounded length and depth, so each evaluation
 * takes microseconds and one partner cannot slow down another. A run-time error is counted and yields the default.
 */
import {Environment, type ASTNode} from '@marcbachmann/cel-js';
import {Left, Right, type Either} from 'purify-ts';
import {readErrorMessage} from '../common/index.js';
import {
	programTypes, variableTypes, type PolicyContext, type PolicyTexts, type ProgramName,
} from './variables.js';

/** A compile error in a policy program. */
export type PolicyProblem = {
	program: string;
	line: number;
	column: number;
	mend: string;
};

/** Maximum length of a program, in characters. */
export const maxProgramLength = 1000;

/** Maximum nesting depth of a program. */
export const maxProgramDepth = 24;

/** Range that weights are clamped to. */
const weightRange = {min: 0.01, max: 100};

/** Functions that iterate over a list; they are rejected, so that evaluation time is bounded. */
const loopFunctions = new Set(['all', 'exists', 'exists_one', 'map', 'filter', 'sortBy', 'matches']);

const environment = createEnvironment();

type Program = (context: PolicyContext) => unknown;

/** The compiled programs of one partner. */
export class Policy {
	/** Number of run-time errors by program. */
	readonly failures = new Map<ProgramName, number>();
	readonly #programs: Partial<Record<ProgramName, Program>>;

	constructor(programs: Partial<Record<ProgramName, Program>>) {
		this.#programs = programs;
	}

	/** Returns the scheduling weight of the organisation among those of its partner. */
	evaluateWeight(context: PolicyContext): number {
		const weight = this.#evaluateNumber('weight', context, 1);
		return Math.min(weightRange.max, Math.max(weightRange.min, weight));
	}

	/** Returns the sort key of the request within its organisation; lower values are served first. */
	evaluateOrder(context: PolicyContext): number {
		return this.#evaluateNumber('order', context, 0);
	}

	/** Returns whether the request is admitted. */
	evaluateAdmit(context: PolicyContext): boolean {
		const value = this.#evaluate('admit', context);
		return typeof value === 'boolean' ? value : true;
	}

	/** Returns the maximum number of tokens the organisation may hold in the pool. */
	evaluateLimit(context: PolicyContext): number {
		return Math.max(0, this.#evaluateNumber('limit', context, Number.POSITIVE_INFINITY));
	}

	#evaluateNumber(name: ProgramName, context: PolicyContext, defaultValue: number): number {
		const value = this.#evaluate(name, context);
		if (value === undefined) {
			return defaultValue;
		}

		const number = Number(value);
		if (Number.isNaN(number)) {
			this.#countFailure(name);
			return defaultValue;
		}

		return number;
	}

	#evaluate(name: ProgramName, context: PolicyContext): unknown {
		const program = this.#programs[name];
		if (program === undefined) {
			return undefined;
		}

		try {
			return program(context);
		} catch {
			this.#countFailure(name);
			return undefined;
		}
	}

	#countFailure(name: ProgramName): void {
		this.failures.set(name, (this.failures.get(name) ?? 0) + 1);
	}
}

/** A policy without programs, which returns the defaults. */
export const defaultPolicy = new Policy({});

/** Type-checks and compiles the programs of a policy. */
export function compilePolicy(texts: PolicyTexts): Either<PolicyProblem[], Policy> {
	const programs: Partial<Record<ProgramName, Program>> = {};
	const problems: PolicyProblem[] = [];
	for (const [name, text] of Object.entries(texts)) {
		if (!(name in programTypes)) {
			problems.push({
				program: name, line: 1, column: 1, mend: `there is no such program; a policy has ${Object.keys(programTypes).join(', ')}`,
			});
			continue;
		}

		const compiled = compileProgram(name as ProgramName, text);
		if (compiled.isLeft()) {
			problems.push(compiled.extract());
		} else {
			programs[name as ProgramName] = compiled.extract() as Program;
		}
	}

	return problems.length > 0 ? Left(problems) : Right(new Policy(programs));
}

/** Formats a problem as one line of text. */
export function formatPolicyProblem(problem: PolicyProblem): string {
	return `${problem.program}, line ${problem.line}, column ${problem.column}: ${problem.mend}`;
}

function createEnvironment(): Environment {
	let result = new Environment({unlistedVariablesAreDyn: false});
	for (const [name, schema] of Object.entries(variableTypes)) {
		result = result.registerVariable(name, {schema});
	}

	return result;
}

function compileProgram(name: ProgramName, text: string): Either<PolicyProblem, Program> {
	const fail = (mend: string, position = 0): Either<PolicyProblem, Program> => Left({program: name, ...findPosition(text, position), mend});
	if (text.length > maxProgramLength) {
		return fail(`shorten the program to ${maxProgramLength} characters; it has ${text.length}`, maxProgramLength);
	}

	try {
		const parsed = environment.parse(text);
		const violation = findViolation(parsed.ast, 1);
		if (violation !== undefined) {
			return fail(violation.mend, violation.node.range.start);
		}

		const checked = parsed.check();
		if (!checked.valid) {
			return fail(describeError(checked.error), findStart(checked.error));
		}

		const hasDeclaredType = programTypes[name] === 'bool' ? checked.type === 'bool' : ['int', 'double'].includes(checked.type ?? '');
		return hasDeclaredType ? Right(parsed as Program) : fail(`give a ${programTypes[name]}; this gives a ${checked.type}`);
	} catch (error) {
		return fail(describeError(error), findStart(error));
	}
}

function findViolation(node: ASTNode, depth: number): {node: ASTNode; mend: string} | undefined {
	if (depth > maxProgramDepth) {
		return {node, mend: `nest at most ${maxProgramDepth} levels deep`};
	}

	if ((node.op === 'call' || node.op === 'rcall') && loopFunctions.has(node.args[0])) {
		return {node, mend: `do without '${node.args[0]}': programs have no loops`};
	}

	for (const child of listChildren(node.args)) {
		const violation = findViolation(child, depth + 1);
		if (violation !== undefined) {
			return violation;
		}
	}

	return undefined;
}

function listChildren(value: unknown): ASTNode[] {
	if (Array.isArray(value)) {
		return value.flatMap(item => listChildren(item));
	}

	return typeof value === 'object' && value !== null && 'op' in value ? [value as ASTNode] : [];
}

function describeError(error: unknown): string {
	return (error as {summary?: string} | undefined)?.summary ?? readErrorMessage(error);
}

function findStart(error: unknown): number {
	return (error as {range?: {start: number}} | undefined)?.range?.start ?? 0;
}

function findPosition(text: string, position: number): {line: number; column: number} {
	const before = text.slice(0, position).split('\n');
	return {line: before.length, column: (before.at(-1)?.length ?? 0) + 1};
}
