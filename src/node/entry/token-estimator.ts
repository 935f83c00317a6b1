/** Learns how many tokens a byte of prompt makes, from the usage that engines report. Pure. */
import type {ServiceName} from '../../common/index.js';

/** Tokens a byte before anything is known: four bytes a token is usual for European languages. */
const initialRatio = 0.25;

/** Weight of the newest report. */
const smoothing = 0.05;

/** Estimates prompt lengths for each service. */
export class TokenEstimator {
	readonly #ratios = new Map<ServiceName, number>();

	/** Estimates the tokens of a prompt of this many bytes. */
	estimate(service: ServiceName, bytes: number): number {
		return Math.max(1, Math.ceil(bytes * this.readRatio(service)));
	}

	/** Tokens that a byte makes. */
	readRatio(service: ServiceName): number {
		return this.#ratios.get(service) ?? initialRatio;
	}

	/** Learns from a report. */
	update(service: ServiceName, bytes: number, tokens: number): void {
		if (bytes <= 0 || tokens <= 0) {
			return;
		}

		const known = this.readRatio(service);
		this.#ratios.set(service, (known * (1 - smoothing)) + ((tokens / bytes) * smoothing));
	}
}
