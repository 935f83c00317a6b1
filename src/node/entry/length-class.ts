/** Classes of prompt length, used as labels of latency metrics and in reports. Pure. */

/** Inclusive upper limits of the classes in tokens, and their names. */
const lengthClasses: ReadonlyArray<readonly [number, string]> = [
	[2000, 'to-2k'],
	[8000, 'to-8k'],
	[32_000, 'to-32k'],
	[100_000, 'to-100k'],
	[Number.POSITIVE_INFINITY, 'over-100k'],
];

/** Returns the name of a prompt's length class. */
export function findLengthClass(promptTokens: number): string {
	return lengthClasses.find(([end]) => promptTokens <= end)?.[1] ?? 'over-100k';
}

/** Maximum length of a short prompt, in tokens. */
export const maxShortPromptTokens = 8000;

/** Fraction by which the baseline grows per request, so that it adapts to a service that has become slower. */
const baselineGrowth = 0.001;

/** Tracks the slowdown of short requests relative to the fastest recent ones. */
export class SlowdownTracker {
	readonly #baselines = new Map<string, number>();

	/** Records a short request's time to first token in milliseconds and returns its slowdown; 1 means none. */
	measure(service: string, promptTokens: number, firstToken: number): number {
		const key = `${service}/${findLengthClass(promptTokens)}`;
		const previous = this.#baselines.get(key) ?? firstToken;
		const baseline = Math.max(1, Math.min(firstToken, previous * (1 + baselineGrowth)));
		this.#baselines.set(key, baseline);
		return Math.max(1, firstToken / baseline);
	}
}
