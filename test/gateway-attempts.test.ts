import process from 'node:process';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import type {Route} from '../src/routing/index.js';
import {
	ScriptedCall, streamLength, streamRoute, type ScriptedCallOptions,
} from './helpers/scripted-call.js';

const wholeStream = Array.from({length: streamLength}, (_, index) => index + 1);

/** Silence before the first event after which a hedge is started, in milliseconds. */
const firstEventTimeout = 1025;

/** Silence between two events after which a hedge is started, in milliseconds. */
const stallTimeout = 1325;

const repeatableRoute: Route = {
	...streamRoute, kind: 'repeatable', longestSilence: undefined, canResume: false, attempts: 2,
};

async function startCall(options: ScriptedCallOptions = {}): Promise<ScriptedCall> {
	const call = new ScriptedCall(options);
	await call.settle();
	return call;
}

/** Lets one server send the rest of the answer. */
async function finishAnswer(call: ScriptedCall, back = 0): Promise<void> {
	const send = call.findOpen(back);
	for (let count = 0; count <= streamLength; count++) {
		send?.speak();
		await call.settle();
	}
}

// A server may send its head long before its first event. The silent server, which ran the request, was cancelled at the
// head of its hedge, which then stayed silent.
test('a silent server is not cancelled for the head of another one', async () => {
	const call = await startCall({servers: 2});
	await call.pass(firstEventTimeout);
	call.findOpen()?.sendHead();
	await call.pass(100);
	await finishAnswer(call, 1);
	expect([call.sink.ending, call.sink.events, call.sink.headServer, call.sends.map(send => send.wasAborted)]).toEqual(['whole', wholeStream, 'i-0', [false, true]]);
});

// The head of the silent server was forwarded, followed by the events of the other one: the seal of one run on the answer
// of another.
test('a caller gets the head of the server whose first event it gets', async () => {
	const call = await startCall({servers: 2});
	call.findOpen()?.sendHead();
	await call.pass(firstEventTimeout);
	await finishAnswer(call);
	expect([call.sink.ending, call.sink.events, call.sink.headServer, call.sink.answeringServers]).toEqual(['whole', wholeStream, 'i-1', ['i-1']]);
});

test('a stream whose server breaks off between its head and its first event gets an error response, not an aborted one', async () => {
	const call = await startCall({servers: 1});
	call.findOpen()?.sendHead();
	call.findOpen()?.breakOff();
	await call.settle();
	expect([call.sink.status, call.sink.ending]).toEqual([502, 'whole']);
});

// An entry expires when its server stops renewing it, even if the server left unannounced and still serves, and while the
// source is down: a missing entry says nothing about running requests.
test('a silent server whose entry is gone is still waited for while its caller waits', async () => {
	const call = await startCall({servers: 2});
	call.findOpen()?.speak();
	await call.pass(stallTimeout - 100);
	call.removeEntry('i-0');
	await call.pass(100);
	call.findOpen()?.decline();
	await call.pass(300);
	await finishAnswer(call);
	expect([call.sink.ending, call.sink.events]).toEqual(['whole', wholeStream]);
});

// A server that leaves unannounced has no entry while it still serves, so its silence does not prove that it has ended.
test('a stream whose silent server has lost its entry is not aborted while no other server accepts it', async () => {
	const call = await startCall({servers: 1});
	call.findOpen()?.speak();
	call.removeEntry('i-0');
	await call.pass(streamRoute.longestSilence! + stallTimeout);
	await finishAnswer(call);
	expect([call.sink.ending, call.sink.events]).toEqual(['whole', wholeStream]);
});

for (const failure of ['decline', 'fail', 'breakOff'] as const) {
	test(`a whole answer whose server has lost its entry survives a second attempt that ends by ${failure}`, async () => {
		const call = await startCall({route: {...repeatableRoute, attempts: 3}, servers: 2});
		call.removeEntry('i-0');
		await call.pass(firstEventTimeout);
		call.findOpen()?.[failure]();
		await call.pass(100);
		call.sends[0].speak();
		await call.settle();
		expect([call.sink.status, call.sink.ending, call.sends.map(send => send.wasAborted)]).toEqual([200, 'whole', [false, false]]);
	});
}

test('a silent server that has restarted is not waited for', async () => {
	const call = await startCall({servers: 2});
	call.findOpen()?.speak();
	await call.pass(stallTimeout - 100);
	call.restart('i-0');
	await call.pass(100);
	call.findOpen()?.decline();
	await call.pass(100);
	expect([call.sink.ending, call.outcome?.failure?.kind]).toEqual(['cut', 'backend_unconfirmed']);
});

test('a server that resumes is the only one that answers, and the placement of its hedge is released', async () => {
	const call = await startCall({servers: 2, startIn: 200});
	await call.pass(200);
	call.findOpen()?.speak();
	await call.pass(stallTimeout);
	await finishAnswer(call);
	await call.pass(1000);
	expect([call.sink.ending, call.sink.events, call.sends.length, call.placer.openPlans.size, call.clock.pending.size]).toEqual(['whole', wholeStream, 1, 0, 0]);
});

test('a declined hedge does not prove that a silent server ran nothing', async () => {
	const call = await startCall({route: repeatableRoute, servers: 2});
	await call.pass(firstEventTimeout);
	call.findOpen()?.decline();
	await call.pass(100);
	call.findOpen()?.breakOff();
	await call.pass(100);
	expect([call.sink.status, call.sink.ending]).toEqual([502, 'whole']);
});

// The first server had ended before the send, so nothing ran there; the second one ran the request and was cancelled. By
// the outcome of the first one, the request went to a third server although its route allows one run.
test('a run that is cancelled counts even if another server has declined before', async () => {
	const call = await startCall({startIn: 150, route: {...streamRoute, attempts: 1}});
	call.restart('i-0');
	await call.pass(1350);
	call.restart('i-1');
	await call.pass(streamRoute.timeLimit);
	expect([call.sends.length, call.sink.status, call.sink.ending]).toEqual([1, 502, 'whole']);
});

// The fleet shares the budget: a retry that one call takes and does not use is missing elsewhere.
test('a server that fails while a retry is requested takes no second one', async () => {
	const call = await startCall({servers: 2, askDelay: 300, route: {...streamRoute, attempts: 2}});
	await call.pass(300 + firstEventTimeout);
	call.findOpen()?.breakOff();
	await call.pass(1500);
	expect([call.sends.length, call.placer.grantedRetries]).toEqual([2, 1]);
});

test('a retry whose send never left this node is used for the next send', async () => {
	const call = await startCall({servers: 3, refusing: [1]});
	call.findOpen()?.decline();
	await call.pass(100);
	expect([call.sends.map(send => send.hasArrived), call.placer.grantedRetries]).toEqual([[true, false, true], 1]);
});

// Two placements were being requested when the silent server failed: the second one replaced the first, which was not
// released until its node ended.
test('of two placements that are granted at the same time none is leaked', async () => {
	const call = await startCall({askDelay: 300});
	await call.pass(3150);
	call.findOpen()?.fail();
	await call.pass(streamRoute.timeLimit);
	expect([call.outcome?.status, call.placer.openPlans.size]).toEqual([504, 0]);
});

// A call that fails with an unexpected error is aborted; its other attempt went on, and its server worked for no caller.
test('an unexpected error in one attempt cancels the others', async () => {
	const call = await startCall({servers: 2, defectAt: 1});
	call.findOpen()?.speak();
	await call.pass(stallTimeout);
	expect([call.error === undefined, call.sends.map(send => send.wasAborted)]).toEqual([false, [true]]);
});

/** Seed and number of the runs in CI; `ATTEMPT_SEED` and `ATTEMPT_RUNS` override them. */
const seed = Number(process.env.ATTEMPT_SEED ?? 20_261_203);
const runs = Number(process.env.ATTEMPT_RUNS ?? 400);

/** Time for everything that a call has started to end, in milliseconds: requesting a placement takes longest. */
const maxSettleTime = 1000;

const serverCount = 4;

const arbitraryRoute = fc.constantFrom<Partial<Route>>(
	{},
	{canResume: false},
	{kind: 'repeatable', longestSilence: undefined, canResume: false},
	{kind: 'once', longestSilence: undefined, canResume: false},
).chain(change => fc.integer({min: 1, max: 3}).map(attempts => ({...streamRoute, ...change, attempts})));

/** No servers in three of four cases, otherwise some of the first three. */
const arbitraryServers = fc.oneof({weight: 3, arbitrary: fc.constant([])}, {weight: 1, arbitrary: fc.subarray([0, 1, 2])});

const arbitraryOptions = fc.record({
	route: arbitraryRoute,
	servers: fc.integer({min: 1, max: serverCount}),
	askDelay: fc.constantFrom(0, 0, 40, 300),
	retries: fc.constantFrom(Infinity, Infinity, 2, 0),
	startIn: fc.constantFrom(0, 0, 150),
	needsMemory: fc.boolean(),
	refusing: arbitraryServers,
	startsOver: fc.boolean(),
	refuseAfter: fc.constantFrom(0, 400),
	slow: arbitraryServers,
});

const sendActions = ['sendHead', 'speak', 'speak', 'speak', 'decline', 'fail', 'breakOff'] as const;

type Step =
	| {kind: 'send'; action: typeof sendActions[number]; back: number}
	| {kind: 'pass'; milliseconds: number}
	| {kind: 'restart' | 'removeEntry'; server: number}
	| {kind: 'leave' | 'stall' | 'drain'};

const arbitraryStep: fc.Arbitrary<Step> = fc.oneof(
	{weight: 8, arbitrary: fc.record({kind: fc.constant('send' as const), action: fc.constantFrom(...sendActions), back: fc.integer({min: 0, max: 2})})},
	{weight: 8, arbitrary: fc.record({kind: fc.constant('pass' as const), milliseconds: fc.constantFrom(0, 25, 100, 350, 1050, 1350, 2100)})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('restart' as const, 'removeEntry' as const), server: fc.integer({min: 0, max: serverCount - 1})})},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('leave' as const, 'stall' as const, 'drain' as const)})},
);

async function runStep(call: ScriptedCall, step: Step): Promise<void> {
	switch (step.kind) {
		case 'send': {
			call.findOpen(step.back)?.[step.action]();
			break;
		}

		case 'pass': {
			await call.pass(step.milliseconds);
			break;
		}

		case 'leave': {
			call.leave();
			break;
		}

		case 'stall': {
			call.sink.isSlow = true;
			break;
		}

		case 'drain': {
			call.sink.drain();
			break;
		}

		case 'restart':
		case 'removeEntry': {
			call[step.kind](`i-${step.server}`);
			break;
		}
	}

	await call.settle();
}

/** Lists the invariants that a call has violated. */
function listViolations(call: ScriptedCall): string[] {
	const {
		sink, sends, outcome, placer,
	} = call;
	const route = call.options.route ?? streamRoute;
	const ran = sends.filter(send => send.hasArrived && !send.hasDeclined);
	const isResumable = route.kind === 'stream' && route.canResume;
	const maxRuns = route.kind === 'repeatable' || isResumable ? Math.max(1, route.attempts) : 1;
	const invariants: Array<[string, boolean]> = [
		['ends', outcome !== undefined && call.error === undefined],
		['writes nothing after its end', sink.violations.length === 0],
		['events in order', sink.events.every((id, index) => id === index + 1)],
		['a whole stream has all events', route.kind !== 'stream' || sink.status !== 200 || sink.ending !== 'whole' || sink.events.length === streamLength],
		['one whole answer', route.kind === 'stream' || sink.status !== 200 || sink.answeringServers.length === 1],
		['the head of the server that answers first', sink.answeringServers.length === 0 || sink.headServer === sink.answeringServers[0]],
		['one run goes to the caller unless the stream is resumable', isResumable || sink.answeringServers.length < 2],
		['no answer that states that nothing ran after a run', ![408, 421, 429, 503].includes(sink.status) || ran.length === 0],
		['no more runs than the route allows', ran.length <= maxRuns],
		['a retry for each arrival but the first', sends.filter(send => send.hasArrived).length <= placer.grantedRetries + 1],
		['no more than one retry unused', placer.grantedRetries <= Math.max(0, sends.length - 1) + 1],
		['all sends ended', sends.every(send => send.isOver)],
		['all placements released', placer.openPlans.size === 0],
		['all memory released', call.leases === 0],
		['no timer left', call.clock.pending.size === 0],
		[
			'a run is cancelled only for another answer, a restart, the caller or the deadline',
			call.aborted.every(({hasOtherAnswered, isEnded, hasLeft, isLate}) => hasOtherAnswered || isEnded || hasLeft || isLate),
		],
	];
	return invariants.filter(([, isMet]) => !isMet).map(([name]) => name);
}

test('a call keeps its invariants whatever its servers, its caller and the view do', async () => {
	await fc.assert(fc.asyncProperty(arbitraryOptions, fc.array(arbitraryStep, {maxLength: 24, size: 'max'}), async (options, steps) => {
		const call = await startCall(options);
		for (const step of steps) {
			await runStep(call, step);
		}

		call.sink.drain();
		await call.pass(options.route.timeLimit + maxSettleTime);
		expect(listViolations(call)).toEqual([]);
	}), {seed, numRuns: runs});
}, 60_000);
