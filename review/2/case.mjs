/**
 * A runner of three spoils some of its answers by one byte: the first digit of the status. The node that reads such an
 * answer stands still for seconds, with all requests that it has and gets.
 */
import {Buffer} from 'node:buffer';
import {fileURLToPath} from 'node:url';
import {Caller} from '../lib/caller.mjs';
import {
	createConfig, createHeaders, createRoute, pause, runCase,
} from '../lib/fleet.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));

/** Like `tile-fetch` of mts-radar; in milliseconds. */
const timeout = 1500;
const deadline = 3000;
const workTime = 85;

/** Half a second after the route's time, a request counts as held. */
const heldAfter = timeout + 500;

/** Requests to each node: one in so many milliseconds, for so long. */
const requestGap = 60;
const trafficTime = 12_000;

/** One in so many answers of the faulty runner is spoilt. */
const spoiltOneIn = 20;

/** From how many requests on, and from which share of them, the rule is broken. */
const minCount = 8;
const maxShare = 0.5;

const config = createConfig([createRoute('non_idempotent', 'tile', {timeoutMs: timeout, targetLatencyMs: 386})]);

await runCase(folder, async (fleet, hasTrouble) => {
	const counts = {};
	const createWork = id => async ({response, attempt}) => {
		await pause(workTime);
		counts[id] = (counts[id] ?? 0) + 1;
		if (hasTrouble && id === 'i-3' && counts[id] % spoiltOneIn === 0) {
			fleet.record(`runner ${id} spoils its answer to ${attempt}: HTTP/1.1 000 instead of HTTP/1.1 200`);
			const body = Buffer.alloc(800, 'x');
			response.socket.write(`HTTP/1.1 000 OK\r\ncresshook-attempt-id: ${attempt}\r\ncresshook-response-seal: seal.${id}.${attempt}\r\ncontent-length: ${body.length}\r\n\r\n`);
			response.socket.write(body);
			return;
		}

		response.writeHead(200, {'content-length': 800});
		response.end(Buffer.alloc(800, 'x'));
	};

	await fleet.start({
		config, nodes: 3, runners: [1, 2, 3].map(index => ({
			id: `i-${index}`, service: 'tiles', zone: 'catania-a', work: createWork(`i-${index}`),
		})),
	});
	const requests = [];
	const ask = async (node, attempt) => {
		const sentAt = performance.now();
		const request = {attempt, node: node.fields.nodeName};
		requests.push(request);
		const caller = new Caller(node.callers);
		const leave = setTimeout(() => {
			caller.close();
		}, deadline);
		const answer = await caller.ask({
			method: 'POST', path: `/tile/${attempt}`, headers: createHeaders(attempt, deadline), body: attempt,
		});
		clearTimeout(leave);
		caller.close();
		request.took = Math.round(performance.now() - sentAt);
		request.status = answer.isComplete ? answer.status : 0;
	};

	const asked = [];
	for (let sent = 1; sent * requestGap < trafficTime; sent++) {
		asked.push(...fleet.nodes.map(async (node, index) => ask(node, `n${index + 1}r${sent}`)));
		await pause(requestGap);
	}

	await Promise.all(asked);
	for (const {attempt, node, took, status} of requests) {
		fleet.record(`${attempt} to ${node}: ${status === 0 ? 'no answer, the client left' : `status ${status}`} after ${took} ms`);
	}

	const late = requests.filter(({took}) => took >= timeout);
	const held = late.filter(({took}) => took >= heldAfter);
	const ended = fleet.nodes.filter(({exit}) => exit !== undefined);
	fleet.record(`${requests.length} requests, ${late.length} without an answer at the route's ${timeout} ms, ${held.length} still without one at ${heldAfter} ms; ${ended.length} nodes have ended`);
	if (!hasTrouble) {
		return requests.every(({status}) => status === 200) ? [] : ['not all requests were answered'];
	}

	return held.length >= minCount && held.length > late.length * maxShare
		? [`of ${late.length} requests without an answer at their route's timeoutMs, ${held.length} had none half a second later`]
		: [];
});
