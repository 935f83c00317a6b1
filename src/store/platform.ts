/** Interface of the object API of the platform. */
import type {Either} from 'purify-ts';
import type {PlatformObject, PlatformObjectInput, WatchEvent} from './objects.js';

/** Failed call to the platform. */
export type PlatformFailure = {
	/**
	 * `conflict`: the stored version differs from the expected one; nothing was written.
	 * `expired`: the version to watch from is too old; list again.
	 * `unreachable`: no response, a server error or throttling; a write may or may not have taken effect.
	 * `rejected`: the platform refused the request.
	 */
	kind: 'conflict' | 'expired' | 'unreachable' | 'rejected';
	message: string;
};

/** Complete list of objects at one version. */
export type ObjectList = {
	objects: PlatformObject[];
	resourceVersion: number;
};

/** Callbacks of a watch. */
export type WatchHandlers = {
	/** Called when the watch is established: every change after the version will be reported. */
	onOpen: () => void;
	onEvent: (event: WatchEvent) => void;
};

/** Object API of the platform. */
export abstract class Platform {
	/** Lists the objects of all kinds. */
	abstract listObjects(): Promise<Either<PlatformFailure, ObjectList>>;

	/**
	 * Reports changes after a version until the signal is aborted or the watch fails.
	 *
	 * @returns the reason why the watch ended.
	 */
	abstract watchObjects(after: number, handlers: WatchHandlers, signal: AbortSignal): Promise<PlatformFailure>;

	/** Reads one object; `undefined` when it does not exist. */
	abstract readObject(kind: string, name: string): Promise<Either<PlatformFailure, PlatformObject | undefined>>;

	/** Writes an object if its stored version equals the expected one; 0 means that the object must not exist. */
	abstract writeObject(object: PlatformObjectInput, expectedVersion: number): Promise<Either<PlatformFailure, PlatformObject>>;
}
