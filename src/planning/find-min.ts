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
