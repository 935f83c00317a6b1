import {setImmediate as waitForTurn} from 'node:timers/promises';
import {expect, test} from '@jest/globals';
import {Left, Right, type Either} from 'purify-ts';
import {
	createFailure, VirtualClock, waitFor, type Failure, type Incarnation, type RequestId,
} from '../src/common/index.js';
import type {AdmitRequest, Grant, Heartbeat} from '../src/node/dispatch/index.js';
import {
	DispatcherClient, GrantClient, type AdmissionTarget, type CallerRequest,
} from '../src/node/entry/index.js';

const clock = new VirtualClock();
const callerRequest: unknown = {pool: 's@r', deadline: 60_000};
const request = callerRequest as CallerRequest;

/** Returns the scripted answers in order. */
class ScriptedGateway extends DispatcherClient {
	readonly asked: Array<'holder' | 'stand-in'> = [];
	readonly heartbeats: Heartbeat[] = [];

	constructor(readonly answers: Array<() => Promise<Either<Failure, Grant>>>) {
		super();
	}

	override async admit(_request: AdmitRequest, {isStandIn}: AdmissionTarget): Promise<Either<Failure, Grant>> {
		this.asked.push(isStandIn ? 'stand-in' : 'holder');
		return this.answers.shift()!();
	}

	override async sendHeartbeat(heartbeat: Heartbeat): Promise<Either<Failure, true>> {
		this.heartbeats.push(heartbeat);
		return Right(true as const);
	}
}

function makeGrant(grantId: string): Grant {
	return {
		grantId, pool: request.pool, usableFor: 2000,
	} as unknown as Grant;
}

async function obtain(gateway: ScriptedGateway): Promise<{grantId: string; client: GrantClient}> {
	const client = new GrantClient(gateway, clock, 'e' as Incarnation, '');
	const obtained = client.obtain(request, 'r' as RequestId, [], new AbortController().signal);
	for (let step = 0; step < 1000; step++) {
		clock.advance(10);
		await waitForTurn();
	}

	const held = await obtained;
	return {grantId: held.unsafeCoerce().grant.grantId, client};
}

test('a grant that arrives after its lifetime is released, and a new one is requested', async () => {
	const gateway = new ScriptedGateway([
		async () => {
			await waitFor(clock, 3000);
			return Right(makeGrant('late'));
		},
		async () => Right(makeGrant('fresh')),
	]);
	const {grantId, client} = await obtain(gateway);
	expect(grantId).toBe('fresh');
	expect(client.listActive().map(grant => grant.grantId)).toEqual(['fresh']);

	const stop = new AbortController();
	const running = client.run(stop.signal);
	for (let step = 0; step < 10; step++) {
		clock.advance(10);
		await waitForTurn();
	}

	stop.abort();
	await running;
	expect(gateway.heartbeats.flatMap(heartbeat => heartbeat.released)).toEqual(['late']);
});

test('the term holder and the stand-in are asked in turn until one grants, each with its own timeout', async () => {
	const answerNoDispatcher = async () => {
		await waitFor(clock, 1500);
		return Left(createFailure('no_dispatcher', 'no dispatcher'));
	};

	const gateway = new ScriptedGateway([answerNoDispatcher, answerNoDispatcher, answerNoDispatcher, async () => Right(makeGrant('found'))]);
	const {grantId} = await obtain(gateway);
	expect(grantId).toBe('found');
	expect(gateway.asked).toEqual(['holder', 'stand-in', 'holder', 'stand-in']);
});
