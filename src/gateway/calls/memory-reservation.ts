/** Memory reserved on one backend server for one request: acquired, renewed while it is needed, and released. */
import {
	readErrorMessage, type BackendServerId, type Logger,
} from '../../common/index.js';
import type {GatewayWire, ReservationOrder, ReservationUse} from '../wire.js';
import type {BackendPool, ConnectionUse} from './backend-pool.js';

/** Lifetime of a reservation that is not renewed, in milliseconds: under the four seconds after which unused memory counts as leaked. */
const holdFor = 3000;

/** Interval between renewals, in milliseconds: two may fail before a reservation expires. */
export const renewalInterval = 900;

/** Silence of a request after which the holder is asked whether the memory is in use, in milliseconds: several pauses between events, and less than the renewal interval. */
const quietThreshold = 500;

/** How long memory that was never used is kept while a server of its request is missing from the view, in milliseconds: under the nine seconds after which it counts as stuck. */
const maxUnusedTime = 4000;

/** Timeout of an order or a report, in milliseconds. */
const orderTimeout = 500;

/** Maximum number of release attempts; after that the reservation expires on its own. */
const maxReleaseAttempts = 3;

/** What the server that runs a request has sent so far. */
export type RequestActivity = {
	/** Whether an event has arrived. */
	hasBegun: boolean;
	/** Time since the server last sent data, in milliseconds; 0 while the request has not been sent. */
	quietFor: number;
};

/**
 * Silence up to which a stream proves that its servers are alive, in milliseconds: longer than the passes of a server with long
 * contexts, and with a renewal and a release under the four seconds after which unused memory counts as leaked.
 */
const maxAnsweringSilence = 1500;

/** Whether events arrive: then all servers of the answer are alive, including those that left unannounced, have no entry and still serve. */
function isAnswering({hasBegun, quietFor}: RequestActivity): boolean {
	return hasBegun && quietFor < maxAnsweringSilence;
}

/** Dependencies of a memory reservation. */
export type MemoryReservationParts = {
	logger: Logger;
	wire: GatewayWire;
	pool: BackendPool;
	/** Whether a server is alive by this node's view. */
	isLive: (id: BackendServerId) => boolean;
};

/** Id, server and size of a reservation. */
export type Reservation = {server: BackendServerId; address: string; reservation: string; tokens: number};

/** Acquires, renews and releases one reservation. */
export class MemoryReservation {
	readonly #parts: MemoryReservationParts;
	#wasUsed = false;
	#isRenewing = false;
	#isReleased = false;

	constructor(readonly reservation: Reservation, parts: MemoryReservationParts) {
		this.#parts = parts;
	}

	/** Reserves the memory; returns whether the server confirmed it. Takes a fresh connection, as there is no time to detect a dead one. */
	async reserve(): Promise<boolean> {
		return this.#sendReserve('fresh');
	}

	/** Renews the reservation, or releases it when its request has ended. `isReaderLive` says whether the server that runs the request is in view. */
	async renew(activity: RequestActivity, isReaderLive: boolean): Promise<void> {
		if (this.#isRenewing || this.#isReleased) {
			return;
		}

		this.#isRenewing = true;
		await this.#renewOrRelease(activity, isReaderLive);
		this.#isRenewing = false;
	}

	/** Releases the memory, once. */
	async release(): Promise<void> {
		if (this.#isReleased) {
			return;
		}

		this.#isReleased = true;
		for (let attempt = 1; attempt <= maxReleaseAttempts; attempt++) {
			if (await this.#sendOrder({kind: 'release', reservation: this.reservation.reservation})) {
				return;
			}
		}
	}

	async #renewOrRelease(activity: RequestActivity, isReaderLive: boolean): Promise<void> {
		const next = await this.#chooseOrder(activity, isReaderLive);
		if (next === 'release') {
			this.#parts.logger.info({
				event: 'memory_unused', reservation: this.reservation.reservation, address: this.reservation.address, quietFor: Math.round(activity.quietFor),
			}, 'releasing reserved memory that a silent request no longer uses');
			await this.release();
			return;
		}

		if (next === 'renew' && !this.#isReleased) {
			await this.#sendReserve('kept');
		}
	}

	/** Reserves or renews the memory, which is the same order. */
	async #sendReserve(use: ConnectionUse): Promise<boolean> {
		const {reservation, tokens} = this.reservation;
		return this.#sendOrder({
			kind: 'reserve', reservation, tokens, holdFor,
		}, use);
	}

	/**
	 * Chooses the order of one renewal.
	 *
	 * The end of a request goes unnoticed on a dead connection, so the holder is asked whether the memory is in use. It is also
	 * asked when it or the reader is missing from the view: either may still serve, or may have restarted, and after a restart
	 * a renewal would reserve memory that no request uses.
	 */
	async #chooseOrder(activity: RequestActivity, isReaderLive: boolean): Promise<'renew' | 'release' | 'none'> {
		const isHolderLive = this.#parts.isLive(this.reservation.server);
		const isInView = isAnswering(activity) || (isReaderLive && isHolderLive);
		this.#wasUsed ||= activity.hasBegun;
		if (isInView && activity.quietFor < quietThreshold) {
			return 'renew';
		}

		const use = await this.#fetchUse();
		this.#wasUsed ||= use === 'used';
		if (use === 'unused') {
			return this.#wasUsed || (!isInView && activity.quietFor >= maxUnusedTime) ? 'release' : 'renew';
		}

		if (use === undefined && !isInView) {
			return isHolderLive ? 'release' : 'none';
		}

		return 'renew';
	}

	/** How the memory is used, by the holder's report; undefined when the report does not list it. */
	async #fetchUse(): Promise<ReservationUse | 'unanswered'> {
		const {pool, wire} = this.#parts;
		try {
			const answer = await pool.ask(this.reservation.address, {
				server: this.reservation.server, method: 'GET', path: wire.reportPath, headers: {}, body: undefined,
			}, orderTimeout);
			return wire.readReservationUse(answer.text, this.reservation.reservation);
		} catch {
			return 'unanswered';
		}
	}

	/** Sends an order; returns whether the server confirmed it. */
	async #sendOrder(order: ReservationOrder, use: ConnectionUse = 'kept'): Promise<boolean> {
		const {logger, pool, wire} = this.#parts;
		const {server, address, reservation} = this.reservation;
		const message = wire.formatOrder(order);
		try {
			const answer = await pool.ask(address, {...message, server, headers: message.headers as Record<string, string>}, orderTimeout, use);
			if (answer.status !== 200) {
				logger.warn({
					event: 'order_refused', order: order.kind, reservation, address, status: answer.status,
				}, 'a backend server refused a memory order');
			}

			return answer.status === 200;
		} catch (error) {
			logger.warn({
				event: 'order_lost', order: order.kind, reservation, address, reason: readErrorMessage(error),
			}, 'a memory order was not answered; the reservation expires on its own');
			return false;
		}
	}
}
