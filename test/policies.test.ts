import {expect, test} from '@jest/globals';
import {
	compilePolicy, maxProgramDepth, formatPolicyProblem, maxProgramLength, type PolicyContext, type PolicyTexts,
} from '../src/policy/index.js';

const context: PolicyContext = {
	request: {
		promptTokens: 4000, outputTokens: 200, service: 'bollettino-llm', bound: 8000,
	},
	organisation: {name: 'porto-catania', running: 2, tokensHeld: 9000},
	pool: {name: 'bollettino-llm@sic-east', freeShare: 0.25, waiting: 3},
	now: {hour: 18, minute: 30, weekday: 2},
};

function listProblems(texts: PolicyTexts): string[] {
	const compiled = compilePolicy(texts);
	return compiled.isLeft() ? compiled.extract().map(problem => formatPolicyProblem(problem)) : [];
}

test('programs return weight, order, admission and limit', () => {
	const policy = compilePolicy({
		weight: 'organisation.name == "porto-catania" ? 4.0 : 1.0',
		order: 'request.promptTokens',
		admit: 'request.promptTokens < 100000.0 || now.hour < 6.0',
		limit: 'pool.freeShare < 0.5 ? 50000.0 : 400000.0',
	}).unsafeCoerce();
	expect(policy.evaluateWeight(context)).toBe(4);
	expect(policy.evaluateOrder(context)).toBe(4000);
	expect(policy.evaluateAdmit(context)).toBe(true);
	expect(policy.evaluateLimit(context)).toBe(50_000);
});

test('omitted programs return their defaults', () => {
	const policy = compilePolicy({}).unsafeCoerce();
	expect([policy.evaluateWeight(context), policy.evaluateOrder(context), policy.evaluateAdmit(context), policy.evaluateLimit(context)])
		.toEqual([1, 0, true, Number.POSITIVE_INFINITY]);
});

test.each([
	['a syntax error', {order: 'request.promptTokens +'}, 'order, line 1, column 23: Unexpected token: EOF'],
	['an unknown variable', {order: 'request.promptTokns'}, 'order, line 1, column 9: No such key: promptTokns'],
	['a wrong type', {admit: 'request.promptTokens'}, 'admit, line 1, column 1: give a bool; this gives a double'],
	['a loop', {admit: '[1, 2].all(x, x > 0)'}, 'admit, line 1, column 1: do without \'all\': programs have no loops'],
	['an unknown program', {wieght: '1.0'}, 'wieght, line 1, column 1: there is no such program; a policy has weight, order, admit, limit'],
])('reports the line, the column and the fix of %s', (_name, texts, problem) => {
	expect(listProblems(texts as PolicyTexts)).toEqual([problem]);
});

test('reports the line in a program of several lines', () => {
	expect(listProblems({order: 'request.promptTokens\n+ request.nothing'})[0]).toMatch(/^order, line 2, /);
});

test('limits length and depth', () => {
	expect(listProblems({order: `1.0${' + 1.0'.repeat(maxProgramLength)}`})[0]).toContain('shorten the program');
	expect(listProblems({order: `${'('.repeat(maxProgramDepth)}1.0${' + 1.0)'.repeat(maxProgramDepth)}`})[0]).toContain('nest at most');
});

test('a run-time error is counted and returns the default', () => {
	const policy = compilePolicy({weight: 'double(organisation.name)', limit: '0.0 / 0.0'}).unsafeCoerce();
	expect(policy.evaluateWeight(context)).toBe(1);
	expect(policy.evaluateLimit(context)).toBe(Number.POSITIVE_INFINITY);
	expect([...policy.failures.entries()]).toEqual([['weight', 1], ['limit', 1]]);
});

test('weights are clamped to their range', () => {
	const evaluate = (weight: string) => compilePolicy({weight}).unsafeCoerce().evaluateWeight(context);
	expect([evaluate('0.0'), evaluate('-5.0'), evaluate('1000000.0'), evaluate('1.0 / 0.0')]).toEqual([0.01, 0.01, 100, 100]);
});
