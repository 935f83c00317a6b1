/**
 * Which servers may be dead without anybody knowing it yet. Pure.
 *
 * Load pattern: a rack or a release takes a third of the servers at once. The first losses
 * are noticed within a second; a prompt that is read by sixteen servers right after meets one
 * of those not noticed yet almost surely, and is lost with it. So a server of which nothing
 * was heard since others were lost is doubted in the share of those found dead among those
 * heard of since.
 *
 * Times are monotonic milliseconds of the planner's clock.
 */
import type {BackendServerId} from '../common/index.js';
import type {ServerBoard} from './server-board.js';

/** How long a loss makes others doubtful, in milliseconds: those that died with it have been asked, or have dropped out of the source's list, by then. */
const lossMemory = 6000;

/** Losses that make others doubtful: one alone is a server's own. */
const leastTogether = 2;

/** Share of the servers that count as heard of at least: the first answers after a loss are still on their way. */
const priorShare = 0.5;

/** Doubt of a server that was lost itself and has not answered since, and the time over which it fades, in milliseconds: tried in vain it rests anew. */
const unprovenDoubt = 0.5;
const unprovenMemory = 10_000;

/** Losses of the last seconds and what they mean for the others. */
export class ServerDoubt {
	readonly #losses = new Map<BackendServerId, number>();

	/** Notes that a server could not be reached or fell silent. */
	addLoss(server: BackendServerId, now: number): void {
		this.#losses.delete(server);
		this.#losses.set(server, now);
	}

	/** Notes that a server has answered. */
	removeLoss(server: BackendServerId): void {
		this.#losses.delete(server);
	}

	/** Estimates for each server how likely it is dead, from 0 to 1; those that are not listed are not doubted. */
	estimate(boards: Iterable<ServerBoard>, now: number): ReadonlyMap<ServerBoard, number> {
		this.#forget(now);
		const doubts = new Map<ServerBoard, number>();
		const all = [...boards];
		const since = this.#findFirstLoss(now);
		const heard = all.filter(board => board.findLastSign(now) > since).length;
		for (const board of all) {
			const doubt = Math.max(this.#estimateShared(board, heard, all.length, now), this.#estimateOwn(board, now));
			if (doubt > 0) {
				doubts.set(board, doubt);
			}
		}

		return doubts;
	}

	#estimateShared(board: ServerBoard, heard: number, servers: number, now: number): number {
		const sign = board.findLastSign(now);
		let losses = 0;
		let all = 0;
		for (const at of this.#losses.values()) {
			const isRecent = now - at <= lossMemory;
			all += isRecent ? 1 : 0;
			losses += isRecent && at > sign ? 1 : 0;
		}

		return losses < leastTogether ? 0 : losses / Math.max(all + heard, servers * priorShare);
	}

	#estimateOwn(board: ServerBoard, now: number): number {
		const lostAt = this.#losses.get(board.server.id);
		return lostAt === undefined ? 0 : unprovenDoubt * Math.max(0, 1 - ((now - lostAt) / unprovenMemory));
	}

	#findFirstLoss(now: number): number {
		let first = now;
		for (const at of this.#losses.values()) {
			if (now - at <= lossMemory) {
				first = Math.min(first, at);
			}
		}

		return first;
	}

	#forget(now: number): void {
		for (const [server, at] of this.#losses) {
			if (now - at > unprovenMemory) {
				this.#losses.delete(server);
			}
		}
	}
}
