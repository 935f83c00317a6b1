/**
 * Keeps a node's view of the fleet (configuration and servers) up to date: a few nodes watch the source,
 * the others fetch newer versions from any peer whose heartbeat announces one.
 */
import type {Either} from 'purify-ts';
import {
	readErrorMessage, type BoxId, type Clock, type Logger,
} from '../../common/index.js';
import {
	readEra, type ConfigChanges, type FleetState, type ServersSnapshot, type SourceHealth,
} from '../../routing/index.js';
import {parsePacked, type PackedText} from '../../rpc/packed-text.js';
import {computeDigest} from '../digest.js';
import type {Peer, PeerView} from '../peers/heartbeat.js';
import type {PeerClients} from '../peers/peer-rpc.js';
import type {Peers} from '../peers/peers.js';
import {ConfigLag} from './config-lag.js';
import {ViewFetcher, type ViewRequest, type ViewFetcherParts} from './view-fetcher.js';
import {chooseWatchers} from './watchers.js';

/** Length of a digest, in characters: makes a collision among thousands of views improbable. */
const digestLength = 12;

/** Time for which a node waits for the view of its seeds when the whole fleet starts for the first time, in milliseconds: callers arrive many seconds later, and a call to the source from each of hundreds of nodes would load it. */
const firstStartWait = 4000;

/** Minimum time between two requests for a view during that wait, in milliseconds: servers register one by one then. */
const firstStartMinInterval = 1000;

/** Delay after a start before a node that already has a view queries the source, in milliseconds: by then heartbeats have named the watchers, so that only a few of hundreds of restarting nodes query it. */
const restartDelay = 1000;

/** Minimum time for which a new watcher keeps trying without an answer, in milliseconds: the source may be slow, and others try in parallel. */
const minWatchTime = 300;

/** Maximum age of the last answers at which a node counts as connected to the source, in milliseconds: the duration of a long poll plus a margin. */
const maxAnswerAge = 2500;

/** Configuration lag above which a warning is logged, in milliseconds: the time limit for a change. */
const lagLogThreshold = 1000;

/** Dependencies of the view exchange. */
export type ViewExchangeParts = {
	clock: Clock;
	logger: Logger;
	state: FleetState;
	clients: PeerClients;
	self: () => Peer;
	/** Whether the whole fleet starts for the first time and this node is not a seed: the seeds read the source first. */
	isFirstStart: boolean;
	/** Health of the source, shared with this node's followers of it. */
	health: SourceHealth;
	/** Called when a request stalled and another one was sent. */
	onStalled: (part: ViewPart) => void;
};

/** Compares a node's view with those of its peers and fetches what is newer. */
export class ViewExchange {
	readonly #parts: ViewExchangeParts;
	readonly #serversFetcher: ViewFetcher;
	readonly #configFetcher: ViewFetcher;
	readonly #lag = new ConfigLag();
	#cachedView: Omit<PeerView, 'sourceAges' | 'evacuations'> | undefined;
	#loggedVersion = 0;
	#isWatcher: boolean;
	/** When this node last became a watcher, by the monotonic clock. */
	#watchingSince = -Infinity;
	readonly #firstStartWaitUntil: number;
	readonly #restartDelayUntil: number;
	/** Until when this node stays a watcher even without an answer. */
	#minWatchUntil = -Infinity;
	/** Live peers that were connected to the source at the last check. */
	#sourceHearers = new Set<BoxId>();
	#lastChoice: {revision: number; isReachable: boolean; isWithinMinWatchTime: boolean} | undefined;

	constructor(parts: ViewExchangeParts) {
		this.#parts = parts;
		this.#isWatcher = !parts.isFirstStart;
		this.#restartDelayUntil = parts.clock.readMonotonic() + restartDelay;
		this.#firstStartWaitUntil = parts.isFirstStart ? parts.clock.readMonotonic() + firstStartWait : -Infinity;
		this.#serversFetcher = this.#createFetcher('servers', {
			isAhead: view => this.#hasNewerServers(view),
			ask: async (peer, request) => this.#fetchServers(peer, request),
		});
		this.#configFetcher = this.#createFetcher('config', {
			isAhead: view => view.configVersion > parts.state.configVersion,
			ask: async (peer, request) => this.#fetchConfig(peer, request),
		});
		parts.state.addListener(() => {
			this.#cachedView = undefined;
		});
	}

	/** Whether this node is one of those that watch the source; true until it knows other nodes, except in a first start. */
	get isWatcher(): boolean {
		return this.#isWatcher;
	}

	/** Whether this node queries the source itself: a watcher does, and so does any node without a usable view. */
	get mayQuerySource(): boolean {
		return this.#parts.state.isUsable ? this.#isWatcher && this.#isPastRestartDelay : !this.#isFirstStartWaiting;
	}

	/** Whether this node is a watcher and has had recent answers since it became one. */
	get hearsSource(): boolean {
		const {state, clock} = this.#parts;
		const oldest = Math.min(maxAnswerAge, clock.readMonotonic() - this.#watchingSince);
		return this.#isWatcher && state.isSourceReachable
			&& state.followedKinds.every(kind => (state.sourceAgeTracker.measureLocalAge(kind) ?? Infinity) < oldest);
	}

	get #isPastRestartDelay(): boolean {
		return this.#parts.clock.readMonotonic() >= this.#restartDelayUntil;
	}

	get #isFirstStartWaiting(): boolean {
		return this.#parts.clock.readMonotonic() < this.#firstStartWaitUntil;
	}

	/** Describes the versions in this node's view, as heartbeats announce them. */
	describeView(): PeerView {
		const {state} = this.#parts;
		this.#cachedView ??= {
			configVersion: state.configVersion,
			serversRevision: state.serversRevision,
			serversDigest: computeDigest(state.describeServers(), digestLength),
		};
		const evacuations = state.evacuations?.takeSnapshot();
		return {...this.#cachedView, sourceAges: state.sourceAgeTracker.measureFleetAges(), ...(evacuations !== undefined && {evacuations})};
	}

	/** Chooses the watchers again when the peers, the source's reachability or the minimum watch time have changed. */
	chooseWatchers(peers: Peers): void {
		this.#parts.state.setFleetSize(peers.countLive() + 1);
		const self = this.#parts.self();
		if (this.#isFirstStartWaiting) {
			return;
		}

		const {revision} = peers;
		const isReachable = self.isSourceReachable;
		const now = this.#parts.clock.readMonotonic();
		const isWithinMinWatchTime = now < this.#minWatchUntil;
		if (this.#lastChoice?.revision === revision && this.#lastChoice.isReachable === isReachable && this.#lastChoice.isWithinMinWatchTime === isWithinMinWatchTime) {
			return;
		}

		this.#lastChoice = {revision, isReachable, isWithinMinWatchTime};
		const live = peers.listLive();
		this.#detectSourceLoss(live);
		const watchers = chooseWatchers([self, ...live]);
		const isWatcher = watchers.some(node => node.name === self.name) || (this.#isWatcher && isWithinMinWatchTime && !isReachable);
		if (isWatcher !== this.#isWatcher) {
			this.#isWatcher = isWatcher;
			if (isWatcher) {
				this.#watchingSince = now;
				this.#minWatchUntil = now + minWatchTime;
				this.#parts.health.notifyAssigned();
			}

			this.#parts.logger.info({event: 'watcher_changed', isWatcher, watchers: watchers.length}, isWatcher ? 'this node watches the source' : 'other nodes watch the source');
		}
	}

	/** Compares a peer's view with this node's; newer servers and a newer configuration are fetched independently. */
	compareView(peer: Peer, view: PeerView): void {
		const minInterval = this.#isFirstStartWaiting ? firstStartMinInterval : undefined;
		this.#lag.observe(view.configVersion, this.#parts.clock.readMonotonic());
		this.#parts.state.sourceAgeTracker.mergeAges(view.sourceAges);
		if (view.evacuations !== undefined) {
			this.#parts.state.evacuations?.applySnapshot(view.evacuations, `node ${peer.name}`);
		}

		this.#serversFetcher.observe(peer, view, minInterval);
		this.#configFetcher.observe(peer, view, minInterval);
	}

	/** Time for which a newer configuration than this node's has been known to exist, in milliseconds; logs a warning above the threshold. */
	reportLag(): number {
		const {clock, state, logger} = this.#parts;
		const lag = this.#lag.measure(state.configVersion, clock.readMonotonic());
		if (lag > lagLogThreshold && this.#loggedVersion !== this.#lag.newest) {
			this.#loggedVersion = this.#lag.newest;
			logger.warn({
				event: 'config_behind', version: state.configVersion, newest: this.#lag.newest, behind: Math.round(lag), asked: this.#configFetcher.pendingNodes,
			}, 'a newer configuration exists and has not been received yet');
		}

		return lag;
	}

	/** Has this node's followers check the source when a peer has lost it: it may have gone silent to several nodes at once, and pending long polls notice late. */
	#detectSourceLoss(live: Peer[]): void {
		const hasLostSource = live.some(peer => !peer.isSourceReachable && this.#sourceHearers.has(peer.name));
		this.#sourceHearers = new Set(live.filter(peer => peer.hearsSource).map(peer => peer.name));
		if (hasLostSource) {
			this.#parts.health.notifySuspected();
		}
	}

	/** Whether this view has newer servers than this node's own, or the same ones from a source that was restored since. */
	#hasNewerServers(view: PeerView): boolean {
		const own = this.describeView();
		return view.serversRevision > own.serversRevision
			&& (view.serversDigest !== own.serversDigest || readEra(view.serversRevision) > readEra(own.serversRevision));
	}

	#createFetcher(part: ViewPart, options: Pick<ViewFetcherParts, 'isAhead' | 'ask'>): ViewFetcher {
		return new ViewFetcher({
			...options,
			clock: this.#parts.clock,
			onStalled: (node, silentFor) => {
				this.#parts.onStalled(part);
				this.#parts.logger.warn({event: `${part}_missed`, node, silentFor}, 'a node with a newer view does not respond; a hedged request is sent');
			},
		});
	}

	async #fetchServers(peer: Peer, request: ViewRequest): Promise<void> {
		const revision = this.#parts.state.serversRevision;
		const answer = await this.#parts.clients.askOnNewConnection(peer.peerAddress, {...request, call: async (client, signal) => client.takeServers.query({revision}, {signal})});
		this.#applyAnswer(peer.name, {part: 'servers', answer, isWanted: !request.signal.aborted}, text => {
			this.#parts.state.applyServers(parsePacked<ServersSnapshot>(text), `node ${peer.name}`);
		});
	}

	async #fetchConfig(peer: Peer, request: ViewRequest): Promise<void> {
		const version = this.#parts.state.configVersion;
		const answer = await this.#parts.clients.askOnNewConnection(peer.peerAddress, {...request, call: async (client, signal) => client.takeConfig.query({version}, {signal})});
		this.#applyAnswer(peer.name, {part: 'config', answer, isWanted: !request.signal.aborted}, text => {
			const changes = parsePacked<ConfigChanges>(text);
			if (!this.#parts.state.applyConfigChanges(changes, `node ${peer.name}`)) {
				throw new RangeError(`version ${changes.version} is based on version ${changes.from}, which is not in the history of this node`);
			}
		});
	}

	/** Applies an answer; it is empty when the peer has restarted meanwhile and is no longer ahead. */
	#applyAnswer(node: BoxId, {part, answer, isWanted}: FetchedAnswer, apply: (text: PackedText) => void): void {
		const {logger} = this.#parts;
		answer.ifLeft(reason => {
			if (isWanted) {
				logger.warn({event: `${part}_missed`, node, reason}, 'the newer view of another node could not be fetched; the next node that is ahead is tried');
			}
		}).ifRight(text => {
			try {
				if (text !== undefined) {
					apply(text);
				}
			} catch (error) {
				logger.error({event: `${part}_missed`, node, reason: readErrorMessage(error)}, 'the newer view of another node could not be applied; the next node that is ahead is tried');
			}
		});
	}
}

/** A part of the view that is fetched independently. */
export type ViewPart = 'servers' | 'config';

type FetchedAnswer = {part: ViewPart; answer: Either<string, PackedText | undefined>; isWanted: boolean};
