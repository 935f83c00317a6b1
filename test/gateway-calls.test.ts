import {
	afterEach, beforeEach, expect, jest, test,
} from '@jest/globals';
import type {ServiceName} from '../src/common/index.js';
import {CallRun} from '../src/gateway/calls/call-run.js';
import {
	createConfig, GatewayFleet, waitUntil, type ReceivedResponse,
} from './helpers/gateways.js';
import {
	createTextAnswer, decline, formatEvent, createAnswerHeaders, streamEvents, type ServerBehaviour, type ReceivedRequest,
} from './helpers/platform-standins.js';

let fleet: GatewayFleet;

beforeEach(() => {
	fleet = new GatewayFleet();
});

afterEach(async () => {
	await fleet.stop();
});

const dropConnection: ServerBehaviour = (_request, _response, socket) => {
	socket.destroy();
};

function answerWith(headersOf: (request: ReceivedRequest) => Record<string, string>): ServerBehaviour {
	return (request, response) => {
		response.writeHead(200, headersOf(request));
		response.end('wrong');
	};
}

const promptHeaders = {'cresshook-model': 'm', 'cresshook-token-usage': '1460,80', 'cresshook-prompt-prefix': '5c1e:800,91bd:660'};

test('a request reaches a server unchanged, with the organisation for the key', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('tile')}]});
	const answer = await fleet.call({path: '/once/a?b=1', body: 'hello', headers: {'x-own': 'kept', 'cresshook-tenant': 'forged'}});
	expect([answer.status, answer.body, answer.isComplete, answer.headers['cresshook-response-seal']]).toEqual([200, 'tile', true, 'seal']);
	const [seen] = fleet.runners[0].receivedRequests;
	expect([seen.method, seen.url, seen.body]).toEqual(['POST', '/once/a?b=1', 'hello']);
	expect(seen.headers).toMatchObject({'x-own': 'kept', 'cresshook-tenant': 'guild', 'cresshook-target-instance': 'i-0'});
	expect(seen.headers.authorization).toBeUndefined();
	expect(Number(seen.headers['cresshook-deadline-ms'])).toBeLessThanOrEqual(1500);
});

test('an unknown key, path and a missing id are refused without asking a server', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('no')}]});
	const answers = await Promise.all([
		fleet.call({path: '/once/', headers: {authorization: 'Bearer other'}}),
		fleet.call({path: '/nowhere/'}),
		fleet.call({path: '/once/', headers: {'cresshook-attempt-id': ''}}),
	]);
	expect(answers.map(answer => answer.status)).toEqual([401, 404, 400]);
	expect(fleet.runners[0].receivedRequests).toHaveLength(0);
});

// Its connection was closed without an answer.
test('a request that fails with an unexpected error of its node gets an answer', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('ok')}]});
	const failure = jest.spyOn(CallRun.prototype, 'run').mockRejectedValueOnce(new TypeError('unexpected'));
	const answer = await fleet.call({path: '/again/'});
	failure.mockRestore();
	expect([answer.status, answer.isComplete, JSON.parse(answer.body)]).toMatchObject([500, true, {error: {code: 'internal', ran: 'maybe'}}]);
	expect(await fleet.call({path: '/again/'})).toMatchObject({status: 200, body: 'ok'});
});

test('a request that may run only once is sent once, and a lost answer is reported as unconfirmed', async () => {
	await fleet.start({
		runners: [1, 2].map(() => ({service: 'app', behaviour: dropConnection})),
	});
	const answer = await fleet.call({path: '/once/'});
	expect(answer.status).toBe(502);
	expect(fleet.runners[0].receivedRequests.length + fleet.runners[1].receivedRequests.length).toBe(1);
});

test('a request that may run only once is sent to another server when a server states that it did not run', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: decline}, {service: 'app', behaviour: createTextAnswer('yes')}]});
	const answers = await Promise.all([1, 2, 3, 4].map(async () => fleet.call({path: '/once/'})));
	expect(answers.map(answer => answer.body)).toEqual(['yes', 'yes', 'yes', 'yes']);
});

test('a request that every server declines gets a retry-after', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: decline}]});
	const answer = await fleet.call({path: '/once/'});
	expect(answer.status).toBe(503);
	expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
});

/** Writes an event, is silent for 1.7 s and ends with the next one. */
const pauseOnce: ServerBehaviour = async (request, response) => {
	const from = Number(request.headers['last-event-id'] ?? 0) + 1;
	response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
	response.write(formatEvent(from));
	await new Promise(resolve => {
		setTimeout(resolve, 1700);
	});
	response.end(formatEvent(from + 1));
};

test('a server that falls silent is waited for when no other try is left', async () => {
	await fleet.start({runners: [1, 2, 3, 4].map(() => ({service: 'model', behaviour: pauseOnce}))});
	const answer = await fleet.call({path: '/stream/', headers: promptHeaders});
	// The route allows three attempts: two silent servers were replaced, the third was waited for.
	expect([answer.status, answer.isComplete]).toEqual([200, true]);
	expect(answer.body).toBe([1, 2, 3, 4].map(id => formatEvent(id)).join(''));
	const ids = fleet.runners.flatMap(runner => runner.receivedRequests).map(request => request.headers['cresshook-attempt-id']);
	expect(ids).toEqual([ids[0], ids[0], ids[0]]);
});

test('a server that falls silent is waited for when no retry is left', async () => {
	await fleet.start({nodes: 0, runners: [1, 2].map(() => ({service: 'model', behaviour: pauseOnce}))});
	await fleet.addGateway({retrySlack: 0});
	await waitUntil(() => fleet.gateways[0].isReady);
	const answer = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect([answer.status, answer.isComplete, answer.body]).toEqual([200, true, [1, 2].map(id => formatEvent(id)).join('')]);
	expect(fleet.runners.reduce((sum, runner) => sum + runner.receivedRequests.length, 0)).toBe(1);
});

// With many servers silent at once, 20 to 26 streams a day were cancelled after 1.3 s of silence (`the server was silent
// for 1300 ms`) and lost, since any new placement was too late; their servers would have resumed.
test('a server that falls silent is waited for when no other one is available', async () => {
	await fleet.start({runners: [{service: 'model', behaviour: pauseOnce}]});
	const answer = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect([answer.status, answer.isComplete, answer.body]).toEqual([200, true, [1, 2].map(id => formatEvent(id)).join('')]);
	expect(fleet.runners[0].receivedRequests).toHaveLength(1);
});

/** Uses one behaviour for the first request and another one for all later ones, across servers. */
function answerInTurn(first: ServerBehaviour, later: ServerBehaviour): ServerBehaviour {
	let count = 0;
	return async (request, response, socket) => (count++ === 0 ? first : later)(request, response, socket);
}

const sendHeadOnly: ServerBehaviour = (request, response) => {
	response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
	response.flushHeaders();
};

// Two streams were lost within 2 ms of each other, 1.3 s after their servers began to read a prompt of 552,202 tokens, and
// three at the servers that they were moved to (`the server was silent for 1300 ms`, `expectedFirst` 354 to 366 of 375 ms
// left); those that stayed completed after 1,995 ms. So a running attempt is cancelled only once another one has sent data.
test('a stream stays with its silent server when the hedge declines, is silent too or breaks off', async () => {
	const answers = await Promise.all([decline, sendHeadOnly, dropConnection].map(async behaviour => callBesideSilence(behaviour)));
	const whole = [1, 2].map(id => formatEvent(id)).join('');
	expect(answers.map(answer => [answer.status, answer.isComplete, answer.body])).toEqual([1, 2, 3].map(() => [200, true, whole]));
});

/** Calls for a stream of two events with a silence between them; its server loses its entry after the first one. */
async function streamWithoutEntry(silence: number, second: ServerBehaviour): Promise<{answer: ReceivedResponse; took: number}> {
	const stall: ServerBehaviour = async (request, response) => {
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		response.write(formatEvent(1));
		await new Promise(resolve => {
			setTimeout(resolve, silence);
		});
		response.end(formatEvent(2));
	};

	const behaviourInTurn = answerInTurn(stall, second);
	await fleet.start({runners: [1, 2].map(() => ({service: 'model', behaviour: behaviourInTurn}))});
	const started = Date.now();
	const called = fleet.call({path: '/stream/', headers: promptHeaders});
	await waitUntil(() => fleet.runners.some(runner => runner.receivedRequests.length === 1));
	fleet.store.remove('servers', `i-${fleet.runners.findIndex(runner => runner.receivedRequests.length === 1)}`);
	return {answer: await called, took: Date.now() - started};
}

// A server that leaves unannounced loses its entry and still serves.
for (const [name, second] of [['declines', decline], ['breaks off', dropConnection]] as const) {
	test(`a stream is not aborted after 3 s of silence of a server without an entry when the hedge ${name}`, async () => {
		const {answer} = await streamWithoutEntry(3000, second);
		expect([answer.status, answer.isComplete, answer.body]).toEqual([200, true, [1, 2].map(id => formatEvent(id)).join('')]);
	}, 10_000);
}

test('a stream whose server without an entry stays silent ends at the time limit of its route', async () => {
	const {answer, took} = await streamWithoutEntry(20_000, decline);
	expect([answer.isComplete, answer.body]).toEqual([false, formatEvent(1)]);
	// The time limit of the route is 5 s.
	expect(took).toBeGreaterThanOrEqual(5000);
	expect(took).toBeLessThan(5500);
}, 10_000);

// The timeouts of a caller's connection apply to heads, bodies and idle time between requests.
test('an answer that starts later than the idle timeout of its connection is forwarded', async () => {
	const late: ServerBehaviour = (request, response) => {
		setTimeout(() => {
			void createTextAnswer('late')(request, response, response.socket!);
		}, 1200);
	};

	await fleet.start({runners: [{service: 'app', behaviour: late}]});
	fleet.store.put('config', 'main', createConfig(2, {limits: {idleTimeoutMs: 300, headerTimeoutMs: 300}}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 2);
	const answers = await Promise.all(['first', undefined].map(async body => fleet.call({path: '/once/', body})));
	expect(answers.map(answer => [answer.status, answer.isComplete, answer.body])).toEqual([[200, true, 'late'], [200, true, 'late']]);
});

// Each call that waited for a silent server took a retry from the budget before it had a placement, and kept it: with many
// servers silent, 66 retries of other calls were refused within 13 s (`retry_not_granted`).
test('a call that finds no server for a hedge leaves the retry to others', async () => {
	const behaviourInTurn = answerInTurn(pauseOnce, answerInTurn(dropConnection, streamEvents(2)));
	await fleet.start({nodes: 0, runners: [{service: 'model', behaviour: behaviourInTurn}]});
	// A node that has just started may grant a third of that, and its share of two requests: one retry.
	await fleet.addGateway({retrySlack: 6});
	await waitUntil(() => fleet.gateways[0].isReady);
	const silent = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect(silent.isComplete).toBe(true);
	await fleet.addRunner('model', behaviourInTurn);
	await waitUntil(() => fleet.gateways[0].state.listServers('model' as ServiceName).length === 2);
	const dropped = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect([dropped.status, dropped.isComplete]).toEqual([200, true]);
});

/** Calls for a stream whose first server is silent for 1.7 s; `behaviour` is that of the hedge. */
async function callBesideSilence(behaviour: ServerBehaviour): Promise<ReceivedResponse> {
	const behaviourInTurn = answerInTurn(pauseOnce, behaviour);
	const ownFleet = new GatewayFleet();
	try {
		await ownFleet.start({runners: [1, 2].map(() => ({service: 'model', behaviour: behaviourInTurn}))});
		return await ownFleet.call({path: '/stream/', headers: promptHeaders});
	} finally {
		await ownFleet.stop();
	}
}

test('a stream continues elsewhere at once when its server has restarted, a request that may run only once does not', async () => {
	const stall: ServerBehaviour = (request, response) => {
		response.writeHead(200, {...createAnswerHeaders(request), 'content-type': 'text/event-stream'});
		response.write(formatEvent(1));
	};

	await fleet.start({runners: [{service: 'model', behaviour: stall}, {service: 'app', behaviour() {}}]}); // eslint-disable-line @typescript-eslint/no-empty-function
	const answers = [fleet.call({path: '/stream/', headers: promptHeaders}), fleet.call({path: '/once/'})];
	await waitUntil(() => fleet.runners.every(runner => runner.receivedRequests.length === 1));
	await fleet.addRunner('model', streamEvents(2));
	await fleet.addRunner('app', createTextAnswer('twice'));
	await waitUntil(() => fleet.gateways[0].state.listServers('model' as ServiceName).length === 2 && fleet.gateways[0].state.listServers('app' as ServiceName).length === 2);
	const started = Date.now();
	fleet.putServer(0, 'model', 'ready', 1_733_000_000_000);
	fleet.putServer(1, 'app', 'ready', 1_733_000_000_000);
	const stream = await answers[0];
	expect([stream.isComplete, stream.body]).toEqual([true, [1, 2].map(id => formatEvent(id)).join('')]);
	expect(Date.now() - started).toBeLessThan(1000);
	const once = await answers[1];
	expect([once.status, fleet.runners[3].receivedRequests.length]).toEqual([504, 0]);
});

test('a server that was drained and restarted under its name gets requests', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	const born = 1_733_000_000_000;
	fleet.putServer(0, 'app', 'ready', born);
	fleet.putServer(0, 'app', 'draining', born);
	await waitUntil(() => fleet.gateways[0].state.listServers('app' as ServiceName).length === 0);
	fleet.store.remove('servers', 'i-0');
	fleet.putServer(0, 'app', 'ready', born + 9000);
	await waitUntil(() => fleet.gateways[0].state.listServers('app' as ServiceName).length === 1);
	const answer = await fleet.call({path: '/once/'});
	expect([answer.status, fleet.runners[0].receivedRequests[0].headers['cresshook-target-instance']]).toEqual([200, 'i-0']);
});

test('a server whose entry another writer has overwritten gets no new request, and its running requests continue', async () => {
	const slow: ServerBehaviour = (request, response, socket) => {
		setTimeout(() => {
			void createTextAnswer('slow')(request, response, socket);
		}, 600);
	};

	await fleet.start({runners: [{service: 'app', behaviour: slow}, {service: 'app', behaviour: createTextAnswer('fast')}]});
	fleet.store.put('servers', 'i-1', {state: 'ready'});
	await waitUntil(() => fleet.gateways[0].state.listServers('app' as ServiceName).length === 1);
	const running = fleet.call({path: '/once/'});
	await waitUntil(() => fleet.runners[0].receivedRequests.length === 1);
	fleet.store.put('servers', 'i-0', 'not an entry');
	await waitUntil(() => fleet.gateways[0].state.listServers('app' as ServiceName).length === 0);
	fleet.putServer(1, 'app', 'ready');
	await waitUntil(() => fleet.gateways[0].state.listServers('app' as ServiceName).length === 1);
	const other = await fleet.call({path: '/once/'});
	const answer = await running;
	expect([answer.body, other.body, fleet.gateways[0].state.foreignCount]).toEqual(['slow', 'fast', 1]);
});

test('a helper that caused a failure is excluded from the next try, not the server that reported it', async () => {
	await fleet.start({runners: [1, 2, 3, 4].map(() => ({service: 'model', behaviour: decline}))});
	const faulty = fleet.runners[1].address;
	for (const runner of fleet.runners) {
		runner.behaviour = (request, response, socket) => {
			if (request.headers.helpers?.includes(faulty) ?? false) {
				response.writeHead(503, {'cresshook-attempt-id': request.headers['cresshook-attempt-id'] ?? '', 'cresshook-not-executed': '1', 'at-server': faulty});
				response.end();
				return;
			}

			void streamEvents(3)(request, response, socket);
		};
	}

	const longPromptHeaders = {'cresshook-model': 'm', 'cresshook-token-usage': '154000,80', 'cresshook-prompt-prefix': '5c1e:154000'};
	const answers = [await fleet.call({path: '/stream/', headers: longPromptHeaders}), await fleet.call({path: '/stream/', headers: longPromptHeaders})];
	expect(answers.map(answer => [answer.status, answer.isComplete])).toEqual([[200, true], [200, true]]);
	expect(fleet.runners.map(runner => runner.receivedRequests.length)).toEqual([3, 0, 0, 0]);
});

test('a request that may be repeated is answered by another server after a failure', async () => {
	let count = 0;
	const failFirst: ServerBehaviour = (request, response, socket) => {
		void createTextAnswer(count++ === 0 ? 'broken' : 'fine', count === 1 ? 500 : 200)(request, response, socket);
	};

	await fleet.start({runners: [{service: 'app', behaviour: failFirst}, {service: 'app', behaviour: failFirst}]});
	const answer = await fleet.call({path: '/again/', method: 'GET'});
	expect([answer.status, answer.body, count]).toEqual([200, 'fine', 2]);
});

test('an error answer of every server is forwarded with its seal', async () => {
	await fleet.start({runners: [1, 2].map(() => ({service: 'app', behaviour: createTextAnswer('broken', 500)}))});
	const answer = await fleet.call({path: '/again/', method: 'GET'});
	expect([answer.status, answer.body, answer.headers['cresshook-response-seal']]).toEqual([500, 'broken', 'seal']);
});

// With one server of a plain service left, its 500 was dropped: the node took a retry, found no other server
// (`no_backend_server`) and answered with its own 502 (`call_ended`, `backend_unconfirmed`, `sends: 1`), for 26 calls in
// two runs in which servers left at short notice.
test('a request that fails at the only server is retried there, and its error answer is forwarded with its seal', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('broken', 500)}]});
	const failed = await fleet.call({path: '/again/', method: 'GET'});
	expect([failed.status, failed.body, failed.headers['cresshook-response-seal']]).toEqual([500, 'broken', 'seal']);
	expect(fleet.runners[0].receivedRequests).toHaveLength(2);

	let count = 0;
	fleet.runners[0].behaviour = (request, response, socket) => {
		void createTextAnswer(count === 0 ? 'broken' : 'fine', count++ === 0 ? 500 : 200)(request, response, socket);
	};

	const repeated = await fleet.call({path: '/again/', method: 'GET'});
	expect([repeated.status, repeated.body]).toEqual([200, 'fine']);
});

test('an error answer is forwarded when the next server declines, is lost or stays silent', async () => {
	const others: ServerBehaviour[] = [decline, dropConnection, () => {}]; // eslint-disable-line @typescript-eslint/no-empty-function
	await fleet.start({runners: [1, 2].map(() => ({service: 'app', behaviour: decline}))});
	for (const other of others) {
		const behaviours = [createTextAnswer('broken', 500), other];
		for (const runner of fleet.runners) {
			runner.behaviour = (request, response, socket) => {
				void behaviours.shift()!(request, response, socket);
			};
		}

		const answer = await fleet.call({path: '/again/', method: 'GET'});
		expect([answer.status, answer.body, answer.headers['cresshook-response-seal'], answer.isComplete]).toEqual([500, 'broken', 'seal', true]);
	}
});

test('an answer of another request, without a seal or encoded is not forwarded', async () => {
	const behaviours: ServerBehaviour[] = [
		answerWith(request => ({...createAnswerHeaders(request), 'cresshook-attempt-id': 'other'})),
		answerWith(() => ({'content-length': '5'})),
		answerWith(request => ({...createAnswerHeaders(request), 'content-encoding': 'gzip'})),
	];
	await fleet.start({runners: [{service: 'app', behaviour: behaviours[0]}]});
	for (const behaviour of behaviours) {
		fleet.runners[0].behaviour = behaviour;
		const answer = await fleet.call({path: '/once/'});
		expect([answer.status, answer.body.includes('wrong')]).toEqual([502, false]);
	}
});

test('an answer without a length that is held whole gets one, and one that ends by a reset is not complete', async () => {
	let isReset = false;
	const unframed: ServerBehaviour = (request, _response, socket) => {
		const head = Object.entries(createAnswerHeaders(request)).map(([name, value]) => `${name}: ${value}\r\n`).join('');
		socket.write(`HTTP/1.1 200 OK\r\n${head}connection: close\r\n\r\nhalf`);
		setTimeout(() => {
			if (isReset) {
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		}, 20);
	};

	await fleet.start({runners: [{service: 'app', behaviour: unframed}]});
	const ended = await fleet.call({path: '/once/'});
	expect([ended.status, ended.body, ended.headers['content-length'], ended.headers['transfer-encoding'], ended.headers.connection]).toEqual([200, 'half', '4', undefined, 'keep-alive']);
	isReset = true;
	const reset = await fleet.call({path: '/once/'});
	expect([reset.status, reset.body.includes('half')]).toEqual([502, false]);
});

test('a stream is forwarded event by event, unchanged', async () => {
	await fleet.start({runners: [{service: 'model', behaviour: streamEvents(5)}]});
	const answer = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect([answer.status, answer.body, answer.isComplete]).toEqual([200, [1, 2, 3, 4, 5].map(id => formatEvent(id)).join(''), true]);
	expect(fleet.runners[0].receivedRequests[0].headers).toMatchObject(promptHeaders);
});

test('a stream that breaks inside an event continues on another server, and the caller receives one complete answer', async () => {
	let count = 0;
	const breakFirst: ServerBehaviour = async (request, response, socket) => streamEvents(6, count++ === 0 ? 3 : Infinity)(request, response, socket);
	await fleet.start({runners: [{service: 'model', behaviour: breakFirst}, {service: 'model', behaviour: breakFirst}]});
	const answer = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect([answer.body, answer.isComplete]).toEqual([[1, 2, 3, 4, 5, 6].map(id => formatEvent(id)).join(''), true]);
	const resumed = fleet.runners.flatMap(runner => runner.receivedRequests).find(seen => seen.headers['last-event-id'] !== undefined);
	expect(resumed?.headers['last-event-id']).toBe('3');
});

test('a stream that no server can continue does not look complete', async () => {
	await fleet.start({runners: [1, 2, 3].map(() => ({service: 'model', behaviour: streamEvents(6, 2)}))});
	const answer = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect([answer.body, answer.isComplete]).toEqual([formatEvent(1) + formatEvent(2), false]);
});

test('a stream whose first server is silent is answered by another one', async () => {
	let count = 0;
	await fleet.start({
		runners: [1, 2].map(() => ({service: 'model', behaviour: async (request, response, socket) => count++ === 0 ? undefined : streamEvents(2)(request, response, socket)})),
	});
	const answer = await fleet.call({path: '/stream/', headers: promptHeaders});
	expect([answer.body, count]).toEqual([formatEvent(1) + formatEvent(2), 2]);
});

test('a caller that disconnects cancels the request at its server', async () => {
	await fleet.start({runners: [{service: 'model', behaviour() {}}]}); // eslint-disable-line @typescript-eslint/no-empty-function -- it never answers
	await fleet.call({path: '/stream/', headers: promptHeaders, abortAfter: 200});
	await waitUntil(() => fleet.runners[0].abandonedCount === 1, 500);
});

test('a request is answered when the time limit of its route has passed', async () => {
	await fleet.start({runners: [{service: 'app', behaviour() {}}]}); // eslint-disable-line @typescript-eslint/no-empty-function -- it never answers
	const started = Date.now();
	const answer = await fleet.call({path: '/once/'});
	expect(answer.status).toBe(504);
	expect(Date.now() - started).toBeLessThan(1900);
});

test('a draining server gets no new request', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('old')}, {service: 'app', behaviour: createTextAnswer('new')}]});
	fleet.putServer(0, 'app', 'draining');
	await waitUntil(() => fleet.gateways[0].state.findUsableServer('i-0' as never) === undefined);
	const answers = await Promise.all([1, 2, 3, 4].map(async () => fleet.call({path: '/once/'})));
	expect(answers.map(answer => answer.body)).toEqual(['new', 'new', 'new', 'new']);
});

test('a newer configuration is applied soon and an older one is ignored', async () => {
	await fleet.start({runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	fleet.store.put('config', 'main', createConfig(7, {tenants: [{name: 'guild', apiKeys: ['new-key']}]}));
	await waitUntil(() => fleet.gateways[0].state.configVersion === 7, 2000);
	fleet.store.put('config', 'main', createConfig(5));
	await fleet.call({path: '/once/'});
	const answers = await Promise.all(['secret-key', 'new-key'].map(async key => fleet.call({path: '/once/', headers: {authorization: `Bearer ${key}`}})));
	expect(answers.map(answer => answer.status)).toEqual([401, 200]);
});

test('a node without a configuration says that it is not ready', async () => {
	fleet.store.trouble = 'busy';
	await fleet.store.start();
	await fleet.addGateway();
	const answer = await fleet.call({path: '/once/'});
	expect([answer.status, fleet.gateways[0].isReady]).toEqual([503, false]);
});

test('a call that arrives before a new node has its first view is held and served, not refused', async () => {
	await fleet.start({nodes: 0, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	fleet.store.trouble = 'slow';
	await fleet.addGateway();
	expect(fleet.gateways[0].isReady).toBe(false);
	const answers = await Promise.all([1, 2, 3].map(async () => fleet.call({path: '/once/'})));
	expect(answers.map(answer => [answer.status, answer.body])).toEqual([[200, 'yes'], [200, 'yes'], [200, 'yes']]);
});

test('a held call whose caller disconnects is not sent to a server', async () => {
	await fleet.start({nodes: 0, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	fleet.store.trouble = 'slow';
	await fleet.addGateway();
	await fleet.call({path: '/once/', abortAfter: 30});
	await waitUntil(() => fleet.gateways[0].isReady);
	expect(fleet.runners[0].receivedRequests).toHaveLength(0);
});

test('a node whose store refuses it answers at once with a retry-after', async () => {
	await fleet.start({nodes: 0, runners: []});
	fleet.store.trouble = 'busy';
	await fleet.addGateway();
	await fleet.call({path: '/once/'});
	const started = Date.now();
	const answer = await fleet.call({path: '/once/'});
	expect([answer.status, Number(answer.headers['retry-after']) > 0, Date.now() - started < 200]).toEqual([503, true, true]);
});

test('a node that started with a silent store loads the servers once the store answers', async () => {
	await fleet.store.start();
	fleet.store.put('config', 'main', createConfig(1));
	await fleet.addRunner('app', createTextAnswer('yes'));
	fleet.store.trouble = 'silent';
	await fleet.addGateway();
	await new Promise(resolve => {
		setTimeout(resolve, 300);
	});
	globalThis.gc?.();
	fleet.store.trouble = 'none';
	await waitUntil(() => fleet.gateways[0].isReady, 4000);
	const answer = await fleet.call({path: '/once/'});
	expect(answer.status).toBe(200);
});

/** Starts a node and a call that its server answers after `answerAfter` milliseconds; returns the pending answer once the server has the request. */
async function startCall(answerAfter: number): Promise<{answer: Promise<ReceivedResponse>}> {
	await fleet.start({
		runners: [{
			service: 'app',
			behaviour(request, response, socket) {
				setTimeout(() => {
					void createTextAnswer('late')(request, response, socket);
				}, answerAfter);
			},
		}],
	});
	const answer = fleet.call({path: '/once/'});
	await waitUntil(() => fleet.runners[0].receivedRequests.length === 1);
	return {answer};
}

test('a stopping node refuses new calls once its address answers have expired, and completes running calls', async () => {
	const running = await startCall(1400);
	const stopped = fleet.gateways[0].stop();
	await new Promise(resolve => {
		setTimeout(resolve, 1150);
	});
	const refused = await fleet.call({path: '/once/'});
	const answer = await running.answer;
	await stopped;
	expect([refused.status, answer.body, fleet.runners[0].receivedRequests.length]).toEqual([503, 'late', 1]);
});

test('a planned stop completes running calls and ends within the grace period', async () => {
	const running = await startCall(800);
	const started = Date.now();
	const stopped = fleet.gateways[0].stop();
	expect(fleet.gateways[0].isReady).toBe(false);
	const answer = await running.answer;
	expect(answer.body).toBe('late');
	await stopped;
	expect(Date.now() - started).toBeLessThan(4000);
});
