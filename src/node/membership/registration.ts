/** Keeps the registration of this node in the platform up to date, and retries after failures. */
import {
	Child, waitFor, type Clock, type Logger,
} from '../../common/index.js';
import type {Platform, SpecOf} from '../../store/index.js';
import type {FleetView} from '../config/index.js';

const checkInterval = 500;
const initialBackoff = 200;
const maxBackoff = 10_000;

/** Registers one node under the name of its box. */
export class Registration extends Child {
	override readonly name = 'registration';
	readonly #platform: Platform;
	readonly #view: FleetView;
	readonly #parts: {clock: Clock; logger: Logger; random: () => number};
	readonly #box: string;
	readonly #describe: () => SpecOf<'Node'>;

	constructor(platform: Platform, view: FleetView, parts: {clock: Clock; logger: Logger; random: () => number}, self: {box: string; describe: () => SpecOf<'Node'>}) {
		super();
		this.#platform = platform;
		this.#view = view;
		this.#parts = parts;
		this.#box = self.box;
		this.#describe = self.describe;
	}

	/** Compares the registration with the local view, without load on the platform, and writes it only if it differs. */
	override async run(signal: AbortSignal): Promise<void> {
		let backoff = initialBackoff;
		while (!signal.aborted) {
			if (this.#view.revision === 0 || this.#isStored() || await this.write()) {
				backoff = initialBackoff;
				await waitFor(this.#parts.clock, checkInterval, signal);
				continue;
			}

			await waitFor(this.#parts.clock, backoff * (0.5 + (this.#parts.random() / 2)), signal);
			backoff = Math.min(maxBackoff, backoff * 2);
		}
	}

	/** Writes the registration now; false if the platform did not confirm it. */
	async write(): Promise<boolean> {
		const known = this.#view.find('Node', this.#box);
		const object = {kind: 'Node' as const, metadata: {name: this.#box}, spec: this.#describe()};
		const written = await this.#platform.writeObject(object, known?.version ?? 0);
		return written.caseOf({
			Left: failure => {
				this.#parts.logger.warn({event: 'registration_failed', reason: failure.message}, 'registration not confirmed');
				return false;
			},
			Right: stored => {
				this.#view.applyStored(stored);
				return true;
			},
		});
	}

	#isStored(): boolean {
		const known = this.#view.find('Node', this.#box);
		const wanted = this.#describe();
		return known?.incarnation === wanted.incarnation && known.state === wanted.state;
	}
}
