/** Classes of prompt length, by which times are broken down in metrics and reports. Pure. */

/** Upper ends of the classes, in tokens, and their names. */
const classes: ReadonlyArray<readonly [number, string]> = [
	[2000, 'to-2k'],
	[8000, 'to-8k'],
	[32_000, 'to-32k'],
	[100_000, 'to-100k'],
	[Number.POSITIVE_INFINITY, 'over-100k'],
];

/** Names the class of a prompt length. */
export function findLengthClass(promptTokens: number): string {
	return classes.find(([end]) => promptTokens <= end)?.[1] ?? 'over-100k';
}

/** Tokens up to which a prompt counts as short. */
export const maxShortPromptTokens = 8000;

/** Share by which the baseline rises with each request, so that it follows a service that has become slower. */
const baselineGrowth = 0.001;

/** Follows how much slower than undisturbed short requests are. */
export class SlowdownTracker {
	readonly #baselines = new Map<string, number>();

	/** Takes a short request's time to first token in milliseconds; returns its slowdown, 1 being undisturbed. */
	measure(service: string, promptTokens: number, firstToken: number): number {
		const key = `${service}/${findLengthClass(promptTokens)}`;
		const known = this.#baselines.get(key) ?? firstToken;
		const baseline = Math.max(1, Math.min(firstToken, known * (1 + baselineGrowth)));
		this.#baselines.set(key, baseline);
		return Math.max(1, firstToken / baseline);
	}
}
