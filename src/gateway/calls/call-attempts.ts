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
import type {AttemptEnd} from './backend-attempt.js';
import type {ConnectionUse} from './backend-pool.js';
import {
	LiveAttempt, type AttemptSilence, type LiveAttemptListener, type LiveAttemptParts,
} from './live-attempt.js';

/** What the attempts tell their call. */
export type CallAttemptsListener = Pick<LiveAttemptListener, 'dropMove' | 'onEvent' | 'onFirst' | 'onLimit'> & {
	/** Takes a place beside the server of a plan. */
	takeMove: (plan: Plan) => Promise<boolean>;
	/** Called once for each attempt; `wasSent` says whether the request may have reached its server. */
	onEnded: (plan: Plan, end: AttemptEnd, wasSent: boolean) => void;
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
	#live: LiveAttempt[] = [];
	#lastEnd: AttemptEnd = {kind: 'stopped', mayHaveRun: false};
	#isStopped = false;
	/** Whether a server was silent: its connection may have been, not the server. */
	#hasMetSilence = false;
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
		return this.#live.length;
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
	begin(plan: Plan, lastEventId: number | undefined): void {
		this.#stopDead();
		this.#live.push(new LiveAttempt({
			...this.#parts, plan, lastEventId, connection: this.#chooseConnection(plan), listener: this.#listener,
		}));
	}

	/** How the last of them ends, or that the newest one's server is silent and a place beside it is held. */
	async follow(): Promise<AttemptEnd | AttemptSilence> {
		for (;;) {
			const newest = this.#live.at(-1);
			if (newest === undefined) {
				return this.#lastEnd;
			}

			const end = await newest.follow();
			if (end.kind === 'silent') {
				this.#hasMetSilence = true;
				return end;
			}

			this.#stopDead();
			this.#live.at(-1)?.seekAgain();
		}
	}

	/** Stops all of them: no answer is wanted any more. */
	stop(): void {
		this.#isStopped = true;
		for (const attempt of this.#live) {
			attempt.stop();
		}
	}

	/** Settles once all have ended. */
	async waitForEnd(): Promise<void> {
		await Promise.all(this.#live.map(async attempt => attempt.ended));
	}

	/** Notes that a server has started again: what ran in its earlier life will never be answered. */
	noteRestart(ended: BackendServerId): void {
		for (const attempt of this.#live) {
			if (attempt.plan.server === ended) {
				attempt.leaveEnded();
			}
		}
	}

	/**
	 * Connections to all servers may have fallen silent together: a request waits for one of them at most. One that may run
	 * once or occupies several servers waits for none: the first would be lost, the second would keep their memory meanwhile.
	 */
	#chooseConnection(plan: Plan): ConnectionUse {
		return this.#parts.call.route.kind === 'once' || plan.helpers.length > 0 || this.#hasMetSilence ? 'fresh' : 'kept';
	}

	/** A silent server that has started again will not speak again. */
	#stopDead(): void {
		for (const attempt of this.#live) {
			if (attempt.isDead) {
				attempt.stop();
			}
		}
	}

	/** A place beside the newest attempt; without one, a server that its caller has outwaited is left alone, too. */
	async #takeMove(attempt: LiveAttempt): Promise<boolean> {
		if (attempt !== this.#live.at(-1)) {
			return false;
		}

		const hasPlace = await this.#parts.listener.takeMove(attempt.plan);
		if (!hasPlace && this.#parts.call.route.longestSilence !== undefined && attempt.hasOutlastedCaller) {
			attempt.stop();
		}

		return hasPlace;
	}

	#createListener(): LiveAttemptListener {
		const {listener} = this.#parts;
		return {
			...listener,
			takeMove: async attempt => this.#takeMove(attempt),
			claimAnswer: speaker => {
				for (const attempt of this.#live) {
					if (attempt !== speaker) {
						attempt.stop();
					}
				}
			},
			onSend: plan => {
				this.servers.push(plan.server);
			},
			onEnded: (attempt, end) => {
				this.#noteEnd(attempt, end);
			},
		};
	}

	#noteEnd(attempt: LiveAttempt, end: AttemptEnd): void {
		this.#live = this.#live.filter(other => other !== attempt);
		this.#longestPause = Math.max(this.#longestPause, attempt.longestPause);
		this.#runs += mayHaveRun(end) ? 1 : 0;
		// Of one that was stopped for another one that has spoken, it is that one's end that counts.
		this.#lastEnd = end.kind === 'stopped' && !this.#isStopped ? this.#lastEnd : end;
		this.#parts.listener.onEnded(attempt.plan, end, attempt.wasSent);
	}
}

function mayHaveRun(end: AttemptEnd): boolean {
	return end.kind === 'stopped' ? end.mayHaveRun : end.kind !== 'declined';
}
