/**
 * Requests whose attempt ended without an answer, and whose backend server may have crashed under them. Pure.
 *
 * A crash is reported by the attempts that it breaks off and that find the server gone. An attempt that was stopped before,
 * because its client left or another server answered first, or whose server restarts at once or is behind a proxy, reports
 * nothing: its request is matched with the crash here.
 */
import type {BackendServerId, RequestFingerprint} from '../common/index.js';

/** How long an attempt is remembered, in milliseconds: above the time in which the entry of a crashed server lapses. */
const runMemory = 5000;

/** Maximum number of attempts that are remembered; the oldest are dropped first. */
const maxRuns = 4096;

type AbandonedRun = {server: BackendServerId; fingerprint: RequestFingerprint; endedAt: number};

/** Unanswered attempts of one service. */
export class AbandonedAttempts {
	#runs: AbandonedRun[] = [];

	/** Records an attempt that was sent and not answered. */
	add(server: BackendServerId, fingerprint: RequestFingerprint, now: number): void {
		this.#runs = this.#runs.filter(run => now - run.endedAt <= runMemory).slice(1 - maxRuns);
		this.#runs.push({server, fingerprint, endedAt: now});
	}

	/** Servers of the attempts. */
	listServers(): BackendServerId[] {
		return [...new Set(this.#runs.map(run => run.server))];
	}

	/** Removes and returns the requests of a server's attempts that ended at most `age` milliseconds ago. */
	take(server: BackendServerId, now: number, age = runMemory): RequestFingerprint[] {
		const taken = this.#runs.filter(run => run.server === server && now - run.endedAt <= age);
		this.#runs = this.#runs.filter(run => !taken.includes(run));
		return [...new Set(taken.map(run => run.fingerprint))];
	}
}
