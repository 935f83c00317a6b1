/**
 * Positions in the history of the source.
 *
 * A source counts its changes in revisions. When it is restored from a copy, later changes are lost and their revisions are given out
 * again; its era tells the histories apart. A position orders both, era first, in one number, so that a position of a
 * restored source is later than all before and positions can be compared and sent like revisions.
 */

/** Number of revisions in an era: at a thousand writes a second they last for 34 years. */
const revisionsPerEra = 2 ** 40;

/** Highest era whose positions are safe integers. */
const maxEra = (2 ** 13) - 1;

/** Whether a revision can be part of a position. */
export function isRevision(value: unknown): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= 0 && value < revisionsPerEra;
}

/** Whether an era can be part of a position. */
export function isEra(value: number): boolean {
	return Number.isSafeInteger(value) && value >= 0 && value <= maxEra;
}

/** Creates the position of a revision in an era; era 0 is that of a source that does not state one. */
export function createPosition(era: number, revision: number): number {
	return (era * revisionsPerEra) + revision;
}

/** The era of a position. */
export function readEra(position: number): number {
	return Math.floor(position / revisionsPerEra);
}

/** The revision of a position within its era. */
export function readRevision(position: number): number {
	return position % revisionsPerEra;
}

/** Formats a position for people, as ERA/REVISION; in era 0, without an era, it is the revision itself. */
export function formatPosition(position: number): number | string {
	const era = readEra(position);
	return era === 0 ? position : `${era}/${readRevision(position)}`;
}
