/** Work on many items that leaves the event loop to others in between. */
import {setImmediate as waitForTurn} from 'node:timers/promises';

/** Number of items that are handled in one turn of the event loop: a page of a list. */
const itemsPerTurn = 500;

/** Maps items in order and drops those that map to undefined. */
export async function collectInTurns<Item, Result>(items: readonly Item[], map: (item: Item) => Result | undefined): Promise<Result[]> {
	const results: Result[] = [];
	for (let start = 0; start < items.length; start += itemsPerTurn) {
		if (start > 0) {
			await waitForTurn();
		}

		for (const item of items.slice(start, start + itemsPerTurn)) {
			const result = map(item);
			if (result !== undefined) {
				results.push(result);
			}
		}
	}

	return results;
}
