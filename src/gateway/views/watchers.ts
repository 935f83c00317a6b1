/**
 * Chooses the nodes that watch the source on behalf of the fleet. Pure.
 *
 * Every call loads the source, long polls included, and all nodes would receive the same. So a few nodes watch it,
 * enough to survive independent failures; the others fetch changes from any peer that is ahead.
 */
import {orderByRendezvous} from '../../common/index.js';
import type {Peer} from '../peers/heartbeat.js';

/** Number of watchers, whatever the size of the fleet. */
const watcherCount = 3;

/** Ratio of nodes that probe the source next to nodes that could not reach it. */
const probeGrowth = 2;

/** Maximum number of nodes that start to probe the source at once: it may be unresponsive because it is overloaded. */
const maxProbes = 24;

/**
 * Chooses the watchers among all live nodes.
 *
 * Takes the first nodes in rendezvous order, plus one reachable node for each of these that cannot reach the source.
 * While no node is connected, the number of probes grows: the source may answer only a few of hundreds of nodes, and
 * one is enough.
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
