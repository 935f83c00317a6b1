/** Waits for a time of the system clock, in milliseconds. */
export async function pause(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}
