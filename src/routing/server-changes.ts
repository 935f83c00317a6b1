/** Which changes of backend servers have an effect. Pure except for the clock. */
import type {ColdServers} from './cold-servers.js';
import type {Change} from './fleet-source.js';
import {isUsable, type KnownServer} from './known-servers.js';
import type {SnapshotServer} from './server-snapshot.js';

/** What an entry that only repeats a known one has in common with it. */
const refreshedKeys = ['id', 'service', 'address', 'availabilityZone', 'slots', 'isLeaving'] as const;

/** Whether an entry only repeats what is known, as those of cold servers do every 1.2 s: it needs no new plans or announcements. */
export function isRefresh(item: SnapshotServer, known: KnownServer | undefined, coldServers: ColdServers): boolean {
	if (known === undefined || !coldServers.isEnabled || !isUsable(known) || known.forgetAt !== undefined) {
		return false;
	}

	const {server} = known;
	const isCold = coldServers.computeColdLeft(item.id) > 0;
	return isCold === ((item.coldFor ?? 0) > 0) && item.isOverwritten !== true && item.forgetIn === undefined && item.doubtfulFor === undefined
		&& refreshedKeys.every(key => item[key] === server[key]);
}

/**
 * Drops removals of items that the same list of changes adds again later.
 *
 * Another node's snapshot may already hold the added entry, which is then ignored as old, so its removal must not be
 * applied either. Otherwise all twenty servers of a service were removed after an outage, and its calls failed for 26 s.
 */
export function dropSupersededRemovals<Item>(changes: Array<Change<Item>>): Array<Change<Item>> {
	const lastUpdates = new Map(changes.flatMap(({name, item}, index) => item === undefined ? [] : [[name, index]]));
	return changes.filter(({name, item, isForeign}, index) => item !== undefined || isForeign === true || index > (lastUpdates.get(name) ?? -1));
}
