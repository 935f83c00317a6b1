/** Replays a trace: the real dispatcher over fake engines on a virtual clock. */
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {
	createFailure, createSilentLogger, formatPoolId, NoopMetrics, VirtualClock, type BackendServerId, type ErrorKind, type Failure,
	type Incarnation, type OrganisationId, type PartnerId, type PoolId, type RequestId, type ServiceName,
} from '../common/index.js';
import {
	Dispatcher, noPrefixes, PoolDirectory, type Grant, type OrganisationSettings, type ServerState,
} from '../node/dispatch/index.js';
import {compilePolicy, defaultPolicy, type Policy} from '../policy/index.js';
import {createCountingIds} from './counting-ids.js';
import {FakeEngine} from './fake-engine.js';
import type {Trace, TraceFleet, TraceRequest} from './trace.js';
import type {VariantParts} from './variants.js';

/** What became of one request. Times in milliseconds. */
export type RequestRecord = {
	request: TraceRequest;
	/** Time to first token; absent where there was none. */
	firstToken: number | undefined;
	/** Time to the end, or to the failure. */
	total: number;
	outcome: 'whole' | ErrorKind;
	/** Seconds that `tokens` of memory were held, for shares. */
	heldFrom: number | undefined;
	heldUntil: number;
	tokens: number;
};

/** A finished replay. */
export type ReplayResult = {
	records: RequestRecord[];
	/** Tokens still held on engines at the end; anything but 0 is a leak. */
	leakedTokens: number;
	/** Tokens that the dispatcher still counts as held at the end. */
	leakedGrants: number;
};

const entry = 'replay.entry' as Incarnation;
const pool = formatPoolId('bollettino-llm' as ServiceName, 'replay');

/** One way between an entry and an engine or dispatcher, in milliseconds. */
const networkDelay = 1;

/** Time for which an entry gathers releases. */
const releaseDelay = 20;

/** Time after which a dead engine is known to be dead. */
const detectionDelay = 1500;
const heartbeatInterval = 1000;
const turnsPerTimer = 1;

/** Replays a trace to its end. The same trace and parts give the same result. */
export async function replayTrace(trace: Trace, parts: VariantParts): Promise<ReplayResult> {
	return new Replay(trace, parts).run();
}

class Replay {
	readonly #clock = new VirtualClock();
	readonly #trace: Trace;
	readonly #engines: FakeEngine[];
	readonly #dispatcher: Dispatcher;
	readonly #records: RequestRecord[] = [];
	#inProgress = 0;
	#activeGrants = 0;

	constructor(trace: Trace, parts: VariantParts) {
		this.#trace = trace;
		this.#engines = Array.from({length: trace.fleet.engines}, () => new FakeEngine(this.#clock, trace.fleet));
		this.#dispatcher = new Dispatcher({
			pool,
			term: 1,
			clock: this.#clock,
			ids: createCountingIds(),
			logger: createSilentLogger(),
			metrics: new NoopMetrics(),
			directory: new TraceDirectory(trace.fleet),
			...parts,
		});
	}

	async run(): Promise<ReplayResult> {
		this.#dispatcher.setServers(this.#listServers());
		this.#dispatcher.open();
		for (const [index, request] of this.#trace.requests.entries()) {
			this.#inProgress++;
			this.#clock.setTimer(request.at, () => {
				void this.#serve(request, `r${index}` as RequestId);
			});
		}

		for (const fault of this.#trace.faults) {
			this.#scheduleFault(fault.at, fault.engine, fault.backAfter);
		}

		this.#scheduleHeartbeat();
		while (this.#inProgress > 0 && this.#clock.fireNext()) {
			for (let turn = 0; turn < turnsPerTimer; turn++) {
				await waitForTurn();
			}
		}

		this.#clock.advance(heartbeatInterval);
		return {
			records: this.#records,
			leakedTokens: this.#engines.reduce((sum, engine) => sum + engine.held, 0),
			leakedGrants: this.#dispatcher.ledger.grantCount,
		};
	}

	#scheduleFault(at: number, index: number, backAfter: number): void {
		this.#clock.setTimer(at, () => {
			this.#engines[index].die();
		});
		this.#clock.setTimer(at + detectionDelay, () => {
			this.#dispatcher.invalidateCache(formatServerId(index));
			this.#dispatcher.setServers(this.#listServers());
		});
		this.#clock.setTimer(at + backAfter, () => {
			this.#engines[index].revive();
			this.#dispatcher.setServers(this.#listServers());
		});
	}

	#scheduleHeartbeat(): void {
		this.#clock.setTimer(heartbeatInterval, () => {
			this.#dispatcher.acceptHeartbeat({
				pool, entry, entryUrl: '', released: [], activeCount: this.#activeGrants,
			});
			if (this.#inProgress > 0) {
				this.#scheduleHeartbeat();
			}
		});
	}

	#listServers(): ServerState[] {
		const {capacity, prefillRate, tokenInterval} = this.#trace.fleet;
		return this.#engines.map((engine, index) => ({
			id: formatServerId(index), url: String(index), availabilityZone: 'a', capacity, prefillRate, tokenInterval, open: engine.isAlive,
		}));
	}

	async #serve(request: TraceRequest, requestId: RequestId): Promise<void> {
		const record: RequestRecord = {
			request, firstToken: undefined, total: 0, outcome: 'whole', heldFrom: undefined, heldUntil: 0, tokens: request.promptTokens + request.outputTokens,
		};
		const failure = await this.#tryEngines(request, requestId, record);
		record.outcome = failure?.kind ?? 'whole';
		record.total = this.#clock.readMonotonic() - request.at;
		this.#records.push(record);
		this.#inProgress--;
	}

	async #tryEngines(request: TraceRequest, requestId: RequestId, record: RequestRecord): Promise<Failure | undefined> {
		const excluded: BackendServerId[] = [];
		for (;;) {
			const patience = request.at + request.bound - this.#clock.readMonotonic();
			const admitted = await this.#dispatcher.admit({
				requestId,
				organisation: request.organisation as OrganisationId,
				service: request.service as ServiceName,
				entry,
				promptTokens: request.promptTokens,
				outputTokens: request.outputTokens,
				patience: Math.max(0, patience),
				excluded,
				prefixes: request.sharedPrefix === undefined ? noPrefixes : {hashes: [request.sharedPrefix.id], firstTokens: request.sharedPrefix.tokens},
			});
			if (admitted.isLeft()) {
				return admitted.extract();
			}

			const grant = admitted.extract() as Grant;
			const end = await this.#runOn(grant, request, record);
			if (end !== 'lost') {
				return end === 'whole' ? undefined : createFailure('bound_passed_running', 'the bound passed');
			}

			if (record.firstToken !== undefined) {
				return createFailure('backend_lost', 'the engine was lost');
			}

			excluded.push(grant.backendServer);
		}
	}

	async #runOn(grant: Grant, request: TraceRequest, record: RequestRecord): Promise<'whole' | 'bound' | 'lost'> {
		const engine = this.#engines[Number(grant.url)];
		this.#activeGrants++;
		record.heldFrom ??= this.#clock.readMonotonic();
		return new Promise(resolve => {
			const finish = (end: 'whole' | 'bound' | 'lost') => {
				bound.cancel();
				record.heldUntil = this.#clock.readMonotonic();
				this.#clock.setTimer(releaseDelay, () => {
					this.#activeGrants--;
					this.#dispatcher.reclaim(grant.grantId);
				});
				resolve(end);
			};

			const bound = this.#clock.setTimer(request.at + request.bound - this.#clock.readMonotonic(), () => {
				engine.cancel(grant.grantId);
				finish('bound');
			});
			this.#clock.setTimer(networkDelay, () => {
				engine.submit({
					id: grant.grantId,
					request,
					priority: grant.priority,
					onFirstToken: () => {
						record.firstToken = this.#clock.readMonotonic() - request.at + networkDelay;
					},
					onEnd() {
						finish('whole');
					},
					onLost() {
						finish('lost');
					},
				});
			});
		});
	}
}

/** The configuration that a trace names. */
class TraceDirectory extends PoolDirectory {
	readonly #fleet: TraceFleet;
	readonly #policies: Map<string, Policy>;

	constructor(fleet: TraceFleet) {
		super();
		this.#fleet = fleet;
		this.#policies = new Map(Object.entries(fleet.policies).map(([partner, programs]) => [partner, compilePolicy(programs).unsafeCoerce()]));
	}

	override findOrganisation(organisation: OrganisationId): OrganisationSettings {
		return {partner: organisation.split('-')[0] as PartnerId};
	}

	override findPolicy(partner: PartnerId): Policy {
		return this.#policies.get(partner) ?? defaultPolicy;
	}

	override findShare(_pool: PoolId, partner: PartnerId): number {
		return this.#fleet.shares[partner] ?? 1;
	}
}

function formatServerId(index: number): BackendServerId {
	return `engine-${index}` as BackendServerId;
}
