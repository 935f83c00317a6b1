/**
 * Memory reserved on backend servers for prompts that exceed the memory of one of them.
 *
 * Reservations are short leases, renewed while their request runs, so that those of a crashed node
 * expire; a request that ends releases them at once.
 */
import type {
	BackendServerId, Clock, RequestId, Timer,
} from '../../common/index.js';
import type {Plan} from '../../planning/index.js';
import type {HelperAddress} from '../wire.js';
import {
	MemoryReservation, renewalInterval, type MemoryReservationParts, type RequestActivity,
} from './memory-reservation.js';

/** A helper of a plan with its address. */
export type LocatedHelper = HelperAddress & {server: BackendServerId; heldTokens: number};

/** Reservations of one request. */
export type Lease = {
	helpers: HelperAddress[];
	/** Releases them; must be called when the request has ended. */
	release(): void;
};

/** Dependencies of reservations. */
export type ReservationParts = MemoryReservationParts & {clock: Clock};

/** Acquires and releases reservations. */
export class Reservations {
	readonly #parts: ReservationParts;

	constructor(parts: ReservationParts) {
		this.#parts = parts;
	}

	/** Reserves the memory that a plan needs; undefined when a server refuses or does not answer. `readActivity` returns what has been received for the request. */
	async reserve(plan: Plan, helpers: LocatedHelper[], requestId: RequestId, readActivity: () => RequestActivity): Promise<Lease | undefined> {
		const wanted = helpers.filter(helper => helper.heldTokens > 0);
		if (wanted.length === 0) {
			return {
				helpers: helpers.map(helper => ({address: helper.address})),
				release() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- nothing is reserved
			};
		}

		const reservation = `${requestId}-${plan.planId.slice(0, 8)}`;
		const memoryReservations = wanted.map(({server, address, heldTokens}) => new MemoryReservation({
			server, address, reservation, tokens: heldTokens,
		}, this.#parts));
		const results = await Promise.all(memoryReservations.map(async memory => memory.reserve()));
		if (results.includes(false)) {
			releaseAll(memoryReservations);
			return undefined;
		}

		return this.#createLease(plan.server, helpers, memoryReservations, readActivity);
	}

	#createLease(reader: BackendServerId, helpers: LocatedHelper[], memoryReservations: MemoryReservation[], readActivity: () => RequestActivity): Lease {
		let timer: Timer | undefined;
		const release = () => {
			timer?.cancel();
			for (const memory of memoryReservations) {
				void memory.release();
			}
		};

		const renew = () => {
			timer = this.#parts.clock.setTimer(renewalInterval, () => {
				const activity = readActivity();
				const isReaderLive = this.#parts.isLive(reader);
				for (const memory of memoryReservations) {
					void memory.renew(activity, isReaderLive);
				}

				renew();
			});
		};

		renew();
		// The prompt fills memory in the order of the list: holders come first.
		const holders = memoryReservations.map(({reservation: {address, reservation}}) => ({address, reservation}));
		const readers = helpers.filter(helper => helper.heldTokens === 0).map(helper => ({address: helper.address}));
		return {
			helpers: [...holders, ...readers],
			release,
		};
	}
}

function releaseAll(memoryReservations: MemoryReservation[]): void {
	for (const memory of memoryReservations) {
		void memory.release();
	}
}
