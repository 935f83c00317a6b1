/** Counters and latency histograms of a gateway, in Prometheus' text format. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Upper bounds of latency buckets, in seconds: from answers of simple services to the longest prompts. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 3, 5, 10, 15];

/** Upper bounds of the buckets for placement times, in seconds. */
const placementBuckets = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1];

/** Metrics of one gateway node. */
export class GatewayMetrics {
	readonly #registry = new Registry();
	readonly #calls = new Counter({
		name: 'cresshook_calls_total', help: 'calls ended, by service and outcome', labelNames: ['service', 'outcome'], registers: [this.#registry],
	});

	readonly #firstEventTime = new Histogram({
		name: 'cresshook_first_seconds', help: 'time to the first event or the whole answer', labelNames: ['service', 'length'], buckets: latencyBuckets, registers: [this.#registry],
	});

	readonly #placementTime = new Histogram({
		name: 'cresshook_place_seconds', help: 'time to get a place, by who decided', labelNames: ['decided_by'], buckets: placementBuckets, registers: [this.#registry],
	});

	readonly #retries = new Counter({
		name: 'cresshook_retries_total', help: 'requests sent again, and retries that the budget did not allow', labelNames: ['service', 'result'], registers: [this.#registry],
	});

	readonly #troubles = new Counter({
		name: 'cresshook_backend_troubles_total', help: 'troubles seen with backend servers', labelNames: ['service', 'trouble'], registers: [this.#registry],
	});

	readonly #avoidances = new Counter({
		name: 'cresshook_avoided_choices_total', help: 'placements decided by this node that avoided a backend server, by reason', labelNames: ['service', 'reason'], registers: [this.#registry],
	});

	readonly #serverEnds = new Counter({
		name: 'cresshook_requests_at_server_end_total', help: 'requests that a backend server ran when it ended', labelNames: ['service'], registers: [this.#registry],
	});

	readonly #coldLimited = new Counter({
		name: 'cresshook_cold_limited_total', help: 'requests that wait or are rejected because backend servers are cold', labelNames: ['service', 'result'], registers: [this.#registry],
	});

	readonly #scarceDecisions = new Counter({
		name: 'cresshook_scarce_decisions_total', help: 'decisions while room is scarce, by share of the organisation', labelNames: ['service', 'share', 'result'], registers: [this.#registry],
	});

	readonly #callersCutOff = new Counter({
		name: 'cresshook_callers_cut_off_total', help: 'slow callers cut off because the node held more bytes than its budget', labelNames: ['service'], registers: [this.#registry],
	});

	readonly #bufferedBytes = new Gauge({
		name: 'cresshook_buffered_bytes', help: 'bytes held for calls: request bodies, answers, and what slow callers have not taken', registers: [this.#registry],
	});

	readonly #abandonedConnections = new Counter({
		name: 'cresshook_connections_left_total', help: 'connections left because they were silent, by what they were for', labelNames: ['kind'], registers: [this.#registry],
	});

	readonly #relayed = new Counter({
		name: 'cresshook_relayed_total', help: 'requests to backend servers that another node was to forward, by purpose and outcome', labelNames: ['service', 'purpose', 'outcome'], registers: [this.#registry],
	});

	readonly #forwarded = new Counter({
		name: 'cresshook_forwarded_total', help: 'requests that this node was to forward for another one, by outcome', labelNames: ['outcome'], registers: [this.#registry],
	});

	readonly #linkFailures = new Counter({
		name: 'cresshook_link_failures_total', help: 'failed attempts over the links of this node to backend servers, by kind', labelNames: ['failure'], registers: [this.#registry],
	});

	readonly #configLag = new Gauge({
		name: 'cresshook_config_behind_seconds', help: 'for how long the node has known of a newer configuration than its own', registers: [this.#registry],
	});

	readonly #sourceAge = new Gauge({
		name: 'cresshook_source_age_seconds', help: 'time since the store was heard, by this node where it follows it, and by any node', labelNames: ['items', 'by'], registers: [this.#registry],
	});

	readonly #state = new Gauge({
		name: 'cresshook_state', help: 'what the node believes: configuration version, live nodes, servers, calls in progress', labelNames: ['what'], registers: [this.#registry],
	});

	/** Counts a finished call. */
	countCall(service: string, outcome: string): void {
		this.#calls.inc({service, outcome});
	}

	/** Records the time to the first event, in milliseconds; `length` is the length class of the prompt. */
	recordFirstEvent(service: string, length: string, time: number): void {
		this.#firstEventTime.observe({service, length}, time / 1000);
	}

	/** Records the time that a placement took, in milliseconds. */
	recordPlacement(decidedBy: string, time: number): void {
		this.#placementTime.observe({decided_by: decidedBy}, time / 1000);
	}

	/** Counts a retry that was sent, or one that the budget refused. */
	countRetry(service: string, result: 'sent' | 'budget_spent'): void {
		this.#retries.inc({service, result});
	}

	/** Counts a fault of a backend server. */
	countTrouble(service: string, trouble: string): void {
		this.#troubles.inc({service, trouble});
	}

	/** Counts a request that another node was to forward. */
	countRelayed(service: string, purpose: string, outcome: string): void {
		this.#relayed.inc({service, purpose, outcome});
	}

	/** Counts a request that this node was to forward. */
	countForwarded(outcome: string): void {
		this.#forwarded.inc({outcome});
	}

	/** Counts a failed attempt over a link to a backend server. */
	countLinkFailure(failure: string): void {
		this.#linkFailures.inc({failure});
	}

	/** Counts a placement that avoided a backend server. */
	countAvoidance(service: string, reason: 'failures'): void {
		this.#avoidances.inc({service, reason});
	}

	/** Counts a request that was running on a backend server when the server ended. */
	countServerEnd(service: string): void {
		this.#serverEnds.inc({service});
	}

	/** Counts a request that waits or is rejected because backend servers are cold. */
	countColdLimited(service: string, result: 'delayed' | 'rejected'): void {
		this.#coldLimited.inc({service, result});
	}

	/** Counts a decision that this node made while room was scarce. */
	countScarceDecision(service: string, share: 'over' | 'under', result: string): void {
		this.#scarceDecisions.inc({service, share, result});
	}

	/** Counts a slow caller that was cut off for the memory of the node. */
	countCallerCutOff(service: string): void {
		this.#callersCutOff.inc({service});
	}

	/** Sets the number of bytes held for calls. */
	setBufferedBytes(bytes: number): void {
		this.#bufferedBytes.set(bytes);
	}

	/** Counts kept connections to one target being closed because one of them was unresponsive. */
	countAbandonedConnections(kind: string): void {
		this.#abandonedConnections.inc({kind});
	}

	/** Sets the time for which a newer configuration than the node's has been known to exist, in milliseconds. */
	setConfigLag(lag: number): void {
		this.#configLag.set(lag / 1000);
	}

	/** Sets the time since the source last answered, in milliseconds; undefined when it never has. */
	setSourceAge(items: string, by: 'node' | 'fleet', age: number | undefined): void {
		if (age === undefined) {
			this.#sourceAge.remove({items, by});
		} else {
			this.#sourceAge.set({items, by}, age / 1000);
		}
	}

	/** Sets a gauge of the node's state. */
	setState(what: string, value: number): void {
		this.#state.set({what}, value);
	}

	/** All metrics in Prometheus' text format. */
	async formatText(): Promise<string> {
		return this.#registry.metrics();
	}

	/** Content type of that text. */
	get contentType(): string {
		return this.#registry.contentType;
	}
}
