/**
 * What goes wrong in one run, and when: drawn from a seed, so that a run can be repeated.
 *
 * Faults overlap and come in series; each is over by itself. Pure.
 */
import seedrandom from 'seedrandom';

/** What a fault does to its target for a while. */
export type FaultKind =
	/** A node: SIGKILL, SIGSTOP and SIGCONT, SIGTERM; it is started again. */
	| 'node_kill' | 'node_pause' | 'node_stop'
	/** All nodes: SIGKILL at once. */
	| 'all_kill'
	/** A backend server: SIGKILL or SIGSTOP, or a planned end; another one takes its place. */
	| 'server_kill' | 'server_pause' | 'server_drain'
	/** A backend server: a planned end, or SIGKILL, and another life under the same name at the same address. */
	| 'server_reborn' | 'server_crashed_reborn'
	/** Somebody else writes among the entries of servers: over one of them, and under a name of its own. */
	| 'entry_foreign'
	/** The store: answers nothing, 503, late, or does a write and loses the answer; or forgets its history. */
	| 'store_silent' | 'store_busy' | 'store_slow' | 'store_lossy' | 'store_forget'
	/** A link: bytes are late, stand still in one or both directions, or the connections are reset. */
	| 'link_delay' | 'link_one_way' | 'link_silent' | 'link_reset'
	/** The connections of a link, or of all links of its kind, go silent for good while new ones work; the configuration changes right after. */
	| 'link_severed'
	/** The store is silent to all nodes but one, old and new connections alike, and the configuration changes meanwhile. */
	| 'store_partial'
	/** A backend server names a limit on its requests. */
	| 'server_limit'
	/** Callers repeat a request that crashes each backend server that runs it. */
	| 'request_crash'
	/** The operator changes the configuration. */
	| 'config_change';

/** Kinds of the main series; each of the others has a series of its own, so that a seed has the same other faults with it and without it. */
type SeriesKind = Exclude<FaultKind, 'link_severed' | 'store_partial' | 'server_limit' | 'request_crash'>;

/** One fault; times in milliseconds from the start. */
export type Fault = {
	kind: FaultKind;
	at: number;
	duration: number;
	/** Which node, server or link, by a number that is taken modulo how many there are. */
	target: number;
	/** Which links, for faults of links. */
	link?: LinkKind;
};

/** Callers to a node, a node to the store, nodes to a backend server, nodes to another node. */
export type LinkKind = 'callers' | 'store' | 'server' | 'peers';

const linkKinds: LinkKind[] = ['callers', 'store', 'server'];

/** Links that are severed: a caller on a severed connection learns nothing of its node, and the node is not to blame. */
const severedKinds: LinkKind[] = ['store', 'server', 'peers'];

/** How often each kind of the main series comes, relative to the others. */
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

/** Kinds of fault, in the order in which they are drawn. */
export const faultKinds: FaultKind[] = [...Object.keys(weights) as SeriesKind[], 'link_severed', 'store_partial', 'server_limit', 'request_crash'];

/** Mean time between two faults, in milliseconds: with durations of seconds, four or so overlap. */
const meanGap = 500;

/** Faults come for this long, and then none for as long, in milliseconds: promises that allow for a disturbance bind only when one is over. */
const stretch = 5000;

/** Mean time between two severings, in milliseconds: a series of its own, also in calm times, and drawn apart, so that a seed has the same other faults with it and without it. */
const severedGap = 3000;

/** Longest silence of the store to most nodes, and what the time to the next one may be more, in milliseconds. */
const longestPartial = 4000;
const partialGap = 4000;

/** Longest time from a severing to the change of the configuration, in milliseconds: within the bound for a change. */
const longestSevered = 1500;

/** Pauses, and shortest and longest durations, of limits and of crashing requests, in milliseconds: a limit binds three seconds after it was first named. */
const limitSeries = {
	name: 'limit', pause: 1500, shortest: 6000, longest: 9000,
};
const crashSeries = {
	name: 'crash', pause: 3000, shortest: 5000, longest: 9000,
};

/** Shortest and longest fault, in milliseconds. */
const shortest = 200;
const longest = 3000;

/** Time at the beginning in which nothing goes wrong, in milliseconds: traffic must run before it can be disturbed. */
const quietStart = 1500;

/** Draws the faults of a run that lasts so many milliseconds. */
export function drawFaults(seed: number, length: number, kinds: FaultKind[] = faultKinds): Fault[] {
	const drawn = kinds.filter(kind => isOfMainSeries(kind));
	return [
		...drawn.length === 0 ? [] : drawSeries(seed, length, drawn),
		...kinds.includes('link_severed') ? drawSeverings(seed, length) : [],
		...kinds.includes('store_partial') ? drawPartialSilences(seed, length) : [],
		...kinds.includes('server_limit') ? drawSpans('server_limit', limitSeries, seed, length) : [],
		...kinds.includes('request_crash') ? drawSpans('request_crash', crashSeries, seed, length) : [],
	];
}

function drawSeverings(seed: number, length: number): Fault[] {
	const random = seedrandom(`severed-${seed}`);
	const faults: Fault[] = [];
	for (let at = quietStart; ; at += -Math.log(1 - random()) * severedGap) {
		if (at >= length) {
			return faults;
		}

		faults.push({
			kind: 'link_severed',
			at: Math.round(at),
			duration: Math.round(random() * longestSevered),
			target: Math.floor(random() * 1000),
			link: severedKinds[Math.floor(random() * severedKinds.length)],
		});
	}
}

/** One after the other, drawn apart like severings. */
function drawPartialSilences(seed: number, length: number): Fault[] {
	const random = seedrandom(`partial-${seed}`);
	const faults: Fault[] = [];
	for (let at = quietStart; ; at += longestPartial + Math.round(random() * partialGap)) {
		if (at >= length) {
			return faults;
		}

		const duration = Math.round(longestPartial * (0.5 + (random() / 2)));
		faults.push({
			kind: 'store_partial', at, duration, target: Math.floor(random() * 1000),
		});
	}
}

function isOfMainSeries(kind: FaultKind): kind is SeriesKind {
	return kind in weights;
}

/** One after the other, with pauses. */
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
		if (Math.floor(at / stretch) % 2 === 1) {
			at += stretch;
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
