/**
 * Which nodes follow the source, and tell the others. Pure.
 *
 * Each call to the source has a price, a waiting one too, and all nodes would hear the same.
 * So a few follow it, more than can fail at once by chance; the others take changes from
 * whichever node is ahead of them.
 */
import {orderByRendezvous} from '../../common/index.js';
import type {Peer} from '../peers/peer-beat.js';

/** Nodes that follow the source, in a fleet of any size: three that fail together are rarer than a source that is away. */
const watcherCount = 3;

/** At most this many times as many follow when the first ones cannot reach the source: it may turn a part of the fleet away, or be away for all. */
const mostExtra = 3;

/**
 * The nodes that follow the source, out of all live ones.
 *
 * The first ones in a fixed order, and for each of those that cannot reach it the next one that can.
 */
export function chooseWatchers(nodes: Peer[]): Peer[] {
	const ordered = orderByRendezvous('source', nodes, node => node.name);
	const first = ordered.slice(0, watcherCount);
	const missing = first.filter(node => !node.isSourceReachable).length;
	const extra = ordered.slice(watcherCount, watcherCount * mostExtra).filter(node => node.isSourceReachable).slice(0, missing);
	return [...first, ...extra];
}
