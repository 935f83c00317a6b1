/** A source on a virtual clock, with injected faults of its answers and connections. */
import {Left, Right, type Either} from 'purify-ts';
import {waitFor, type Clock, type VirtualClock} from '../../src/common/index.js';
import {
	ItemSource, type Changes, type FollowCall, type Listing, type SourceCall, type SourceFailure,
} from '../../src/routing/index.js';

/** Answer time of a healthy source, in milliseconds. */
const answerTime = 4;

/** Longest wait of a call that is not rejected while `isCuttingWaits` is set, in milliseconds. */
const maxUncutWait = 100;

/** An open call; a lost one is never answered. */
type OpenCall = {wake: () => void; isLost: boolean};

/** A source of strings, which are their own names; each `put` increments the revision. */
export class StandinSource extends ItemSource<string> {
	/** All calls in order, with their start times by the monotonic clock. */
	readonly calls: Array<{at: number; kind: 'list' | 'follow'}> = [];
	/** Whether calls with a longer wait for changes are rejected at once. */
	isCuttingWaits = false;
	/** Time until an answer, in milliseconds. */
	answerTime = answerTime;
	readonly #clock: Clock;
	readonly #items: Array<{name: string; revision: number}> = [];
	readonly #open = new Set<OpenCall>();
	#isSilent = false;

	constructor(clock: Clock) {
		super();
		this.#clock = clock;
	}

	/** Adds an item. */
	put(name: string): void {
		this.#items.push({name, revision: this.#items.length + 1});
		for (const call of this.#open) {
			call.wake();
		}
	}

	/** Stops answering new calls; open calls are never answered. */
	stopAnswers(): void {
		this.#isSilent = true;
		this.dropCalls();
	}

	/** Resumes answering new calls. */
	restoreAnswers(): void {
		this.#isSilent = false;
	}

	/** Loses the open calls, which are never answered; new ones are. */
	dropCalls(): void {
		for (const call of this.#open) {
			call.isLost = true;
		}
	}

	override async list({signal}: SourceCall): Promise<Either<SourceFailure, Listing<string>>> {
		return this.#call({kind: 'list', wait: 0}, signal, () => ({items: this.#items.map(item => item.name), revision: this.#items.length}));
	}

	override async follow({revision, wait}: FollowCall, {signal}: SourceCall): Promise<Either<SourceFailure, Changes<string>>> {
		if (this.isCuttingWaits && wait > maxUncutWait) {
			this.calls.push({at: this.#clock.readMonotonic(), kind: 'follow'});
			await waitFor(this.#clock, answerTime, signal);
			return Left({kind: 'unreachable', message: 'the call was cut'});
		}

		return this.#call({kind: 'follow', wait: this.#items.length > revision ? 0 : wait}, signal, () => ({
			changes: this.#items.filter(item => item.revision > revision).map(({name, revision: changedAt}) => ({name, item: name, revision: changedAt})),
			revision: this.#items.length,
		}));
	}

	async #call<Answer>({kind, wait}: {kind: 'list' | 'follow'; wait: number}, signal: AbortSignal, read: () => Answer): Promise<Either<SourceFailure, Answer>> {
		this.calls.push({at: this.#clock.readMonotonic(), kind});
		const hasAnswer = await new Promise<boolean>(resolve => {
			const call = {
				isLost: this.#isSilent,
				wake: () => {
					timer.cancel();
					timer = this.#clock.setTimer(this.answerTime, finish);
				},
			};
			const end = (isAnswered: boolean) => {
				timer.cancel();
				this.#open.delete(call);
				resolve(isAnswered);
			};

			const finish = () => {
				if (!call.isLost) {
					end(true);
				}
			};

			let timer = this.#clock.setTimer(wait + this.answerTime, finish);
			signal.addEventListener('abort', () => {
				end(false);
			});
			this.#open.add(call);
		});
		return hasAnswer ? Right(read()) : Left({kind: 'unreachable', message: `${kind}: no answer in time`});
	}
}

/** Advances the clock in small steps, and lets pending promises settle after each. */
export async function advanceClock(clock: VirtualClock, milliseconds: number): Promise<void> {
	for (let passed = 0; passed < milliseconds; passed += timeStep) {
		clock.advance(timeStep);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

const timeStep = 10;
