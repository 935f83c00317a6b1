// Nodes that are cut from all backend servers, while callers, the store and the other nodes reach them.
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {GatewayFleet, waitUntil, type ReceivedResponse} from './helpers/gateways.js';
import {pause} from './helpers/pause.js';
import {createAnswerHeaders, formatEvent, type ServerBehaviour} from './helpers/platform-standins.js';
import {cutStates, ServerLinks} from './helpers/server-links.js';
import {loadSteadily} from './helpers/steady-load.js';

/** Timeout of tests with seconds of load, in milliseconds. */
const testTimeout = 60_000;

const nodeCount = 4;

/** Requests per second of each kind at all nodes together. */
const rate = 20;

/** Time after a cut from which on callers of the cut nodes are served like others, in milliseconds: the platform's `contactMs`. */
const contactTime = 3000;

/** Share of the first attempts that a cut node has to serve. */
const minServedShare = 0.98;

/** What is sent to the servers of each kind of route. */
const loads: Array<{kind: string; path: string; headers?: Record<string, string>}> = [
	{kind: 'repeatable', path: '/again/'},
	{kind: 'once', path: '/once/'},
	{kind: 'stream', path: '/stream/', headers: {'cresshook-token-usage': '2000,50'}},
];

let fleet: GatewayFleet;
let links: ServerLinks[];
/** Number of runs of requests that may run only once, by request id. */
let onceRuns: Map<string, number>;

beforeEach(() => {
	fleet = new GatewayFleet();
	links = Array.from({length: nodeCount}, () => new ServerLinks());
	fleet.dialers.push(...links);
	onceRuns = new Map();
});

afterEach(async () => {
	await fleet.stop();
	await Promise.all(links.map(async link => link.stop()));
});

const answer: ServerBehaviour = (request, response) => {
	if (request.url === '/v1/report') {
		response.end('{"tickets":[]}');
		return;
	}

	if (request.url.startsWith('/once/')) {
		const id = request.headers['cresshook-attempt-id'] ?? '';
		onceRuns.set(id, (onceRuns.get(id) ?? 0) + 1);
	}

	const isStream = request.url.startsWith('/stream/');
	const body = isStream ? formatEvent(1) + formatEvent(2) : 'ok';
	response.writeHead(200, {
		...createAnswerHeaders(request),
		...(isStream ? {'content-type': 'text/event-stream'} : {'content-length': String(body.length)}),
	});
	response.end(body);
};

async function startFleet(): Promise<void> {
	await fleet.start({nodes: nodeCount, runners: ['app', 'app', 'app', 'model', 'model', 'model'].map(service => ({service, behaviour: answer}))});
	await waitUntil(() => fleet.gateways.every(gateway => gateway.listReadyNodes().length === nodeCount));
}

/** Sends requests of all kinds for a duration in milliseconds. */
async function loadAll(duration: number): Promise<Array<{kind: string; responses: ReceivedResponse[]}>> {
	return Promise.all(loads.map(async ({kind, ...load}) => ({kind, responses: await loadSteadily(fleet, {...load, rate, duration})})));
}

/** Share of the requests to these nodes that were answered completely; `loadSteadily` sends to the nodes in turn. */
function measureServed(responses: ReceivedResponse[], isCounted: (node: number) => boolean): number {
	const counted = responses.filter((_, index) => isCounted(index % nodeCount));
	return counted.filter(({status, isComplete}) => status === 200 && isComplete).length / counted.length;
}

// Guards against callers of a node that is cut from all servers being served less often than others.
test.each(cutStates.flatMap(state => [1, 3].map(cut => [state, cut] as const)))('requests are served when the links to servers are %s at %i of 4 nodes', async (state, cut) => {
	await startFleet();
	await loadAll(1000);
	for (const link of links.slice(0, cut)) {
		link.set(state);
	}

	const before = loadAll(contactTime);
	await pause(contactTime);
	const measured = await loadAll(3000);
	await before;
	for (const {kind, responses} of measured) {
		expect([kind, measureServed(responses, node => node < cut) >= minServedShare]).toEqual([kind, true]);
		expect([kind, measureServed(responses, node => node >= cut)]).toEqual([kind, 1]);
	}

	expect(Math.max(...onceRuns.values())).toBe(1);
}, testTimeout);
