/** Identifiers for replays: the same run gives the same ones. */
import type {IdSource} from '../common/index.js';

/** Letters of a UUID, which callers may cut from either end. */
const uuidLength = 36;

/** Counts up from 1, in the length of a UUID. */
export function createCountingIds(): IdSource {
	let count = 0;
	return {createUuid: () => String(++count).padStart(uuidLength, '0')};
}
