/**
 * Draws the fault schedule of a run from a seed, so that a run can be repeated.
 *
 * Faults overlap, and each ends after its duration. Pure.
 */
import seedrandom from 'seedrandom';

/** Kinds of injected fault. */
export type FaultKind =
	/** A node receives SIGKILL, SIGSTOP and SIGCONT, or SIGTERM; it is restarted afterwards. */
	| 'node_kill' | 'node_pause' | 'node_stop'
	/** All nodes receive SIGKILL at the same time. */
	| 'all_kill'
	/** A backend server receives SIGKILL or SIGSTOP, or drains; a new one replaces it. */
	| 'server_kill' | 'server_pause' | 'server_drain'
	/** A backend server shuts down gracefully or receives SIGKILL, and restarts with the same name and address. */
	| 'server_reborn' | 'server_crashed_reborn'
	/** A foreign client writes to the server entries of the store: it overwrites one and adds another. */
	| 'entry_foreign'
	/** The store does not respond, returns 503, responds late, applies a write but loses the response, or loses its history. */
	| 'store_silent' | 'store_busy' | 'store_slow' | 'store_lossy' | 'store_forget'
	/** A link delays bytes, stalls in one or both directions, or resets its connections. */
	| 'link_delay' | 'link_one_way' | 'link_silent' | 'link_reset'
	/** The open connections of a link, or of all links of its kind, stall permanently while new ones work; the configuration changes shortly after. */
	| 'link_severed'
	/** The store responds to only one node, on old and new connections alike, and the configuration changes meanwhile. */
	| 'store_partial'
	/** A backend server announces a request rate limit. */
	| 'server_limit'
	/** Callers retry a request that crashes every backend server that runs it. */
	| 'request_crash'
	/** The operator evacuates an availability zone for a while. */
	| 'zone_evacuate'
	/** Some, most or all but one of the nodes lose their links to all backend servers; everything else reaches them. */
	| 'nodes_cut'
	/** A node receives several signals in its start, in service or in a shutdown. */
	| 'node_signals'
	/** Nodes restart one or two at a time, while the configuration changes and the settings files are rewritten. */
	| 'nodes_roll'
	/** A backend server sends bytes without end in some of its answers. */
	| 'server_floods'
	/** A foreign client adds a server entry that is nested deeply or has numbers out of range. */
	| 'entry_odd'
	/** The operator changes the configuration. */
	| 'config_change';

/** Kinds with their own random series, so that enabling them does not change the other faults of a seed. */
const separateKinds = ['link_severed', 'store_partial', 'server_limit', 'request_crash', 'zone_evacuate', 'nodes_cut', 'node_signals', 'nodes_roll', 'server_floods', 'entry_odd'] as const;

/** Kinds of the main series. */
type SeriesKind = Exclude<FaultKind, typeof separateKinds[number]>;

/** A signal of a series, and the time in milliseconds after the signal before it. */
export type SignalStep = {name: 'SIGTERM' | 'SIGINT' | 'SIGHUP'; after: number};

/** A scheduled fault; times are in milliseconds from the start of the run. */
export type Fault = {
	kind: FaultKind;
	at: number;
	duration: number;
	/** Index of the node, server or link, taken modulo their number. */
	target: number;
	/** Kind of link, for link faults. */
	link?: LinkKind;
	/** For series of signals: the signals, and whether they begin in a start of the node. */
	signals?: SignalStep[];
	isInStart?: boolean;
};

/** Links from callers to a node, from a node to the store, from nodes to a backend server, and from nodes to another node. */
export type LinkKind = 'callers' | 'store' | 'server' | 'peers';

const linkKinds: LinkKind[] = ['callers', 'store', 'server'];

/** Kinds of link that are severed. Caller links are not: a caller on a severed connection gets no response, through no fault of the node. */
const severedKinds: LinkKind[] = ['store', 'server', 'peers'];

/** Relative frequency of each kind in the main series. */
const weights: Record<SeriesKind, number> = {
	node_kill: 3,
	node_pause: 3,
	node_stop: 4,
	all_kill: 0.5,
	server_kill: 5,
	server_pause: 2,
	server_drain: 6,
	server_reborn: 4,
	server_crashed_reborn: 3,
	entry_foreign: 3,
	store_silent: 1,
	store_busy: 1,
	store_slow: 1,
	store_lossy: 1,
	store_forget: 1,
	link_delay: 2,
	link_one_way: 2,
	link_silent: 2,
	link_reset: 5,
	config_change: 8,
};

/** All kinds of fault; the order determines what a seed draws. */
export const faultKinds: FaultKind[] = [...Object.keys(weights) as SeriesKind[], ...separateKinds];

/** Mean time between two faults, in milliseconds; with durations of seconds, about four overlap. */
const meanGap = 500;

/** Length of the alternating phases with and without faults, in milliseconds. Guarantees that are suspended during faults can only be checked after them. */
const phaseLength = 5000;

/** Mean time between two severings, in milliseconds; they also occur in phases without other faults. */
const meanSeveringGap = 3000;

/** Maximum duration of a partial store outage, and maximum extra time until the next one, in milliseconds. */
const maxPartialSilence = 4000;
const maxPartialGap = 4000;

/** Maximum time from a severing to the configuration change, in milliseconds; shorter than the bound for applying a change. */
const maxChangeDelay = 1500;

/** Mean pauses and minimum and maximum durations of rate limits and crashing requests, in milliseconds. A limit is enforced three seconds after its announcement, so it must last longer. */
const limitSeries = {
	name: 'limit', pause: 1500, shortest: 6000, longest: 9000,
};
const crashSeries = {
	name: 'crash', pause: 3000, shortest: 5000, longest: 9000,
};

/** The same for evacuations of a zone: longer than the bound for a change, and short enough for several in a run. */
const evacuationSeries = {
	name: 'evacuation', pause: 1500, shortest: 3500, longest: 7000,
};

/** The same for cuts: longer than the time from which on callers of cut nodes have to be served. */
const cutSeries = {
	name: 'cut', pause: 1500, shortest: 5000, longest: 8000,
};

/** The same for rolling restarts, for floods and for odd entries. */
const rollSeries = {
	name: 'roll', pause: 2000, shortest: 5000, longest: 9000,
};
const floodSeries = {
	name: 'flood', pause: 2000, shortest: 2000, longest: 5000,
};
const oddEntrySeries = {
	name: 'odd-entry', pause: 1500, shortest: 500, longest: 2000,
};

/** Mean time between two series of signals, and maximum time between two signals in a start, in service and in a shutdown, in milliseconds. */
const meanSignalsGap = 1500;
const maxStartStep = 150;
const maxServiceStep = 600;
const maxStopStep = 1500;

/** Minimum and maximum duration of a fault in the main series, in milliseconds. */
const shortest = 200;
const longest = 3000;

/** Time before the first fault, in milliseconds; traffic must be running first. */
const quietStart = 1500;

/** Draws the faults of a run; `length` is in milliseconds. */
export function drawFaults(seed: number, length: number, kinds: FaultKind[] = faultKinds): Fault[] {
	const drawn = kinds.filter(kind => isOfMainSeries(kind));
	return [
		...drawn.length === 0 ? [] : drawSeries(seed, length, drawn),
		...kinds.includes('link_severed') ? drawSeverings(seed, length) : [],
		...kinds.includes('store_partial') ? drawPartialSilences(seed, length) : [],
		...kinds.includes('server_limit') ? drawSpans('server_limit', limitSeries, seed, length) : [],
		...kinds.includes('request_crash') ? drawSpans('request_crash', crashSeries, seed, length) : [],
		...kinds.includes('nodes_cut') ? drawSpans('nodes_cut', cutSeries, seed, length) : [],
		...kinds.includes('zone_evacuate') ? drawSpans('zone_evacuate', evacuationSeries, seed, length) : [],
		...kinds.includes('node_signals') ? drawSignals(seed, length) : [],
		...kinds.includes('nodes_roll') ? endWithin(length, drawSpans('nodes_roll', rollSeries, seed, length)) : [],
		...kinds.includes('server_floods') ? endWithin(length, drawSpans('server_floods', floodSeries, seed, length)) : [],
		...kinds.includes('entry_odd') ? endWithin(length, drawSpans('entry_odd', oddEntrySeries, seed, length)) : [],
	];
}

/** Shortens faults that would last longer than the run. */
function endWithin(length: number, faults: Fault[]): Fault[] {
	return faults.map(fault => ({...fault, duration: Math.min(fault.duration, length - fault.at)}));
}

function drawSignals(seed: number, length: number): Fault[] {
	const random = seedrandom(`signals-${seed}`);
	const faults: Fault[] = [];
	for (let at = quietStart; ; at += -Math.log(1 - random()) * meanSignalsGap) {
		if (at >= length) {
			return faults;
		}

		const isInStart = random() < 0.3;
		const signals = drawSteps(isInStart, random);
		faults.push({
			kind: 'node_signals', at: Math.round(at), duration: 0, target: Math.floor(random() * 1000), signals, isInStart,
		});
	}
}

/** Draws signals in a start, or in service and in a shutdown. A second SIGINT ends a process at once, so at most one is drawn. */
function drawSteps(isInStart: boolean, random: () => number): SignalStep[] {
	const draw = (names: Array<SignalStep['name']>, maxStep: number): SignalStep => ({name: names[Math.floor(random() * names.length)], after: Math.round(random() * maxStep)});
	const drawSeveral = (names: Array<SignalStep['name']>, maxStep: number) => Array.from({length: 1 + Math.floor(random() * 3)}, () => draw(names, maxStep));
	if (isInStart) {
		return drawSeveral(['SIGHUP', 'SIGTERM'], maxStartStep);
	}

	const reloads = random() < 0.5 ? drawSeveral(['SIGHUP'], maxServiceStep) : [];
	const isReloadOnly = reloads.length > 0 && random() < 0.3;
	return isReloadOnly ? reloads : [...reloads, draw(['SIGTERM', 'SIGINT'], maxServiceStep), ...drawSeveral(['SIGTERM', 'SIGTERM', 'SIGHUP'], maxStopStep)];
}

function drawSeverings(seed: number, length: number): Fault[] {
	const random = seedrandom(`severed-${seed}`);
	const faults: Fault[] = [];
	for (let at = quietStart; ; at += -Math.log(1 - random()) * meanSeveringGap) {
		if (at >= length) {
			return faults;
		}

		faults.push({
			kind: 'link_severed',
			at: Math.round(at),
			duration: Math.round(random() * maxChangeDelay),
			target: Math.floor(random() * 1000),
			link: severedKinds[Math.floor(random() * severedKinds.length)],
		});
	}
}

/** Draws partial store outages that do not overlap, from their own random series. */
function drawPartialSilences(seed: number, length: number): Fault[] {
	const random = seedrandom(`partial-${seed}`);
	const faults: Fault[] = [];
	for (let at = quietStart; ; at += maxPartialSilence + Math.round(random() * maxPartialGap)) {
		if (at >= length) {
			return faults;
		}

		const duration = Math.round(maxPartialSilence * (0.5 + (random() / 2)));
		faults.push({
			kind: 'store_partial', at, duration, target: Math.floor(random() * 1000),
		});
	}
}

function isOfMainSeries(kind: FaultKind): kind is SeriesKind {
	return kind in weights;
}

/** Draws faults that do not overlap, with pauses between them. */
function drawSpans(kind: FaultKind, series: typeof limitSeries, seed: number, length: number): Fault[] {
	const random = seedrandom(`${series.name}-${seed}`);
	const faults: Fault[] = [];
	let at = quietStart;
	while (at < length) {
		const duration = Math.round(series.shortest + (random() * (series.longest - series.shortest)));
		faults.push({
			kind, at, duration, target: Math.floor(random() * 1000),
		});
		at += duration + Math.round(random() * series.pause * 2);
	}

	return faults;
}

function drawSeries(seed: number, length: number, kinds: SeriesKind[]): Fault[] {
	const random = seedrandom(`faults-${seed}`);
	const faults: Fault[] = [];
	let at = quietStart;
	for (;;) {
		at += -Math.log(1 - random()) * meanGap;
		if (Math.floor(at / phaseLength) % 2 === 1) {
			at += phaseLength;
		}

		if (at >= length) {
			return faults;
		}

		const kind = pick(kinds, random());
		faults.push({
			kind,
			at: Math.round(at),
			duration: Math.round(shortest + (random() * (longest - shortest))),
			target: Math.floor(random() * 1000),
			link: kind.startsWith('link_') ? linkKinds[Math.floor(random() * linkKinds.length)] : undefined,
		});
	}
}

function pick(kinds: SeriesKind[], draw: number): FaultKind {
	const total = kinds.reduce((sum, kind) => sum + weights[kind], 0);
	let left = draw * total;
	return kinds.find(kind => {
		left -= weights[kind];
		return left < 0;
	}) ?? kinds[0];
}
