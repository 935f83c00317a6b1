/** Estimates prompt lengths in tokens from the usage that engines report. Pure. */
import type {ServiceName} from '../../common/index.js';

/** Initial tokens per byte: four bytes per token are typical of European languages. */
const initialRatio = 0.25;

/** Weight of the newest report in the moving average. */
const smoothing = 0.05;

/** Estimates prompt lengths separately for each service. */
export class TokenEstimator {
	readonly #ratios = new Map<ServiceName, number>();

	/** Estimates the length in tokens of a prompt from its length in bytes. */
	estimate(service: ServiceName, bytes: number): number {
		return Math.max(1, Math.ceil(bytes * this.readRatio(service)));
	}

	/** Returns the estimated tokens per byte of a service. */
	readRatio(service: ServiceName): number {
		return this.#ratios.get(service) ?? initialRatio;
	}

	/** Updates the average with a prompt's bytes and its reported tokens. */
	update(service: ServiceName, bytes: number, tokens: number): void {
		if (bytes <= 0 || tokens <= 0) {
			return;
		}

		const previous = this.readRatio(service);
		this.#ratios.set(service, (previous * (1 - smoothing)) + ((tokens / bytes) * smoothing));
	}
}
