/**
 * Which nodes follow the source, and tell the others. Pure.
 *
 * Each call to the source has a price, a waiting one too, and all nodes would hear the same.
 * So a few follow it, more than can fail at once by chance; the others take changes from
 * whichever node is ahead of them.
 */
import {orderByRendezvous} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';

/** Nodes that follow the source, in a fleet of any size. */
const watcherCount = 3;

/** How many times as many nodes try the source next as have tried it in vain. */
const probeGrowth = 2;

/** Nodes that begin to try the source at once, at most: it may be silent because it is slow. */
const maxProbes = 24;

/**
 * The nodes that follow the source, out of all live ones.
 *
 * The first ones in a fixed order, and for each of those that cannot reach it one that can. While no node hears the
 * source, more and more try: a source may serve a few nodes of hundreds, and one of them is enough.
 */
export function chooseWatchers(nodes: Peer[]): Peer[] {
	const ordered = orderByRendezvous('source', nodes, node => node.name);
	const first = ordered.slice(0, watcherCount);
	const reachableCount = first.filter(node => node.isSourceReachable).length;
	if (reachableCount === first.length) {
		return first;
	}

	const reachable = ordered.slice(watcherCount).filter(node => node.isSourceReachable);
	const hearing = reachable.filter(node => node.hearsSource).slice(0, first.length - reachableCount);
	const candidates = reachable.filter(node => !node.hearsSource);
	const unreachableCount = ordered.filter(node => !node.isSourceReachable).length;
	const needed = reachableCount + hearing.length > 0 ? first.length - reachableCount - hearing.length : Math.min(maxProbes, unreachableCount * probeGrowth);
	return [...first, ...hearing, ...candidates.slice(0, needed)];
}
