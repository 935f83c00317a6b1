import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createConfig, GatewayFleet, waitUntil} from './helpers/gateways.js';
import {LinkProxy} from './helpers/link-proxy.js';
import {createTextAnswer} from './helpers/platform-standins.js';

/** Timeout of tests with several changes, in milliseconds. */
const testTimeout = 60_000;

/** Time within which a change must take effect at every node, in milliseconds. */
const maxPropagationTime = 2000;

/** Bandwidth of a link of 20 Mbit/s, in bytes per millisecond. */
const linkRate = 2500;

/** Number of additional routes that make a configuration of about a megabyte. */
const fillerRouteCount = 4500;

const nodeCount = 4;

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

/** Starts nodes that each reach the store over their own link. */
async function startFleetWithLinks(rate?: number): Promise<void> {
	await fleet.start({nodes: 0, runners: [{service: 'app', behaviour: createTextAnswer('yes')}]});
	for (let index = 0; index < nodeCount; index++) {
		const link = await new LinkProxy(fleet.store.address, rate).start();
		links.push(link);
		await fleet.addGateway({storeAddress: link.address});
	}

	await waitUntil(() => fleet.gateways.every(gateway => gateway.isReady) && fleet.gateways.filter(gateway => gateway.isWatcher).length === 3);
}

/** Creates a configuration of about a megabyte, with a route that only this version has. */
function createLargeConfig(version: number): Record<string, unknown> {
	const config = createConfig(version);
	const routes = config.routes as Array<Record<string, unknown>>;
	const filler = Array.from({length: fillerRouteCount}, (_, index) => ({...routes[1], name: `filler-${index}`, pathPrefix: `/filler-${index}/`}));
	return {...config, routes: [...routes, ...filler, {...routes[1], name: `new-${version}`, pathPrefix: `/new-${version}/`}]};
}

async function measurePropagation(version: number): Promise<number> {
	const startedAt = performance.now();
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.configVersion >= version));
	return performance.now() - startedAt;
}

test('a megabyte of configuration over links of 20 Mbit/s takes effect in time, also twice in half a second', async () => {
	await startFleetWithLinks(linkRate);
	const bytes = JSON.stringify(createLargeConfig(2)).length;
	expect(bytes).toBeGreaterThan(900_000);
	fleet.store.put('config', 'main', createLargeConfig(2));
	expect(await measurePropagation(2)).toBeLessThan(maxPropagationTime + (bytes / linkRate));
	fleet.store.put('config', 'main', createLargeConfig(3));
	await new Promise(resolve => {
		setTimeout(resolve, 400);
	});
	fleet.store.put('config', 'main', createLargeConfig(4));
	expect(await measurePropagation(4)).toBeLessThan(maxPropagationTime + (2 * bytes / linkRate));
	const answer = await fleet.call({path: '/new-4/'}, nodeCount - 1);
	expect(answer.status).toBe(200);
}, testTimeout);

test('changes take effect in time when the store drops its history with each of them', async () => {
	await startFleetWithLinks();
	for (let version = 2; version < 8; version++) {
		fleet.store.put('config', 'main', createConfig(version));
		fleet.store.forgetHistory();
		expect(await measurePropagation(version)).toBeLessThan(maxPropagationTime);
	}

	fleet.putServer(0, 'app', 'draining');
	fleet.store.forgetHistory();
	await waitUntil(() => fleet.gateways.every(gateway => gateway.state.usableServers === 0), maxPropagationTime);
	expect(fleet.gateways.every(gateway => gateway.isReady)).toBe(true);
}, testTimeout);
