/** Formats a duration in milliseconds for people. */
export function formatTime(time: number | undefined): string {
	if (time === undefined) {
		return 'an unknown time';
	}

	return `${Math.round(time).toLocaleString('en-US')} ms`;
}
