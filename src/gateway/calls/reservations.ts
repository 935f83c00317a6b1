/**
 * Memory set aside on backend servers for prompts larger than one of them holds.
 *
 * Reservations are short and renewed while their request runs, so that those of a node
 * that died run out by themselves; a request that ends frees them at once.
 */
import {
	readErrorMessage, type BackendServerId, type Clock, type Logger, type RequestId, type Timer,
} from '../../common/index.js';
import type {Plan} from '../../planning/index.js';
import type {GatewayWire, HelperAddress, ReservationOrder} from '../wire.js';
import type {BackendPool} from './backend-pool.js';

/** How long a reservation lasts unless renewed, in milliseconds: under the four seconds after which unused memory counts as lost. */
const holdFor = 3000;

/** Time between renewals, in milliseconds: two may fail before a reservation runs out. */
const renewEvery = 900;

/** Time for an order to be answered, in milliseconds. */
const orderTimeout = 500;

/**
 * Silence up to which an answer shows that its servers live, in milliseconds: passes of a server with long contexts are
 * shorter, and with a renewal's time and the release's it is under the four seconds after which unused memory counts as lost.
 */
const signOfLife = 1500;

/** Times a release is tried; after that the reservation runs out by itself. */
const releaseTries = 3;

/** A helper of a plan with its address. */
export type LocatedHelper = HelperAddress & {server: BackendServerId; heldTokens: number};

/** Reservations of one request. */
export type Lease = {
	helpers: HelperAddress[];
	/** Frees them; call when the request has ended. */
	release(): void;
};

/** A reservation on one server. */
type Held = {server: BackendServerId; address: string; reservation: string; tokens: number};

/** What reservations need. */
export type ReservationParts = {
	clock: Clock;
	logger: Logger;
	wire: GatewayWire;
	pool: BackendPool;
	/** Whether a server's life has not ended by this node's view. */
	isLive: (id: BackendServerId) => boolean;
};

/** Takes and frees reservations. */
export class Reservations {
	readonly #parts: ReservationParts;

	constructor(parts: ReservationParts) {
		this.#parts = parts;
	}

	/** Sets aside what a plan asks for; undefined when a server has no room or does not answer. `readSilence` tells for how long nothing of the answer has come, in milliseconds. */
	async reserve(plan: Plan, helpers: LocatedHelper[], requestId: RequestId, readSilence = () => Infinity): Promise<Lease | undefined> {
		const wanted = helpers.filter(helper => helper.heldTokens > 0);
		if (wanted.length === 0) {
			return {
				helpers: helpers.map(helper => ({address: helper.address})),
				release() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- nothing is held
			};
		}

		const reservation = `${requestId}-${plan.planId.slice(0, 8)}`;
		const held = wanted.map(({server, address, heldTokens}) => ({
			server, address, reservation, tokens: heldTokens,
		}));
		const taken = await Promise.all(held.map(async item => this.#order(item, {
			kind: 'reserve', reservation: item.reservation, tokens: item.tokens, holdFor,
		})));
		if (taken.includes(false)) {
			this.#releaseAll(held);
			return undefined;
		}

		return this.#createLease(plan.server, helpers, held, readSilence);
	}

	#createLease(reader: BackendServerId, helpers: LocatedHelper[], held: Held[], readSilence: () => number): Lease {
		let timer: Timer | undefined;
		let isReleased = false;
		const release = () => {
			timer?.cancel();
			if (!isReleased) {
				isReleased = true;
				this.#releaseAll(held);
			}
		};

		const renew = () => {
			timer = this.#parts.clock.setTimer(renewEvery, () => {
				// Servers that leave without a word have no entry and serve on: while events come, all that the answer needs lives.
				const isAnswering = readSilence() < signOfLife;
				// A server that went dark ends no connection: without this its memory elsewhere was held until the caller's time was over, 9.6 s on a day with three of ten servers dark.
				if (!isAnswering && !this.#parts.isLive(reader)) {
					release();
					return;
				}

				// At a server that has started again a renewal would set memory aside that nobody uses.
				for (const item of held.filter(({server}) => isAnswering || this.#parts.isLive(server))) {
					void this.#order(item, {
						kind: 'reserve', reservation: item.reservation, tokens: item.tokens, holdFor,
					});
				}

				renew();
			});
		};

		renew();
		// Memory is filled in the order of the list: the holders come first.
		const holders = held.map(item => ({address: item.address, reservation: item.reservation}));
		const readers = helpers.filter(helper => helper.heldTokens === 0).map(helper => ({address: helper.address}));
		return {
			helpers: [...holders, ...readers],
			release,
		};
	}

	#releaseAll(held: Held[]): void {
		for (const item of held) {
			void this.#release(item);
		}
	}

	async #release(item: Held): Promise<void> {
		for (let attempt = 1; attempt <= releaseTries; attempt++) {
			if (await this.#order(item, {kind: 'release', reservation: item.reservation})) {
				return;
			}
		}
	}

	/** Sends an order; whether the server answered that it is done. */
	async #order(item: Held, order: ReservationOrder): Promise<boolean> {
		const message = this.#parts.wire.formatOrder(order);
		try {
			const answer = await this.#parts.pool.ask(item.address, {...message, headers: message.headers as Record<string, string>}, orderTimeout);
			if (answer.status !== 200) {
				this.#parts.logger.warn({
					event: 'order_refused', order: order.kind, reservation: item.reservation, address: item.address, status: answer.status,
				}, 'a backend server refused an order on its memory');
			}

			return answer.status === 200;
		} catch (error) {
			this.#parts.logger.warn({
				event: 'order_lost', order: order.kind, reservation: item.reservation, address: item.address, reason: readErrorMessage(error),
			}, 'an order on memory was not answered; it runs out by itself');
			return false;
		}
	}
}
