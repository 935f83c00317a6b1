import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {LinkProxy} from './helpers/link-proxy.js';
import {answerWhole} from './helpers/platform-standins.js';

/** For tests of several changes, in milliseconds. */
const playLimit = 60_000;

/** Time within which a change must be in force at every node, in milliseconds. */
const changeBound = 2000;

/** Bytes a millisecond of a link of 20 Mbit/s. */
const linkRate = 2500;

/** Routes of a configuration of some megabyte. */
const manyRoutes = 4500;

const nodes = 4;

let fleet: GatewayFleet;
let links: LinkProxy[];

beforeEach(() => {
	fleet = new GatewayFleet();
	links = [];
});

afterEach(async () => {
	await fleet.stop();
	await Promise.all(links.map(async link => link.stop()));
});

/** Nodes that each reach the store over a link of their own. */
async function startLinked(rate?: number): Promise<void> {
	await fleet.start({nodes: 0, runners: [{service: 'app', behaviour: answerWhole('yes')}]});
	for (let index = 0; index < nodes; index++) {
		const link = await new LinkProxy(fleet.store.address, rate).start();
		links.push(link);
		await fleet.addGateway({storeAddress: link.address});
	}

	await waitUntil(() => fleet.gateways.every(gateway => gateway.isReady) && fleet.gateways.filter(gateway => gateway.isWatcher).length === 3);
}

/** A configuration of some megabyte whose version adds a route. */
function createLarge(version: number): Record<string, unknown> {
	const config = createConfig(version);
	const routes = config.routes as Array<Record<string, unknown>>;
	const filler = Array.from({length: manyRoutes}, (_, index) => ({...routes[1], name: `filler-${index}`, pathPrefix: `/filler-${index}/`}));
	return {...config, routes: [...routes, ...filler, {...routes[1], name: `new-${version}`, pathPrefix: `/new-${version}/`}]};
}

async function measureUntil(version: number): Promise<number> {
	const began = performance.now();
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.configVersion >= version));
	return performance.now() - began;
}

test('a megabyte of configuration over links of 20 Mbit/s is in force in time, also twice in half a second', async () => {
	await startLinked(linkRate);
	const bytes = JSON.stringify(createLarge(2)).length;
	expect(bytes).toBeGreaterThan(900_000);
	fleet.store.put('config', 'main', createLarge(2));
	expect(await measureUntil(2)).toBeLessThan(changeBound + (bytes / linkRate));
	fleet.store.put('config', 'main', createLarge(3));
	await new Promise(resolve => {
		setTimeout(resolve, 400);
	});
	fleet.store.put('config', 'main', createLarge(4));
	expect(await measureUntil(4)).toBeLessThan(changeBound + (2 * bytes / linkRate));
	const answer = await fleet.call({path: '/new-4/'}, nodes - 1);
	expect(answer.status).toBe(200);
}, playLimit);

test('changes are in force in time though the store forgets its history with each of them', async () => {
	await startLinked();
	for (let version = 2; version < 8; version++) {
		fleet.store.put('config', 'main', createConfig(version));
		fleet.store.forgetHistory();
		expect(await measureUntil(version)).toBeLessThan(changeBound);
	}

	fleet.putServer(0, 'app', 'draining');
	fleet.store.forgetHistory();
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.usableServers === 0), changeBound);
	expect(fleet.gateways.every(gateway => gateway.isReady)).toBe(true);
}, playLimit);
