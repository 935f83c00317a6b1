/**
 * Puts two nodes of the gateway through their first second, over loopback, in this process.
 *
 * What they have run is in V8's code cache afterwards: a node that starts from it compiles nothing
 * before it serves. The store and the servers are a few lines here, for the build needs no tests.
 */
'use strict';

const {mkdtempSync, rmSync, writeFileSync} = require('node:fs');
const http = require('node:http');
const os = require('node:os');
const path = require('node:path');
const process = require('node:process');
const {setTimeout: pause} = require('node:timers/promises');
// Objects and calls in the platform's words.
const {
	answerFields, calls, config, requestIdField, servers,
} = require('../platform/warm-up.json');

/** Addresses of this process alone: builds that run at once would take each other's ports. */
const hosts = [1, 2].map(network => `127.${network}.${Math.floor(process.pid / 256) % 256}.${process.pid % 256}`);

/** Longest time until both nodes are ready, and time for heartbeats and plans after the calls, in milliseconds. */
const readyWithin = 5000;
const settleTime = 1200;
const pollEvery = 50;

/** Lists at once, and lets watches wait. */
function answerStore(request, response, serversAddress) {
	const url = new URL(request.url, 'http://store');
	if (request.method !== 'GET') {
		request.resume();
		response.end('{"metadata":{"name":"x"},"spec":{}}');
		return;
	}

	if (url.searchParams.has('watch')) {
		setTimeout(() => {
			response.end('{"events":[],"at":9}');
		}, 500).unref();
		return;
	}

	const items = url.pathname.endsWith('/config')
		? [{metadata: {name: 'main', revision: 1}, spec: config}]
		: (url.pathname.endsWith('/servers') ? servers.map(({metadata, spec}) => ({metadata, spec: {...spec, address: serversAddress}})) : []);
	response.end(JSON.stringify({items, at: 9}));
}

function answerCall(request, response) {
	request.resume();
	const isStream = request.url.startsWith('/stream/');
	response.writeHead(200, {
		...answerFields,
		[requestIdField]: request.headers[requestIdField],
		...(isStream ? {'content-type': 'text/event-stream'} : {}),
	});
	response.end(isStream ? 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n' : 'answer');
}

async function listen(handler) {
	const server = http.createServer(handler);
	await new Promise(resolve => {
		server.listen({host: hosts[0], port: 0}, resolve);
	});
	return {server, address: `${hosts[0]}:${server.address().port}`};
}

async function findFreePorts(count) {
	const opened = await Promise.all(Array.from({length: count}, async () => listen(() => undefined)));
	for (const {server} of opened) {
		server.close();
	}

	return opened.map(({address}) => Number(address.split(':')[1]));
}

function formatSettings(host, ports, store) {
	const [callers, ready, addresses, peers, heartbeats, metrics] = ports;
	return `box = "${host}"
region = "warm"
availability_zone = "warm"
seeds = ["${hosts[0]}:${peers}", "${hosts[1]}:${peers}"]
heartbeat_port = ${heartbeats}
metrics_port = ${metrics}
[listen]
callers = "${host}:${callers}"
ready = "${host}:${ready}"
addresses = "${host}:${addresses}"
peers = "${host}:${peers}"
[store]
address = "${store}"
[stop]
grace_seconds = 1
[retry]
ratio = 0.2
slack = 100
window_seconds = 10
`;
}

async function ask(host, port, {path: target, headers}) {
	return new Promise(resolve => {
		const request = http.request({
			host, port, path: target, headers, method: headers === undefined ? 'GET' : 'POST',
		}, response => {
			response.resume();
			response.on('end', () => {
				resolve(response.statusCode);
			});
		});
		request.on('error', () => {
			resolve(0);
		});
		request.end(headers === undefined ? undefined : 'warm');
	});
}

async function waitUntilReady(port) {
	const end = Date.now() + readyWithin;
	for (;;) {
		const statuses = await Promise.all(hosts.map(async host => ask(host, port, {path: '/v1/readyz'})));
		if (statuses.every(status => status === 200)) {
			return;
		}

		if (Date.now() > end) {
			throw new Error(`the nodes were not ready within ${readyWithin} ms, their answers: ${statuses.join(', ')}`);
		}

		await pause(pollEvery);
	}
}

/** Starts the nodes by `start`, which runs the program with its arguments; returns when they have served calls. */
async function warmStart(start) {
	const backends = await listen(answerCall);
	const store = await listen((request, response) => {
		answerStore(request, response, backends.address);
	});
	const ports = await findFreePorts(6);
	const folder = mkdtempSync(path.join(os.tmpdir(), 'cresshook-warm-'));
	try {
		for (const host of hosts) {
			const file = path.join(folder, `${host}.toml`);
			writeFileSync(file, formatSettings(host, ports, store.address));
			start(['gateway', '--settings', file]);
		}

		await waitUntilReady(ports[1]);
		await ask(hosts[0], ports[2], {path: '/v1/resolve?name=warm.example&region=warm&zone=warm'});
		await pause(settleTime);
		for (const call of calls) {
			const statuses = await Promise.all(hosts.map(async host => ask(host, ports[0], call)));
			if (statuses.some(status => status !== 200)) {
				throw new Error(`calls of the warm start to ${call.path} were answered ${statuses.join(', ')}`);
			}

			await pause(pollEvery);
		}

		await pause(settleTime);
	} finally {
		rmSync(folder, {recursive: true});
	}
}

module.exports = {warmStart, program: [process.argv[0], 'cresshook']};
