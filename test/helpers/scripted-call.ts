/** One call over scripted servers, on a virtual clock; counts every send, placement, lease, retry and timer. */
import {Buffer} from 'node:buffer';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import {Left, Right, type Either} from 'purify-ts';
import type {Dispatcher} from 'undici';
import {CallWire} from '../../platform/index.js';
import {
	createFailure, createSilentLogger, VirtualClock, type AvailabilityZone, type BackendServerId, type BackendServerName,
	type BoxId, type Clock, type RequestFingerprint, type Failure, type PlanId, type RequestId, type ServiceName, type Timer,
} from '../../src/common/index.js';
import {
	CallRun, CallSink, Placer, type BackendExchange, type BackendPool, type BackendRequest, type CallOutcome, type Lease,
	type PlacementAnswer, type Reservations,
} from '../../src/gateway/calls/index.js';
import {GatewayMetrics} from '../../src/gateway/gateway-metrics.js';
import type {HeaderFields} from '../../src/gateway/wire.js';
import type {Plan, PlanEvent, PlanRequest} from '../../src/planning/index.js';
import type {BackendServer, Route, ServiceSpec} from '../../src/routing/index.js';

/** Number of events of a complete stream. */
export const streamLength = 4;

/** Step of the virtual clock, in milliseconds. */
const tick = 25;

/** Time to connect to a slow server, in milliseconds. */
const slowConnectDelay = 300;

const requestId = 'request-1' as RequestId;

const modelService: ServiceSpec = {name: 'model' as ServiceName, connectionLimit: 99};

/** A resumable stream; callers disconnect after two seconds of silence. */
export const streamRoute: Route = {
	name: 'stream', host: 'shop.example', pathPrefix: '/', kind: 'stream', timeLimit: 8000, objective: 300, longestPause: 250, longestSilence: 2000,
	attempts: 3, priority: 1, isAnonymous: true, canResume: true, services: [],
};

/** A clock that tracks its pending timers. */
class CountingClock implements Clock {
	readonly pending = new Set<symbol>();
	readonly #clock = new VirtualClock();

	now(): Date {
		return this.#clock.now();
	}

	readMonotonic(): number {
		return this.#clock.readMonotonic();
	}

	setTimer(delay: number, callback: () => void): Timer {
		const mark = Symbol('timer');
		this.pending.add(mark);
		const timer = this.#clock.setTimer(delay, () => {
			this.pending.delete(mark);
			callback();
		});
		return {
			cancel: () => {
				this.pending.delete(mark);
				timer.cancel();
			},
		};
	}

	advance(milliseconds: number): void {
		this.#clock.advance(milliseconds);
	}
}

/** Records what the caller receives, and incorrect use of the sink. */
export class RecordingSink extends CallSink {
	status = 0;
	headServer: string | undefined;
	body = '';
	ending: 'open' | 'whole' | 'cut' = 'open';
	/** Writes after the end, and second heads. */
	readonly violations: string[] = [];
	/** Whether the caller reads too slowly. */
	isSlow = false;
	#drainCallbacks: Array<() => void> = [];
	#isFramed = true;

	override get hasHead(): boolean {
		return this.status !== 0;
	}

	override get isFramed(): boolean {
		return this.#isFramed;
	}

	/** Ids of the events that were written, in order. */
	get events(): number[] {
		return [...this.body.matchAll(/^id: (?<id>\d+)$/gmu)].map(match => Number(match.groups?.id));
	}

	/** Servers whose events were written, in order, each once per consecutive run of events. */
	get answeringServers(): string[] {
		const names = [...this.body.matchAll(/^data: (?<name>.*)$/gmu)].map(match => match.groups?.name ?? '');
		return names.filter((name, index) => name !== names[index - 1]);
	}

	override sendHead(status: number, headers: HeaderFields, isFramed: boolean): void {
		this.#checkOpen('head');
		if (this.hasHead) {
			this.violations.push('a second head');
		}

		this.status = status;
		this.#isFramed = isFramed;
		this.headServer = headers['cresshook-response-seal'] as string | undefined;
	}

	override write(chunk: Uint8Array): boolean {
		this.#checkOpen('write');
		this.body += Buffer.from(chunk).toString();
		return !this.isSlow;
	}

	override onDrain(resume: () => void): void {
		this.#drainCallbacks.push(resume);
	}

	/** Lets a slow caller catch up. */
	drain(): void {
		this.isSlow = false;
		const waiting = this.#drainCallbacks;
		this.#drainCallbacks = [];
		for (const resume of waiting) {
			resume();
		}
	}

	override end(chunk?: Uint8Array | string): void {
		this.#checkOpen('end');
		this.body += chunk === undefined ? '' : Buffer.from(chunk).toString();
		this.ending = 'whole';
	}

	override abort(): void {
		this.ending = 'cut';
	}

	#checkOpen(action: string): void {
		if (this.ending !== 'open') {
			this.violations.push(`${action} after the end`);
		}
	}
}

/** Options of a send. */
export type ScriptedSendOptions = {
	clock: Clock;
	requestId: RequestId;
	/** Number of events of the complete stream; undefined when the answer is not a stream. */
	events: number | undefined;
	/** Whether the server starts a stream from its first event, regardless of what the caller has received. */
	startsOver: boolean;
	/** Called when the node cancels the send. */
	onAbort: (send: ScriptedSend) => void;
};

/** One send of the request, as its server sees it. */
export class ScriptedSend {
	readonly lastEventId: number;
	/** Helpers that read parts of the prompt, as the request names them. */
	readonly helpers: string[];
	/** Whether the request has reached the server, and whether the server has stated that it did not run it. */
	hasArrived = false;
	hasDeclined = false;
	/** Whether the server has sent an event or the complete answer. */
	hasAnswered = false;
	hasHead = false;
	isOver = false;
	/** Whether the node cancelled the send. */
	wasAborted = false;
	/** When the request or its last event was sent, by the monotonic clock, in milliseconds. */
	lastActivityAt: number;
	readonly sentAt: number;
	#isPaused = false;
	readonly #options: ScriptedSendOptions;
	readonly #exchange: BackendExchange;
	#nextEvent: number;

	constructor(readonly server: string, request: BackendRequest, exchange: BackendExchange, options: ScriptedSendOptions) {
		this.#options = options;
		this.sentAt = options.clock.readMonotonic();
		this.lastActivityAt = this.sentAt;
		this.lastEventId = Number(request.headers['last-event-id'] ?? 0);
		this.helpers = String(request.headers.helpers ?? '').split(',').filter(helper => helper !== '');
		this.#nextEvent = options.startsOver ? 1 : this.lastEventId + 1;
		this.#exchange = exchange;
	}

	/** Delivers the request to the server. */
	arrive(): void {
		if (!this.hasArrived && !this.isOver) {
			this.#exchange.onRequestStart(this.#createController());
			// A request that is cancelled as its connection is established is not written to it.
			this.hasArrived = !this.wasAborted;
		}
	}

	/** Refuses the connection. */
	refuse(): void {
		if (!this.hasArrived && !this.isOver) {
			this.isOver = true;
			this.#exchange.onResponseError(this.#createController(), new Error('refused'));
		}
	}

	sendHead(): void {
		if (this.#mayAnswer && !this.hasHead) {
			this.#startAnswer(200, {'cresshook-response-seal': this.server, 'transfer-encoding': 'chunked'});
		}
	}

	/** Sends the next event, or the complete answer if it is not a stream. */
	speak(): void {
		if (!this.#mayAnswer) {
			return;
		}

		this.sendHead();
		if (this.isOver) {
			return;
		}

		this.hasAnswered = true;
		this.lastActivityAt = this.#options.clock.readMonotonic();
		const {events} = this.#options;
		if (events === undefined) {
			this.#write(`data: ${this.server}\n`);
			this.#finish();
		} else if (this.#nextEvent > events) {
			this.#finish();
		} else {
			this.#write(`id: ${this.#nextEvent++}\ndata: ${this.server}\n\n`);
		}
	}

	/** States that the request did not run. */
	decline(): void {
		if (this.#mayAnswer && !this.hasHead) {
			this.hasDeclined = true;
			this.#startAnswer(503, {'cresshook-not-executed': '1', 'content-length': '0'});
			this.#finish();
		}
	}

	/** Answers that the request ran and failed. */
	fail(): void {
		if (this.#mayAnswer && !this.hasHead) {
			this.#startAnswer(500, {'cresshook-response-seal': this.server, 'content-length': '0'});
			this.#finish();
		}
	}

	breakOff(): void {
		if (this.#mayAnswer) {
			this.isOver = true;
			this.#exchange.onResponseError(this.#createController(), new Error('reset'));
		}
	}

	get #mayAnswer(): boolean {
		return this.hasArrived && !this.isOver && !this.#isPaused;
	}

	#startAnswer(status: number, headers: Record<string, string>): void {
		this.hasHead = true;
		this.#exchange.onResponseStart(this.#createController(), status, {'cresshook-attempt-id': this.#options.requestId, ...headers});
	}

	#write(text: string): void {
		this.#exchange.onResponseData(this.#createController(), Buffer.from(text));
	}

	#finish(): void {
		if (!this.isOver) {
			this.isOver = true;
			this.#exchange.onResponseEnd();
		}
	}

	#createController() {
		const controller: Partial<Dispatcher.DispatchController> = {
			abort: (reason: Error) => {
				if (!this.isOver) {
					this.isOver = true;
					this.wasAborted = true;
					this.#options.onAbort(this);
					queueMicrotask(() => {
						this.#exchange.onResponseError(this.#createController(), reason);
					});
				}
			},
			pause: () => {
				this.#isPaused = true;
			},
			resume: () => {
				this.#isPaused = false;
			},
		};
		return controller as Dispatcher.DispatchController;
	}
}

/** Options of a scripted call. */
export type ScriptedCallOptions = {
	route?: Route;
	servers?: number;
	/** Delay of each answer to a request for a placement or a retry, in milliseconds; 0 answers at once. */
	askDelay?: number;
	/** Retries in the budget. */
	retries?: number;
	/** Delay between placement and send, in milliseconds. */
	startIn?: number;
	/** Whether prompts need memory on another server. */
	needsMemory?: boolean;
	/** Whether servers start a stream from its first event, regardless of what the caller has received. */
	startsOver?: boolean;
	/** Index of the server at which the node throws an unexpected error. */
	defectAt?: number;
	/** Servers that refuse connections, the delay of the refusal in milliseconds, and servers that are slow to connect. */
	refusing?: readonly number[];
	refuseAfter?: number;
	slow?: readonly number[];
};

/** Places each request on the first server that it may use. */
class ScriptedPlacer extends Placer {
	readonly openPlans = new Set<PlanId>();
	/** Whether each plan that has ended was answered, in order. */
	readonly answered: boolean[] = [];
	grantedRetries = 0;
	#count = 0;

	constructor(readonly call: ScriptedCall, readonly options: ScriptedCallOptions) {
		super();
	}

	override async place(request: PlanRequest): Promise<Either<Failure, PlacementAnswer>> {
		await this.#wait();
		const server = this.call.servers.find(({id}) => !request.excluded.includes(id) && this.call.takesWork(id));
		if (server === undefined) {
			return Left(createFailure('no_backend_server', 'none is left'));
		}

		const planId = `plan-${++this.#count}` as PlanId;
		this.openPlans.add(planId);
		const plan: Plan = {
			planId, request, server: server.id, helpers: [], startIn: this.options.startIn ?? 0, expectedFirst: 100, ownTokens: 0,
		};
		return Right({plan, decidedBy: 'self'});
	}

	override async takeRetry(): Promise<boolean> {
		await this.#wait();
		if (this.grantedRetries >= (this.options.retries ?? Infinity)) {
			return false;
		}

		this.grantedRetries++;
		return true;
	}

	override report(plan: Plan, note: PlanEvent): void {
		if (note.kind === 'ended') {
			this.openPlans.delete(plan.planId);
			this.answered.push(note.wasAnswered === true);
		}
	}

	override isResting(): boolean {
		return false;
	}

	override recordNotice(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

	async #wait(): Promise<void> {
		const {askDelay = 0} = this.options;
		if (askDelay > 0) {
			await new Promise<void>(resolve => {
				this.call.clock.setTimer(askDelay, resolve);
			});
		}
	}
}

/** One call, started by the constructor. */
export class ScriptedCall {
	readonly clock = new CountingClock();
	readonly sink = new RecordingSink();
	readonly sends: ScriptedSend[] = [];
	readonly servers: BackendServer[];
	readonly placer: ScriptedPlacer;
	/** Sends that the node cancelled, with the possible reasons. */
	readonly aborted: Array<{send: ScriptedSend; hasOtherAnswered: boolean; isEnded: boolean; hasLeft: boolean; isLate: boolean}> = [];
	outcome: CallOutcome | undefined;
	error: unknown;
	hasLeft = false;
	/** Number of memory leases that are not released. */
	leases = 0;
	readonly #withoutEntry = new Set<string>();
	readonly #restarted = new Set<string>();
	readonly #evacuated = new Set<string>();
	readonly #run: CallRun;

	constructor(readonly options: ScriptedCallOptions = {}) {
		const route = options.route ?? streamRoute;
		this.servers = Array.from({length: options.servers ?? 3}, (_, index) => ({
			id: `i-${index}` as BackendServerId, name: `i-${index}` as BackendServerName, entryRevision: 1, service: modelService.name,
			address: `10.0.0.${index}:80`, availabilityZone: 'a' as AvailabilityZone, slots: 11, isLeaving: false,
		}));
		this.placer = new ScriptedPlacer(this, options);
		this.#run = new CallRun({
			clock: this.clock,
			logger: createSilentLogger(),
			metrics: new GatewayMetrics(),
			wire: new CallWire(),
			pool: this.#createPool(route),
			placer: this.placer,
			reservations: this.#createReservations(),
			findServer: id => this.#findServer(id),
			findEvacuatedZone: id => this.#evacuated.has(id) ? 'a' as AvailabilityZone : undefined,
			hasEnded: async () => false,
			node: 'edge-1' as BoxId,
			availabilityZone: 'a' as AvailabilityZone,
			readStopTime: () => Infinity,
			endsBeforeStop: () => true,
			estimateReturnDelay: () => 0,
		}, {
			head: {
				requestId, method: 'POST', target: '/', host: 'shop.example', promptTokens: 1000, outputTokens: 80, sharedParts: [], headers: {},
			},
			body: undefined,
			fingerprint: 'fingerprint-1' as RequestFingerprint, parts: [],
			route,
			service: modelService,
			arrived: 0,
			configVersion: 1,
		}, this.sink);
		void this.#trackOutcome();
	}

	takesWork(id: string): boolean {
		return !this.#withoutEntry.has(id) && !this.#restarted.has(id);
	}

	/** Finds the newest send in progress; `back` counts towards older ones. */
	findOpen(back = 0): ScriptedSend | undefined {
		return this.sends.filter(send => !send.isOver).at(-1 - back);
	}

	/** Advances the clock in steps and delivers requests. */
	async pass(milliseconds: number): Promise<void> {
		await this.settle();
		for (let passed = 0; passed < milliseconds; passed += tick) {
			this.clock.advance(Math.min(tick, milliseconds - passed));
			await this.settle();
		}
	}

	/** Runs everything that is due, without advancing the clock. */
	async settle(): Promise<void> {
		for (let round = 0; round < 3; round++) {
			await waitForTurn();
			for (const send of this.sends) {
				this.#connect(send);
			}
		}
	}

	leave(): void {
		this.hasLeft = true;
		this.#run.cancel();
	}

	/** Removes the entry of a server, which may still run. */
	removeEntry(server: string): void {
		this.#withoutEntry.add(server);
	}

	/** Evacuates the zone of a server at this node; the placer does not know of it yet. */
	evacuate(server: string): void {
		this.#evacuated.add(server);
	}

	/** Restarts a server: requests of its previous process are lost. */
	restart(server: string): void {
		this.#restarted.add(server);
		this.#run.handleServerRestart(server as BackendServerId);
	}

	#findServer(id: BackendServerId): BackendServer | undefined {
		const index = this.servers.findIndex(server => server.id === id);
		if (index === this.options.defectAt) {
			throw new Error('an unexpected error');
		}

		return this.takesWork(id) && !this.#evacuated.has(id) ? this.servers[index] : undefined;
	}

	#connect(send: ScriptedSend): void {
		const index = this.servers.findIndex(({name}) => name === send.server);
		const {refusing, refuseAfter = 0, slow} = this.options;
		const isRefused = refusing?.includes(index) ?? false;
		const delay = isRefused ? refuseAfter : (slow?.includes(index) ? slowConnectDelay : 0);
		if (this.clock.readMonotonic() - send.sentAt < delay) {
			return;
		}

		if (isRefused) {
			send.refuse();
		} else {
			send.arrive();
		}
	}

	async #trackOutcome(): Promise<void> {
		try {
			this.outcome = await this.#run.run();
		} catch (error) {
			this.error = error;
		}
	}

	#createPool(route: Route): BackendPool {
		const dispatch = (address: string, request: BackendRequest, exchange: BackendExchange) => {
			exchange.attach({wasReset: () => false, onDone() {}}); // eslint-disable-line @typescript-eslint/no-empty-function -- there is no connection
			const server = this.servers.find(each => each.address === address)!.name;
			this.sends.push(new ScriptedSend(server, request, exchange, {
				clock: this.clock,
				requestId,
				events: route.kind === 'stream' ? streamLength : undefined,
				startsOver: this.options.startsOver ?? false,
				onAbort: send => {
					this.aborted.push({
						send,
						hasOtherAnswered: this.sends.some(other => other !== send && other.hasAnswered && other.lastActivityAt >= send.sentAt),
						isEnded: this.#restarted.has(send.server),
						hasLeft: this.hasLeft,
						isLate: this.clock.readMonotonic() >= route.timeLimit,
					});
				},
			}));
		};

		const pool: Partial<BackendPool> = {
			dispatch,
			checkLink() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- there is no connection
			recordSilence() {}, // eslint-disable-line @typescript-eslint/no-empty-function -- there is no connection
			verifyFault: () => true,
		};
		return pool as BackendPool;
	}

	#createReservations(): Reservations {
		const reserve = async (): Promise<Lease | undefined> => {
			if (this.options.needsMemory) {
				await new Promise<void>(resolve => {
					this.clock.setTimer(tick, resolve);
				});
			}

			this.leases++;
			let isReleased = false;
			return {
				helpers: [],
				release: () => {
					this.leases -= isReleased ? 0 : 1;
					isReleased = true;
				},
			};
		};

		const reservations: Partial<Reservations> = {reserve};
		return reservations as Reservations;
	}
}
