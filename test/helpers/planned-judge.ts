/** Judges what callers saw beside planned work: signals, restarts and configurations in series (rules LOST and CONFIG). */

/** Bounds of the rules, in milliseconds. */
export const plannedBounds = {
	grace: 4000,
	lossSlack: 200,
	configApply: 2000,
	rollbackSlack: 250,
	/** Time after SIGTERM until which a request may be sent and still be excused when it is cut at the end of the grace period. */
	longWorkSent: 3000,
	/** Time for which the store and the servers must have been without a disruption for the rules on configurations to apply. */
	contact: 3000,
	/** Time beyond a route's limit after which a final answer is overdue. */
	answerSlack: 500,
};

/** What a route of one configuration does with a request. */
export type Handling = {service: string; timeLimit: number} | 'refused';

/** A configuration, and when it was sent and acknowledged. */
export type PlannedVersion = {
	sentAt: number;
	acknowledgedAt: number;
	/** How a request is handled by this configuration alone, by its route and key. */
	handle: (route: string, key: string) => Handling;
};

/** A signal to one life of a node. */
export type PlannedSignal = {node: string; life: number; name: string; at: number};

/** The end of one life of a node; `end` is the exit code or the signal that ended it, `stoppedAt` when it got its first SIGTERM or SIGINT. */
export type PlannedEnd = {node: string; life: number; at: number; end: number | string; stoppedAt?: number};

/** A request as its caller and the servers saw it. */
export type PlannedCall = {
	id: string;
	node: string;
	life: number;
	route: string;
	key: string;
	/** When its last byte was sent, and when its answer or its connection ended. */
	sentAt: number;
	endedAt: number;
	status: number;
	isComplete: boolean;
	/** Whether the connection was reset: its node had not read all that was sent. */
	wasReset: boolean;
	/** Service of the server that ran it, when that began, and when it was answered or cut off there, if it was; without them it was not run. */
	service?: string;
	ranAt?: number;
	ranUntil?: number;
};

/** All that was seen in one series; `pauses` are the spans in which the store and the servers stood still. */
export type PlannedRecord = {
	versions: PlannedVersion[];
	signals: PlannedSignal[];
	ends: PlannedEnd[];
	calls: PlannedCall[];
	pauses: Array<{from: number; until: number}>;
};

/** Minimum number of requests on added routes and of overdue requests that are judged. */
const minAddedCalls = 20;
const minOverdueCalls = 8;

/** A request that has no answer; CONFIG judges its time, LOST its end. */
const isAnswered = ({isComplete, status}: PlannedCall) => isComplete && status > 0;

/** Judges one series; returns a sentence for each break, beginning with the clause. */
export class PlannedJudge {
	readonly #record: PlannedRecord;
	/** Requests that the rules on configurations apply to. */
	readonly #steadyCalls: PlannedCall[];

	readonly #grace: number;

	constructor(record: PlannedRecord, grace = plannedBounds.grace) {
		this.#record = record;
		this.#grace = grace;
		this.#steadyCalls = record.calls.filter(({sentAt, endedAt}) => !record.pauses.some(({from, until}) => from <= endedAt && until >= sentAt - plannedBounds.contact));
	}

	/** Number of requests that are not judged by the rules on configurations, since the store or the servers stood still. */
	get unsteadyCount(): number {
		return this.#record.calls.length - this.#steadyCalls.length;
	}

	listBreaks(): string[] {
		return [
			...this.#listLost(),
			...this.#listEnds(),
			...this.#listLate(),
			...this.#listRegressions(),
			...this.#checkAddedRoutes(),
			...this.#checkOverdue(),
		];
	}

	#listLost(): string[] {
		return this.#record.calls.filter(call => this.#isLost(call)).map(call => `${this.#findLostClause(call)}: ${this.#describe(call)}`);
	}

	/** Whether the connection of a request that was read ended without a complete answer, and nothing excuses it. */
	#isLost(call: PlannedCall): boolean {
		const took = call.endedAt - call.sentAt;
		const wasRead = call.ranAt !== undefined || (!call.wasReset && took > plannedBounds.lossSlack);
		if (isAnswered(call) || !wasRead || took >= this.#findTimeLimit(call)) {
			return false;
		}

		const stop = this.#findStop(call);
		return stop === undefined
			|| call.sentAt > stop.at + plannedBounds.longWorkSent
			|| call.ranAt === undefined
			|| (call.ranUntil ?? Infinity) < stop.at + (this.#grace * 5 / 6);
	}

	#findLostClause(call: PlannedCall): string {
		const {signals, versions} = this.#record;
		if (this.#findStop(call) !== undefined) {
			return 'LOST in a stop';
		}

		if (signals.some(({name, node, life, at}) => name === 'SIGHUP' && node === call.node && life === call.life && at <= call.endedAt && call.sentAt <= at + plannedBounds.configApply)) {
			return 'LOST beside a reload';
		}

		const isBesideVersion = versions.some(({sentAt, acknowledgedAt}) => sentAt <= call.endedAt && call.endedAt <= acknowledgedAt + plannedBounds.configApply + 1000);
		return isBesideVersion ? 'LOST beside a configuration' : 'LOST without planned work';
	}

	#findStop({node, life, endedAt}: PlannedCall): PlannedSignal | undefined {
		return this.#record.signals.find(signal => signal.node === node && signal.life === life && (signal.name === 'SIGTERM' || signal.name === 'SIGINT') && signal.at <= endedAt);
	}

	/** Lists processes that ended by themselves, or in a stop neither in order nor by the platform's SIGKILL. */
	#listEnds(): string[] {
		return this.#record.ends
			.filter(({end, at, stoppedAt}) => stoppedAt === undefined || (end !== 0 && (end !== 'SIGKILL' || at < stoppedAt + this.#grace)))
			.map(({node, life, end, at, stoppedAt}) => `END: ${node}/${life} with ${end}, ${stoppedAt === undefined ? 'without a signal' : `${Math.round(at - stoppedAt)} ms after its signal`}`);
	}

	/** Lists requests that were handled as only a version allows that is no longer in force. */
	#listLate(): string[] {
		return this.#steadyCalls
			.filter(call => this.#isHandled(call) && !this.#listInForce(call).some(version => this.#allows(version, call)))
			.map(call => `CONFIG late: ${this.#describe(call)}`);
	}

	/** Lists requests that were handled as only older versions allow than one whose effect a server had seen before. */
	#listRegressions(): string[] {
		const {versions, calls} = this.#record;
		return this.#steadyCalls.filter(call => this.#isHandled(call)).flatMap(call => {
			const latest = versions.findLastIndex(version => version.sentAt <= call.endedAt && this.#allows(version, call));
			const seen = Math.max(-1, ...calls
				.filter(({node, life, ranAt}) => node === call.node && life === call.life && ranAt !== undefined && ranAt + plannedBounds.rollbackSlack < call.sentAt)
				.map(other => versions.indexOf(this.#listInForce(other).find(version => this.#allows(version, other))!)));
			return latest < seen ? [`CONFIG regress: ${this.#describe(call)}, version ${latest} after ${seen}`] : [];
		});
	}

	/** Requests on added routes are served a quarter as often as those on the first routes, or more. */
	#checkAddedRoutes(): string[] {
		const isAdded = ({route}: PlannedCall) => this.#record.versions[0].handle(route, '') === 'refused';
		// A node that has been told to stop is not in touch.
		const calls = this.#steadyCalls.filter(call => this.#findStop(call) === undefined && this.#listInForce(call).every(version => version.handle(call.route, call.key) !== 'refused'));
		const added = calls.filter(call => isAdded(call));
		const measureServed = (some: PlannedCall[]) => some.filter(({status, isComplete}) => status === 200 && isComplete).length / some.length;
		const [ofAdded, ofFirst] = [measureServed(added), measureServed(calls.filter(call => !isAdded(call)))];
		const isBroken = added.length >= minAddedCalls && ofAdded < ofFirst / 4;
		return isBroken ? [`CONFIG added: ${added.length} requests on added routes, ${ofAdded} served, ${ofFirst} on the first`] : [];
	}

	/** Few of the requests that a server does not answer in time are without an answer half a second later. */
	#checkOverdue(): string[] {
		const overdue = this.#steadyCalls.filter(call => call.endedAt - call.sentAt >= this.#findTimeLimit(call));
		const unanswered = overdue.filter(call => call.endedAt - call.sentAt > this.#findTimeLimit(call) + plannedBounds.answerSlack);
		const isBroken = unanswered.length >= minOverdueCalls && unanswered.length > overdue.length / 4;
		return isBroken ? [`CONFIG time: ${unanswered.length} of ${overdue.length} requests have no answer half a second after their time`] : [];
	}

	/** Whether the answer tells by which configuration a request was handled. */
	#isHandled({status, service}: PlannedCall): boolean {
		return service !== undefined || [401, 403, 404].includes(status);
	}

	#allows(version: PlannedVersion, {route, key, service, status}: PlannedCall): boolean {
		const handling = version.handle(route, key);
		return [401, 403, 404].includes(status) && service === undefined ? handling === 'refused' : handling !== 'refused' && handling.service === service;
	}

	/** Versions that may be in force for a request. */
	#listInForce({sentAt, endedAt}: PlannedCall): PlannedVersion[] {
		const {versions} = this.#record;
		return versions.filter((version, index) => {
			const replacedAt = index === versions.length - 1 ? Infinity : versions[index + 1].acknowledgedAt + plannedBounds.configApply;
			return version.sentAt <= endedAt && replacedAt >= sentAt;
		});
	}

	/** The longest time limit of a request among the versions that may be in force; Infinity where none has its route. */
	#findTimeLimit(call: PlannedCall): number {
		const limits = this.#listInForce(call).map(version => version.handle(call.route, call.key)).filter(handling => handling !== 'refused').map(({timeLimit}) => timeLimit);
		return limits.length === 0 ? Infinity : Math.max(...limits);
	}

	#describe(call: PlannedCall): string {
		const stop = this.#findStop(call);
		return [
			`${call.id} on ${call.route} at ${call.node}/${call.life}`,
			`status ${call.status}${call.isComplete ? '' : ' (not complete)'}`,
			call.service ?? 'not run',
			...(stop === undefined ? [] : [`sent ${Math.round(call.sentAt - stop.at)} ms after ${stop.name}`]),
			`ended ${Math.round(call.endedAt - call.sentAt)} ms later`,
		].join(', ');
	}
}
