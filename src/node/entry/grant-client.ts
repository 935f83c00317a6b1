/** Asks dispatchers for grants, keeps account of those held, and gives them back. */
import {type Either, Left, Right} from 'purify-ts';
import {
	Child, createFailure, waitFor, type BackendServerId, type Clock, type Failure, type GrantId, type Incarnation, type PoolId, type RequestId,
} from '../../common/index.js';
import type {AdmitRequest, Grant, Heartbeat} from '../dispatch/index.js';
import type {CallerRequest} from './caller-request.js';

/** Whom to ask about a pool. */
export type AdmissionTarget = {
	pool: PoolId;
	/** Ask the node that stands in for the holder, in case the holder is dead and the platform down. */
	isStandIn: boolean;
};

/** The dispatchers as an entry reaches them, wherever they run. */
export abstract class DispatcherClient {
	/**
	 * Asks the pool's dispatcher, or the node that would stand in for it.
	 *
	 * Fails with `no_dispatcher` when that one does not decide or cannot be reached; nothing ran then.
	 */
	abstract admit(request: AdmitRequest, target: AdmissionTarget, signal: AbortSignal): Promise<Either<Failure, Grant>>;

	/** Delivers a heartbeat. */
	abstract sendHeartbeat(heartbeat: Heartbeat): Promise<Either<Failure, true>>;
}

/** A grant that an entry holds. */
export type HeldGrant = {
	grant: Grant;
	/** Monotonic time after which it must not be used, in milliseconds. */
	usableUntil: number;
};

const retryDelay = 50;
/** Milliseconds between heartbeats while grants are held; half the messages of a second's, and orphans still back within 10 s. */
const heartbeatInterval = 2000;

/** Releases are gathered this long before they are sent, in milliseconds. */
const releaseDelay = 20;

type PoolAccount = {
	active: Map<GrantId, Grant>;
	released: GrantId[];
	/** Monotonic time of the last heartbeat that arrived. */
	lastSentAt: number;
};

/** The grants of one entry. */
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

	/** Asks until a dispatcher answers, the request's deadline has passed, or the signal is aborted. */
	async obtain(request: CallerRequest, attemptId: RequestId, excluded: BackendServerId[], signal: AbortSignal): Promise<Either<Failure, HeldGrant>> {
		let failure = createFailure('no_dispatcher', `no node decides for ${request.pool} at present`);
		// Each ask has a time of its own: a grant's life counts from before the ask that brought it.
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

	/** Gives a grant back. */
	release(grant: Grant): void {
		const account = this.#findAccount(grant.pool);
		if (account.active.delete(grant.grantId)) {
			account.released.push(grant.grantId);
			this.#wake?.();
		}
	}

	/** Lists the grants held of a pool, or of all. */
	listActive(pool?: PoolId): Grant[] {
		return [...this.#accounts.entries()]
			.filter(([name]) => pool === undefined || name === pool)
			.flatMap(([, account]) => [...account.active.values()]);
	}

	/** Sends heartbeats: every two seconds while grants are held, and soon after a release. */
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
			// A reason of its own spares the error object that `abort` makes by default.
			waiting.abort('woken');
		};

		this.#wake = stop;
		signal.addEventListener('abort', stop, {once: true});
		const isDue = [...this.#accounts.values()].some(account => account.released.length > 0);
		await waitFor(this.#clock, isDue ? releaseDelay : heartbeatInterval, waiting.signal);
		signal.removeEventListener('abort', stop);
		if (!isDue) {
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
			// A new dispatcher does not know these grants any more; releasing them again is harmless.
			account.released.unshift(...released);
			return;
		}

		account.lastSentAt = now;
	}
}
