/**
 * Requests whose attempt was stopped while their backend server may still run them. Pure.
 *
 * A crash is reported by the attempts that it breaks off. An attempt that was stopped before, because its client left or
 * another server answered first, reports nothing: its request is matched with the crash here.
 */
import type {BackendServerId, ContentDigest} from '../common/index.js';

/** How long a stopped attempt is remembered, in milliseconds: above the time in which the entry of a crashed server lapses. */
const runMemory = 5000;

/** Maximum number of stopped attempts that are remembered; the oldest are dropped first. */
const maxRuns = 4096;

type AbandonedRun = {server: BackendServerId; content: ContentDigest; stoppedAt: number};

/** Stopped attempts of one service. */
export class AbandonedRuns {
	#runs: AbandonedRun[] = [];

	/** Records an attempt that was stopped after its request had been sent. */
	add(server: BackendServerId, content: ContentDigest, now: number): void {
		this.#runs = this.#runs.filter(run => now - run.stoppedAt <= runMemory).slice(1 - maxRuns);
		this.#runs.push({server, content, stoppedAt: now});
	}

	/** Servers at which attempts were stopped. */
	listServers(): BackendServerId[] {
		return [...new Set(this.#runs.map(run => run.server))];
	}

	/** Removes and returns the requests of a server's attempts that were stopped at most `age` milliseconds ago. */
	take(server: BackendServerId, now: number, age = runMemory): ContentDigest[] {
		const taken = this.#runs.filter(run => run.server === server && now - run.stoppedAt <= age);
		this.#runs = this.#runs.filter(run => !taken.includes(run));
		return [...new Set(taken.map(run => run.content))];
	}
}
