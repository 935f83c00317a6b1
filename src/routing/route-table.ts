/** Indexed lookups in one version of the configuration. Pure. */
import type {OrganisationId, ServiceName} from '../common/index.js';
import type {
	Organisation, Route, RoutingConfig, ServiceSpec,
} from './model.js';

/** Indexes of a configuration: routes by host, organisations by key, services by name. */
export class RouteTable {
	readonly #routesByHost = new Map<string, Map<string, Route>>();
	readonly #organisationsByKey = new Map<string, Organisation>();
	readonly #services = new Map<ServiceName, ServiceSpec>();

	constructor(readonly config: RoutingConfig) {
		for (const route of config.routes) {
			const routes = this.#routesByHost.get(route.host) ?? new Map<string, Route>();
			this.#routesByHost.set(route.host, routes);
			if (!routes.has(route.pathPrefix)) {
				routes.set(route.pathPrefix, route);
			}
		}

		for (const organisation of config.organisations) {
			for (const key of organisation.keys) {
				this.#organisationsByKey.set(key, organisation);
			}
		}

		for (const service of config.services) {
			this.#services.set(service.name, service);
		}
	}

	/**
	 * Finds the route with the longest prefix of the path, which has no query.
	 *
	 * Prefixes end with a slash, so only the path's own prefixes up to a slash are looked up, regardless of the number of routes.
	 */
	findRoute(host: string, path: string): Route | undefined {
		const hostName = host.split(':', 1)[0].toLowerCase();
		const routes = this.#routesByHost.get(hostName);
		if (routes === undefined) {
			return undefined;
		}

		for (let end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			const route = routes.get(path.slice(0, end + 1));
			if (route !== undefined || end === 0) {
				return route;
			}
		}

		return undefined;
	}

	/** Finds the organisation of a key. */
	findOrganisation(key: string): Organisation | undefined {
		return this.#organisationsByKey.get(key);
	}

	/** Whether any organisation is configured; otherwise no request needs a key. */
	get hasOrganisations(): boolean {
		return this.config.organisations.length > 0;
	}

	/** Finds a service by name. */
	findService(name: ServiceName): ServiceSpec | undefined {
		return this.#services.get(name);
	}
}

/** Picks one of a route's services by weight; `random` is uniform from 0 up to 1. */
export function chooseService(route: Route, random: number): ServiceName | undefined {
	const total = route.services.reduce((sum, entry) => sum + entry.weight, 0);
	let remaining = random * total;
	for (const entry of route.services) {
		remaining -= entry.weight;
		if (remaining < 0) {
			return entry.service;
		}
	}

	return route.services.at(-1)?.service;
}

/** Returns the priority of a call: the organisation's if it has one, else the route's. */
export function findPriority(route: Route, organisation?: {name: OrganisationId; priority?: number}): number {
	return organisation?.priority ?? route.priority;
}
