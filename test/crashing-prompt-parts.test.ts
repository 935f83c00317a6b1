// Requests that are all different and share a prompt part that crashes every server that runs them.
import {afterEach, expect, test} from '@jest/globals';
import {createLogger} from '../src/common/index.js';
import {waitUntil, type ReceivedResponse} from './helpers/gateways.js';
import {CrashingFleet, crashSigns, type CrashSign} from './helpers/crashing-fleet.js';
import {LogCapture} from './helpers/logs.js';
import {pause} from './helpers/pause.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

const nodes = 4;
const servers = 10;

/** Requests per second, harmless and with a crashing part. */
const soundRate = 30;
const crashingRate = 4;

/** Time without crashes before the first, in milliseconds. */
const calmTime = 2000;

/** The platform's `contactMs`. At most `maxLateArrivals` requests with a part reach servers later than that after its fifth crash. */
const contactTime = 3000;
const maxLateArrivals = 3;
const countedCrash = 5;

/** Time of load after the fifth crash, or after the first when there are fewer, in milliseconds. */
const loadTime = 10_000;

/** Harmless requests are served at least this share as often as before the crashes, from twice `contactTime` after the fifth. */
const minServedShare = 0.5;

const firstPart = 'aa01';
const otherPart = 'aa02';
const crashingPart = 'bad1';

let crashing: CrashingFleet;

afterEach(async () => {
	await crashing.stop();
});

type SoundResult = {sentAt: number; isServed: boolean};

function isServed({status, isComplete}: ReceivedResponse): boolean {
	return status === 200 && isComplete;
}

async function sendSoundOnce(parts: string[]): Promise<SoundResult> {
	const sentAt = Date.now();
	return {sentAt, isServed: isServed(await crashing.send(parts))};
}

/** Sends harmless requests until `isOver`; they share the first part, another part, or none with those that crash servers. */
async function sendSound(isOver: () => boolean): Promise<SoundResult[]> {
	const results: Array<Promise<SoundResult>> = [];
	const partLists = [[firstPart, 'cc01'], ['cc02', otherPart], ['cc03'], [firstPart, otherPart]];
	for (let index = 0; !isOver(); index++) {
		results.push(sendSoundOnce(partLists[index % partLists.length]));
		await pause(1000 / soundRate);
	}

	return Promise.all(results);
}

/** Sends a request, and once more if it fails, as callers do. */
async function sendCrashingTwice(parts: string[]): Promise<void> {
	if (!isServed(await crashing.send(parts))) {
		await crashing.send(parts);
	}
}

/** Sends requests with each of these part lists in turn until `isOver`. */
async function sendCrashing(partLists: string[][], isOver: () => boolean): Promise<void> {
	const sent: Array<Promise<void>> = [];
	for (let index = 0; !isOver(); index++) {
		sent.push(sendCrashingTwice(partLists[index % partLists.length]));
		await pause(1000 / crashingRate);
	}

	await Promise.all(sent);
}

function computeShare(results: SoundResult[]): number {
	return results.filter(result => result.isServed).length / results.length;
}

async function expectStopped(sign: CrashSign, partLists: string[][], serverCount = servers): Promise<void> {
	crashing = new CrashingFleet(sign);
	await crashing.start(nodes, serverCount);
	const parts = [...new Set(partLists.flat())].filter(part => part.startsWith('bad'));
	let isOver = false;
	const sound = sendSound(() => isOver);
	await pause(calmTime);
	const began = Date.now();
	for (const part of parts) {
		crashing.crashingParts.add(part);
	}

	const findFifth = (part: string) => crashing.crashes.get(part)?.[countedCrash - 1];
	const findLoadStart = () => Math.max(...parts.map(part => findFifth(part) ?? began));
	const bad = sendCrashing(partLists, () => isOver);
	while (Date.now() < findLoadStart() + loadTime && Date.now() < began + (2 * loadTime)) {
		await pause(100);
	}

	isOver = true;
	await bad;
	const results = await sound;
	for (const part of parts) {
		const crashes = crashing.crashes.get(part) ?? [];
		const lateAfter = (findFifth(part) ?? Infinity) + contactTime;
		expect(crashes.length).toBeGreaterThan(0);
		expect((crashing.arrivals.get(part) ?? []).filter(at => at > lateAfter).length).toBeLessThanOrEqual(maxLateArrivals);
	}

	const lastCounted = Math.max(...parts.map(part => findFifth(part) ?? crashing.crashes.get(part)!.at(-1)!));
	const before = computeShare(results.filter(({sentAt}) => sentAt < began));
	const after = computeShare(results.filter(({sentAt}) => sentAt > lastCounted + (2 * contactTime)));
	expect(after).toBeGreaterThanOrEqual(minServedShare * before);
}

// Guards against counting crashes for whole requests only, so that no two alike crash servers without end.
test.each(crashSigns)('a prompt part crashes few servers: %s', async sign => {
	await expectStopped(sign, [[firstPart, crashingPart, otherPart]]);
}, testTimeout);

test.each([
	['first', [crashingPart, firstPart, otherPart]],
	['last of four', [firstPart, otherPart, 'aa03', crashingPart]],
	['alone', [crashingPart]],
])('a prompt part crashes few servers: %s', async (_, parts) => {
	await expectStopped('reset after the first event', [parts]);
}, testTimeout);

test('two prompt parts at a time crash few servers each', async () => {
	await expectStopped('reset after the first event', [[firstPart, 'bad1', otherPart], [firstPart, 'bad2']], 14);
}, testTimeout);

/** Sends requests with the crashing part until they are rejected. */
async function crashUntilRejected(): Promise<void> {
	crashing.crashingParts.add(crashingPart);
	for (let attempt = 0; attempt < 40; attempt++) {
		const {status} = await crashing.send([firstPart, crashingPart]);
		if (status === 503) {
			return;
		}

		await pause(100);
	}
}

test('every node rejects a prompt part, and logs why, within a second of the last crash', async () => {
	crashing = new CrashingFleet('reset after the first event');
	const logs = Array.from({length: nodes}, () => new LogCapture());
	crashing.fleet.loggers.push(...logs.map(log => createLogger('info', log)));
	await crashing.start(nodes, servers);
	await crashUntilRejected();
	await pause(1000);
	const answers = await Promise.all(logs.map(async () => crashing.send([firstPart, crashingPart])));
	expect(answers.map(({status}) => status)).toEqual(logs.map(() => 503));
	expect(logs.map(log => log.listEvents('trait_rejected').some(({service, trait}) => service === 'model' && String(trait).includes('.')))).toEqual(logs.map(() => true));
}, testTimeout);

test('a node that joins after the crashes rejects the prompt part when it is left alone', async () => {
	crashing = new CrashingFleet('reset after the first event');
	await crashing.start(nodes, servers);
	await crashUntilRejected();
	const {fleet} = crashing;
	const before = crashing.crashes.get(crashingPart)?.length;
	await fleet.addGateway();
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodes + 1));
	await pause(2000);
	await Promise.all(fleet.gateways.splice(0, nodes).map(async gateway => gateway.close()));
	fleet.settings.splice(0, nodes);
	await pause(2000);
	const {status} = await crashing.send([firstPart, crashingPart]);
	expect([status, crashing.crashes.get(crashingPart)?.length]).toEqual([503, before]);
}, testTimeout);
