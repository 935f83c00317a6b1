/**
 * Attempts that ended without an answer and whose backend server may have crashed while running them. Pure.
 *
 * A crash is reported by the attempts that it breaks. An attempt that was stopped earlier (its client left, or another server answered
 * first), or whose server restarts at once or is behind a proxy, reports nothing: its request is matched with the crash here.
 */
import type {BackendServerId, CrashTrait} from '../../common/index.js';

/** How long an attempt is kept, in milliseconds: longer than the registry entry of a crashed server takes to expire. */
const attemptRetention = 5000;

/** Maximum number of attempts kept; the oldest are dropped first. */
const maxStored = 4096;

type AbandonedAttempt = {server: BackendServerId; traits: CrashTrait[]; endedAt: number};

/** Unanswered attempts of one service. */
export class AbandonedAttempts {
	#attempts: AbandonedAttempt[] = [];

	/** Records an attempt that was sent and not answered. */
	add(server: BackendServerId, traits: CrashTrait[], now: number): void {
		this.#attempts = this.#attempts.filter(attempt => now - attempt.endedAt <= attemptRetention).slice(1 - maxStored);
		this.#attempts.push({server, traits, endedAt: now});
	}

	/** Servers with unanswered attempts. */
	listServers(): BackendServerId[] {
		return [...new Set(this.#attempts.map(attempt => attempt.server))];
	}

	/** Removes a server's attempts and returns the traits of those that ended at most `age` milliseconds ago. */
	take(server: BackendServerId, now: number, age = attemptRetention): CrashTrait[] {
		const taken = this.#attempts.filter(attempt => attempt.server === server && now - attempt.endedAt <= age);
		this.#attempts = this.#attempts.filter(attempt => !taken.includes(attempt));
		return [...new Set(taken.flatMap(attempt => attempt.traits))];
	}
}
