/** Requests grants from dispatchers, tracks the active ones, and releases them. */
import {type Either, Left, Right} from 'purify-ts';
import {
	Child, createFailure, waitFor, type BackendServerId, type Clock, type Failure, type GrantId, type Incarnation, type PoolId, type RequestId,
} from '../../common/index.js';
import type {AdmitRequest, Grant, Heartbeat} from '../dispatch/index.js';
import type {CallerRequest} from './caller-request.js';

/** Pool and dispatcher to which an admission request is sent. */
export type AdmissionTarget = {
	pool: PoolId;
	/** Whether to ask the holder's fallback node, which takes over when the holder has failed and the platform is unavailable. */
	isStandIn: boolean;
};

/** Client for the dispatchers, local or remote. */
export abstract class DispatcherClient {
	/**
	 * Sends an admission request to the pool's dispatcher or its fallback node.
	 *
	 * Fails with `no_dispatcher` if that node does not schedule the pool or cannot be reached; nothing ran in that case.
	 */
	abstract admit(request: AdmitRequest, target: AdmissionTarget, signal: AbortSignal): Promise<Either<Failure, Grant>>;

	/** Sends a heartbeat to the pool's dispatcher. */
	abstract sendHeartbeat(heartbeat: Heartbeat): Promise<Either<Failure, true>>;
}

/** A grant with the time until which the entry may use it. */
export type HeldGrant = {
	grant: Grant;
	/** Monotonic time after which the grant must not be used, in milliseconds. */
	usableUntil: number;
};

/** Delay before asking again when no dispatcher was found, in milliseconds. */
const retryDelay = 50;
/** Milliseconds between heartbeats while grants are active. Half the messages of a 1 s interval, and orphaned grants are still reclaimed within 10 s. */
const heartbeatInterval = 2000;

/** Time for which releases are batched before they are sent, in milliseconds. */
const releaseDelay = 20;

type PoolAccount = {
	active: Map<GrantId, Grant>;
	released: GrantId[];
	/** Monotonic time of the last delivered heartbeat, in milliseconds. */
	lastSentAt: number;
};

/** Obtains, tracks and releases the grants of one entry. */
export class GrantClient extends Child {
	override readonly name = 'grant-client';
	readonly #dispatchers: DispatcherClient;
	readonly #clock: Clock;
	readonly #entry: Incarnation;
	readonly #entryUrl: string;
	readonly #accounts = new Map<PoolId, PoolAccount>();
	#wake: (() => void) | undefined;

	constructor(dispatchers: DispatcherClient, clock: Clock, entry: Incarnation, entryUrl: string) {
		super();
		this.#dispatchers = dispatchers;
		this.#clock = clock;
		this.#entry = entry;
		this.#entryUrl = entryUrl;
	}

	/** Asks the pool's dispatcher and its fallback in turn until one answers or the signal is aborted. */
	async obtain(request: CallerRequest, attemptId: RequestId, excluded: BackendServerId[], signal: AbortSignal): Promise<Either<Failure, HeldGrant>> {
		let failure = createFailure('no_dispatcher', `no node schedules ${request.pool} at present`);
		// A grant's lifetime is counted from before its own request was sent, so each iteration reads the clock again.
		for (let isStandIn = false; !signal.aborted; isStandIn = !isStandIn) {
			const requestedAt = this.#clock.readMonotonic();
			const result = await this.#dispatchers.admit(this.#createAdmitRequest(request, attemptId, excluded, requestedAt), {pool: request.pool, isStandIn}, signal);
			if (result.isRight()) {
				const held = this.#recordGrant(result.extract(), requestedAt);
				if (this.#clock.readMonotonic() <= held.usableUntil) {
					return Right(held);
				}

				this.release(held.grant);
				continue;
			}

			failure = result.extract() as Failure;
			if (failure.kind !== 'no_dispatcher') {
				return Left(failure);
			}

			await waitFor(this.#clock, retryDelay, signal);
		}

		return Left(failure);
	}

	/** Releases a grant; releasing it twice has no effect. */
	release(grant: Grant): void {
		const account = this.#findAccount(grant.pool);
		if (account.active.delete(grant.grantId)) {
			account.released.push(grant.grantId);
			this.#wake?.();
		}
	}

	/** Lists the active grants of one pool, or of all pools. */
	listActive(pool?: PoolId): Grant[] {
		return [...this.#accounts.entries()]
			.filter(([name]) => pool === undefined || name === pool)
			.flatMap(([, account]) => [...account.active.values()]);
	}

	/** Sends heartbeats periodically while grants are active, and shortly after each release. */
	override async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#waitForWork(signal);
			await Promise.all([...this.#accounts.keys()].map(async pool => this.#sendHeartbeat(pool)));
		}
	}

	#createAdmitRequest(request: CallerRequest, attemptId: RequestId, excluded: BackendServerId[], now: number): AdmitRequest {
		return {
			requestId: attemptId,
			organisation: request.organisation,
			service: request.service,
			entry: this.#entry,
			promptTokens: request.promptTokens,
			outputTokens: request.outputTokens,
			patience: Math.max(0, request.deadline - now),
			excluded,
			prefixes: request.prefixes,
		};
	}

	#recordGrant(grant: Grant, requestedAt: number): HeldGrant {
		this.#findAccount(grant.pool).active.set(grant.grantId, grant);
		return {grant, usableUntil: requestedAt + grant.usableFor};
	}

	#findAccount(pool: PoolId): PoolAccount {
		let account = this.#accounts.get(pool);
		if (account === undefined) {
			account = {active: new Map(), released: [], lastSentAt: 0};
			this.#accounts.set(pool, account);
		}

		return account;
	}

	async #waitForWork(signal: AbortSignal): Promise<void> {
		const waiting = new AbortController();
		const stop = () => {
			// An explicit reason avoids the cost of the error object that `abort` creates by default.
			waiting.abort('woken');
		};

		this.#wake = stop;
		signal.addEventListener('abort', stop, {once: true});
		const hasReleases = [...this.#accounts.values()].some(account => account.released.length > 0);
		await waitFor(this.#clock, hasReleases ? releaseDelay : heartbeatInterval, waiting.signal);
		signal.removeEventListener('abort', stop);
		if (!hasReleases) {
			await waitFor(this.#clock, releaseDelay, signal);
		}
	}

	async #sendHeartbeat(pool: PoolId): Promise<void> {
		const account = this.#findAccount(pool);
		const now = this.#clock.readMonotonic();
		const isDue = account.active.size > 0 && now - account.lastSentAt >= heartbeatInterval;
		if (account.released.length === 0 && !isDue) {
			return;
		}

		const released = account.released.splice(0);
		const result = await this.#dispatchers.sendHeartbeat({
			pool, entry: this.#entry, entryUrl: this.#entryUrl, released, activeCount: account.active.size,
		});
		if (result.isLeft()) {
			// Sent again with the next heartbeat: a release is idempotent, and a new dispatcher ignores unknown grants.
			account.released.unshift(...released);
			return;
		}

		account.lastSentAt = now;
	}
}
