/** The item with the lowest cost, the first of equals; undefined for an empty list. */
export function findMin<Item>(items: Item[], computeCost: (item: Item) => number): Item | undefined {
	let best: Item | undefined;
	let min = Infinity;
	for (const item of items) {
		const cost = computeCost(item);
		if (best === undefined || cost < min) {
			best = item;
			min = cost;
		}
	}

	return best;
}

/** One of the items with the lowest cost, chosen among equals by a share from 0 to 1; undefined for an empty list. */
export function findEqualMin<Item>(items: Item[], computeCost: (item: Item) => number, share: number): Item | undefined {
	const costs = items.map(item => computeCost(item));
	const min = Math.min(...costs);
	const equals = items.filter((_, index) => costs[index] === min);
	return equals[Math.min(equals.length - 1, Math.floor(share * equals.length))];
}
