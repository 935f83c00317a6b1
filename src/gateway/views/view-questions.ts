/** When a node that is behind asks for one part of the view. Pure. */

/** Least time between two questions, in milliseconds: changes that follow each other closely come together, and a few such pauses on the way through the fleet stay within the bound for a change. */
const defaultPause = 100;

/** Questions under way at most: more would share a narrow link among themselves. */
const mostUnderWay = 2;

/** Questions for one part of the view. */
export class ViewQuestions {
	readonly #stuckAfter: number;
	#askedAt = -Infinity;
	#underWay = 0;

	/** `stuckAfter`: time after which a question that has no answer yet is put to another node as well, in milliseconds. */
	constructor(stuckAfter: number) {
		this.#stuckAfter = stuckAfter;
	}

	/** Whether one may be put now; `pause` is the least time since the last one, in milliseconds. */
	mayAsk(now: number, pause = defaultPause): boolean {
		const since = now - this.#askedAt;
		return this.#underWay === 0 ? since >= pause : this.#underWay < mostUnderWay && since >= this.#stuckAfter;
	}

	/** Counts a question as under way until it is settled. */
	async hold(now: number, question: Promise<void>): Promise<void> {
		this.#askedAt = now;
		this.#underWay++;
		try {
			await question;
		} finally {
			this.#underWay--;
		}
	}
}
