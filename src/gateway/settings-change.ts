/** Splits changed settings into those that apply at run time and those that need a restart. Pure. */
import type {GatewaySettings} from './gateway-settings.js';

/**
 * Keys that can change at run time, as written in the file.
 *
 * The others identify the node to the fleet, or are tied to open listeners and recorded history: `retry.window_seconds`
 * too, since records older than the previous window have been discarded.
 */
const reloadableKeys = new Set(['address_lifetime_seconds', 'log.level', 'retry.ratio', 'retry.slack', 'seeds', 'stop.grace_seconds']);

/** Effect of a change of settings. */
export type SettingsChange = {
	/** The settings in force after the change. */
	inForce: GatewaySettings;
	/** Changed keys that are in force, and those that take effect at the next start. */
	taken: string[];
	waiting: string[];
};

/** Compares the settings in force with changed ones. */
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

/** Values as JSON by key; keys in tables are written `table.key`. */
function listKeys(settings: GatewaySettings): Map<string, string> {
	return new Map(Object.entries(settings).flatMap(([key, value]) => typeof value === 'object' && !Array.isArray(value)
		? Object.entries(value).map(([inner, item]): [string, string] => [`${key}.${inner}`, JSON.stringify(item)])
		: [[key, JSON.stringify(value)]]));
}
