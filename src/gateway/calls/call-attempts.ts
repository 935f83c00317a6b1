/**
 * The attempts of one call, several of which may run at once.
 *
 * A silent attempt is cancelled only once its hedge has sent data; if the hedge fails first, the silent one is awaited again.
 *
 * Load pattern: many servers read a prompt of some hundred thousand tokens together, which pauses the streams on them for two
 * seconds, and few other servers are free. Streams moved at once were lost if the second server was late or declined.
 */
import type {BackendServerId} from '../../common/index.js';
import type {Plan} from '../../planning/index.js';
import type {AttemptOutcome} from './backend-attempt.js';
import type {ConnectionUse} from './backend-pool.js';
import {
	LiveAttempt, type AttemptSilence, type LiveAttemptListener, type LiveAttemptParts,
} from './live-attempt.js';

/** Callbacks from the attempts to their call. */
export type CallAttemptsListener = Pick<LiveAttemptListener, 'releaseHedge' | 'onEvent' | 'onFirst' | 'onNotice'> & {
	/** Acquires a hedge beside the server of a plan. */
	acquireHedge: (plan: Plan) => Promise<boolean>;
	/** Called once for each attempt; `wasSent` says whether the request may have reached its server. */
	onEnded: (plan: Plan, outcome: AttemptOutcome, wasSent: boolean) => void;
};

/** Dependencies of the attempts. */
export type CallAttemptsParts = Omit<LiveAttemptParts, 'plan' | 'lastEventId' | 'connection' | 'listener'> & {listener: CallAttemptsListener};

/** Attempts of one call. */
export class CallAttempts {
	/** Servers that were sent the request, in order. */
	readonly servers: BackendServerId[] = [];
	readonly #parts: CallAttemptsParts;
	readonly #listener: LiveAttemptListener;
	/** Attempts in progress, newest last; all but that one are at silent servers. */
	#active: LiveAttempt[] = [];
	#lastOutcome: AttemptOutcome = {kind: 'stopped', mayHaveRun: false};
	#isStopped = false;
	/** Whether a server was silent, possibly only because its connection was dead. */
	#hasSeenSilence = false;
	#runs = 0;
	#longestPause = 0;
	#firstSentAt: number | undefined;

	constructor(parts: CallAttemptsParts) {
		this.#parts = parts;
		this.#listener = this.#createListener();
	}

	/** Number of ended attempts whose request may have run. */
	get runs(): number {
		return this.#runs;
	}

	/** Number of attempts in progress. */
	get running(): number {
		return this.#active.length;
	}

	/** Number of times the request was sent. */
	get sends(): number {
		return this.servers.length;
	}

	/** When the request was first sent, by the monotonic clock in milliseconds. */
	get firstSentAt(): number | undefined {
		return this.#firstSentAt;
	}

	/** Longest pause between two events of one server's stream, in milliseconds. */
	get longestPause(): number {
		return this.#longestPause;
	}

	/** Starts another attempt; a stream resumes after its last event. */
	start(plan: Plan, lastEventId: number | undefined): void {
		this.#stopRestarted();
		this.#active.push(new LiveAttempt({
			...this.#parts, plan, lastEventId, connection: this.#chooseConnection(plan), listener: this.#listener,
		}));
	}

	/** Waits for the outcome of the last attempt, or until the newest attempt's server is silent and a hedge is acquired. */
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

	/** Cancels all attempts: no answer is needed any more. */
	stop(): void {
		this.#isStopped = true;
		for (const attempt of this.#active) {
			attempt.stop();
		}
	}

	/** Resolves once all attempts have ended. */
	async waitForEnd(): Promise<void> {
		await Promise.all(this.#active.map(async attempt => attempt.ended));
	}

	/** Handles the restart of a server: requests in its previous process will not be answered. */
	handleServerRestart(server: BackendServerId): void {
		for (const attempt of this.#active) {
			if (attempt.plan.server === server) {
				attempt.handleServerRestart();
			}
		}
	}

	/**
	 * Idle connections to all servers may die together, so a request uses at most one of them. A request that may run only once
	 * uses none, since it would be lost; one on several servers uses none, since it would occupy their memory while it waits.
	 */
	#chooseConnection(plan: Plan): ConnectionUse {
		return this.#parts.call.route.kind === 'once' || plan.helpers.length > 0 || this.#hasSeenSilence ? 'fresh' : 'kept';
	}

	/** Cancels attempts whose server has restarted: they will not be answered. */
	#stopRestarted(): void {
		for (const attempt of this.#active) {
			if (attempt.hasServerRestarted) {
				attempt.stop();
			}
		}
	}

	/** Acquires a hedge beside the newest attempt; without one, an attempt that exceeded its caller's patience is cancelled. */
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
				this.#firstSentAt ??= this.#parts.clock.readMonotonic();
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
		// An attempt that was cancelled in favour of another one does not decide the outcome.
		this.#lastOutcome = outcome.kind === 'stopped' && !this.#isStopped ? this.#lastOutcome : outcome;
		this.#parts.listener.onEnded(attempt.plan, outcome, attempt.wasSent);
	}
}

function mayHaveRun(outcome: AttemptOutcome): boolean {
	return outcome.kind === 'stopped' ? outcome.mayHaveRun : outcome.kind !== 'declined';
}
