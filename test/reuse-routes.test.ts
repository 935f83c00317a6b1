// Guards the hand-written comparison of routes: a route that differs in any part must count as changed, or a node would keep
// the earlier one; and one that came over the wire, where undefined parts are left out, must not, or all are sent again.
import {expect, test} from '@jest/globals';
import type {ServiceName} from '../src/common/index.js';
import {computeConfigChanges, reuseEqualRoutes, type Route} from '../src/routing/index.js';
import {createRoutedConfig, createRoutes} from './helpers/viewing-fleet.js';

const routes = createRoutes(3);

/** Whether a route that was read again counts as equal to an earlier one. */
function isReused(earlier: Route, later: Route): boolean {
	const before = createRoutedConfig(1, [earlier]);
	return reuseEqualRoutes(before, createRoutedConfig(2, [structuredClone(later)])).routes[0] === earlier;
}

const [route] = routes;
const {longestPause, ...withoutPause} = route;

test.each<[string, Route]>([
	...Object.keys(route).filter(key => key !== 'services').map((key): [string, Route] => [key, {...route, [key]: 'other'}]),
	['no pause', withoutPause],
	['no service', {...route, services: []}],
	['a second service', {...route, services: [...route.services, ...route.services]}],
	['a weight', {...route, services: [{...route.services[0], weight: 2}]}],
	['a service', {...route, services: [{...route.services[0], service: 'app' as ServiceName}]}],
])('a route that differs in %s is a changed route', (_name, changed) => {
	expect([isReused(route, changed), isReused(changed, route), isReused(changed, changed)]).toEqual([false, false, true]);
});

test('a route is equal to its text on the wire, which lacks undefined parts', () => {
	const withUndefined = {...route, longestPause: undefined};
	const sent = JSON.parse(JSON.stringify(withUndefined)) as Route; // eslint-disable-line unicorn/prefer-structured-clone -- it keeps undefined parts
	expect(isReused(withUndefined, sent)).toBe(true);
	expect(isReused(withoutPause, withUndefined)).toBe(true);
});

test('routes that change places are found again', () => {
	const before = createRoutedConfig(1, routes);
	const after = reuseEqualRoutes(before, structuredClone(createRoutedConfig(2, [routes[2], routes[0], routes[1]])));
	expect(computeConfigChanges(before, after).routes).toEqual([{kind: 'kept', start: 2, count: 1}, {kind: 'kept', start: 0, count: 2}]);
});
