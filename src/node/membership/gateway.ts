/** Connects entry nodes with the dispatcher of a pool, on this node or another. */
import {type Either, Left, Right} from 'purify-ts';
import {
	createFailure, combineSignals, readIncarnationUrl, type Clock, type Failure, type Incarnation, type PoolId,
} from '../../common/index.js';
import type {NodeClients} from '../../rpc/index.js';
import type {FleetView} from '../config/index.js';
import type {AdmitRequest, Grant, Heartbeat} from '../dispatch/index.js';
import {DispatcherClient, type AdmissionTarget} from '../entry/index.js';
import type {PoolHost} from './pool-host.js';
import type {Reconciler} from './reconciler.js';

/** Added to the `patience` of a request before its admission call times out, in milliseconds. */
const admitMargin = 500;
const heartbeatTimeout = 1000;

/** Dependencies of the gateway. */
export type GatewayParts = {
	self: Incarnation;
	view: FleetView;
	host: PoolHost;
	reconciler: Reconciler;
	clients: NodeClients;
	clock: Clock;
};

/** Routes admissions and heartbeats by the term records in the fleet view. */
export class PoolGateway extends DispatcherClient {
	readonly #parts: GatewayParts;
	/** Aborted and replaced whenever a term changes, so that requests waiting on an ended term are sent again. */
	#termChanged = new AbortController();

	constructor(parts: GatewayParts) {
		super();
		this.#parts = parts;
		parts.view.addListener(kind => {
			if (kind === 'DispatcherTerm') {
				this.#termChanged.abort();
				this.#termChanged = new AbortController();
			}
		});
	}

	override async admit(request: AdmitRequest, {pool, isStandIn}: AdmissionTarget, signal: AbortSignal): Promise<Either<Failure, Grant>> {
		const holder = this.#findHolder(pool);
		const target = isStandIn ? this.#parts.host.findStandIn(pool, holder)?.incarnation : holder;
		if (target === undefined) {
			return Left(createNoDispatcherFailure(pool));
		}

		return target === this.#parts.self
			? this.admitLocally(pool, request, signal)
			: this.#admitRemotely(target, pool, request, signal);
	}

	/** Admits a request at the dispatcher of this node; aborting the signal withdraws it. */
	async admitLocally(pool: PoolId, request: AdmitRequest, signal: AbortSignal): Promise<Either<Failure, Grant>> {
		const dispatcher = this.#parts.host.findDispatcher(pool);
		if (dispatcher === undefined) {
			return Left(createNoDispatcherFailure(pool));
		}

		const withdraw = () => {
			dispatcher.withdraw(request.requestId);
		};

		signal.addEventListener('abort', withdraw, {once: true});
		const result = await dispatcher.admit(request);
		signal.removeEventListener('abort', withdraw);
		if (signal.aborted) {
			// The caller is gone and would never release the grant.
			result.ifRight(grant => {
				dispatcher.reclaim(grant.grantId);
			});
		}

		return result;
	}

	override async sendHeartbeat(heartbeat: Heartbeat): Promise<Either<Failure, true>> {
		const holder = this.#findHolder(heartbeat.pool);
		if (holder !== undefined && await this.#deliver(holder, heartbeat)) {
			return Right(true as const);
		}

		const standIn = this.#parts.host.findStandIn(heartbeat.pool, holder);
		return standIn !== undefined && await this.#deliver(standIn.incarnation, heartbeat)
			? Right(true as const)
			: Left(createNoDispatcherFailure(heartbeat.pool));
	}

	/** Passes a heartbeat to the dispatcher on this node; false if there is none. */
	acceptHeartbeat(heartbeat: Heartbeat): boolean {
		const dispatcher = this.#parts.host.findDispatcher(heartbeat.pool);
		if (dispatcher === undefined) {
			return false;
		}

		if (dispatcher.acceptHeartbeat(heartbeat)) {
			this.#parts.reconciler.recordMismatch(heartbeat.pool, heartbeat.entry);
		}

		return true;
	}

	async #admitRemotely(holder: Incarnation, pool: PoolId, request: AdmitRequest, signal: AbortSignal): Promise<Either<Failure, Grant>> {
		const url = readIncarnationUrl(holder);
		const termChanged = this.#termChanged.signal;
		const answer = await this.#parts.clients.ask(url, request.patience + admitMargin, async (client, timeout) => {
			const joined = combineSignals([signal, timeout, termChanged]);
			try {
				return await client.admit.mutate({pool, request}, {signal: joined.signal});
			} finally {
				joined.release();
			}
		});
		if (answer === undefined) {
			return Left(createNoDispatcherFailure(pool));
		}

		return 'grant' in answer ? Right(answer.grant) : Left(answer.failure);
	}

	/** Delivers a heartbeat to a node; false if it does not run the pool's dispatcher or does not answer. */
	async #deliver(holder: Incarnation, heartbeat: Heartbeat): Promise<boolean> {
		if (holder === this.#parts.self) {
			return this.acceptHeartbeat(heartbeat);
		}

		const answer = await this.#parts.clients.ask(readIncarnationUrl(holder), heartbeatTimeout, async (client, signal) =>
			client.acceptHeartbeat.mutate(heartbeat, {signal}));
		return answer?.isDispatcher === true;
	}

	#findHolder(pool: PoolId): Incarnation | undefined {
		return this.#parts.view.find('DispatcherTerm', pool)?.incarnation as Incarnation | undefined;
	}
}

function createNoDispatcherFailure(pool: PoolId): Failure {
	return createFailure('no_dispatcher', `no node schedules ${pool} at present`);
}
