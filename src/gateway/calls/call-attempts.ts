/**
 * The attempts of one call, of which several may go on at once.
 *
 * A silent server is left only once another one has spoken, since a place there is a promise and no answer: when the
 * one that was asked beside it declines, breaks off or is silent too, it is the silent one that is followed again.
 *
 * Load pattern: a prompt of some hundred thousand tokens is read by many servers together, and those who write there
 * hear nothing for two seconds; the places elsewhere are few. Of the streams that were moved by then, those whose
 * second server was late or declined were lost, and those that had stayed were whole.
 */
import type {BackendServerId} from '../../common/index.js';
import type {Plan} from '../../planning/index.js';
import type {AttemptOutcome} from './backend-attempt.js';
import type {ConnectionUse} from './backend-pool.js';
import {
	LiveAttempt, type AttemptSilence, type LiveAttemptListener, type LiveAttemptParts,
} from './live-attempt.js';

/** What the attempts tell their call. */
export type CallAttemptsListener = Pick<LiveAttemptListener, 'dropMove' | 'onEvent' | 'onFirst' | 'onLimit'> & {
	/** Takes a place beside the server of a plan. */
	acquireHedge: (plan: Plan) => Promise<boolean>;
	/** Called once for each attempt; `wasSent` says whether the request may have reached its server. */
	onEnded: (plan: Plan, outcome: AttemptOutcome, wasSent: boolean) => void;
};

/** What attempts need. */
export type CallAttemptsParts = Omit<LiveAttemptParts, 'plan' | 'lastEventId' | 'connection' | 'listener'> & {listener: CallAttemptsListener};

/** Attempts of one call. */
export class CallAttempts {
	/** Servers that were sent the request, in order. */
	readonly servers: BackendServerId[] = [];
	readonly #parts: CallAttemptsParts;
	readonly #listener: LiveAttemptListener;
	/** Those that go on, the newest last: all but that one are at silent servers. */
	#active: LiveAttempt[] = [];
	#lastOutcome: AttemptOutcome = {kind: 'stopped', mayHaveRun: false};
	#isStopped = false;
	/** Whether a server was silent: its connection may have been, not the server. */
	#hasSeenSilence = false;
	#runs = 0;
	#longestPause = 0;

	constructor(parts: CallAttemptsParts) {
		this.#parts = parts;
		this.#listener = this.#createListener();
	}

	/** Attempts that have ended and may have run. */
	get runs(): number {
		return this.#runs;
	}

	/** Attempts that go on. */
	get running(): number {
		return this.#active.length;
	}

	/** Times that the request has left this node. */
	get sends(): number {
		return this.servers.length;
	}

	/** Longest pause between two events of one server's stream, in milliseconds. */
	get longestPause(): number {
		return this.#longestPause;
	}

	/** Begins one more; a stream goes on after its last event. */
	start(plan: Plan, lastEventId: number | undefined): void {
		this.#stopRestarted();
		this.#active.push(new LiveAttempt({
			...this.#parts, plan, lastEventId, connection: this.#chooseConnection(plan), listener: this.#listener,
		}));
	}

	/** How the last of them ends, or that the newest one's server is silent and a place beside it is held. */
	async follow(): Promise<AttemptOutcome | AttemptSilence> {
		for (;;) {
			const newest = this.#active.at(-1);
			if (newest === undefined) {
				return this.#lastOutcome;
			}

			const outcome = await newest.follow();
			if (outcome.kind === 'silent') {
				this.#hasSeenSilence = true;
				return outcome;
			}

			this.#stopRestarted();
			this.#active.at(-1)?.retryHedge();
		}
	}

	/** Stops all of them: no answer is wanted any more. */
	stop(): void {
		this.#isStopped = true;
		for (const attempt of this.#active) {
			attempt.stop();
		}
	}

	/** Settles once all have ended. */
	async waitForEnd(): Promise<void> {
		await Promise.all(this.#active.map(async attempt => attempt.ended));
	}

	/** Notes that a server has started again: what ran in its earlier life will never be answered. */
	handleServerRestart(server: BackendServerId): void {
		for (const attempt of this.#active) {
			if (attempt.plan.server === server) {
				attempt.handleServerRestart();
			}
		}
	}

	/**
	 * Connections to all servers may have fallen silent together: a request waits for one of them at most. One that may run
	 * once or occupies several servers waits for none: the first would be lost, the second would keep their memory meanwhile.
	 */
	#chooseConnection(plan: Plan): ConnectionUse {
		return this.#parts.call.route.kind === 'once' || plan.helpers.length > 0 || this.#hasSeenSilence ? 'fresh' : 'kept';
	}

	/** A silent server that has started again will not speak again. */
	#stopRestarted(): void {
		for (const attempt of this.#active) {
			if (attempt.hasServerRestarted) {
				attempt.stop();
			}
		}
	}

	/** A place beside the newest attempt; without one, a server that its caller has outwaited is left alone, too. */
	async #acquireHedge(attempt: LiveAttempt): Promise<boolean> {
		if (attempt !== this.#active.at(-1)) {
			return false;
		}

		const hasHedge = await this.#parts.listener.acquireHedge(attempt.plan);
		if (!hasHedge && this.#parts.call.route.longestSilence !== undefined && attempt.hasExceededCallerPatience) {
			attempt.stop();
		}

		return hasHedge;
	}

	#createListener(): LiveAttemptListener {
		const {listener} = this.#parts;
		return {
			...listener,
			acquireHedge: async attempt => this.#acquireHedge(attempt),
			claimAnswer: answering => {
				for (const attempt of this.#active) {
					if (attempt !== answering) {
						attempt.stop();
					}
				}
			},
			onSend: plan => {
				this.servers.push(plan.server);
			},
			onEnded: (attempt, outcome) => {
				this.#recordOutcome(attempt, outcome);
			},
		};
	}

	#recordOutcome(attempt: LiveAttempt, outcome: AttemptOutcome): void {
		this.#active = this.#active.filter(other => other !== attempt);
		this.#longestPause = Math.max(this.#longestPause, attempt.longestPause);
		this.#runs += mayHaveRun(outcome) ? 1 : 0;
		// Of one that was stopped for another one that has spoken, it is that one's end that counts.
		this.#lastOutcome = outcome.kind === 'stopped' && !this.#isStopped ? this.#lastOutcome : outcome;
		this.#parts.listener.onEnded(attempt.plan, outcome, attempt.wasSent);
	}
}

function mayHaveRun(outcome: AttemptOutcome): boolean {
	return outcome.kind === 'stopped' ? outcome.mayHaveRun : outcome.kind !== 'declined';
}
