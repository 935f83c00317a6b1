/** Replays a drawn day: the routed path's real planner over servers that work in passes, on a virtual clock. */
import TinyQueue from 'tinyqueue';
import type {
	AvailabilityZone, BackendServerId, BoxId, IdSource, RequestId, ServiceName,
} from '../../common/index.js';
import {
	moveShare, Planner, type Plan, type PlanRequest, type Trouble,
} from '../../planning/index.js';
import type {BackendServer} from '../../routing/index.js';
import {PassJob, PassServer, type PassListener} from './pass-server.js';
import type {DrawnDay, DrawnRequest, Workload} from './workloads.js';

/** What became of one request. Times in milliseconds. */
export type RoutedRecord = {
	request: DrawnRequest;
	outcome: 'whole' | 'refused' | 'left';
	firstAfter: number;
	longestPause: number;
	/** Time from its arrival to its end or refusal. */
	total: number;
	sends: number;
	helpers: number;
	/** First event later than predicted, for what was sent once. */
	error: number;
};

const service = 'replayed' as ServiceName;
const node = 'entry' as BoxId;
const zone = 'zone' as AvailabilityZone;

/** An ask and its answer, and the way to a server, in milliseconds. */
const askTime = 3;
const sendTime = 1.5;

/** Time after which notes reach the planner, in milliseconds. */
const noteTime = 10;

/** Time for a reservation of memory, in milliseconds. */
const reserveTime = 4;

/** Time after which a lost server is noticed, in milliseconds. */
const lossTime = 5;

const mostSends = 2;

/** Most times that a refused caller comes back. */
const callerRetries = 1;

/** Share of its remaining time that a caller waits at most before coming back. */
const mostComeBack = 1 / 3;

type TimedRun = {at: number; order: number; run: () => void};

/** Replays a day to its end. The same day gives the same records. */
export function replayRouted(workload: Workload, day: DrawnDay): RoutedRecord[] {
	return new RoutedReplay(workload, day).run();
}

class RoutedReplay {
	now = 0;
	readonly planner: Planner;
	readonly records: RoutedRecord[] = [];
	readonly servers = new Map<BackendServerId, PassServer>();
	readonly #day: DrawnDay;
	readonly #queue = new TinyQueue<TimedRun>([], (left, right) => left.at - right.at || left.order - right.order);
	#order = 0;

	constructor(workload: Workload, day: DrawnDay) {
		this.#day = day;
		this.planner = new Planner({ids: createCountingIds(), engine: workload.engine});
		const listed = Array.from({length: workload.servers}, (_, index) => describeServer(index, workload.engine.slots));
		for (const {id} of listed) {
			this.servers.set(id, new PassServer(workload.engine, this.schedule));
		}

		this.planner.setServers(listed, workload.engine);
	}

	readonly schedule = (delay: number, run: () => void): void => {
		this.#queue.push({at: this.now + delay, order: this.#order++, run});
	};

	run(): RoutedRecord[] {
		for (const [index, request] of this.#day.requests.entries()) {
			this.schedule(request.at, () => {
				new Run(this, request, `r-${index}` as RequestId).ask();
			});
		}

		const ids = [...this.servers.keys()];
		for (const loss of this.#day.losses) {
			const server = this.servers.get(ids[loss.server])!;
			this.schedule(loss.at, () => {
				server.die();
			});
			this.schedule(loss.at + loss.lasts, () => {
				server.revive();
			});
		}

		for (let next = this.#queue.pop(); next !== undefined; next = this.#queue.pop()) {
			this.now = next.at;
			next.run();
		}

		return this.records;
	}
}

/** One request on its way. */
class Run {
	readonly #replay: RoutedReplay;
	readonly #request: DrawnRequest;
	readonly #id: RequestId;
	readonly #excluded: BackendServerId[] = [];
	#askedFirst: number;
	#comebacks = 0;
	#firstAfter = Infinity;
	#lastEventAt: number;
	#longestPause = 0;
	#eventsLeft: number;
	#sends = 0;
	#helpers = 0;
	#error = Number.NaN;
	#plan: Plan | undefined;
	#job: PassJob | undefined;
	#isOver = false;

	constructor(replay: RoutedReplay, request: DrawnRequest, id: RequestId) {
		this.#replay = replay;
		this.#request = request;
		this.#id = id;
		this.#askedFirst = replay.now;
		this.#lastEventAt = replay.now;
		this.#eventsLeft = request.events;
		this.#watchPatience();
	}

	ask(): void {
		if (this.#isOver) {
			return;
		}

		const {planner, now, schedule} = this.#replay;
		const {flow, at, promptTokens, events} = this.#request;
		const request: PlanRequest = {
			requestId: this.#id,
			service,
			node,
			promptTokens,
			outputTokens: events * 40,
			waited: now - this.#askedFirst,
			objective: flow.objective - (now - at),
			patience: flow.patience - (now - this.#lastEventAt),
			timeLeft: flow.timeLimit - (now - at),
			longestPause: flow.longestPause,
			longestSilence: flow.patience * moveShare,
			excluded: [...this.#excluded],
		};
		planner.decide(request, now).caseOf({
			Left: failure => {
				this.#takeRefusal((failure.retryAfterSeconds ?? Infinity) * 1000);
			},
			Right: decision => {
				if (decision.kind === 'wait') {
					schedule(decision.askAgainIn + askTime, () => {
						this.ask();
					});
					return;
				}

				const {plan} = decision;
				this.#plan = plan;
				const heldElsewhere = plan.helpers.some(helper => helper.heldTokens > 0);
				schedule(askTime + plan.startIn + sendTime + (heldElsewhere ? reserveTime : 0), () => {
					this.#send(plan);
				});
			},
		});
	}

	#send(plan: Plan): void {
		if (this.#isOver) {
			return;
		}

		const {servers, now} = this.#replay;
		this.#sends++;
		this.#helpers = Math.max(this.#helpers, plan.helpers.length);
		const first = servers.get(plan.server)!;
		const helpers = plan.helpers.map(helper => servers.get(helper.server)!);
		const listener = this.#createListener(plan, now - sendTime - askTime - plan.startIn);
		const job = new PassJob({
			promptTokens: this.#request.promptTokens, events: this.#eventsLeft, urgency: plan.request.objective > 0 ? 0 : 1, parts: helpers.length + 1,
		}, listener);
		this.#job = job;
		if (helpers.some(helper => !helper.isAlive)) {
			job.isOver = true;
			this.#takeLoss(plan);
			return;
		}

		first.submit(job);
		for (const helper of helpers) {
			helper.help(job);
		}
	}

	#createListener(plan: Plan, planned: number): PassListener {
		let hasStarted = false;
		return {
			onEvent: () => {
				const {now} = this.#replay;
				if (this.#firstAfter === Infinity) {
					this.#firstAfter = now + sendTime - this.#request.at;
				} else {
					this.#longestPause = Math.max(this.#longestPause, now - this.#lastEventAt);
				}

				if (!hasStarted) {
					hasStarted = true;
					this.#error = now + sendTime - planned - plan.expectedFirst;
					this.#tell(plan, 'started');
				}

				this.#lastEventAt = now;
				this.#eventsLeft--;
				this.#watchServer(plan);
			},
			onEnd: () => {
				this.#tell(plan, 'ended');
				this.#finish('whole');
			},
			onLost: () => {
				this.#takeLoss(plan);
			},
		};
	}

	/** A stream that is silent for too long is moved to another server. */
	#watchServer(plan: Plan): void {
		const since = this.#lastEventAt;
		const job = this.#job!;
		this.#replay.schedule(this.#request.flow.patience * moveShare, () => {
			if (this.#lastEventAt === since && !job.isOver && !this.#isOver) {
				job.isOver = true;
				this.#takeLoss(plan, 'silent');
			}
		});
	}

	#takeLoss(plan: Plan, trouble: Trouble = 'unreached'): void {
		const {planner, schedule} = this.#replay;
		schedule(lossTime, () => {
			planner.note({
				planId: plan.planId, kind: 'failed', server: plan.server, trouble,
			}, this.#replay.now);
			planner.note({planId: plan.planId, kind: 'ended'}, this.#replay.now);
			this.#excluded.push(plan.server);
			this.#askedFirst = this.#replay.now;
			if (this.#sends < mostSends) {
				this.ask();
			} else {
				this.#finish('left');
			}
		});
	}

	#takeRefusal(comeBackIn: number): void {
		const {flow, at} = this.#request;
		const left = flow.patience - (this.#replay.now - at);
		if (this.#comebacks >= callerRetries || left <= 0 || this.#sends > 0) {
			this.#finish('refused');
			return;
		}

		this.#comebacks++;
		this.#replay.schedule(Math.min(comeBackIn, left * mostComeBack), () => {
			this.#askedFirst = this.#replay.now;
			this.ask();
		});
	}

	/** A caller leaves when it has seen nothing for its patience. */
	#watchPatience(): void {
		const {patience} = this.#request.flow;
		this.#replay.schedule(Math.max(1, this.#lastEventAt + patience - this.#replay.now), () => {
			if (this.#isOver) {
				return;
			}

			if (this.#replay.now - this.#lastEventAt < patience - 1) {
				this.#watchPatience();
				return;
			}

			if (this.#job !== undefined) {
				this.#job.isOver = true;
			}

			if (this.#plan !== undefined) {
				this.#tell(this.#plan, 'ended');
			}

			this.#finish('left');
		});
	}

	#tell(plan: Plan, kind: 'started' | 'ended'): void {
		this.#replay.schedule(noteTime, () => {
			this.#replay.planner.note({planId: plan.planId, kind}, this.#replay.now);
		});
	}

	#finish(outcome: RoutedRecord['outcome']): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#replay.records.push({
			request: this.#request,
			outcome,
			firstAfter: this.#firstAfter,
			longestPause: this.#longestPause,
			total: this.#replay.now - this.#request.at,
			sends: this.#sends,
			helpers: this.#helpers,
			error: this.#error,
		});
	}
}

function describeServer(index: number, slots: number): BackendServer {
	return {
		id: `i-${String(index).padStart(3, '0')}` as BackendServerId,
		service,
		address: `10.0.0.${index}:80`,
		availabilityZone: zone,
		slots,
		isLeaving: false,
	};
}

function createCountingIds(): IdSource {
	let count = 0;
	return {createUuid: () => `p${++count}`.padStart(36, '0')};
}
