/**
 * Run keys, which make a request run at most once. Only the process that issued a key's address token runs the request.
 *
 * It keeps every outcome in memory until the key has expired, so that a valid key is never run a second time.
 * After a planned stop a successor holds the outcomes: it serves the old incarnation's keys, but runs no new ones.
 */
import {type Either, Left, Right} from 'purify-ts';
import {
	createFailure, type Clock, type Failure, type Incarnation, type OrganisationId, type RunKey, type RunKeyParts,
} from '../../common/index.js';
import type {StoredOutcome} from '../../rpc/index.js';
import {Recording} from './recording.js';

/** Result of claiming a run key. */
export type RunKeyClaim = {
	/** `run`: the key is new, run the request into the recording. `replay`: the request has run or is running. */
	kind: 'run' | 'replay';
	recording: Recording;
};

type RunRecord = {
	organisation: OrganisationId;
	runKey: RunKey;
	fingerprint: string;
	recording: Recording;
	/** Monotonic time after which the record is removed, in milliseconds. */
	expiresAt: number;
};

/** Time for which an outcome is kept after its key has expired, in milliseconds. */
const retentionMargin = 60_000;

/** Maximum time by which a token may be dated ahead of this node's clock, in seconds. */
const maxClockSkew = 120;

/** Stores the run keys of one process and those it inherited. */
export class RunKeyStore {
	readonly #clock: Clock;
	readonly #incarnation: Incarnation;
	readonly #lifetime: number;
	readonly #maxAnswerBytes: number;
	/** Unix time minus monotonic time at start, in milliseconds; fixed, so that later jumps of the wall clock have no effect. */
	readonly #epochOffset: number;
	readonly #records = new Map<string, RunRecord>();
	/** Inherited incarnations, with the monotonic time in milliseconds until which their keys are served. */
	readonly #inherited = new Map<Incarnation, number>();
	#isClosed = false;

	/** `lifetime` is that of a key in milliseconds; `maxAnswerBytes` limits the bodies of finished responses. */
	constructor(clock: Clock, incarnation: Incarnation, lifetime: number, maxAnswerBytes: number) {
		this.#clock = clock;
		this.#incarnation = incarnation;
		this.#lifetime = lifetime;
		this.#maxAnswerBytes = maxAnswerBytes;
		this.#epochOffset = clock.now().getTime() - clock.readMonotonic();
	}

	/** Returns the Unix time in seconds, monotonic over the life of this process; used for address tokens. */
	readSecond(): number {
		return Math.floor((this.#clock.readMonotonic() + this.#epochOffset) / 1000);
	}

	/** Whether this process owns the keys of an incarnation, which is its own or an inherited one. */
	answersFor(incarnation: Incarnation): boolean {
		return incarnation === this.#incarnation || this.#inherited.has(incarnation);
	}

	/** Claims a key that this process owns. `fingerprint` is the hash of the request sent with the key. */
	claim(organisation: OrganisationId, runKey: RunKey, parts: RunKeyParts, fingerprint: string): Either<Failure, RunKeyClaim> {
		this.#removeExpired();
		const id = formatRecordId(organisation, runKey);
		const existing = this.#records.get(id);
		if (existing !== undefined) {
			return this.#replayRecorded(existing, fingerprint);
		}

		if (parts.incarnation !== this.#incarnation || this.#isClosed) {
			return Left(createFailure('run_key_closed', 'the node that issued this key has stopped and never ran it; get a new one from /v1/addresses'));
		}

		const usableUntil = (parts.issuedSecond * 1000) - this.#epochOffset + this.#lifetime;
		const now = this.#clock.readMonotonic();
		if (now > usableUntil) {
			return Left(createFailure('run_key_expired', 'the key has expired, and its outcome, if there was one, is no longer kept; get a new one from /v1/addresses'));
		}

		if (parts.issuedSecond > this.readSecond() + maxClockSkew) {
			return Left(createFailure('invalid_run_key', 'the key is dated in the future; build it from a token of /v1/addresses'));
		}

		const recording = new Recording();
		this.#records.set(id, {
			organisation, runKey, fingerprint, recording, expiresAt: usableUntil + retentionMargin,
		});
		return Right({kind: 'run', recording});
	}

	/** Releases a key whose request is known not to have run, so that the key can be used again. */
	release(organisation: OrganisationId, runKey: RunKey): void {
		this.#records.delete(formatRecordId(organisation, runKey));
	}

	/** Limits the memory of finished responses: drops the oldest bodies first and keeps the fact that each request ran. */
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

	/** Refuses new keys from now on. */
	close(): void {
		this.#isClosed = true;
	}

	/** Exports the outcomes for a successor. Call after `close`, when every run has ended. */
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

	/** Lists the incarnations whose keys this process owns, its own first. */
	listIncarnations(): Incarnation[] {
		return [this.#incarnation, ...this.#inherited.keys()];
	}

	/** Takes over the keys and outcomes of incarnations that ended in a planned stop. */
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
			return Left(createFailure('run_key_reused', 'the key was already used for a different request, and this one was not run; use a new key for each request'));
		}

		if (record.recording.isBodyDropped) {
			return Left(createFailure('outcome_not_kept', 'the request ran to completion, but its response is no longer stored'));
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
