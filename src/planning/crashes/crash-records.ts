/**
 * Records which requests were running on backend servers when they crashed. Pure; time is passed in.
 *
 * Requests are identified by fingerprint, since clients retry them under new ids. A crash counts against every request that the server was
 * running. After two crashes a request runs on a server of its own, after three it is rejected.
 *
 * Load pattern: fifteen of eight hundred requests crash each server that runs them, beside ten others each, within twenty seconds.
 */
import type {BackendServerId, RequestFingerprint} from '../../common/index.js';

/** Number of crashes after which a request is isolated, and rejected. */
const crashesToIsolate = 2;
const crashesToReject = 3;

/** How long a crash counts, in milliseconds. */
const crashRetention = 600_000;

/** At least this many crashes within this time, in milliseconds, count as one correlated failure: the loss of a rack, a zone or power. */
const correlationWindow = 250;
const minCorrelated = 3;

/** Factor applied to the weight of a correlated crash. */
const correlatedWeight = 0.5;

/** Weight of the crash of a server that ran only this request. */
export const isolatedCrashWeight = 1.5;

/** Maximum number of requests; the oldest are dropped first. */
const maxRequests = 4096;

/** Maximum number of crashes of one request that are reported to other nodes. */
const maxReported = 4;

/** A crash of a server that ran a request; `age` in milliseconds. The weight is below 1 when the request ran on many servers, and above when it was isolated. */
export type CrashReport = {server: BackendServerId; age: number; weight: number};

/** Quarantine state of a request; `rejectedFor` in milliseconds. */
export type QuarantineState = {kind: 'clean' | 'suspect' | 'isolated'; crashes: number} | {kind: 'rejected'; crashes: number; rejectedFor: number};

/** Reports of a server's crash within this time of its first report refer to the same crash, in milliseconds; a server takes longer to restart and crash again. */
const sameCrashWindow = 5000;

/** A crash of a server and the requests it was running. */
type Crash = {server: BackendServerId; at: number; running: Set<RequestFingerprint>};

/** Crash records of one service. */
export class CrashRecords {
	/** The crashes of each request, with their weights. */
	readonly #fingerprints = new Map<RequestFingerprint, Map<Crash, number>>();
	readonly #crashes = new Map<BackendServerId, Crash[]>();

	/** Number of requests with a record. */
	get size(): number {
		return this.#fingerprints.size;
	}

	/** Records a crash of a server that ran a request; returns whether the crash is a new one for the request. */
	recordCrash(server: BackendServerId, fingerprint: RequestFingerprint, weight: number, now: number): boolean {
		const isNew = this.#add(fingerprint, this.#findCrash(server, now), weight);
		this.#prune(now);
		return isNew;
	}

	/** Drops the record of a request that a server has answered. */
	clear(fingerprint: RequestFingerprint): void {
		this.#fingerprints.delete(fingerprint);
	}

	/** Whether a request has a record. */
	has(fingerprint: RequestFingerprint): boolean {
		return this.#fingerprints.has(fingerprint);
	}

	/** Merges crashes that another node reports. */
	merge(fingerprint: RequestFingerprint, crashes: CrashReport[], now: number): void {
		for (const {server, age, weight} of crashes) {
			this.#add(fingerprint, this.#findCrash(server, now - age), weight);
		}

		this.#prune(now);
	}

	/** The crashes of a request, newest first. */
	describe(fingerprint: RequestFingerprint, now: number): CrashReport[] {
		return [...this.#fingerprints.get(fingerprint) ?? []]
			.map(([{server, at}, weight]) => ({server, age: Math.round(now - at), weight}))
			.filter(({age}) => age < crashRetention)
			.sort((left, right) => left.age - right.age)
			.slice(0, maxReported);
	}

	/** Requests with more than one crash. */
	describeRepeated(now: number): Array<[RequestFingerprint, CrashReport[]]> {
		return this.describeAll(now).filter(([, crashes]) => crashes.length > 1);
	}

	/** Requests with at least one crash. */
	describeAll(now: number): Array<[RequestFingerprint, CrashReport[]]> {
		return [...this.#fingerprints.keys()]
			.map((fingerprint): [RequestFingerprint, CrashReport[]] => [fingerprint, this.describe(fingerprint, now)])
			.filter(([, crashes]) => crashes.length > 0);
	}

	/** The quarantine state of a request. */
	classify(fingerprint: RequestFingerprint | undefined, now: number): QuarantineState {
		const crashes = fingerprint === undefined ? undefined : this.#fingerprints.get(fingerprint);
		if (crashes === undefined) {
			return {kind: 'clean', crashes: 0};
		}

		const counted = [...crashes].filter(([{at}]) => now - at < crashRetention);
		const weight = counted.reduce((sum, [crash, crashWeight]) => sum + this.#computeWeight(crash, crashWeight), 0);
		const known = {crashes: counted.length};
		if (weight > crashesToReject - 1 && counted.length >= crashesToReject) {
			const newest = Math.max(...counted.map(([{at}]) => at));
			return {kind: 'rejected', ...known, rejectedFor: crashRetention - (now - newest)};
		}

		return {kind: weight > crashesToIsolate - 1 ? 'isolated' : (counted.length > 0 ? 'suspect' : 'clean'), ...known};
	}

	#computeWeight({at}: Crash, weight: number): number {
		const crashes = [...this.#crashes.values()].flat();
		const correlated = crashes.filter(crash => Math.abs(crash.at - at) <= correlationWindow && !this.#isExplained(crash)).length;
		return correlated >= minCorrelated ? weight * correlatedWeight : weight;
	}

	/** Whether a request that ran there crashed another server at about the same time, so that this is no correlated failure. */
	#isExplained({at, running}: Crash): boolean {
		return [...running].some(fingerprint => [...this.#fingerprints.get(fingerprint)?.keys() ?? []].filter(crash => Math.abs(crash.at - at) <= correlationWindow).length > 1);
	}

	/** The crash that a report refers to; a server may crash again under the same id. */
	#findCrash(server: BackendServerId, at: number): Crash {
		const crashes = this.#crashes.get(server) ?? [];
		let crash = crashes.find(known => Math.abs(known.at - at) <= sameCrashWindow);
		if (crash === undefined) {
			crash = {server, at, running: new Set()};
			this.#crashes.set(server, [...crashes, crash]);
		}

		return crash;
	}

	#add(fingerprint: RequestFingerprint, crash: Crash, weight: number): boolean {
		const crashes = this.#fingerprints.get(fingerprint) ?? new Map<Crash, number>();
		const isNew = !crashes.has(crash);
		crash.running.add(fingerprint);
		if (isNew) {
			crashes.set(crash, weight);
		}

		// Keeps the map ordered by latest crash.
		this.#fingerprints.delete(fingerprint);
		this.#fingerprints.set(fingerprint, crashes);
		return isNew;
	}

	#prune(now: number): void {
		for (const [server, crashes] of this.#crashes) {
			const kept = crashes.filter(({at}) => now - at <= crashRetention);
			if (kept.length === 0) {
				this.#crashes.delete(server);
			} else if (kept.length < crashes.length) {
				this.#crashes.set(server, kept);
			}
		}

		for (const fingerprint of this.#fingerprints.keys()) {
			if (this.#fingerprints.size <= maxRequests) {
				return;
			}

			this.#fingerprints.delete(fingerprint);
		}
	}
}
