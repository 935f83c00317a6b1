/** Traits of requests that backend servers have answered: evidence that they crash none. Pure; time is passed in. */
import type {CrashTrait} from '../../common/index.js';

/** Maximum number of traits; those answered longest ago are dropped first. */
const maxTraits = 16_384;

/** Time for which an answer counts, in milliseconds. */
const answerRetention = 600_000;

/** Answered traits of one service. */
export class TraitAnswers {
	/** Time of the latest answer, ordered by it. */
	readonly #answeredAt = new Map<CrashTrait, number>();

	/** Records a complete answer. */
	record(trait: CrashTrait, now: number): void {
		this.#answeredAt.delete(trait);
		this.#answeredAt.set(trait, now);
		if (this.#answeredAt.size > maxTraits) {
			const [oldest] = this.#answeredAt.keys();
			this.#answeredAt.delete(oldest);
		}
	}

	/** Whether a request with the trait was answered recently. */
	has(trait: CrashTrait, now: number): boolean {
		return now - (this.#answeredAt.get(trait) ?? -Infinity) < answerRetention;
	}

	/** Whether a request with the trait was answered after a time. */
	hasSince(trait: CrashTrait, time: number): boolean {
		return (this.#answeredAt.get(trait) ?? -Infinity) >= time;
	}
}
