/** Formats a duration in milliseconds, such as `1,200 ms`. */
export function formatTime(time: number | undefined): string {
	if (time === undefined) {
		return 'an unknown time';
	}

	return `${Math.round(time).toLocaleString('en-US')} ms`;
}
