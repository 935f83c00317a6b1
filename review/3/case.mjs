/**
 * Two nodes are stopped (SIGTERM).
 *
 * A client has a kept connection to the first one, busy with a stream when the node stops to accept connections. The stream
 * ends well, the client sends its next request on the connection, and the node takes it, passes it on to a runner and cuts
 * it off when its time is over.
 *
 * At the second one long prompts, sent a second later, wait for runners. No runner has got them when the node's time is
 * over: it closes their connections without an answer.
 */
import {fileURLToPath} from 'node:url';
import {Caller} from '../lib/caller.mjs';
import {
	createConfig, createHeaders, createRoute, engine, pause, runCase,
} from '../lib/fleet.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));

const deadline = 12_000;

/** Bounds of the small deployments' sheets, in milliseconds. */
const grace = 8000;
const latestExcused = 3000;

/** Times after the SIGTERM, in milliseconds: the end of the client's stream, its next request, the end of another client's stream. */
const streamEnd = 4500;
const nextRequest = 4800;
const otherStreamEnd = 6200;

/** How long the request runs, in milliseconds. */
const workTime = 3500;

/** Long prompts, of which the runners can read one or two at a time, and their answers. */
const promptTokens = 150_000;
const answerTokens = 2400;
const answerTime = 11_000;
const eventGap = 250;
const waitingAttempts = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6'];
const waitingDeadline = 15_000;
const lossSlack = 200;

const config = createConfig([
	createRoute('streaming', 'bulletin', {timeoutMs: deadline}),
	createRoute('non_idempotent', 'alert', {timeoutMs: deadline}),
	createRoute('streaming', 'review', {
		service: 'reviews', timeoutMs: waitingDeadline, targetLatencyMs: 3000, maxAttempts: 2, resumeStreams: true,
	}),
], {services: [{name: 'tiles', maxConnections: 64}, {name: 'reviews', maxConnections: 64, engine}]});

/** Runs a request: `/bulletin/MS` streams events for so long, `/review/` for `answerTime`, `/alert/` answers after `workTime`. */
async function work({request, response}) {
	const [, kind, time] = request.url.split('/');
	if (kind === 'alert') {
		await pause(workTime);
		response.end('{"sent":true}');
		return;
	}

	response.writeHead(200, {'content-type': 'text/event-stream'});
	const until = performance.now() + (kind === 'review' ? answerTime : Number(time));
	for (let id = 1; performance.now() < until && !response.destroyed; id++) {
		response.write(`id: ${id}\ndata: piece ${id}\n\n`);
		await pause(eventGap);
	}

	response.end();
}

/** Long prompts wait in a node that is stopped; returns what was broken. */
async function playWaiting(fleet, node, hasTrouble) {
	const ask = async attempt => {
		fleet.record(`client sends ${attempt}: POST /review/${attempt} to ${node.fields.nodeName}, a prompt of ${promptTokens} tokens`);
		const sentAt = performance.now();
		const answer = await new Caller(node.callers).ask({
			method: 'POST', path: `/review/${attempt}`, body: attempt, headers: {
				...createHeaders(attempt, waitingDeadline),
				'cresshook-model': 'm',
				'cresshook-token-usage': `${promptTokens},${answerTokens}`,
				'cresshook-prompt-prefix': `${attempt}:${promptTokens}`,
			},
		});
		const endedAt = performance.now();
		const took = Math.round(endedAt - sentAt);
		fleet.record(`client got for ${attempt} after ${took} ms: status ${answer.status}, ${answer.isComplete ? 'complete' : 'not complete'}, connection ${answer.end ?? 'open'}`);
		return {
			status: answer.status, attempt, took, endedAt,
		};
	};

	// A stopping node takes new connections for three seconds.
	const stoppedAt = performance.now();
	if (hasTrouble) {
		node.signal('SIGTERM');
	}

	await pause(1000);
	const asked = waitingAttempts.map(async attempt => ask(attempt));
	const broken = [];
	for (const {attempt, status, took, endedAt} of await Promise.all(asked)) {
		const hasRun = fleet.runners.some(({runs}) => runs.includes(attempt));
		fleet.record(`${attempt} ${hasRun ? 'has' : 'has not'} reached a runner`);
		const endedAfter = Math.round(endedAt - stoppedAt);
		if (status === 0 && !hasRun && took > lossSlack && took < waitingDeadline && endedAfter < grace + 1000) {
			broken.push(`${attempt}, which no runner got, ended without an answer ${endedAfter} ms after the SIGTERM`);
		}
	}

	return broken;
}

/** A client sends a request on a kept connection to a node that is stopped; returns what was broken. */
async function playKept(fleet, node, hasTrouble) {
	// Some clients keep an answer for three times its time, and use their connections so long.
	const resolved = await new Caller(node.fields.listen.directory).ask({path: `/v1/resolve?name=${config.routes[0].host}&region=sic-east&zone=catania-a`, headers: {host: 'directory'}});
	const resolvedAt = performance.now();
	const {addresses, ttlS: ttl} = JSON.parse(resolved.body);
	fleet.record(`client resolves: ${addresses.join(' ')} for ${ttl} s`);
	const ask = async (caller, request, attempt) => {
		fleet.record(`client sends ${attempt}: ${request.method ?? 'GET'} ${request.path}`);
		const answer = await caller.ask({...request, headers: createHeaders(attempt, deadline)}, ({status, headers}) => {
			fleet.record(`client gets the head for ${attempt}: status ${status}, connection: ${headers.connection}`);
		});
		fleet.record(`client got for ${attempt}: status ${answer.status}, ${answer.isComplete ? 'complete' : 'not complete'}, ${answer.body.length} bytes, connection ${answer.end ?? 'open'}`);
		return answer;
	};

	const lead = 500;
	const caller = new Caller(node.callers);
	const stream = ask(caller, {path: `/bulletin/${lead + streamEnd}`}, 'a1');
	const other = ask(new Caller(node.callers), {path: `/bulletin/${lead + otherStreamEnd}`}, 'b1');
	await pause(lead);
	const stoppedAt = performance.now();
	if (hasTrouble) {
		node.signal('SIGTERM');
	}

	const first = await stream;
	await pause(nextRequest - (performance.now() - stoppedAt));
	const sentAfter = performance.now() - stoppedAt;
	if (performance.now() - resolvedAt > ttl * 3000 || !addresses.includes(node.callers)) {
		throw new Error('the client may not use the connection so long');
	}

	const last = first.end === undefined ? await ask(caller, {method: 'POST', path: '/alert/1', body: 'close the schools'}, 'a2') : undefined;
	const endedAfter = performance.now() - stoppedAt;
	await other;
	fleet.record(`a2 was sent ${Math.round(sentAfter)} ms and ended ${Math.round(endedAfter)} ms after the SIGTERM`);
	if (!hasTrouble) {
		return last?.status === 200 && last.isComplete ? [] : ['a2 was not answered'];
	}

	const hasRun = fleet.runners.some(({runs}) => runs.includes('a2'));
	const isCut = last !== undefined && !last.isComplete;
	return hasRun && isCut && sentAfter > latestExcused && endedAfter < grace + 1000
		? [`a2, sent ${Math.round(sentAfter)} ms after the SIGTERM, was passed on to a runner, and its connection ended without an answer`]
		: [];
}

await runCase(folder, async (fleet, hasTrouble) => {
	const runners = ['tiles', 'tiles', 'reviews', 'reviews'].map((service, index) => ({
		id: `i-${index + 1}`, service, zone: 'catania-a', work,
	}));
	await fleet.start({config, nodes: 4, runners});
	const [first, second] = fleet.nodes;
	const results = await Promise.all([playKept(fleet, first, hasTrouble), playWaiting(fleet, second, hasTrouble)]);
	return results.flat();
});
