/**
 * Run keys: what makes a request run at most once.
 *
 * Only the process that gave out a key's address token runs it. It keeps every
 * outcome in memory until the key can no longer be used, so no key is ever
 * forgotten while it could still be presented. After a planned stop a successor
 * holds the outcomes: it answers for the old incarnation, and runs nothing under it.
 */
import {type Either, Left, Right} from 'purify-ts';
import {
	createFailure, type Clock, type Failure, type Incarnation, type OrganisationId, type RunKey, type RunKeyParts,
} from '../../common/index.js';
import type {StoredOutcome} from '../../rpc/index.js';
import {Recording} from './recording.js';

/** What to do with a key. */
export type RunKeyClaim = {
	/** `run`: the key is new, run it into the recording. `play`: it has been run, or runs now. */
	kind: 'run' | 'replay';
	recording: Recording;
};

type RunRecord = {
	organisation: OrganisationId;
	runKey: RunKey;
	fingerprint: string;
	recording: Recording;
	/** Monotonic time until which it is kept. */
	expiresAt: number;
};

/** Added to the lifetime of a key before its outcome is forgotten, in milliseconds. */
const retentionMargin = 60_000;

/** Seconds by which the clock of the node that gave out a token may be ahead of the owner's. */
const maxClockSkew = 120;

/** The run keys of one process, and those it inherited. */
export class RunKeyStore {
	readonly #clock: Clock;
	readonly #incarnation: Incarnation;
	readonly #lifetime: number;
	readonly #maxAnswerBytes: number;
	/** Difference between Unix time and the monotonic clock at start: a jump of the wall clock later changes nothing. */
	readonly #epochOffset: number;
	readonly #records = new Map<string, RunRecord>();
	/** Incarnations inherited, with the monotonic time until which they are answered for. */
	readonly #inherited = new Map<Incarnation, number>();
	#isClosed = false;

	/** Lifetime in milliseconds; kept bytes bound the bodies of finished answers. */
	constructor(clock: Clock, incarnation: Incarnation, lifetime: number, maxAnswerBytes: number) {
		this.#clock = clock;
		this.#incarnation = incarnation;
		this.#lifetime = lifetime;
		this.#maxAnswerBytes = maxAnswerBytes;
		this.#epochOffset = clock.now().getTime() - clock.readMonotonic();
	}

	/** Unix second, steady over this process's life; for address tokens. */
	readSecond(): number {
		return Math.floor((this.#clock.readMonotonic() + this.#epochOffset) / 1000);
	}

	/** Whether this process answers for an incarnation: its own, or one inherited. */
	answersFor(incarnation: Incarnation): boolean {
		return incarnation === this.#incarnation || this.#inherited.has(incarnation);
	}

	/** Decides about a key that this process answers for. Fingerprint: of the request the key came with. */
	claim(organisation: OrganisationId, runKey: RunKey, parts: RunKeyParts, fingerprint: string): Either<Failure, RunKeyClaim> {
		this.#removeExpired();
		const id = formatRecordId(organisation, runKey);
		const existing = this.#records.get(id);
		if (existing !== undefined) {
			return this.#replayRecorded(existing, fingerprint);
		}

		if (parts.incarnation !== this.#incarnation || this.#isClosed) {
			return Left(createFailure('run_key_closed', 'the node that gave out this key has stopped and never ran it; ask /v1/addresses for a new one'));
		}

		const usableUntil = (parts.issuedSecond * 1000) - this.#epochOffset + this.#lifetime;
		const now = this.#clock.readMonotonic();
		if (now > usableUntil) {
			return Left(createFailure('run_key_expired', 'the key is past its lifetime, and an outcome, if there was one, is no longer kept; ask /v1/addresses for a new one'));
		}

		if (parts.issuedSecond > this.readSecond() + maxClockSkew) {
			return Left(createFailure('invalid_run_key', 'the key names a time that has not come yet; make it from a token of /v1/addresses'));
		}

		const recording = new Recording();
		this.#records.set(id, {
			organisation, runKey, fingerprint, recording, expiresAt: usableUntil + retentionMargin,
		});
		return Right({kind: 'run', recording});
	}

	/** Forgets a key whose request is known not to have run: the same key may be tried again. */
	release(organisation: OrganisationId, runKey: RunKey): void {
		this.#records.delete(formatRecordId(organisation, runKey));
	}

	/** Bounds the memory of finished answers: bodies of the oldest are dropped first, never the fact. */
	trim(): void {
		let kept = 0;
		for (const record of [...this.#records.values()].reverse()) {
			kept += record.recording.size;
			if (kept > this.#maxAnswerBytes && record.recording.isDone && !record.recording.hasReaders) {
				kept -= record.recording.size;
				record.recording.dropBody();
			}
		}
	}

	/** Runs no new key any more. */
	close(): void {
		this.#isClosed = true;
	}

	/** Takes what a successor needs. Call when closed and every run has ended. */
	exportOutcomes(): StoredOutcome[] {
		this.#removeExpired();
		const now = this.#clock.readMonotonic();
		return [...this.#records.values()].filter(record => record.recording.isDone).map(record => ({
			organisation: record.organisation,
			runKey: record.runKey,
			fingerprint: record.fingerprint,
			usableFor: record.expiresAt - now,
			answer: record.recording.exportAnswer(),
		}));
	}

	/** Lists the incarnations this process answers for, its own first. */
	listIncarnations(): Incarnation[] {
		return [this.#incarnation, ...this.#inherited.keys()];
	}

	/** Answers from now on for an incarnation that has stopped as planned. */
	inherit(incarnations: Incarnation[], outcomes: StoredOutcome[]): void {
		const now = this.#clock.readMonotonic();
		for (const incarnation of incarnations) {
			this.#inherited.set(incarnation, now + this.#lifetime + retentionMargin);
		}

		for (const outcome of outcomes) {
			this.#records.set(formatRecordId(outcome.organisation, outcome.runKey), {
				organisation: outcome.organisation,
				runKey: outcome.runKey,
				fingerprint: outcome.fingerprint,
				recording: Recording.restore(outcome.answer),
				expiresAt: now + outcome.usableFor,
			});
		}

		this.trim();
	}

	#replayRecorded(record: RunRecord, fingerprint: string): Either<Failure, RunKeyClaim> {
		if (record.fingerprint !== fingerprint) {
			return Left(createFailure('run_key_reused', 'the key has been used for another request, and this one was not run; make a new key for each request'));
		}

		if (record.recording.isBodyDropped) {
			return Left(createFailure('outcome_not_kept', 'the request ran to its end; its answer was too large to keep'));
		}

		return Right({kind: 'replay', recording: record.recording});
	}

	#removeExpired(): void {
		const now = this.#clock.readMonotonic();
		for (const [id, record] of this.#records) {
			if (now > record.expiresAt && record.recording.isDone) {
				this.#records.delete(id);
			}
		}

		for (const [incarnation, until] of this.#inherited) {
			if (now > until) {
				this.#inherited.delete(incarnation);
			}
		}
	}
}

function formatRecordId(organisation: OrganisationId, runKey: RunKey): string {
	return `${organisation}/${runKey}`;
}
