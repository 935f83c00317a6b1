/** Waits for a real time in milliseconds. */
export async function pause(time: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, time);
	});
}
