/**
 * Reachability of backend servers from this node. Pure.
 *
 * A failed attempt alone does not tell a failed server from a cut link. A link is avoided once no connection could be opened, or another node has reached
 * the server meanwhile, until the server answers over it. The node counts as isolated when attempts at several servers have failed and none has answered
 * since the first of these failures.
 */
import type {BackendServerId} from '../common/index.js';

/** How an attempt failed: it was not connected, its connection broke, or nothing arrived on it. */
export type LinkFailure = 'connect' | 'broken' | 'silent';

/** A link that has failed, for operators; times in milliseconds. */
export type FailedLinkReport = {server: BackendServerId; failure: LinkFailure; isAvoided: boolean; failures: number; age: number};

/** Number of servers that must have failed for the node to be suspected of being isolated, and to count as isolated. */
const suspicionThreshold = 2;
const isolationThreshold = 4;

/** Minimum and maximum time between two probes of an avoided link, in milliseconds: a restored one is in use again within a second. */
const minProbeInterval = 250;
const maxProbeInterval = 750;

/** Time for which a failure counts as evidence of isolation, in milliseconds. */
const evidenceWindow = 5000;

/** A link with a failure that no answer has disproved. Times are monotonic milliseconds. */
type FailedLink = {kind: LinkFailure; isAvoided: boolean; since: number; lastAt: number; count: number};

/** Links of one node to all servers. */
export class ServerLinks {
	readonly #failed = new Map<BackendServerId, FailedLink>();
	readonly #answerTimes = new Map<BackendServerId, number>();
	#isolatedSince: number | undefined;
	#answeredAt = -Infinity;
	/** When a server last answered on a new connection: open connections may live on while new ones are refused. */
	#connectedAt = -Infinity;

	/** Since when the node has reached no server, in monotonic milliseconds; undefined while it reaches some. */
	get isolatedSince(): number | undefined {
		return this.#isolatedSince;
	}

	/** Whether the link to a server is avoided. */
	isAvoided(server: BackendServerId): boolean {
		return this.#failed.get(server)?.isAvoided === true;
	}

	/** Whether requests to a server should take another way. */
	isCut(server: BackendServerId): boolean {
		return this.#isolatedSince !== undefined || this.isAvoided(server);
	}

	/** Records that a server has answered. `isNew` says whether on a connection that was opened for the request. */
	recordAnswer(server: BackendServerId, isNew: boolean, now: number): void {
		const failed = this.#failed.get(server);
		this.#answerTimes.set(server, now);
		if (isNew || failed?.kind !== 'connect') {
			this.#failed.delete(server);
		}

		this.#answeredAt = now;
		if (isNew) {
			this.#connectedAt = now;
		}

		if (this.#isolatedSince !== undefined && (isNew || this.#listEvidence(now).length === 0)) {
			this.#isolatedSince = undefined;
		}
	}

	/** Records a failed attempt. `serverCount` is the number of servers known to this node. */
	recordFailure(server: BackendServerId, kind: LinkFailure, serverCount: number, now: number): void { // eslint-disable-line max-params
		const failed = this.#failed.get(server);
		this.#failed.set(server, {
			kind: failed?.kind === 'connect' ? 'connect' : kind, isAvoided: kind === 'connect' || failed?.isAvoided === true, since: failed?.since ?? now, lastAt: now, count: (failed?.count ?? 0) + 1,
		});
		const evidence = this.#listEvidence(now);
		if (this.#isolatedSince === undefined && evidence.length >= this.#capThreshold(isolationThreshold, evidence, serverCount)) {
			this.#isolatedSince = Math.min(...evidence.map(({since}) => since));
		}
	}

	/** Avoids a link: another node has reached the server while this one did not. */
	markAvoided(server: BackendServerId, now: number): void {
		const failed = this.#failed.get(server) ?? {
			kind: 'silent', since: now, lastAt: now, count: 1,
		};
		this.#failed.set(server, {...failed, isAvoided: true});
	}

	/** Forgets links to servers that no longer exist. */
	prune(exists: (server: BackendServerId) => boolean): void {
		for (const servers of [this.#failed, this.#answerTimes]) {
			for (const server of servers.keys()) {
				if (!exists(server)) {
					servers.delete(server);
				}
			}
		}

		if (this.#failed.size === 0) {
			this.#isolatedSince = undefined;
		}
	}

	/** When a server last answered over this node's own link, in monotonic milliseconds. */
	findAnswerTime(server: BackendServerId): number {
		return this.#answerTimes.get(server) ?? -Infinity;
	}

	/** Lists the servers whose links are due for a probe, longest without an attempt first. */
	listDue(now: number): BackendServerId[] {
		return [...this.#failed].filter(([, link]) => link.isAvoided && findProbeTime(link) <= now).sort(([, left], [, right]) => left.lastAt - right.lastAt).map(([server]) => server);
	}

	/** Time until the next probe is due, in milliseconds; undefined when no link is avoided. */
	computeProbeDelay(now: number): number | undefined {
		const avoided = [...this.#failed.values()].filter(({isAvoided}) => isAvoided);
		return avoided.length === 0 ? undefined : Math.max(0, Math.min(...avoided.map(link => findProbeTime(link))) - now);
	}

	/** Whether enough servers have failed to probe others: one that answers shows that the node is not isolated. */
	isSuspicious(serverCount: number, now: number): boolean {
		const evidence = this.#listEvidence(now);
		return this.#isolatedSince === undefined && evidence.length >= this.#capThreshold(suspicionThreshold, evidence, serverCount);
	}

	/** Whether the link to a server has failed since it last answered. */
	hasFailed(server: BackendServerId): boolean {
		return this.#failed.has(server);
	}

	/** Makes all avoided links due for a probe: one of them was restored. */
	expectRecovery(): void {
		for (const link of this.#failed.values()) {
			link.lastAt = link.since - maxProbeInterval;
		}
	}

	/** Lists up to `max` failed links, oldest first. */
	describe(max: number, now: number): FailedLinkReport[] {
		return [...this.#failed].sort(([, left], [, right]) => left.since - right.since).slice(0, max).map(([server, {
			kind, isAvoided, since, count,
		}]) => ({
			server, failure: kind, isAvoided, failures: count, age: Math.round(now - since),
		}));
	}

	/** Caps a number of servers by those that can show whether the node is isolated: a server that failed before does not. */
	#capThreshold(threshold: number, evidence: FailedLink[], serverCount: number): number {
		return Math.max(1, Math.min(threshold, serverCount - (this.#failed.size - evidence.length)));
	}

	#listEvidence(now: number): FailedLink[] {
		return [...this.#failed.values()].filter(link => this.#isEvidence(link, now));
	}

	/** Whether a link began to fail after the last answer of any server; one that failed before says nothing about the others. */
	#isEvidence({kind, since, lastAt}: FailedLink, now: number): boolean {
		return since >= (kind === 'connect' ? this.#connectedAt : this.#answeredAt) && now - lastAt <= evidenceWindow;
	}
}

/** The longer a link has failed, the less often it is probed. */
function findProbeTime({since, lastAt}: FailedLink): number {
	return lastAt + Math.min(maxProbeInterval, Math.max(minProbeInterval, lastAt - since));
}
