/** HTTP client of the object API of the platform. */
import {Left, Right, type Either} from 'purify-ts';
import {Agent, request, type Dispatcher} from 'undici';
import {type Clock, createTimeout, readErrorMessage} from '../common/index.js';
import {
	platformObjectSchema, type PlatformObject, type PlatformObjectInput, type WatchEvent,
} from './objects.js';
import {
	Platform, type ObjectList, type PlatformFailure, type WatchHandlers,
} from './platform.js';

const basePath = '/apis/cresshook.dev/v1/objects';
const requestTimeout = 5000;
const pageSize = 500;

/** Milliseconds without an event or bookmark after which a watch is aborted. */
const watchIdleTimeout = 15_000;

/** Accesses the object API over HTTP. */
export class HttpPlatform extends Platform {
	readonly #url: string;
	readonly #clock: Clock;
	readonly #agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

	constructor(url: string, clock: Clock) {
		super();
		this.#url = url;
		this.#clock = clock;
	}

	override async listObjects(): Promise<Either<PlatformFailure, ObjectList>> {
		const objects: PlatformObject[] = [];
		let token = '';
		let resourceVersion = 0;
		do {
			const query = `?limit=${pageSize}&continue=${encodeURIComponent(token)}`;
			const answer = await this.#sendRequest('GET', query);
			if (answer.isLeft()) {
				return Left(answer.extract());
			}

			const page = answer.extract() as ListPage;
			objects.push(...parseObjects(page.items));
			// All pages belong to the same version, which the first page contains.
			resourceVersion ||= Number(page.metadata.resourceVersion);
			token = page.metadata.continue ?? '';
		} while (token !== '');

		return Right({objects, resourceVersion});
	}

	override async watchObjects(after: number, handlers: WatchHandlers, signal: AbortSignal): Promise<PlatformFailure> {
		const idleTimer = new IdleTimer(this.#clock, watchIdleTimeout, signal);
		try {
			const response = await request(`${this.#url}${basePath}?watch=1&resourceVersion=${after}`, {dispatcher: this.#agent, signal: idleTimer.signal});
			if (response.statusCode !== 200) {
				await response.body.dump();
				return {kind: response.statusCode === 410 ? 'expired' : 'unreachable', message: `watch answered ${response.statusCode}`};
			}

			handlers.onOpen();
			return await readWatch(response.body, handlers.onEvent, idleTimer);
		} catch (error) {
			return {kind: 'unreachable', message: readErrorMessage(error)};
		} finally {
			idleTimer.cancel();
		}
	}

	override async readObject(kind: string, name: string): Promise<Either<PlatformFailure, PlatformObject | undefined>> {
		const answer = await this.#sendRequest('GET', `/${kind}/${name}`);
		return answer.map(body => body === undefined ? undefined : platformObjectSchema.parse(body));
	}

	override async writeObject(object: PlatformObjectInput, expectedVersion: number): Promise<Either<PlatformFailure, PlatformObject>> {
		const body = {...object, metadata: {name: object.metadata.name, resourceVersion: String(expectedVersion)}};
		const answer = await this.#sendRequest('PUT', `/${object.kind}/${object.metadata.name}`, body);
		return answer.map(stored => platformObjectSchema.parse(stored));
	}

	async #sendRequest(method: Dispatcher.HttpMethod, path: string, body?: unknown): Promise<Either<PlatformFailure, unknown>> {
		const timeout = createTimeout(this.#clock, requestTimeout);
		try {
			const response = await request(`${this.#url}${basePath}${path}`, {
				method,
				dispatcher: this.#agent,
				signal: timeout.signal,
				headers: body === undefined ? {} : {'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
			});
			return await readAnswer(method, response);
		} catch (error) {
			return Left({kind: 'unreachable', message: readErrorMessage(error)});
		} finally {
			timeout.cancel();
		}
	}
}

type ListPage = {
	items: unknown[];
	metadata: {resourceVersion: string; continue?: string};
};

async function readAnswer(method: string, response: Dispatcher.ResponseData): Promise<Either<PlatformFailure, unknown>> {
	const text = await response.body.text();
	if (response.statusCode < 300) {
		return Right(JSON.parse(text));
	}

	if (response.statusCode === 404 && method === 'GET') {
		return Right(undefined);
	}

	const message = `the platform answered ${response.statusCode}: ${text.slice(0, 200)}`;
	if (response.statusCode === 409) {
		return Left({kind: 'conflict', message});
	}

	return Left({kind: response.statusCode >= 500 || response.statusCode === 429 ? 'unreachable' : 'rejected', message});
}

/** Parses objects and skips invalid ones and unknown kinds, so that newer versions can add kinds. */
function parseObjects(items: unknown[]): PlatformObject[] {
	return items.flatMap(item => {
		const parsed = platformObjectSchema.safeParse(item);
		return parsed.success ? [parsed.data] : [];
	});
}

async function readWatch(body: AsyncIterable<Uint8Array>, onEvent: (event: WatchEvent) => void, idleTimer: IdleTimer): Promise<PlatformFailure> {
	const decoder = new TextDecoder();
	let pending = '';
	for await (const chunk of body) {
		idleTimer.restart();
		pending += decoder.decode(chunk, {stream: true});
		const lines = pending.split('\n');
		pending = lines.pop() ?? '';
		for (const line of lines.filter(text => text !== '')) {
			const event = JSON.parse(line) as {type: string; object: {code?: number}};
			if (event.type === 'ERROR') {
				return {kind: event.object.code === 410 ? 'expired' : 'unreachable', message: 'the platform closed the watch with an error'};
			}

			const [object] = event.type === 'BOOKMARK' ? [] : parseObjects([event.object]);
			if (object !== undefined) {
				onEvent({type: event.type as WatchEvent['type'], object});
			}
		}
	}

	return {kind: 'unreachable', message: 'the watch ended'};
}

/** Aborts a watch that has been idle for too long, since a half-open connection delivers no error. */
class IdleTimer {
	readonly #clock: Clock;
	readonly #delay: number;
	readonly #controller = new AbortController();
	#timer: {cancel(): void};

	constructor(clock: Clock, delay: number, parent: AbortSignal) {
		this.#clock = clock;
		this.#delay = delay;
		this.#timer = this.#arm();
		parent.addEventListener('abort', () => {
			this.#controller.abort();
		}, {once: true, signal: this.#controller.signal});
		if (parent.aborted) {
			this.#controller.abort();
		}
	}

	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	restart(): void {
		this.#timer.cancel();
		this.#timer = this.#arm();
	}

	cancel(): void {
		this.#timer.cancel();
		this.#controller.abort();
	}

	#arm(): {cancel(): void} {
		return this.#clock.setTimer(this.#delay, () => {
			this.#controller.abort();
		});
	}
}
