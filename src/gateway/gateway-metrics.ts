/** Counters and latency histograms of a gateway, in Prometheus' text form. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** Upper bounds of latency buckets, in seconds: from a plain service's answer to the longest prompts. */
const latencyBuckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 3, 5, 10, 15];

/** Upper bounds of the buckets for times inside the gateway, in seconds. */
const placementBuckets = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1];

/** What a gateway counts. */
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

	readonly #serverEnds = new Counter({
		name: 'cresshook_requests_at_server_end_total', help: 'requests that a backend server ran when it ended', labelNames: ['service'], registers: [this.#registry],
	});

	readonly #abandonedConnections = new Counter({
		name: 'cresshook_connections_left_total', help: 'connections left because they were silent, by what they were for', labelNames: ['kind'], registers: [this.#registry],
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

	/** Counts the end of a call. */
	countCall(service: string, outcome: string): void {
		this.#calls.inc({service, outcome});
	}

	/** Notes the time to the first event, in milliseconds; `length` is the class of the prompt. */
	recordFirstEvent(service: string, length: string, time: number): void {
		this.#firstEventTime.observe({service, length}, time / 1000);
	}

	/** Notes the time to get a place, in milliseconds. */
	recordPlacement(decidedBy: string, time: number): void {
		this.#placementTime.observe({decided_by: decidedBy}, time / 1000);
	}

	/** Counts a retry, or one that was not allowed. */
	countRetry(service: string, result: 'sent' | 'budget_spent'): void {
		this.#retries.inc({service, result});
	}

	/** Counts trouble with a backend server. */
	countTrouble(service: string, trouble: string): void {
		this.#troubles.inc({service, trouble});
	}

	/** Counts a request that a server ran when it ended. */
	countServerEnd(service: string): void {
		this.#serverEnds.inc({service});
	}

	/** Counts connections that were left because one was silent. */
	countAbandonedConnections(kind: string): void {
		this.#abandonedConnections.inc({kind});
	}

	/** Sets for how long a newer configuration than the node's own has been known of, in milliseconds. */
	setConfigLag(lag: number): void {
		this.#configLag.set(lag / 1000);
	}

	/** Sets how long ago the source was heard, in milliseconds; undefined when it was not. */
	setSourceAge(items: string, by: 'node' | 'fleet', age: number | undefined): void {
		if (age === undefined) {
			this.#sourceAge.remove({items, by});
		} else {
			this.#sourceAge.set({items, by}, age / 1000);
		}
	}

	/** Sets what the node believes. */
	setState(what: string, value: number): void {
		this.#state.set({what}, value);
	}

	/** All figures as text. */
	async formatText(): Promise<string> {
		return this.#registry.metrics();
	}

	/** Content type of that text. */
	get contentType(): string {
		return this.#registry.contentType;
	}
}
