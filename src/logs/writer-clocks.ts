/** Estimates the offsets between the clocks of the nodes and that of the log collector. */
import type {LogLine} from './log-line.js';

/** Maximum plausible delay between writing and collecting a line, in milliseconds. Nodes buffer lines for at most 200 ms; a larger difference means that the clock was set. */
const maxBufferTime = 1000;

/** Estimates when lines were written. Nodes buffer their lines, so the collector's times would put decisions of two nodes in the wrong order. */
export class WriterClocks {
	readonly #offsets = new Map<string, number>();

	/** Adds a line; the line with the smallest delay determines the clock offset. */
	add({writer, at, writtenAt}: LogLine): void {
		if (writtenAt !== undefined) {
			this.#offsets.set(writer, Math.min(at - writtenAt, this.#offsets.get(writer) ?? Infinity));
		}
	}

	/** Estimates when a line was written, by the collector's clock, or by the node's if there is no collector. */
	estimateTime({writer, at, writtenAt}: LogLine): number {
		const offset = this.#offsets.get(writer);
		if (writtenAt === undefined || offset === undefined) {
			return at;
		}

		const estimated = writtenAt + offset;
		return Math.abs(estimated - at) > maxBufferTime ? at : estimated;
	}
}
