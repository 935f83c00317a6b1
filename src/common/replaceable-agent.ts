/** Connections that are left all together once one of them has been silent. */
import {Agent} from 'undici';

/**
 * An agent of undici that can be replaced.
 *
 * Open connections may fall silent without a reset while new ones are answered, and all of them
 * at once: with four kept ones, four calls after each other would wait for nothing.
 */
export class ReplaceableAgent {
	readonly #options: Agent.Options;
	/** Agents with connections; the last one takes new calls. */
	#agents: Agent[];

	constructor(options: Agent.Options) {
		this.#options = options;
		this.#agents = [new Agent(options)];
	}

	/** The agent for a new call. */
	get current(): Agent {
		return this.#agents.at(-1)!;
	}

	/**
	 * Leaves an agent on which a call had no answer: new calls take new connections, those under way keep theirs.
	 *
	 * @returns false when it has been left already.
	 */
	replace(agent: Agent): boolean {
		if (agent !== this.current) {
			return false;
		}

		this.#agents.push(new Agent(this.#options));
		void this.#drain(agent);
		return true;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all(this.#agents.map(async agent => agent.destroy()));
	}

	async #drain(agent: Agent): Promise<void> {
		await agent.close();
		this.#agents = this.#agents.filter(other => other !== agent);
	}
}
