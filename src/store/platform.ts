/** What the system needs of the platform's object API. */
import type {Either} from 'purify-ts';
import type {PlatformObject, PlatformObjectInput, WatchEvent} from './objects.js';

/** A call on the platform that did not give what was asked. */
export type PlatformFailure = {
	/**
	 * `conflict`: the version expected was not the one stored; nothing was written.
	 * `expired`: the version to watch from is too old; list again.
	 * `unreachable`: no answer; a write may or may not have taken effect.
	 */
	kind: 'conflict' | 'expired' | 'unreachable' | 'rejected';
	message: string;
};

/** A full list at one version. */
export type ObjectList = {
	objects: PlatformObject[];
	resourceVersion: number;
};

/** What a watch calls back. */
export type WatchHandlers = {
	/** The platform has taken the watch: every change after the version will be seen. */
	onOpen: () => void;
	onEvent: (event: WatchEvent) => void;
};

/** The platform's object API. */
export abstract class Platform {
	/** Reads every object. */
	abstract listObjects(): Promise<Either<PlatformFailure, ObjectList>>;

	/**
	 * Follows changes after a version until the signal is aborted or the watch breaks.
	 *
	 * Returns why it ended.
	 */
	abstract watchObjects(after: number, handlers: WatchHandlers, signal: AbortSignal): Promise<PlatformFailure>;

	/** Reads one object; `undefined` where there is none. */
	abstract readObject(kind: string, name: string): Promise<Either<PlatformFailure, PlatformObject | undefined>>;

	/** Writes an object if the stored version is the expected one; 0 means that none is stored. */
	abstract writeObject(object: PlatformObjectInput, expectedVersion: number): Promise<Either<PlatformFailure, PlatformObject>>;
}
