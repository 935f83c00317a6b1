/**
 * Memory set aside on backend servers for prompts larger than one of them holds.
 *
 * Reservations are short and renewed while their request runs, so that those of a node
 * that died run out by themselves; a request that ends frees them at once.
 */
import type {
	BackendServerId, Clock, RequestId, Timer,
} from '../../common/index.js';
import type {Plan} from '../../planning/index.js';
import type {HelperAddress} from '../wire.js';
import {
	HeldMemory, renewEvery, type HeldMemoryParts, type RunSign,
} from './held-memory.js';

/** A helper of a plan with its address. */
export type LocatedHelper = HelperAddress & {server: BackendServerId; heldTokens: number};

/** Reservations of one request. */
export type Lease = {
	helpers: HelperAddress[];
	/** Frees them; call when the request has ended. */
	release(): void;
};

/** What reservations need. */
export type ReservationParts = HeldMemoryParts & {clock: Clock};

/** Takes and frees reservations. */
export class Reservations {
	readonly #parts: ReservationParts;

	constructor(parts: ReservationParts) {
		this.#parts = parts;
	}

	/** Sets aside what a plan asks for; undefined when a server has no room or does not answer. `findSign` tells what is heard of the request. */
	async reserve(plan: Plan, helpers: LocatedHelper[], requestId: RequestId, findSign: () => RunSign): Promise<Lease | undefined> {
		const wanted = helpers.filter(helper => helper.heldTokens > 0);
		if (wanted.length === 0) {
			return {
				helpers: helpers.map(helper => ({address: helper.address})),
				release() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- nothing is held
			};
		}

		const reservation = `${requestId}-${plan.planId.slice(0, 8)}`;
		const held = wanted.map(({server, address, heldTokens}) => new HeldMemory({
			server, address, reservation, tokens: heldTokens,
		}, this.#parts));
		const taken = await Promise.all(held.map(async memory => memory.reserve()));
		if (taken.includes(false)) {
			releaseAll(held);
			return undefined;
		}

		return this.#createLease(plan.server, helpers, held, findSign);
	}

	#createLease(reader: BackendServerId, helpers: LocatedHelper[], held: HeldMemory[], findSign: () => RunSign): Lease {
		let timer: Timer | undefined;
		const release = () => {
			timer?.cancel();
			for (const memory of held) {
				void memory.release();
			}
		};

		const renew = () => {
			timer = this.#parts.clock.setTimer(renewEvery, () => {
				const sign = findSign();
				const isReaderLive = this.#parts.isLive(reader);
				for (const memory of held) {
					void memory.renew(sign, isReaderLive);
				}

				renew();
			});
		};

		renew();
		// Memory is filled in the order of the list: the holders come first.
		const holders = held.map(({reservation: {address, reservation}}) => ({address, reservation}));
		const readers = helpers.filter(helper => helper.heldTokens === 0).map(helper => ({address: helper.address}));
		return {
			helpers: [...holders, ...readers],
			release,
		};
	}
}

function releaseAll(held: HeldMemory[]): void {
	for (const memory of held) {
		void memory.release();
	}
}
