/** What of changed settings a running node takes over, and what waits for its next start. Pure. */
import type {GatewaySettings} from './gateway-settings.js';

/**
 * Keys that a running node takes over, as written in the file.
 *
 * The others are what a node is to the rest of the fleet, or what listeners were opened and
 * memory was counted by: `retry.window_seconds` too, since what lies further back than the old window is forgotten.
 */
const reloadableKeys = new Set(['address_lifetime_seconds', 'log.level', 'retry.ratio', 'retry.slack', 'seeds', 'stop.grace_seconds']);

/** A change of settings. */
export type SettingsChange = {
	/** The settings in force from now on. */
	inForce: GatewaySettings;
	/** Keys that are taken over, and those that wait for the next start. */
	taken: string[];
	waiting: string[];
};

/** Compares what is in force with a changed file. */
export function compareSettings(current: GatewaySettings, changed: GatewaySettings): SettingsChange {
	const [before, after] = [listKeys(current), listKeys(changed)];
	const differing = [...new Set([...before.keys(), ...after.keys()])].filter(key => before.get(key) !== after.get(key)).sort();
	return {
		inForce: {
			...current,
			address_lifetime_seconds: changed.address_lifetime_seconds,
			log: changed.log,
			retry: {...changed.retry, window_seconds: current.retry.window_seconds},
			seeds: changed.seeds,
			stop: changed.stop,
		},
		taken: differing.filter(key => reloadableKeys.has(key)),
		waiting: differing.filter(key => !reloadableKeys.has(key)),
	};
}

/** The values by their keys, those of tables as `table.key`. */
function listKeys(settings: GatewaySettings): Map<string, string> {
	return new Map(Object.entries(settings).flatMap(([key, value]) => typeof value === 'object' && !Array.isArray(value)
		? Object.entries(value).map(([inner, item]): [string, string] => [`${key}.${inner}`, JSON.stringify(item)])
		: [[key, JSON.stringify(value)]]));
}
