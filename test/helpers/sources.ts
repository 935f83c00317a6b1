/** A source on a virtual clock, whose answers and connections fall silent as a test asks. */
import {Left, Right, type Either} from 'purify-ts';
import {waitFor, type Clock, type VirtualClock} from '../../src/common/index.js';
import {
	ItemSource, type Changes, type FollowCall, type Listing, type SourceCall, type SourceFailure,
} from '../../src/routing/index.js';

/** Time in which a source that is well answers, in milliseconds. */
const answerTime = 4;

/** Longest wait of a call that is not cut, in milliseconds. */
const maxUncutWait = 100;

/** One call that has no answer yet. */
type OpenCall = {wake: () => void; isLost: boolean};

/** Items are their own names; each put raises the revision by one. */
export class StandinSource extends ItemSource<string> {
	/** Calls that begin while this is set are never answered, nor are those that are open then. */
	readonly calls: Array<{at: number; kind: 'list' | 'follow'}> = [];
	/** Whether calls that wait for changes are cut as soon as they come. */
	isCuttingWaits = false;
	/** Time in which an answer comes, in milliseconds. */
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

	/** From now on nothing is answered; what is open now is lost for good. */
	stopAnswers(): void {
		this.#isSilent = true;
		this.dropCalls();
	}

	/** Answers new calls again. */
	restoreAnswers(): void {
		this.#isSilent = false;
	}

	/** Open calls are never answered; new ones are. */
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

/** Moves time on in small steps, and lets whatever waits for a promise go on after each. */
export async function advanceClock(clock: VirtualClock, milliseconds: number): Promise<void> {
	for (let passed = 0; passed < milliseconds; passed += timeStep) {
		clock.advance(timeStep);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

const timeStep = 10;
