/**
 * A fake engine for replays: what a request costs in time, without text.
 *
 * Its model, all of it assumption: prompts are read in chunks, the least
 * priority first, at a fixed rate; a read prompt makes tokens at a fixed pace;
 * memory is held from the start to the end; shared prefixes are cached in memory
 * of their own and pushed out in order of last use.
 */
import type {Clock, Timer} from '../common/index.js';
import type {TraceFleet, TraceRequest} from './trace.js';

/** A request that an engine runs. */
export type EngineJob = {
	id: string;
	request: TraceRequest;
	priority: number;
	onFirstToken: () => void;
	onEnd: () => void;
	onLost: () => void;
};

type RunningJob = EngineJob & {
	order: number;
	/** Tokens of the prompt still to be read. */
	left: number;
	tokens: number;
	timer: Timer | undefined;
};

/** Tokens read in one go; a shorter prompt that arrives waits for at most one. */
const chunkTokens = 512;

/** Share of the memory's size that the prefix cache has beside it. */
const cacheShare = 0.25;

/** One engine. */
export class FakeEngine {
	readonly #clock: Clock;
	readonly #fleet: TraceFleet;
	readonly #jobs = new Map<string, RunningJob>();
	readonly #waiting: RunningJob[] = [];
	readonly #cache = new Map<string, number>();
	#held = 0;
	#order = 0;
	#reading: Timer | undefined;
	#isAlive = true;

	constructor(clock: Clock, traceFleet: TraceFleet) {
		this.#clock = clock;
		this.#fleet = traceFleet;
	}

	/** Whether it takes work. */
	get isAlive(): boolean {
		return this.#isAlive;
	}

	/** Tokens of memory held. */
	get held(): number {
		return this.#held;
	}

	/** Takes a job; it waits inside while memory is short. */
	submit(job: EngineJob): void {
		if (!this.#isAlive) {
			job.onLost();
			return;
		}

		const {request} = job;
		this.#waiting.push({
			...job, order: this.#order++, left: request.promptTokens, tokens: request.promptTokens + request.outputTokens, timer: undefined,
		});
		this.#startWaiting();
	}

	/** Ends a job without a word to it. */
	cancel(id: string): void {
		const index = this.#waiting.findIndex(job => job.id === id);
		if (index !== -1) {
			this.#waiting.splice(index, 1);
			return;
		}

		const job = this.#jobs.get(id);
		if (job !== undefined) {
			this.#remove(job);
		}
	}

	/** Dies: every job is lost, and the cache. */
	die(): void {
		this.#isAlive = false;
		this.#reading?.cancel();
		this.#reading = undefined;
		const lost = [...this.#jobs.values(), ...this.#waiting.splice(0)];
		this.#jobs.clear();
		this.#cache.clear();
		this.#held = 0;
		for (const job of lost) {
			job.timer?.cancel();
			job.onLost();
		}
	}

	/** Comes back, empty. */
	revive(): void {
		this.#isAlive = true;
	}

	#startWaiting(): void {
		this.#waiting.sort((left, right) => left.priority - right.priority || left.order - right.order);
		while (this.#waiting.length > 0 && this.#held + this.#waiting[0].tokens <= this.#fleet.capacity) {
			const job = this.#waiting.shift()!;
			this.#held += job.tokens;
			job.left = job.request.promptTokens - this.#useCache(job.request);
			this.#jobs.set(job.id, job);
		}

		this.#readOn();
	}

	#readOn(): void {
		if (this.#reading !== undefined) {
			return;
		}

		const job = this.#findNext();
		if (job === undefined) {
			return;
		}

		const tokens = Math.min(chunkTokens, job.left);
		this.#reading = this.#clock.setTimer(tokens / this.#fleet.prefillRate * 1000, () => {
			this.#reading = undefined;
			job.left -= tokens;
			if (job.left <= 0 && this.#jobs.has(job.id)) {
				this.#startAnswer(job);
			}

			this.#readOn();
		});
	}

	#findNext(): RunningJob | undefined {
		let next: RunningJob | undefined;
		for (const job of this.#jobs.values()) {
			const isEarlier = next === undefined || job.priority < next.priority || (job.priority === next.priority && job.order < next.order);
			if (job.left > 0 && isEarlier) {
				next = job;
			}
		}

		return next;
	}

	#startAnswer(job: RunningJob): void {
		job.onFirstToken();
		job.timer = this.#clock.setTimer((job.request.outputTokens - 1) * this.#fleet.tokenInterval, () => {
			this.#remove(job);
			job.onEnd();
		});
	}

	#remove(job: RunningJob): void {
		job.timer?.cancel();
		this.#jobs.delete(job.id);
		this.#held -= job.tokens;
		this.#startWaiting();
	}

	#useCache(request: TraceRequest): number {
		const {sharedPrefix} = request;
		if (sharedPrefix === undefined) {
			return 0;
		}

		const cached = this.#cache.get(sharedPrefix.id) ?? 0;
		this.#cache.delete(sharedPrefix.id);
		this.#cache.set(sharedPrefix.id, sharedPrefix.tokens);
		let total = [...this.#cache.values()].reduce((sum, tokens) => sum + tokens, 0);
		for (const [id, tokens] of this.#cache) {
			if (total <= this.#fleet.capacity * cacheShare) {
				break;
			}

			this.#cache.delete(id);
			total -= tokens;
		}

		return Math.min(cached, sharedPrefix.tokens);
	}
}
