/** The clocks of those who write lines, against that of the collector that put its own time before them. */
import type {LogLine} from './log-line.js';

/** A time that differs by more from that of the collector is that of a clock that was set meanwhile, in milliseconds: lines are gathered for 200 at most. */
const maxBufferTime = 1000;

/** Estimates when lines were written: a node gathers its lines before it hands them on, which would put the decisions of two nodes in a wrong order. */
export class WriterClocks {
	readonly #offsets = new Map<string, number>();

	/** Takes a line; the one that was handed on soonest tells how the clocks differ. */
	add({writer, at, writtenAt}: LogLine): void {
		if (writtenAt !== undefined) {
			this.#offsets.set(writer, Math.min(at - writtenAt, this.#offsets.get(writer) ?? Infinity));
		}
	}

	/** When a line was written, by the collector's clock; by the node's where there was no collector. */
	estimateTime({writer, at, writtenAt}: LogLine): number {
		const offset = this.#offsets.get(writer);
		if (writtenAt === undefined || offset === undefined) {
			return at;
		}

		const estimated = writtenAt + offset;
		return Math.abs(estimated - at) > maxBufferTime ? at : estimated;
	}
}
