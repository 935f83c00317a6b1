/** HTTP connection pool that can be replaced as a whole when one of its connections stalls. */
import {Agent} from 'undici';

/**
 * An undici agent that can be replaced at run time.
 *
 * After a network fault all pooled connections may stall at once without a reset, while new ones
 * work. Without replacement, four pooled connections would make four successive calls time out.
 */
export class ReplaceableAgent {
	readonly #options: Agent.Options;
	/** Agents with open connections; the last one serves new calls. */
	#agents: Agent[];
	#isClosed = false;

	constructor(options: Agent.Options) {
		this.#options = options;
		this.#agents = [new Agent(options)];
	}

	/** Agent for new calls. */
	get current(): Agent {
		return this.#agents.at(-1)!;
	}

	/**
	 * Replaces an agent on which a call got no response. New calls open new connections; calls in progress keep theirs.
	 *
	 * @returns false when the agent has already been replaced, or all are closed.
	 */
	replace(agent: Agent): boolean {
		if (this.#isClosed || agent !== this.current) {
			return false;
		}

		this.#agents.push(new Agent(this.#options));
		void this.#drain(agent);
		return true;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		this.#isClosed = true;
		await Promise.all(this.#agents.map(async agent => agent.destroy()));
	}

	async #drain(agent: Agent): Promise<void> {
		await agent.close();
		this.#agents = this.#agents.filter(other => other !== agent);
	}
}
