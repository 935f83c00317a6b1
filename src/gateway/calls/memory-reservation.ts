/** Memory set aside on one backend server for one request: taken, renewed while it is of use, and freed. */
import {
	readErrorMessage, type BackendServerId, type Logger,
} from '../../common/index.js';
import type {GatewayWire, ReservationOrder, ReservationUse} from '../wire.js';
import type {BackendPool, ConnectionUse} from './backend-pool.js';

/** How long a reservation lasts unless renewed, in milliseconds: under the four seconds after which unused memory counts as lost. */
const holdFor = 3000;

/** Time between renewals, in milliseconds: two may fail before a reservation runs out. */
export const renewalInterval = 900;

/** Time without a sign of the request after which its server is asked about the memory, in milliseconds: several pauses between two events, and over at the first renewal. */
const quietThreshold = 500;

/** Time for which memory is kept that no request has used yet while a server of its request is out of view, in milliseconds: under the nine seconds after which it counts as stuck. */
const maxUnusedTime = 4000;

/** Time for an order or a report to be answered, in milliseconds. */
const orderTimeout = 500;

/** Times a release is tried; after that the reservation runs out by itself. */
const maxReleaseAttempts = 3;

/** What is heard of a request from the server that runs it. */
export type RequestActivity = {
	/** Whether it has had an event. */
	hasBegun: boolean;
	/** Time since it was heard of last, in milliseconds; 0 while it has not been sent. */
	quietFor: number;
};

/**
 * Silence up to which an answer shows that its servers live, in milliseconds: passes of a server with long contexts are
 * shorter, and with a renewal's time and the release's it is under the four seconds after which unused memory counts as lost.
 */
const maxAnsweringSilence = 1500;

/** Whether events come: then all that the answer needs lives, also servers that have left without a word, have no entry and serve on. */
function isAnswering({hasBegun, quietFor}: RequestActivity): boolean {
	return hasBegun && quietFor < maxAnsweringSilence;
}

/** What held memory needs. */
export type MemoryReservationParts = {
	logger: Logger;
	wire: GatewayWire;
	pool: BackendPool;
	/** Whether a server's life has not ended by this node's view. */
	isLive: (id: BackendServerId) => boolean;
};

/** A reservation on one server. */
export type Reservation = {server: BackendServerId; address: string; reservation: string; tokens: number};

/** One reservation. */
export class MemoryReservation {
	readonly #parts: MemoryReservationParts;
	#wasUsed = false;
	#isRenewing = false;
	#isReleased = false;

	constructor(readonly reservation: Reservation, parts: MemoryReservationParts) {
		this.#parts = parts;
	}

	/** Sets the memory aside; whether the server has. Its connection may be silent, and there is no time to find out. */
	async reserve(): Promise<boolean> {
		return this.#sendReserve('fresh');
	}

	/** Renews the reservation, or frees it when its request is over. `isReaderLive` says whether the server that runs the request is in view. */
	async renew(activity: RequestActivity, isReaderLive: boolean): Promise<void> {
		if (this.#isRenewing || this.#isReleased) {
			return;
		}

		this.#isRenewing = true;
		await this.#renewOrRelease(activity, isReaderLive);
		this.#isRenewing = false;
	}

	/** Frees the memory, once. */
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
			}, 'a request that is not heard of uses its memory no longer; it is freed');
			await this.release();
			return;
		}

		if (next === 'renew' && !this.#isReleased) {
			await this.#sendReserve('kept');
		}
	}

	/** Sets memory aside or renews it, which is one order. */
	async #sendReserve(use: ConnectionUse): Promise<boolean> {
		const {reservation, tokens} = this.reservation;
		return this.#sendOrder({
			kind: 'reserve', reservation, tokens, holdFor,
		}, use);
	}

	/**
	 * Chooses the order of one renewal.
	 *
	 * On a silent connection the end of a request goes unnoticed, so the holder is asked how the memory is used. It is asked
	 * as well when it or the reader is out of view: either may serve on, or have restarted, and then a renewal would set
	 * memory aside that no request uses.
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

	/** How the memory is used by its server's report; undefined when the report does not name it. */
	async #fetchUse(): Promise<ReservationUse | 'unanswered'> {
		const {pool, wire} = this.#parts;
		try {
			const answer = await pool.ask(this.reservation.address, {
				method: 'GET', path: wire.reportPath, headers: {}, body: undefined,
			}, orderTimeout);
			return wire.readReservationUse(answer.text, this.reservation.reservation);
		} catch {
			return 'unanswered';
		}
	}

	/** Sends an order; whether the server answered that it is done. */
	async #sendOrder(order: ReservationOrder, use: ConnectionUse = 'kept'): Promise<boolean> {
		const {logger, pool, wire} = this.#parts;
		const {address, reservation} = this.reservation;
		const message = wire.formatOrder(order);
		try {
			const answer = await pool.ask(address, {...message, headers: message.headers as Record<string, string>}, orderTimeout, use);
			if (answer.status !== 200) {
				logger.warn({
					event: 'order_refused', order: order.kind, reservation, address, status: answer.status,
				}, 'a backend server refused an order on its memory');
			}

			return answer.status === 200;
		} catch (error) {
			logger.warn({
				event: 'order_lost', order: order.kind, reservation, address, reason: readErrorMessage(error),
			}, 'an order on memory was not answered; it runs out by itself');
			return false;
		}
	}
}
