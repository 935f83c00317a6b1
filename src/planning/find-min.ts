/** The item with the least cost, the first of equals; undefined for an empty list. */
export function findMin<Item>(items: Item[], costOf: (item: Item) => number): Item | undefined {
	let best: Item | undefined;
	let least = Infinity;
	for (const item of items) {
		const cost = costOf(item);
		if (best === undefined || cost < least) {
			best = item;
			least = cost;
		}
	}

	return best;
}
