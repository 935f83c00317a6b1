/** One request of a replayed day: its caller and the node that serves it, on the replay's clock. */
import type {
	BackendServerId, BoxId, RequestFingerprint, RequestId, ServiceName,
} from '../../common/index.js';
import {
	moveSilenceShare, type FleetVisibility, type Plan, type Planner, type PlanRequest, type Trouble,
} from '../../planning/index.js';
import {
	PassJob, stallTime, type PassListener, type PassServer, type Schedule,
} from './pass-server.js';
import type {DrawnRequest} from './workloads.js';

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

/** What requests meet on their way. */
export type ReplayWorld = {
	now: number;
	/** When the nodes are there again; before now, except while they restart. */
	backAt: number;
	/** Who decides for a request of a node, by the node's number, and what that one sees of the fleet. */
	findPlanner: (node: number) => Planner;
	readonly sight: FleetVisibility;
	readonly servers: ReadonlyMap<BackendServerId, PassServer>;
	/** Requests that a node serves. */
	readonly active: Set<ReplayedRequest>;
	readonly records: RoutedRecord[];
	readonly schedule: Schedule;
};

export const service = 'replayed' as ServiceName;
const node = 'entry' as BoxId;

/** An ask and its answer, and the way to a server, in milliseconds. */
const askTime = 3;
const sendTime = 1.5;

/** Time after which notes reach the planner, in milliseconds. */
const noteTime = 10;

/** Time for a reservation of memory, in milliseconds. */
const reserveTime = 4;

/** Time after which a lost server is noticed, in milliseconds. */
const lossTime = 5;

/** Silence before the first event after which a server is given up: in milliseconds at least, and as a multiple of what was expected. */
const leastFirstSilence = 1000;
const firstSilenceFactor = 3;

const mostSends = 2;

/** Time after which servers stop what a node that is gone had sent, in milliseconds. */
const cutTime = 700;

/** Time over which callers find the nodes that are back, in milliseconds. */
const comeBackSpread = 300;

/** Most times that a refused caller comes back. */
const callerRetries = 1;

/** Share of its remaining time that a caller waits at most before coming back. */
const mostComeBack = 1 / 3;

/** One request on its way. */
export class ReplayedRequest {
	readonly #replay: ReplayWorld;
	readonly #request: DrawnRequest;
	readonly #id: RequestId;
	#excluded: BackendServerId[] = [];
	#arrived: number;
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
	#life = 0;

	constructor(replay: ReplayWorld, request: DrawnRequest, id: RequestId) {
		this.#replay = replay;
		this.#request = request;
		this.#id = id;
		this.#arrived = replay.now;
		this.#askedFirst = replay.now;
		this.#lastEventAt = replay.now;
		this.#eventsLeft = request.events;
		this.#watchPatience();
	}

	/** What it is carried out by; undefined while it has no place. */
	get plan(): Plan | undefined {
		return this.#plan;
	}

	/** Who decides for it at the moment. */
	get #planner(): Planner {
		return this.#replay.findPlanner(Number(this.#id.slice(2)));
	}

	/** Reaches a node, as soon as there is one. */
	arrive(): void {
		const {now, backAt, active, schedule} = this.#replay;
		if (now < backAt) {
			schedule(backAt - now + (spreadOf(this.#id) * comeBackSpread), () => {
				this.arrive();
			});
			return;
		}

		this.#arrived = now;
		this.#askedFirst = now;
		active.add(this);
		this.ask();
	}

	/** Its node is gone: what runs for it ends after a while, and its caller comes again. */
	cut(): void {
		const job = this.#job;
		const plan = this.#plan;
		this.#life++;
		this.#job = undefined;
		this.#plan = undefined;
		this.#excluded = [];
		this.#sends = 0;
		if (job !== undefined && plan !== undefined) {
			this.#replay.schedule(cutTime, () => {
				job.isOver = true;
			});
		}

		this.arrive();
	}

	ask(): void {
		if (this.#isOver) {
			return;
		}

		const {now, schedule} = this.#replay;
		const {flow, promptTokens, events, at} = this.#request;
		const request: PlanRequest = {
			requestId: this.#id,
			service,
			node,
			organisation: flow.organisation,
			priority: flow.priority,
			fingerprint: this.#id as unknown as RequestFingerprint,
			promptTokens,
			outputTokens: events * 40,
			waited: now - this.#askedFirst,
			objective: flow.objective - (now - this.#arrived),
			callerWaits: flow.timeLimit - (this.#arrived - at),
			route: flow.name,
			hasBegun: this.#firstAfter < Infinity,
			patience: flow.patience - (now - this.#lastEventAt),
			timeLeft: flow.timeLimit - (now - at),
			longestPause: flow.longestPause,
			longestSilence: flow.patience * moveSilenceShare,
			excluded: [...this.#excluded],
		};
		this.#planner.decide(request, now, this.#replay.sight).caseOf({
			Left: failure => {
				this.#takeRefusal((failure.retryAfterSeconds ?? Infinity) * 1000);
			},
			Right: decision => {
				if (decision.kind === 'wait') {
					const life = this.#life;
					schedule(decision.askAgainIn + askTime, () => {
						if (life === this.#life) {
							this.ask();
						}
					});
					return;
				}

				const {plan} = decision;
				this.#plan = plan;
				const heldElsewhere = plan.helpers.some(helper => helper.heldTokens > 0);
				const life = this.#life;
				schedule(askTime + plan.startIn + sendTime + (heldElsewhere ? reserveTime : 0), () => {
					if (life === this.#life) {
						this.#send(plan);
					}
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
		const faulty = plan.helpers.find((_, index) => !helpers[index].isAlive);
		if (first.isAlive && faulty !== undefined) {
			const life = this.#life;
			this.#replay.schedule(stallTime, () => {
				if (life === this.#life && !job.isOver) {
					job.isOver = true;
					this.#takeLoss(plan, 'unreached', faulty.server);
				}
			});
			return;
		}

		this.#watchServer(plan, Math.max(leastFirstSilence, firstSilenceFactor * Math.max(this.#request.flow.objective, plan.expectedFirst)));
		first.submit(job);
		for (const helper of helpers) {
			helper.help(job);
		}
	}

	#createListener(plan: Plan, planned: number): PassListener {
		let hasStarted = false;
		const life = this.#life;
		const isCurrent = () => life === this.#life && !this.#isOver;
		return {
			onEvent: () => {
				if (!isCurrent()) {
					return;
				}

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
				if (!isCurrent()) {
					return;
				}

				this.#tell(plan, 'ended');
				this.#finish('whole');
			},
			onLost: () => {
				if (isCurrent()) {
					this.#takeLoss(plan);
				}
			},
		};
	}

	/** A stream that is silent for too long is moved to another server. */
	#watchServer(plan: Plan, silence = this.#request.flow.patience * moveSilenceShare): void {
		const since = this.#lastEventAt;
		const job = this.#job!;
		this.#replay.schedule(silence, () => {
			if (this.#lastEventAt === since && !job.isOver && !this.#isOver) {
				job.isOver = true;
				this.#takeLoss(plan, 'silent');
			}
		});
	}

	#takeLoss(plan: Plan, trouble: Trouble = 'unreached', server = plan.server): void {
		const {schedule} = this.#replay;
		const life = this.#life;
		schedule(lossTime, () => {
			if (life !== this.#life) {
				return;
			}

			this.#planner.recordEvent({
				planId: plan.planId, kind: 'failed', server, trouble,
			}, this.#replay.now);
			this.#planner.recordEvent({planId: plan.planId, kind: 'ended'}, this.#replay.now);
			this.#excluded.push(server);
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
			this.#planner.recordEvent({planId: plan.planId, kind}, this.#replay.now);
		});
	}

	#finish(outcome: RoutedRecord['outcome']): void {
		if (this.#isOver) {
			return;
		}

		this.#isOver = true;
		this.#replay.active.delete(this);
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

/** A share from 0 to 1 that is the same for the same request. */
function spreadOf(id: RequestId): number {
	return (Number(id.slice(2)) * 0.618) % 1;
}
