/** Cold servers of one service: what servers state in answers, which other nodes cannot know from their entries, and the limits of the planner. */
import type {BackendServerId} from '../../common/index.js';
import type {ColdAllowance} from '../../planning/index.js';
import type {ColdServer} from '../../routing/index.js';
import type {ServiceParts} from './service-parts.js';

/** Maximum number of cold servers in one message. */
const maxReported = 200;

/** Cold servers of one service on this node. */
export class ReplicatedCold {
	readonly #parts: ServiceParts;

	constructor(parts: ServiceParts, allowance: ColdAllowance | undefined) {
		this.#parts = parts;
		if (allowance !== undefined) {
			parts.planner.coldLimits.enable(allowance);
			this.refresh();
		}
	}

	/** Applies a change of one server to the planner. */
	applyChange({server, coldFor}: ColdServer): void {
		const rate = this.#findRate();
		if (rate !== undefined) {
			this.#parts.planner.coldLimits.update(server, coldFor, rate, this.#now);
		}
	}

	/** Applies all cold servers, after a change of the configuration or of the servers. */
	refresh(): void {
		const {service, planner, state} = this.#parts;
		const hasRate = this.#findRate() !== undefined;
		planner.coldLimits.retain(server => hasRate && state.hasServer(server));
		for (const cold of state.coldServers.list(service)) {
			this.applyChange(cold);
		}
	}

	/** Records what a server has stated in an answer; returns a report if one is due to the scheduling node. */
	recordAnswer(server: BackendServerId, coldFor: number): ColdServer | undefined {
		const {service, state} = this.#parts;
		const isChanged = state.hasServer(server) && state.coldServers.applyAnswer(server, service, coldFor);
		return isChanged && coldFor > 0 ? {server, coldFor} : undefined;
	}

	/** Merges what another node knows. */
	merge(reports: ColdServer[]): void {
		const {service, state} = this.#parts;
		for (const {server, coldFor} of reports) {
			if (state.hasServer(server)) {
				state.coldServers.applyReport(server, service, coldFor);
			}
		}
	}

	/** Describes the cold servers that other nodes cannot know from their entries. */
	describe(): ColdServer[] {
		const {service, state} = this.#parts;
		return state.coldServers.listUnannounced(service).slice(0, maxReported).map(({server, coldFor}) => ({server, coldFor: Math.round(coldFor)}));
	}

	/** Sends these to all nodes: any of them may have to schedule requests. */
	replicate(): void {
		const {service, updates} = this.#parts;
		const cold = this.describe();
		if (cold.length > 0) {
			updates.sendToSuccessors(service, true, {cold});
		}
	}

	get #now(): number {
		return this.#parts.clock.readMonotonic();
	}

	#findRate(): number | undefined {
		return this.#parts.state.table?.findService(this.#parts.service)?.coldStart?.requestsPerSecond;
	}
}
