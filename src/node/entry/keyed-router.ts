/**
 * Routes a request with a run key to the only process that may run it.
 *
 * The owner is this node, the node whose address the key contains, or the successor that inherited its outcomes.
 * If the owner has ended without a successor, the outcome stays unknown and the request is never run again.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	createFailure, createTimeout, findAnswer, orderByRendezvous, parseRunKey, readErrorMessage, type Failure, type Incarnation, type RunKeyParts,
} from '../../common/index.js';
import type {AnswerFrame, KeyedRequest, NodeClients} from '../../rpc/index.js';
import type {Members} from '../membership/members.js';
import {timeLimitHeader} from './headers.js';
import {sendFailure, type ResponseSink} from './response-sink.js';
import {DeadlineSink} from './deadline-sink.js';
import type {Recording} from './recording.js';
import type {CallerRequest, RequestOutcome} from './caller-request.js';
import type {RunKeyStore} from './run-keys.js';

/** Dependencies of the router. */
export type KeyedRouterParts = {
	runKeys: RunKeyStore;
	members: Members;
	clients: NodeClients;
	ownIncarnation: Incarnation;
	/** Runs a request and writes the response to the sink. */
	runRequest: (request: CallerRequest, sink: ResponseSink) => Promise<RequestOutcome>;
};

/** Timeout for asking a node whether it owns an incarnation's keys, in milliseconds. */
const ownerQueryTimeout = 1000;

/** Maximum number of nodes asked whether they inherited the keys of an ended incarnation. */
const maxSuccessorQueries = 5;

/** Time added to the request's deadline before a forwarded request is abandoned, in milliseconds. */
const forwardMargin = 250;

/** Result of forwarding a request to another node. */
type ForwardResult = 'answered' | 'not_owner' | 'unreachable';

/** Routes requests with run keys. */
export class KeyedRouter {
	readonly #parts: KeyedRouterParts;

	constructor(parts: KeyedRouterParts) {
		this.#parts = parts;
	}

	/** Serves a request with a run key; resolves after the sink has been ended. */
	async serve(request: CallerRequest, sink: ResponseSink): Promise<RequestOutcome> {
		const parsed = parseRunKey(request.runKey!);
		if (parsed.isLeft()) {
			return this.#fail(request, sink, parsed.extract());
		}

		const parts = parsed.extract() as RunKeyParts;
		return this.#parts.runKeys.answersFor(parts.incarnation)
			? this.serveLocally(request, parts, sink)
			: this.#serveRemotely(request, parts, sink);
	}

	/** Serves a request whose key this process owns. */
	async serveLocally(request: CallerRequest, parts: RunKeyParts, sink: ResponseSink): Promise<RequestOutcome> {
		const claim = this.#parts.runKeys.claim(request.organisation, request.runKey!, parts, computeFingerprint(request));
		if (claim.isLeft()) {
			return this.#fail(request, sink, claim.extract());
		}

		const {kind, recording} = claim.extract() as Exclude<ReturnType<typeof claim.extract>, Failure>;
		if (kind === 'replay') {
			return this.#replayRecording(request, recording, sink);
		}

		const [outcome] = await Promise.all([this.#runRecorded(request, recording), recording.replayInto(sink)]);
		if (outcome.failure !== undefined && findAnswer(outcome.failure).ran === 'no') {
			this.#parts.runKeys.release(request.organisation, request.runKey!);
		}

		this.#parts.runKeys.trim();
		return outcome;
	}

	/** Runs a request into its recording and always ends the recording, because other callers may be reading it. */
	async #runRecorded(request: CallerRequest, recording: Recording): Promise<RequestOutcome> {
		try {
			return await this.#parts.runRequest(request, recording);
		} catch (error) {
			const failure = createFailure('internal', `internal error: ${readErrorMessage(error)}`);
			sendFailure(recording, failure, recording.hasStarted);
			return {failure};
		}
	}

	/** Replays the recording of another caller's run; fails at this caller's own deadline if that is earlier. */
	async #replayRecording(request: CallerRequest, recording: Recording, sink: ResponseSink): Promise<RequestOutcome> {
		const {clock} = this.#parts.clients;
		const limit = createTimeout(clock, request.deadline - clock.readMonotonic());
		const deadlineSink = new DeadlineSink(sink, limit.signal);
		await recording.replayInto(deadlineSink);
		limit.cancel();
		return limit.signal.aborted && !deadlineSink.hasEnded
			? this.#fail(request, sink, createFailure('bound_passed_running', 'the time limit passed while the request was running; repeat it with the same key to get its outcome', {ran: 'maybe'}))
			: {};
	}

	async #serveRemotely(request: CallerRequest, parts: RunKeyParts, sink: ResponseSink): Promise<RequestOutcome> {
		const {members} = this.#parts;
		// Tried even if this node's view does not list the owner: the view may lag behind a new node's registration.
		const result = await this.#forward(parts.url, request, sink);
		if (result === 'answered') {
			return {};
		}

		// A missing reply does not prove that the owner has ended; another process at its address, or its box missing from the platform's lists, does.
		const hasEnded = result === 'not_owner' || members.isDropped(parts.incarnation);
		const successor = await this.#findSuccessor(parts.incarnation);
		if (successor !== undefined && await this.#forward(successor, request, sink) === 'answered') {
			return {};
		}

		return hasEnded && successor === undefined
			? this.#fail(request, sink, createFailure('outcome_unknown', 'the node that owned this key has ended; it is not known whether the request ran, and it will not be run again'))
			: this.#fail(request, sink, createUnreachableFailure());
	}

	/** Forwards the request and writes the response to the sink. */
	async #forward(url: string, request: CallerRequest, sink: ResponseSink): Promise<ForwardResult> {
		const limit = new AbortController();
		const stop = () => {
			limit.abort();
		};

		const timer = this.#parts.clients.clock.setTimer(request.deadline - this.#parts.clients.clock.readMonotonic() + forwardMargin, stop);
		sink.disconnected.addEventListener('abort', stop, {once: true});
		try {
			const frames = await this.#parts.clients.findClient(url).runKeyed.mutate(this.#encode(request), {signal: limit.signal}) as AsyncIterable<AnswerFrame>;
			return await writeFrames(frames, sink);
		} catch {
			return await this.#endBrokenForward(request, sink);
		} finally {
			timer.cancel();
			sink.disconnected.removeEventListener('abort', stop);
		}
	}

	async #endBrokenForward(request: CallerRequest, sink: ResponseSink): Promise<ForwardResult> {
		if (!sink.hasStarted) {
			return 'unreachable';
		}

		await this.#fail(request, sink, createUnreachableFailure());
		return 'answered';
	}

	#encode(request: CallerRequest): KeyedRequest {
		const left = Math.max(1, Math.floor(request.deadline - this.#parts.clients.clock.readMonotonic()));
		return {
			organisation: request.organisation,
			runKey: request.runKey!,
			operation: request.operation,
			method: request.method,
			url: request.path,
			headers: {...request.rawHeaders, [timeLimitHeader]: String(left)},
			body: Buffer.from(request.body).toString('base64'),
		};
	}

	async #findSuccessor(incarnation: Incarnation): Promise<string | undefined> {
		const others = this.#parts.members.listAll().filter(member => member.incarnation !== this.#parts.ownIncarnation && member.incarnation !== incarnation);
		const candidates = orderByRendezvous(incarnation, others, member => member.box).slice(0, maxSuccessorQueries);
		const answers = await Promise.all(candidates.map(async member => {
			const answer = await this.#parts.clients.ask(member.nodeUrl, ownerQueryTimeout, async (client, signal) => client.answersFor.query({incarnation}, {signal}));
			return answer?.isOwner ? member.nodeUrl : undefined;
		}));
		return answers.find(url => url !== undefined);
	}

	async #fail(request: CallerRequest, sink: ResponseSink, failure: Failure): Promise<RequestOutcome> {
		sendFailure(sink, failure, request.completion?.stream === true);
		return {failure};
	}
}

async function writeFrames(frames: AsyncIterable<AnswerFrame>, sink: ResponseSink): Promise<ForwardResult> {
	for await (const frame of frames) {
		switch (frame.kind) {
			case 'head': {
				sink.start(frame.head);
				break;
			}

			case 'body': {
				sink.write(Buffer.from(frame.body, 'base64'));
				await sink.waitForDrain();
				break;
			}

			case 'end': {
				sink.end();
				return 'answered';
			}

			case 'cut': {
				sink.abort();
				return 'answered';
			}

			case 'not_owner': {
				return 'not_owner';
			}
		}
	}

	throw new Error('the other node\'s response ended early');
}

/** Computes a hash that distinguishes different requests sent with the same key. */
function computeFingerprint(request: CallerRequest): string {
	return createHash('sha256').update(`${request.method} ${request.path}\n`).update(request.body).digest('hex');
}

function createUnreachableFailure(): Failure {
	return createFailure('owner_unreachable', 'the node that owns this key cannot be reached at present; retry with the same key');
}
